"""Measure decisions: waves, moves and buffer against naive ones and bounds; time by size."""

from __future__ import annotations

import math
import tracemalloc
from pathlib import Path

from benchmarks._report import print_section, print_table, timed
from pumicespur.config import load_declaration
from pumicespur.planning import decide
from pumicespur.schema.fleet_pb import Declaration, FailureDomain, Pool, Record, Wave
from pumicespur.structure import Fleet, PoolId, WaveId, minimum_available
from standins.model import ModelPlatform, build
from tests.naive import naive_decide

EXAMPLES = ("examples/coulee.ini", "examples/sofia.ini")
ROUNDS = 20_000
ONE_INSTANCE_ROUNDS = 4
"""Rounds from a drain's decision to the instance's return in the model, at best."""

SIZES = (200, 2_000, 20_000)
POOLS = 27
RACK = 4


def example(path: str) -> tuple[list[Pool], Wave]:
    """Load one of the first users' declarations."""
    declaration, _ = load_declaration([Path(path)])
    wave = declaration.waves[0]
    wave.window_start_minute = wave.window_end_minute = 0
    return list(declaration.pools), wave


def wave_rounds(pools: list[Pool], wave: Wave, naive: bool) -> tuple[int, int]:
    """Run a wave; return its rounds and the log records that it took."""
    chosen = naive_decide if naive else decide
    model = build([(pool, pool.size) for pool in pools], racks=8, halls=4, decide=chosen)
    model.fleet.waves[WaveId(wave.id)] = wave
    model.start_wave(wave.id)
    rounds = sum(1 for _ in model.run(ROUNDS))
    return rounds, model.records


def bound(pools: list[Pool], wave: Wave) -> int:
    """Return the fewest rounds in which any planner could keep every budget.

    Each pool can have at most size - budget instances down, one less when the headroom
    keeps room for the loss of one, and the wave at most its limit.
    """
    per_pool = [math.ceil(pool.size / max(1, pool.size - kept(pool))) for pool in pools]
    overall = math.ceil(sum(pool.size for pool in pools) / wave.max_parallel)
    return max(*per_pool, overall) * ONE_INSTANCE_ROUNDS


def kept(pool: Pool) -> int:
    """Return the instances that must stay up whatever the planner does."""
    return minimum_available(pool) + (pool.headroom is not FailureDomain.UNSPECIFIED)


def print_waves() -> None:
    """Print roll-out, buffer and store use of both clusters' waves."""
    print_section("Waves of the two first users (rounds of the model)")
    rows = []
    for path in EXAMPLES:
        pools, wave = example(path)
        ours, records = wave_rounds(pools, wave, naive=False)
        naive, naive_records = wave_rounds(pools, wave, naive=True)
        buffer = sum(pool.size - minimum_available(pool) for pool in pools)
        size = sum(pool.size for pool in pools)
        rows.append(
            (wave.id, size, buffer, ours, naive, bound(pools, wave), records, naive_records)
        )
    header = ("WAVE", "INSTANCES", "BUFFER", "ROUNDS", "NAIVE", "BOUND", "RECORDS", "NAIVE REC")
    print_table(header, rows)


def print_headroom() -> None:
    """Print what headroom costs: the rounds of one wave by what may be lost."""
    print_section("What headroom costs (24 instances, budget 16, 8 racks, 4 data halls)")
    rows = []
    for domain in FailureDomain:
        pool = Pool(id="p", size=24, min_available=16, headroom=domain)
        wave = Wave(id="w", pools=["p"], max_parallel=24, halt_share=1, attempts=1)
        rounds, records = wave_rounds([pool], wave, naive=False)
        rows.append((domain.name.lower(), rounds, bound([pool], wave), records))
    print_table(("HEADROOM", "ROUNDS", "BOUND", "RECORDS"), rows)


def large_model(size: int) -> ModelPlatform:
    """Build a fleet of 27 pools with budgets and rack headroom."""
    each = size // POOLS
    pools = [
        Pool(id=f"p{n}", size=each, min_available=each * 3 // 4, headroom=FailureDomain.RACK)
        for n in range(POOLS)
    ]
    racks = max(1, size // RACK)
    model = build([(pool, pool.size) for pool in pools], racks=racks, halls=11)
    wave = Wave(id="w", pools=list(model.fleet.pools), max_parallel=100, halt_share=1, attempts=1)
    model.fleet.waves[WaveId("w")] = wave
    return model


def print_sizes() -> None:
    """Print a round's time and the state's size by fleet size."""
    print_section("One planning round and the state, by size (27 pools)")
    rows = []
    for size in SIZES:
        model = large_model(size)
        idle = timed(lambda model=model: decide(model._plan_input()), 3)  # type: ignore[misc]
        model.start_wave("w")
        busy = timed(lambda model=model: decide(model._plan_input()), 3)  # type: ignore[misc]
        record = decide(model._plan_input()).record()
        assert record is not None
        snapshot = model.fleet.snapshot()
        content = snapshot.to_binary()
        tracemalloc.start()
        fleet = Fleet.from_snapshot(type(snapshot).from_binary(content))
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert len(fleet.assignments) == len(model.fleet.assignments)
        rows.append(
            (
                size,
                _ms(idle),
                _ms(busy),
                len(record.to_binary()),
                len(content) // 1024,
                f"{memory / 1e6:.1f}",
            )
        )
    header = ("WORKERS", "IDLE ROUND MS", "WAVE ROUND MS", "RECORD B", "SNAPSHOT KB", "STATE MB")
    print_table(header, rows)


def print_fold() -> None:
    """Print the time to fold one record and its size."""
    print_section("Folding records")
    rows = []
    for size in SIZES:
        model = large_model(size)
        fleet = model.fleet
        pool = fleet.pools[PoolId("p0")]
        change = Record(put=Declaration(pools=[pool]))

        def fold(fleet: Fleet = fleet, change: Record = change) -> None:
            for _ in range(100):
                change.revision = fleet.revision + 1
                fleet.apply(change)

        median, low, high = timed(fold)
        rows.append((size, f"{median * 10:.3f} ({low * 10:.3f}-{high * 10:.3f})"))
    print_table(("WORKERS", "MS PER CONFIGURATION RECORD"), rows)


def _ms(times: tuple[float, float, float]) -> str:
    median, low, high = (seconds * 1000 for seconds in times)
    return f"{median:.1f} ({low:.1f}-{high:.1f})"


def main() -> None:
    """Print all figures of decisions."""
    print_waves()
    print_headroom()
    print_sizes()
    print_fold()


if __name__ == "__main__":
    main()

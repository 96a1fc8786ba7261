"""Measure planning: waves against a naive planner and a lower bound, and cost by fleet size."""

from __future__ import annotations

import math
import tracemalloc
from pathlib import Path

from benchmarks._report import print_section, print_table, timed
from pumicespur.config import load_declaration
from pumicespur.planning import decide
from pumicespur.schema.fleet_pb import Declaration, FailureDomain, Pool, Record, Wave
from pumicespur.structure import Fleet, PoolId, WaveId, min_available_instances
from standins.model import ModelPlatform, build
from tests.naive import naive_decide

EXAMPLES = ("examples/coulee.ini", "examples/sofia.ini")
ROUNDS = 20_000
ONE_INSTANCE_ROUNDS = 4
"""Fewest rounds in the model from the decision to drain an instance to its return."""

SIZES = (200, 2_000, 20_000)
POOLS = 27
INSTANCES_PER_RACK = 4


def load_example(path: str) -> tuple[list[Pool], Wave]:
    """Load the pools and the wave of an example, without the wave's time window."""
    declaration, _ = load_declaration([Path(path)])
    wave = declaration.waves[0]
    wave.window_start_minute = wave.window_end_minute = 0
    return list(declaration.pools), wave


def wave_rounds(pools: list[Pool], wave: Wave, naive: bool) -> tuple[int, int]:
    """Run a wave; return its number of rounds and of log records."""
    planner = naive_decide if naive else decide
    model = build([(pool, pool.size) for pool in pools], racks=8, halls=4, decide=planner)
    model.fleet.waves[WaveId(wave.id)] = wave
    model.start_wave(wave.id)
    rounds = sum(1 for _ in model.run(ROUNDS))
    return rounds, model.records


def min_rounds(pools: list[Pool], wave: Wave) -> int:
    """Return a lower bound of the rounds of any planner that keeps every budget.

    At most size - budget instances of a pool can be down at once, one less if headroom keeps free
    capacity for the loss of one, and at most `max_parallel` instances of the wave.
    """
    per_pool = [math.ceil(pool.size / max(1, pool.size - min_up(pool))) for pool in pools]
    overall = math.ceil(sum(pool.size for pool in pools) / wave.max_parallel)
    return max(*per_pool, overall) * ONE_INSTANCE_ROUNDS


def min_up(pool: Pool) -> int:
    """Return the number of a pool's instances that must stay up at any time."""
    return min_available_instances(pool) + (pool.headroom is not FailureDomain.UNSPECIFIED)


def print_waves() -> None:
    """Print the rounds, buffer and log records of both examples' waves."""
    print_section("Waves of the two first users (rounds of the model)")
    rows = []
    for path in EXAMPLES:
        pools, wave = load_example(path)
        rounds, records = wave_rounds(pools, wave, naive=False)
        naive, naive_records = wave_rounds(pools, wave, naive=True)
        buffer = sum(pool.size - min_available_instances(pool) for pool in pools)
        size = sum(pool.size for pool in pools)
        rows.append(
            (wave.id, size, buffer, rounds, naive, min_rounds(pools, wave), records, naive_records)
        )
    header = ("WAVE", "INSTANCES", "BUFFER", "ROUNDS", "NAIVE", "BOUND", "RECORDS", "NAIVE REC")
    print_table(header, rows)


def print_headroom() -> None:
    """Print the rounds of one wave by the failure domain that headroom covers."""
    print_section("What headroom costs (24 instances, budget 16, 8 racks, 4 data halls)")
    rows = []
    for domain in FailureDomain:
        pool = Pool(id="p", size=24, min_available=16, headroom=domain)
        wave = Wave(id="w", pools=["p"], max_parallel=24, halt_share=1, attempts=1)
        rounds, records = wave_rounds([pool], wave, naive=False)
        rows.append((domain.name.lower(), rounds, min_rounds([pool], wave), records))
    print_table(("HEADROOM", "ROUNDS", "BOUND", "RECORDS"), rows)


def large_model(size: int) -> ModelPlatform:
    """Build a fleet of `POOLS` pools with budgets and rack headroom."""
    pool_size = size // POOLS
    pools = [
        Pool(
            id=f"p{n}",
            size=pool_size,
            min_available=pool_size * 3 // 4,
            headroom=FailureDomain.RACK,
        )
        for n in range(POOLS)
    ]
    racks = max(1, size // INSTANCES_PER_RACK)
    model = build([(pool, pool.size) for pool in pools], racks=racks, halls=11)
    wave = Wave(id="w", pools=list(model.fleet.pools), max_parallel=100, halt_share=1, attempts=1)
    model.fleet.waves[WaveId("w")] = wave
    return model


def print_sizes() -> None:
    """Print a planning round's duration and the state's size by fleet size."""
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


def print_apply() -> None:
    """Print the time to apply one record to the state, by fleet size."""
    print_section("Applying records")
    rows = []
    for size in SIZES:
        model = large_model(size)
        fleet = model.fleet
        pool = fleet.pools[PoolId("p0")]
        change = Record(put=Declaration(pools=[pool]))

        def apply(fleet: Fleet = fleet, change: Record = change) -> None:
            for _ in range(100):
                change.revision = fleet.revision + 1
                fleet.apply(change)

        median, low, high = timed(apply)
        rows.append((size, f"{median * 10:.3f} ({low * 10:.3f}-{high * 10:.3f})"))
    print_table(("WORKERS", "MS PER CONFIGURATION RECORD"), rows)


def _ms(times: tuple[float, float, float]) -> str:
    median, low, high = (seconds * 1000 for seconds in times)
    return f"{median:.1f} ({low:.1f}-{high:.1f})"


def main() -> None:
    """Print all figures."""
    print_waves()
    print_headroom()
    print_sizes()
    print_apply()


if __name__ == "__main__":
    main()

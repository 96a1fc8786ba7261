"""Measure a placement round of a large pool with two evacuated data halls, and with none."""

from __future__ import annotations

import itertools
import statistics
import time
from typing import TYPE_CHECKING

from benchmarks._report import print_section, print_table
from benchmarks.jobs import CONFIGURATION, JOBS_PER_WORKER, ROUTE, add_job, make_idle_pool
from pumicespur.jobs.placement import assign
from pumicespur.model import DataHall
from pumicespur.schema.jobs_pb import JobRecord, StepRecord

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState

WORKERS = 20_000
HALLS = 40
EVACUATED = frozenset({DataHall("hall-0"), DataHall("hall-1")})

STEPS = {
    "short": StepRecord(count=6, cpu_millis=880, memory_mb=1300, estimated_ms=1000),
    "long-running": StepRecord(count=24, cpu_millis=880, memory_mb=1300, long_running=True),
}

ROUNDS = 9


def make_pool() -> PoolState:
    """Make a pool with open jobs whose tasks are spread over all workers.

    Tasks are assigned in turn, since placing so many would take minutes.
    """
    pool = make_idle_pool(WORKERS, HALLS)
    loads = itertools.cycle(pool.loads.values())
    for number in range(int(WORKERS * JOBS_PER_WORKER)):
        add_job(pool, number)
    for job in pool.jobs.values():
        for group in job.groups:
            for task in group.tasks:
                assign(task, next(loads))
    return pool


def run_round(pool: PoolState, halls: frozenset[DataHall], number: int, step: StepRecord) -> float:
    """Return the duration of a round with one new job, in seconds.

    With evacuated halls, it includes marking their workers, as the owner does before each round.
    """
    record = JobRecord(id=f"{number:016x}", route=ROUTE.name, steps=[step])
    pool.add_job(record, CONFIGURATION, None)
    started = time.perf_counter()
    if halls:
        for load in pool.loads.values():
            load.hall_evacuated = load.worker.data_hall in halls
    placed = pool.place(0.0, 0.0)
    duration_s = time.perf_counter() - started
    assert len(placed) == step.count
    assert all(not pool.loads[task.worker].hall_evacuated for task in placed if task.worker)
    pool.newly_placed.clear()
    pool.dirty.clear()
    return duration_s


def measure(step: StepRecord) -> tuple[list[float], list[float]]:
    """Return the durations of rounds without and with evacuations, which alternate."""
    open_pool, closed_pool = make_pool(), make_pool()
    none: list[float] = []
    two: list[float] = []
    for number in range(10**6, 10**6 + ROUNDS):
        none.append(run_round(open_pool, frozenset(), number, step))
        two.append(run_round(closed_pool, EVACUATED, number, step))
    return none, two


def main() -> None:
    """Print the durations and their ratio for both kinds of steps."""
    print_section(f"Placement round, {WORKERS:,} workers in {HALLS} data halls, 2 evacuated")
    rows = []
    for name, step in STEPS.items():
        none, two = measure(step)
        ratio = statistics.median(two) / statistics.median(none)
        rows.append((name, _ms(none), _ms(two), f"{ratio:.2f}"))
    print_table(("STEP", "NONE MS", "EVACUATED MS", "RATIO"), rows)


def _ms(seconds: list[float]) -> str:
    low, median, high = (f(seconds) * 1000 for f in (min, statistics.median, max))
    return f"{median:.1f} ({low:.1f}-{high:.1f})"


if __name__ == "__main__":
    main()

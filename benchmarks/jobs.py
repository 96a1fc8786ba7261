"""Measure one placement round of a pool's owner by pool size, beside a naive first fit."""

from __future__ import annotations

import time

from benchmarks._report import print_table
from pumicespur.jobs._pool import PoolState
from pumicespur.jobs.placement import order_groups
from pumicespur.model import (
    Capacity,
    Configuration,
    DataHall,
    InstanceId,
    PoolId,
    Rack,
    Route,
    RouteName,
    Worker,
    WorkerId,
    WorkerState,
)
from pumicespur.schema.jobs_pb import JobRecord, StepRecord

POOL = PoolId("main")
ROUTE = Route(RouteName("quick"), "host", "/", POOL, 3.0, 0, 3, 1.6, 0.6)
CONFIGURATION = Configuration(1, {ROUTE.name: ROUTE}, {})
SIZES = (8, 40, 200, 741, 2000)
"""Workers of a pool; 741 is the mean of 20,000 workers in 27 pools."""

JOBS_PER_WORKER = 0.5
"""Open jobs per worker: about the users' present peak."""

REPEATS = 20


def make_idle_pool(workers: int, halls: int = 1) -> PoolState:
    """Make a pool without jobs, whose racks take turns over the data halls."""
    pool = PoolState(POOL)
    for number in range(workers):
        worker = Worker(
            WorkerId(f"w-{number}"),
            POOL,
            "127.0.0.1:1",
            DataHall(f"hall-{number // 12 % halls}"),
            WorkerState.READY,
            Capacity(16_000, 32_768),
            frozenset({"a"}),
            Rack(f"r-{number // 12}"),
            InstanceId(f"m-{number}"),
        )
        pool.add_worker(worker).reachable = True
    return pool


def make_pool(workers: int) -> PoolState:
    """Make a pool with open jobs whose tasks are placed already."""
    pool = make_idle_pool(workers)
    for number in range(int(workers * JOBS_PER_WORKER)):
        add_job(pool, number)
    pool.place(0.0, 0.0)
    pool.newly_placed.clear()
    pool.dirty.clear()
    return pool


def add_job(pool: PoolState, number: int) -> None:
    """Submit a job like the users' shortest ones."""
    step = StepRecord(count=6, cpu_millis=880, memory_mb=1300, estimated_ms=1000)
    pool.add_job(
        JobRecord(id=f"{number:016x}", route=ROUTE.name, steps=[step]), CONFIGURATION, None
    )


def place_naively(pool: PoolState) -> int:
    """Count the waiting tasks that fit on some worker, tried in order; nothing is placed."""
    placed = 0
    for group in order_groups(pool.jobs.values(), 0.0):
        for _ in group.waiting():
            for load in pool.loads.values():
                if load.fits(group.spec):
                    placed += 1
                    break
    return placed


def measure(workers: int) -> list[str]:
    """Return a table row: the median duration of a round with one new job, in milliseconds."""
    pool = make_pool(workers)
    rounds: list[float] = []
    naive: list[float] = []
    for number in range(REPEATS):
        add_job(pool, 10**6 + number)
        started = time.perf_counter()
        place_naively(pool)
        naive.append(time.perf_counter() - started)
        started = time.perf_counter()
        pool.place(0.0, 0.0)
        rounds.append(time.perf_counter() - started)
        pool.newly_placed.clear()
        pool.dirty.clear()
    middle = REPEATS // 2
    return [
        str(workers),
        str(len(pool.jobs)),
        f"{sorted(rounds)[middle] * 1000:.2f}",
        f"{sorted(naive)[middle] * 1000:.2f}",
    ]


def main() -> None:
    """Print the table for all sizes."""
    print_table(["workers", "open jobs", "round ms", "naive ms"], [measure(size) for size in SIZES])


if __name__ == "__main__":
    main()

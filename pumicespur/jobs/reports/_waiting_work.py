"""Metrics and descriptions of waiting work in owned pools, for operators."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from pumicespur.jobs._feasibility import is_overdue, latest_start_ms
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState


@dataclass(frozen=True)
class WaitingWork:
    """The waiting tasks of a pool that are ready to start and fit on some worker."""

    timely_tasks: int = 0
    """Tasks of jobs that can still finish in time, or that have no deadline."""
    overdue_tasks: int = 0
    """Tasks of jobs that can no longer finish in time."""
    longest_overdue_wait_s: float = 0.0
    """Longest time for which a step has waited since its job can no longer finish in time."""


def measure_waiting_work(pool: PoolState, now_ms: float) -> WaitingWork:
    """Return the waiting work of a pool."""
    timely = overdue = 0
    longest_ms = 0.0
    for job in pool.jobs.values():
        if job.ended:
            continue
        for group in job.ready_groups(now_ms):
            count = len(group.waiting())
            if not count or not pool.fits_anywhere(group.spec):
                continue
            if is_overdue(group, now_ms):
                overdue += count
                longest_ms = max(longest_ms, now_ms - latest_start_ms(group))
            else:
                timely += count
    return WaitingWork(timely, overdue, round(longest_ms / 1000, 3))


def update_waiting_metrics(pool: PoolState, now_ms: float) -> None:
    """Update the gauges of waiting work."""
    work = measure_waiting_work(pool, now_ms)
    METRICS.waiting_tasks.set({"pool": pool.pool, "state": "in time"}, work.timely_tasks)
    METRICS.waiting_tasks.set({"pool": pool.pool, "state": "overdue"}, work.overdue_tasks)
    METRICS.longest_overdue_wait.set({"pool": pool.pool}, work.longest_overdue_wait_s)


def describe_waiting_work(pool: PoolState, now_ms: float) -> dict[str, object]:
    """Return the waiting work of a pool, for JSON."""
    return asdict(measure_waiting_work(pool, now_ms))

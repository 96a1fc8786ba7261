"""Reports of a pool's owner to the other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.jobs_pb import PoolReport, WaitingCount, WorkerReport
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs._worker_load import WorkerLoad


def report_pool(pool: PoolState, token: int) -> PoolReport:
    """Return the report of a pool's current state."""
    waiting = [
        WaitingCount(route=route, jobs=count) for route, count in pool.waiting_by_route().items()
    ]
    report = PoolReport(pool=pool.pool, fencing_token=token, waiting=waiting)
    report.workers = [_describe_worker(load) for load in pool.loads.values()]
    return report


def _describe_worker(load: WorkerLoad) -> WorkerReport:
    load.reported_tasks = len(load.tasks)
    if load.evacuation_requested:
        load.evacuation_reported_at = monotonic()
    held = sum(1 for task in load.tasks if task.spec.long_running and not task.job.ended)
    return WorkerReport(
        worker=load.worker.name,
        tasks=len(load.tasks),
        held_tasks=held,
        reachable=load.reachable,
        evacuating=load.evacuation_requested,
    )

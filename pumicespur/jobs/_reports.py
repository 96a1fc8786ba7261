"""What an owner tells the other processes about its pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState
from pumicespur.schema.jobs_pb import PoolReport, WaitingCount, WorkerReport
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from pumicespur.jobs._load import WorkerLoad
    from pumicespur.jobs._pool import PoolState


def report_pool(pool: PoolState, token: int) -> PoolReport:
    """Describe a pool as its owner sees it now."""
    waiting = [
        WaitingCount(route=route, jobs=count) for route, count in pool.waiting_by_route().items()
    ]
    report = PoolReport(pool=pool.pool, fencing_token=token, waiting=waiting)
    report.workers = [_report_worker(load) for load in pool.loads.values()]
    now = now_ms()
    for job in pool.jobs.values():
        if job.ended:
            continue
        for group in job.ready_groups(now):
            left = sum(1 for task in group.tasks if task.state is not TaskState.DONE)
            if not group.spec.fills:
                report.demand_cpu_millis += left * group.spec.cpu_millis
            report.demand_memory_mb += left * group.spec.memory_mb
    return report


def _report_worker(load: WorkerLoad) -> WorkerReport:
    held = sum(1 for task in load.tasks if task.spec.long_running and not task.job.ended)
    return WorkerReport(
        worker=load.worker.id,
        tasks=len(load.tasks),
        held_tasks=held,
        reachable=load.reachable,
    )

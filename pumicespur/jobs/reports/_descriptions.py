"""Descriptions of jobs and of evacuated data halls for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import explain_failure
from pumicespur.model import WorkerId, worker_name
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import DataHall, PoolId, WorkerName
    from pumicespur.schema.jobs_pb import ProgressRecord


def _names(workers: Iterable[str]) -> list[WorkerName]:
    """Return the names of workers, under which operators find them."""
    return [worker_name(WorkerId(worker)) for worker in workers]


def describe_progress(name: str, pool: PoolId, progress: ProgressRecord) -> dict[str, object]:
    """Return a job's recorded state for JSON, with the workers that its tasks crashed."""
    failure = progress.failure
    described: dict[str, object] = {
        "job": name,
        "pool": pool,
        "route": progress.route,
        "account": progress.account,
        "phase": progress.phase.name.lower(),
        "reason": "" if failure is None else explain_failure(failure),
        "lost_workers": [] if failure is None else _names(failure.lost_workers),
    }
    described["suspected_tasks"] = {
        str(task.index): _names(loss.worker for loss in task.losses)
        for task in progress.tasks
        if task.losses
    }
    return described


def describe_evacuated_hall(pool: PoolState, hall: DataHall, now: float) -> dict[str, object]:
    """Return what still runs for a pool in an evacuated hall, for JSON; empty if nothing does.

    `last_end_in_s` is when the last task with an end is expected to end. Long-running tasks have
    none.
    """
    tasks = [
        task for load in pool.loads.values() if load.worker.data_hall == hall for task in load.tasks
    ]
    if not tasks:
        return {}
    ends_in_s = [_expected_end_in_s(pool, t, now) for t in tasks if not t.spec.long_running]
    return {
        "tasks": len(tasks),
        "long_running_tasks": len(tasks) - len(ends_in_s),
        "last_end_in_s": round(max(ends_in_s), 1) if ends_in_s else None,
    }


def _expected_end_in_s(pool: PoolState, task: Task, now: float) -> float:
    expected_ms = pool.estimates.expected_ms(task.job.route, task.spec.estimated_ms)
    began_at = task.started_at or task.first_seen_at or task.placed_at or now
    return max(0.0, began_at + expected_ms / 1000 - now)


def update_evacuation_metrics(pool: PoolState) -> None:
    """Update the gauge of the tasks that are left in evacuated halls."""
    left = sum(len(load.tasks) for load in pool.loads.values() if load.hall_evacuated)
    METRICS.evacuated_tasks.set({"pool": pool.pool}, left)


def describe_hall_block(pool: PoolState, job: Job, now: float, now_ms: float) -> dict[str, object]:
    """Return which of a job's tasks wait for another data hall, for JSON; empty if none does."""
    evacuated = [load for load in pool.loads.values() if load.hall_evacuated]
    if job.ended or not evacuated:
        return {}
    groups = [group for group in job.ready_groups(now_ms) if group.waiting()]
    blocked = [group for group in groups if waits_for_hall(group, pool, evacuated, now)]
    if not blocked:
        return {}
    halls = sorted({load.worker.data_hall for load in evacuated})
    tasks = sum(len(group.waiting()) for group in blocked)
    return {"waits_for_another_hall": {"tasks": tasks, "evacuated_halls": halls}}


def waits_for_hall(
    group: StepGroup, pool: PoolState, evacuated: Iterable[WorkerLoad], now: float
) -> bool:
    """Whether workers of evacuated halls could take a step's tasks that no others take now.

    All members of a gang start together, so that one free worker elsewhere is not enough for it.
    """
    if not any(load.fits(group.spec) and load.meets_constraints(group) for load in evacuated):
        return False
    return group.spec.gang or not any(load.can_take(group, now) for load in pool.loads.values())

"""Which tasks may be moved off leaving workers now, within the availability budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState
from pumicespur.model import WorkerState

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs._worker_load import WorkerLoad

CHECKPOINT_LEAD_TIME_S = 0.8
"""Time before a worker leaves at which tasks with checkpoints are stopped; twice a stop."""

MOVE_RETRY_DELAY_S = 1.0
"""Time after which a stop for a move without effect is sent again."""


def tasks_to_move(pool: PoolState, now: float) -> list[Task]:
    """Choose tasks to stop on workers that are being evacuated or leave.

    A long-running task is stopped only while the unavailable other tasks of its step, for whatever
    reason, are fewer than the step permits. A short task is stopped just before its worker leaves,
    if its progress can be kept.
    """
    leaving = [load for load in pool.loads.values() if _is_leaving(load)]
    chosen: list[Task] = []
    for load in leaving:
        for task in sorted(load.tasks, key=lambda task: task.name):
            if (
                _may_stop(pool, task, now, chosen)
                and has_free_worker(pool, task, now)
                or _would_lose_progress(load, task, now)
            ):
                chosen.append(task)
    return chosen


def _would_lose_progress(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a short task with checkpoints would soon be lost with its leaving worker."""
    if load.leaves_at is None or load.leaves_at - now > CHECKPOINT_LEAD_TIME_S:
        return False
    if task.spec.long_running or not task.spec.checkpoints or task.job.ended:
        return False
    return task.state is TaskState.RUNNING and now - task.stop_sent_at >= MOVE_RETRY_DELAY_S


def _is_leaving(load: WorkerLoad) -> bool:
    draining = load.worker.state is WorkerState.DRAINING
    return load.reachable and (load.evacuating or draining)


def _may_stop(pool: PoolState, task: Task, now: float, chosen: list[Task]) -> bool:
    if not task.spec.long_running or task.job.ended or task.state is not TaskState.RUNNING:
        return False
    if now - task.stop_sent_at < MOVE_RETRY_DELAY_S:
        return False
    if not task.spec.may_miss:
        return True
    return count_unavailable_others(pool, task, chosen) < task.spec.may_miss


def count_unavailable_others(pool: PoolState, task: Task, chosen: list[Task]) -> int:
    """Count the other tasks of a step that are not known to work or are chosen to stop."""
    return sum(
        1
        for other in task.group.tasks
        if other is not task and (other in chosen or _is_unavailable(pool, other))
    )


def _is_unavailable(pool: PoolState, task: Task) -> bool:
    if task.unavailable_since is not None or task.state is not TaskState.RUNNING:
        return True
    load = pool.load_of(task)
    return load is None or not load.reachable


def has_free_worker(pool: PoolState, task: Task, now: float) -> bool:
    """Whether another worker has free capacity for a task, so that it can move there."""
    return any(
        load.can_take(task.group, now)
        for load in pool.loads.values()
        if load.worker.id != task.worker
    )

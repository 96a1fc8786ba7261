"""Which speculative tasks get another run beside the one that is slow or out of sight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task
    from pumicespur.jobs._load import WorkerLoad
    from pumicespur.jobs._pool import PoolState

SILENT_CALLS = 2
"""Failed calls in a row after which a worker's tasks are copied; one may be a broken connection."""

GAIN = 1.5
"""Times that the rest of a run has to exceed a fresh one, since the rest is a rough figure."""

LEAST_GAIN_S = 0.3
"""Least time that a copy has to save: a commit, a call and a report."""

LEAST_PERCENT = 5
"""Progress from which the rest of a run is estimated."""


def tasks_to_copy(pool: PoolState, now: float, now_ms: float) -> list[Task]:
    """Choose tasks to run once more; none while others wait for their first run."""
    found = [
        task
        for load in pool.loads.values()
        for task in load.tasks
        if _may_copy(load, task) and (_is_out_of_sight(load) or _is_slow(pool, task, now))
    ]
    return found if found and not pool.waiting_tasks(now_ms) else []


def _may_copy(load: WorkerLoad, task: Task) -> bool:
    spec = task.spec
    fit = spec.speculative and not spec.gang and not spec.long_running
    running = task.state is TaskState.RUNNING and task.worker == load.worker.id
    return fit and running and not task.copies and not task.job.ended


def _is_out_of_sight(load: WorkerLoad) -> bool:
    return load.silent_calls >= SILENT_CALLS


def _is_slow(pool: PoolState, task: Task, now: float) -> bool:
    if not task.started_at or task.percent < LEAST_PERCENT:
        return False
    taken_s = now - task.started_at
    rest_s = taken_s * (100 - task.percent) / task.percent
    fresh_s = pool.estimates.corrected_ms(task.job.route, task.spec.estimated_ms) / 1000
    return rest_s > GAIN * fresh_s + LEAST_GAIN_S


def copy(pool: PoolState, task: Task) -> None:
    """Let a task wait for another run; the present one goes on and still counts if it ends well."""
    if task.worker is not None:
        task.copies[task.worker] = task.run
    task.release()
    pool.dirty.add(task.job)

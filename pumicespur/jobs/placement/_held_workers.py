"""Workers whose free capacity is held for long-running tasks that lost theirs.

Without it, smaller tasks take each place that becomes free, and a larger one waits as long as the
pool is full.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._crash_attribution import has_quarantined_task, needs_quarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.schema.jobs_pb import StepRecord


def must_run_again(task: Task) -> bool:
    """Whether a waiting task is a long-running one that has lost its run."""
    return task.spec.long_running and task.run > 0


def has_lost_runs(group: StepGroup) -> bool:
    """Whether a step has long-running tasks that have lost their runs.

    A gang keeps its place: if it fits nowhere, it would block all work behind it.
    """
    spec = group.spec
    if not spec.long_running or spec.gang:
        return False
    return any(must_run_again(task) for task in group.waiting())


def choose_worker_to_hold(task: Task, loads: Iterable[WorkerLoad], now: float) -> WorkerLoad | None:
    """Return the worker that can soonest take a task that now fits on none; None if none ever can.

    Long-running tasks stay where they are, all others end. It is the worker with the least capacity
    to become free: as nothing else starts there, that never grows from one round to the next.
    """
    found = [load for load in loads if _can_hold(load, task, now)]
    return min(
        found,
        key=lambda load: (_missing_ratio(load, task.spec), load.worker.id),
        default=None,
    )


def _can_hold(load: WorkerLoad, task: Task, now: float) -> bool:
    group = task.group
    if not load.can_accept_tasks(now) or not load.meets_constraints(group):
        return False
    if task.spec.same_rack and not group.permits_rack(load.worker.rack):
        return False
    if has_quarantined_task(load) or load.reserved:
        return False
    if needs_quarantine(task, now) and load.fits(task.spec):
        # It is reserved for the task in its turn.
        return False
    if group.job.needs_tickets and not group.ticket(load.worker.id, now):
        return False
    staying = [other.spec for other in load.tasks if other.spec.long_running]
    return all(
        sum(_needs(spec)[index] for spec in (*staying, task.spec)) <= total
        for index, total in enumerate(_capacity(load))
    )


def _missing_ratio(load: WorkerLoad, spec: StepRecord) -> float:
    """Return how much of the worker must become free for a task, by its scarcest resource."""
    used = (load.cpu_millis, load.memory_mb, load.accelerators)
    return max(
        (taken + needed - total) / max(1, total)
        for taken, needed, total in zip(used, _needs(spec), _capacity(load), strict=True)
    )


def _needs(spec: StepRecord) -> tuple[int, int, int]:
    return (0 if spec.fills else spec.cpu_millis, spec.memory_mb, spec.accelerators)


def _capacity(load: WorkerLoad) -> tuple[int, int, int]:
    capacity = load.worker.capacity
    return (capacity.cpu_millis, capacity.memory_mb, capacity.accelerators)

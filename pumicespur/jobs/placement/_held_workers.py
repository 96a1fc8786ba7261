"""Where long-running tasks that lost their worker go if none takes them at once.

A worker is held for them: otherwise smaller tasks take each place that becomes free, and a larger
one waits as long as the pool is full. If none can be held, workers left out after failures will do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._crash_attribution import (
    has_quarantined_task,
    needs_quarantine,
    quarantine_allows,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.schema.jobs_pb import StepRecord


def must_run_again(task: Task) -> bool:
    """Whether a waiting task is a long-running one that has lost its run."""
    return task.spec.long_running and task.run > 0


def has_lost_runs(group: StepGroup) -> bool:
    """Whether a step has long-running tasks that have lost their runs.

    A gang keeps its place: workers are held for one task at a time, and it starts as a whole.
    """
    spec = group.spec
    if not spec.long_running or spec.gang:
        return False
    return any(must_run_again(task) for task in group.waiting())


def choose_worker_to_hold(task: Task, loads: Sequence[WorkerLoad], now: float) -> WorkerLoad | None:
    """Return the worker that can soonest take a task that now fits on none; None if none ever can.

    Long-running tasks stay where they are, all others end. Among workers that are expected to have
    room at the same time, it is the one with the least capacity to become free.
    """
    if needs_quarantine(task, now) and any(
        load.reserved and load.can_take(task.group, now) for load in loads
    ):
        return None
    found = [load for load in loads if _can_hold(load, task, now)]
    return min(
        found,
        key=lambda load: (
            _expected_wait_s(load, task.spec, now),
            _missing_ratio(load, task.spec),
            load.worker.id,
        ),
        default=None,
    )


def is_ejected(load: WorkerLoad, now: float) -> bool:
    """Whether a worker would be given tasks now but for failures of earlier ones."""
    return load.is_usable(now) and now < load.ejected_until


def takes_after_failures(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker that is left out after failures can take a task.

    A job whose tasks all fail may leave out all workers of a pool.
    """
    return (
        is_ejected(load, now)
        and load.fits(task.spec)
        and load.meets_constraints(task.group)
        and quarantine_allows(load, task, now)
        and (not task.spec.same_rack or task.group.permits_rack(load.worker.rack))
        and (not task.job.needs_tickets or bool(task.group.ticket(load.worker.id, now)))
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


def _expected_wait_s(load: WorkerLoad, spec: StepRecord, now: float) -> float:
    """Return the time after which a task is expected to fit if nothing else starts there."""
    free = [
        total - used
        for total, used in zip(
            _capacity(load), (load.cpu_millis, load.memory_mb, load.accelerators), strict=True
        )
    ]
    ending = [task for task in load.tasks if not task.spec.long_running]
    ending.sort(key=lambda task: _remaining_s(task, now))
    wait_s = 0.0
    for task in ending:
        if all(have >= need for have, need in zip(free, _needs(spec), strict=True)):
            break
        wait_s = _remaining_s(task, now)
        free = [have + got for have, got in zip(free, _needs(task.spec), strict=True)]
    return wait_s


def _remaining_s(task: Task, now: float) -> float:
    """Return the time that a task is expected to go on; none is known for an overdue one."""
    return max(0.0, task.placed_at + task.spec.estimated_ms / 1000 - now)


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

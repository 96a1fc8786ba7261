"""Tasks that bring their workers down: whom a lost worker is blamed on, and when to give up.

A worker that ends without a word takes a dozen tasks along, and one of them may be the cause. Only
the tasks that had just begun there are suspected. They start again on different workers, and what
loses a second one is tried alone: on a worker without other new tasks, which gets none until the
suspect has shown that it runs. So the next loss has one cause, and the neighbours are cleared by
their first good run. Placed together again, they would be lost together again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.jobs._job import RunStability, TaskState, WorkerLoss

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import WorkerId

log = Logger(__name__)

PROVEN_AFTER_S = 0.5
"""Time for which a run is known to have gone on before other new tasks may join it. Programs that
bring their machine down do so while they start."""

SETTLED_AFTER_S = 10.0
"""Time after which a run can't be the cause any more and earlier losses are forgotten; longer than
short tasks last, so that one that brings its worker down half way is found too."""

QUARANTINE_POLL_TIMEOUT_S = 0.25
"""Longest wait in one look at a worker that is kept for a trial; half of `PROVEN_AFTER_S`."""

QUARANTINE_MIN_LOSSES = 2
"""Workers lost under a task from which on it is tried alone. After the first one many are suspected
and mostly none is the cause, so that trials would only keep workers idle."""

MAX_QUARANTINE_WAIT_S = 1.5
"""Longest wait of a suspect for a worker to itself; then it starts like any other, spread out, so
that many suspects in a small pool don't queue while most of the room is free. It
doubles with each further loss, so that those that are suspected least leave the queue first; the
last start before a job is given up is always a trial."""

MAX_QUARANTINE_RATIO = 0.5
"""Share of a pool's open workers that may be kept for trials; the rest serves the others."""

SOLE_CAUSE_LIMIT = 2
"""Instances that a task may bring down while only it can be the cause; one may be chance."""

LOSS_LIMIT = 5
"""Workers in a row that may be lost under a task, whatever else had just begun there. Callers are
promised that three workers lost are followed by two starts at most."""

COMMON_CAUSE_WINDOW_S = 1.0
"""Time within which workers of one rack that fall silent have a cause in common; two looks."""


def needs_quarantine(task: Task, now: float) -> bool:
    """Whether a waiting task needs a worker to itself until it has shown that it runs.

    Members of a gang start at once on many workers; those are not kept for them.
    """
    if len(task.losses) < QUARANTINE_MIN_LOSSES or task.spec.gang:
        return False
    if task.quarantine_requested_at is None or len(task.losses) == LOSS_LIMIT - 1:
        return True
    patience_s = MAX_QUARANTINE_WAIT_S * 2 ** (len(task.losses) - QUARANTINE_MIN_LOSSES)
    return now - task.quarantine_requested_at < patience_s


def is_quarantined(task: Task) -> bool:
    """Whether a task runs on a worker to itself and has not shown yet that it can."""
    return task.quarantined and task.stability is RunStability.NEW


def count_unproven_suspects(load: WorkerLoad) -> int:
    """Count the tasks of a worker that may have brought down another one and have just begun."""
    return sum(1 for task in load.suspected_tasks if task.stability is RunStability.NEW)


def quarantine_allows(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker may get a task as far as trials go."""
    if needs_quarantine(task, now):
        return load.reserved and not has_unproven_tasks(load)
    return not load.reserved and not _has_quarantined_task(load)


def _has_quarantined_task(load: WorkerLoad) -> bool:
    return any(is_quarantined(task) for task in load.suspected_tasks)


def has_unproven_tasks(load: WorkerLoad) -> bool:
    """Whether a task on a worker has not shown yet that it does not bring its worker down."""
    return any(task.stability is RunStability.NEW for task in load.tasks)


def reserve_quarantine_workers(
    groups: Iterable[StepGroup], loads: Sequence[WorkerLoad], now: float
) -> None:
    """Keep workers for the suspects that wait, the quietest first, up to a share of the pool."""
    for load in loads:
        load.reserved = False
    waiting = [task for group in groups for task in group.waiting() if needs_quarantine(task, now)]
    if not waiting:
        return
    for task in waiting:
        task.quarantine_requested_at = (
            now if task.quarantine_requested_at is None else task.quarantine_requested_at
        )
    open_loads = [load for load in loads if load.accepts_tasks(now)]
    free = max(1, int(MAX_QUARANTINE_RATIO * len(open_loads)))
    free -= sum(1 for load in open_loads if _has_quarantined_task(load))
    for task in waiting:
        if free <= 0:
            return
        able = [load for load in open_loads if _can_quarantine(load, task, now)]
        if able:
            min(able, key=lambda load: _quarantine_order(load, task)).reserved = True
            free -= 1


def _can_quarantine(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker may be kept for a task until its new tasks have shown that they run."""
    group = task.group
    if load.reserved or _has_quarantined_task(load) or not load.can_take(group, now):
        return False
    if task.spec.same_rack and group.rack is not None and load.worker.rack != group.rack:
        return False
    return not group.job.advised or bool(group.ticket(load.worker.id, now))


def _quarantine_order(load: WorkerLoad, task: Task) -> tuple[bool, int, float, str]:
    """Order workers: another instance than before, few new tasks to wait for, little to lose."""
    before = any(loss.instance == load.instance for loss in task.losses)
    new = sum(1 for other in load.tasks if other.stability is RunStability.NEW)
    return (before, new, load.utilization(), load.worker.id)


def note_running(load: WorkerLoad, task: Task, ran_s: float) -> None:
    """Take in that a task's present run is known to have gone on for some time, in seconds."""
    if task.stability is RunStability.NEW and ran_s >= PROVEN_AFTER_S:
        task.stability = RunStability.PROVEN
    if ran_s >= SETTLED_AFTER_S:
        task.stability = RunStability.STABLE
        task.losses.clear()
        load.suspected_tasks.discard(task)


def attribute_crash(load: WorkerLoad, pending: Collection[Task], *, single: bool) -> list[Task]:
    """Note the loss of a worker with the tasks that may have caused it; return these.

    Starts that are `pending` have no answer yet, which may tell that they did not arrive.
    `single` tells that the worker is known to have ended, and no others with it without cause.
    """
    ordered = [task for task in load.tasks if _was_ordered(task, load) and task not in pending]
    new = [task for task in ordered if task.stability is RunStability.NEW]
    if not new and load.leaving:
        return []
    blamed = new or [task for task in ordered if task.stability is RunStability.PROVEN]
    alone = len(new) == 1 and single and not load.leaving
    for task in blamed:
        task.losses.append(WorkerLoss(load.worker.id, load.instance, alone))
    return blamed


def _was_ordered(task: Task, load: WorkerLoad) -> bool:
    started = task.state in (TaskState.STARTING, TaskState.RUNNING)
    return started and task.is_current_run(load.worker.id, task.run)


def withdraw_loss(tasks: Iterable[Task], worker: WorkerId) -> list[Task]:
    """Take back the loss of a worker with some tasks; return those that are changed."""
    found = [task for task in tasks if any(loss.worker == worker for loss in task.losses)]
    for task in found:
        task.losses = [loss for loss in task.losses if loss.worker != worker]
    return found


def exceeds_loss_limit(task: Task) -> bool:
    """Whether a task has brought down so many workers that its job is given up."""
    alone = {loss.instance for loss in task.losses if loss.sole_suspect}
    return len(alone) >= SOLE_CAUSE_LIMIT or len(task.losses) >= LOSS_LIMIT

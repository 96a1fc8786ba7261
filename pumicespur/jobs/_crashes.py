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

from pumicespur.jobs._job import Loss, Standing, TaskState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.jobs._load import WorkerLoad
    from pumicespur.model import WorkerId

log = Logger(__name__)

PROVEN_S = 0.5
"""Time for which a run is known to have gone on before other new tasks may join it. Programs that
bring their machine down do so while they start."""

SETTLED_S = 10.0
"""Time after which a run can't be the cause any more and earlier losses are forgotten; longer than
short tasks last, so that one that brings its worker down half way is found too."""

TRIAL_LOOK_S = 0.25
"""Longest wait in one look at a worker that is kept for a trial; half of `PROVEN_S`."""

TRIAL_AFTER = 2
"""Workers lost under a task from which on it is tried alone. After the first one many are suspected
and mostly none is the cause, so that trials would only keep workers idle."""

TRIAL_WAIT_S = 1.5
"""Longest wait of a suspect for a worker to itself; then it starts like any other, spread out, so
that many suspects in a small pool don't queue while most of the room is free. It
doubles with each further loss, so that those that are suspected least leave the queue first; the
last start before a job is given up is always a trial."""

TRIAL_SHARE = 0.5
"""Share of a pool's open workers that may be kept for trials; the rest serves the others."""

ALONE_LIMIT = 2
"""Instances that a task may bring down while only it can be the cause; one may be chance."""

LOSS_LIMIT = 5
"""Workers in a row that may be lost under a task, whatever else had just begun there. Callers are
promised that three workers lost are followed by two starts at most."""

TOGETHER_S = 1.0
"""Time within which workers of one rack that fall silent have a cause in common; two looks."""


def is_tried_alone(task: Task, now: float) -> bool:
    """Whether a waiting task needs a worker to itself until it has shown that it runs.

    Members of a gang start at once on many workers; those are not kept for them.
    """
    if len(task.losses) < TRIAL_AFTER or task.spec.gang:
        return False
    if task.trial_asked_at is None or len(task.losses) == LOSS_LIMIT - 1:
        return True
    patience_s = TRIAL_WAIT_S * 2 ** (len(task.losses) - TRIAL_AFTER)
    return now - task.trial_asked_at < patience_s


def is_on_trial(task: Task) -> bool:
    """Whether a task runs on a worker to itself and has not shown yet that it can."""
    return task.on_trial and task.standing is Standing.NEW


def count_suspects(load: WorkerLoad) -> int:
    """Count the tasks of a worker that may have brought down another one and have just begun."""
    return sum(1 for task in load.suspects if task.standing is Standing.NEW)


def admits(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker may get a task as far as trials go."""
    if is_tried_alone(task, now):
        return load.reserved and not has_new(load)
    return not load.reserved and not _has_trial(load)


def _has_trial(load: WorkerLoad) -> bool:
    return any(is_on_trial(task) for task in load.suspects)


def has_new(load: WorkerLoad) -> bool:
    """Whether a task on a worker has not shown yet that it does not bring its worker down."""
    return any(task.standing is Standing.NEW for task in load.tasks)


def reserve_workers(groups: Iterable[StepGroup], loads: Sequence[WorkerLoad], now: float) -> None:
    """Keep workers for the suspects that wait, the quietest first, up to a share of the pool."""
    for load in loads:
        load.reserved = False
    waiting = [task for group in groups for task in group.waiting() if is_tried_alone(task, now)]
    if not waiting:
        return
    for task in waiting:
        task.trial_asked_at = now if task.trial_asked_at is None else task.trial_asked_at
    open_loads = [load for load in loads if load.open(now)]
    free = max(1, int(TRIAL_SHARE * len(open_loads)))
    free -= sum(1 for load in open_loads if _has_trial(load))
    for task in waiting:
        if free <= 0:
            return
        able = [load for load in open_loads if _may_try(load, task, now)]
        if able:
            min(able, key=lambda load: _trial_order(load, task)).reserved = True
            free -= 1


def _may_try(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker may be kept for a task until its new tasks have shown that they run."""
    group = task.group
    if load.reserved or _has_trial(load) or not load.takes(group, now):
        return False
    if task.spec.same_rack and group.rack is not None and load.worker.rack != group.rack:
        return False
    return not group.job.advised or bool(group.ticket(load.worker.id, now))


def _trial_order(load: WorkerLoad, task: Task) -> tuple[bool, int, float, str]:
    """Order workers: another instance than before, few new tasks to wait for, little to lose."""
    before = any(loss.instance == load.instance for loss in task.losses)
    new = sum(1 for other in load.tasks if other.standing is Standing.NEW)
    return (before, new, load.share(), load.worker.id)


def note_running(load: WorkerLoad, task: Task, ran_s: float) -> None:
    """Take in that a task's present run is known to have gone on for some time, in seconds."""
    if task.standing is Standing.NEW and ran_s >= PROVEN_S:
        task.standing = Standing.PROVEN
    if ran_s >= SETTLED_S:
        task.standing = Standing.SETTLED
        task.losses.clear()
        load.suspects.discard(task)


def blame(load: WorkerLoad, pending: Collection[Task], *, single: bool) -> list[Task]:
    """Note the loss of a worker with the tasks that may have caused it; return these.

    Starts that are `pending` have no answer yet, which may tell that they did not arrive.
    `single` tells that the worker is known to have ended, and no others with it without cause.
    """
    ordered = [task for task in load.tasks if _was_ordered(task, load) and task not in pending]
    new = [task for task in ordered if task.standing is Standing.NEW]
    if not new and load.leaving:
        return []
    blamed = new or [task for task in ordered if task.standing is Standing.PROVEN]
    alone = len(new) == 1 and single and not load.leaving
    for task in blamed:
        task.losses.append(Loss(load.worker.id, load.instance, alone))
    return blamed


def _was_ordered(task: Task, load: WorkerLoad) -> bool:
    started = task.state in (TaskState.STARTING, TaskState.RUNNING)
    return started and task.wants(load.worker.id, task.run)


def forgive(tasks: Iterable[Task], worker: WorkerId) -> list[Task]:
    """Take back the loss of a worker with some tasks; return those that are changed."""
    found = [task for task in tasks if any(loss.worker == worker for loss in task.losses)]
    for task in found:
        task.losses = [loss for loss in task.losses if loss.worker != worker]
    return found


def is_hopeless(task: Task) -> bool:
    """Whether a task has brought down so many workers that its job is given up."""
    alone = {loss.instance for loss in task.losses if loss.alone}
    return len(alone) >= ALONE_LIMIT or len(task.losses) >= LOSS_LIMIT

"""Tasks that crash their workers: which tasks a crash is attributed to, and when a job fails.

A worker that crashes loses a dozen tasks, one of which may be the cause. Only the tasks that had
just started there are suspected. They start again on different workers; if they were placed
together again, they would be lost together again. A task that loses a second worker is
quarantined: it starts on a worker without other unproven tasks, which gets no more tasks until the
suspected task has run for a while. So the next crash has a single cause, and the other suspected
tasks are cleared by their first good run.
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
"""Observed run time after which a run is proven and other new tasks may join it. Programs that
crash their machine do so while they start."""

STABLE_AFTER_S = 10.0
"""Observed run time after which a run can't be the cause of a crash and earlier losses are cleared.
Longer than short tasks take, so that a task that crashes its worker half way is found too."""

QUARANTINE_POLL_TIMEOUT_S = 0.25
"""Longest long poll of a worker that is reserved for quarantine; half of `PROVEN_AFTER_S`."""

QUARANTINE_MIN_LOSSES = 2
"""Worker losses after which a task is quarantined. After the first loss many tasks are suspected
and mostly none is the cause, so that quarantine would only keep workers idle."""

MAX_QUARANTINE_WAIT_S = 1.5
"""Longest wait of a suspected task for a reserved worker. After that it is placed like any other,
spread out, so that many suspected tasks don't queue while most of a small pool's capacity is free.
The wait doubles with each further loss, so that tasks with fewer losses leave the queue first. The
last start before a job fails is always quarantined."""

MAX_QUARANTINE_RATIO = 0.5
"""Share of a pool's available workers that may be reserved for quarantine; the rest runs all other
tasks."""

SOLE_CAUSE_LIMIT = 2
"""Crashed instances with a task as the only possible cause at which its job fails. One crash may
be a coincidence."""

LOSS_LIMIT = 5
"""Consecutive worker losses of a task at which its job fails, whatever else had just started there.
Callers are promised at most two starts after three lost workers."""

COMMON_CAUSE_WINDOW_S = 1.0
"""Time within which workers of one rack that stop responding have a common cause; two polls."""


def needs_quarantine(task: Task, now: float) -> bool:
    """Whether a waiting task needs a reserved worker until its run is proven.

    Members of a gang are not quarantined: they start on many workers at once, and those are not
    reserved for them.
    """
    if len(task.losses) < QUARANTINE_MIN_LOSSES or task.spec.gang:
        return False
    if task.quarantine_requested_at is None or len(task.losses) == LOSS_LIMIT - 1:
        return True
    max_wait_s = MAX_QUARANTINE_WAIT_S * 2 ** (len(task.losses) - QUARANTINE_MIN_LOSSES)
    return now - task.quarantine_requested_at < max_wait_s


def is_quarantined(task: Task) -> bool:
    """Whether a task runs quarantined on its worker and is not proven yet."""
    return task.quarantined and task.stability is RunStability.NEW


def count_unproven_suspects(load: WorkerLoad) -> int:
    """Count the suspected tasks of a worker whose runs are not proven yet."""
    return sum(1 for task in load.suspected_tasks if task.stability is RunStability.NEW)


def quarantine_allows(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether the rules of quarantine permit a task on a worker."""
    if needs_quarantine(task, now):
        return load.reserved and not has_unproven_tasks(load)
    return not load.reserved and not has_quarantined_task(load)


def has_quarantined_task(load: WorkerLoad) -> bool:
    """Whether a worker has a quarantined task that is not proven yet."""
    return any(is_quarantined(task) for task in load.suspected_tasks)


def has_unproven_tasks(load: WorkerLoad) -> bool:
    """Whether a worker has tasks whose runs are not proven yet."""
    return any(task.stability is RunStability.NEW for task in load.tasks)


def reserve_quarantine_workers(
    groups: Iterable[StepGroup], loads: Sequence[WorkerLoad], now: float
) -> None:
    """Reserve workers for waiting suspected tasks, up to a share of the pool."""
    for load in loads:
        load.reserved = False
    waiting = [task for group in groups for task in group.waiting() if needs_quarantine(task, now)]
    if not waiting:
        return
    for task in waiting:
        task.quarantine_requested_at = (
            now if task.quarantine_requested_at is None else task.quarantine_requested_at
        )
    available = [load for load in loads if load.can_accept_tasks(now)]
    slots = max(1, int(MAX_QUARANTINE_RATIO * len(available)))
    slots -= sum(1 for load in available if has_quarantined_task(load))
    for task in waiting:
        if slots <= 0:
            return
        eligible = [load for load in available if _can_quarantine(load, task, now)]
        if eligible:
            min(eligible, key=lambda load: _quarantine_order(load, task)).reserved = True
            slots -= 1


def _can_quarantine(load: WorkerLoad, task: Task, now: float) -> bool:
    """Whether a worker may be reserved for a task until its other new tasks are proven."""
    group = task.group
    if load.reserved or has_quarantined_task(load) or not load.can_take(group, now):
        return False
    if task.spec.same_rack and not group.permits_rack(load.worker.rack):
        return False
    return not group.job.needs_tickets or bool(group.ticket(load.worker.id, now))


def _quarantine_order(load: WorkerLoad, task: Task) -> tuple[bool, int, float, str]:
    """Return a sort key: a new instance first, then few unproven tasks to wait for.

    Low utilization comes next: few other runs are lost if the suspected task crashes the worker.
    """
    seen_before = any(loss.instance == load.instance for loss in task.losses)
    unproven = sum(1 for other in load.tasks if other.stability is RunStability.NEW)
    return (seen_before, unproven, load.utilization(), load.worker.id)


def note_run_time(load: WorkerLoad, task: Task, ran_s: float) -> None:
    """Update a task's stability from the observed run time of its present run, in seconds."""
    if task.stability is RunStability.NEW and ran_s >= PROVEN_AFTER_S:
        task.stability = RunStability.PROVEN
    if ran_s >= STABLE_AFTER_S:
        task.stability = RunStability.STABLE
        task.losses.clear()
        load.suspected_tasks.discard(task)


def attribute_crash(
    load: WorkerLoad, pending: Collection[Task], *, may_be_sole_cause: bool
) -> list[Task]:
    """Attribute the loss of a worker to the tasks that may have caused it; return these.

    `pending` starts are left out: their responses may show that they did not arrive.
    `may_be_sole_cause` says that the worker has certainly crashed and that no other worker of its
    rack without newly started tasks stopped responding at the same time. The sole suspect must also
    have run there: a start without a response may have arrived after the crash.
    """
    ordered = [task for task in load.tasks if _was_ordered(task, load) and task not in pending]
    new = [task for task in ordered if task.stability is RunStability.NEW]
    if not new and load.leaving:
        return []
    suspected = new or [task for task in ordered if task.stability is RunStability.PROVEN]
    is_only_new = len(new) == 1 and _is_known_to_have_begun(new[0])
    sole_suspect = is_only_new and may_be_sole_cause and not load.leaving
    for task in suspected:
        task.losses.append(WorkerLoss(load.worker.id, load.instance, sole_suspect))
    return suspected


def _is_known_to_have_begun(task: Task) -> bool:
    """Whether the worker has confirmed to this owner that it began the current run."""
    return task.state is TaskState.RUNNING and not task.inherited


def _was_ordered(task: Task, load: WorkerLoad) -> bool:
    started = task.state in (TaskState.STARTING, TaskState.RUNNING)
    return started and task.is_current_run(load.worker.id, task.run)


def retract_worker_loss(tasks: Iterable[Task], worker: WorkerId) -> list[Task]:
    """Remove the loss of a worker from tasks; return the tasks that carried it."""
    found = [task for task in tasks if any(loss.worker == worker for loss in task.losses)]
    for task in found:
        task.losses = [loss for loss in task.losses if loss.worker != worker]
    return found


def exceeds_loss_limit(task: Task) -> bool:
    """Whether a task has crashed so many workers that its job fails."""
    sole_crashes = {loss.instance for loss in task.losses if loss.sole_suspect}
    return len(sole_crashes) >= SOLE_CAUSE_LIMIT or len(task.losses) >= LOSS_LIMIT

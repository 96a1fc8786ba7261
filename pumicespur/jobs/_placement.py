"""Which worker runs which task: urgent and early work first, near its data, spread out."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.jobs._crash_attribution import (
    count_unproven_suspects,
    needs_quarantine,
    quarantine_allows,
)
from pumicespur.jobs._job import RunStability, TaskState
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import Rack, WorkerId

PRIORITY_DELAY_MS = 20_000.0
"""Lead that one level of priority gives; work that is later than this goes first all the same."""


OVERDUE_DELAY_MS = 10_000.0
"""Lead that work gets which can still be in time before work that can't; about a peak's length.
Without it, a peak makes every job a little late instead of some of them very late."""


OVER_SHARE_DELAY_MS = 10_000.0
"""Lead that other work gets before what an account sends beyond its weight, as before late work:
a peak's length. After that it goes first all the same, so that it is served."""


REMAINING_TIME_RATIO = 1.0
"""Share of the expected rest of a job that must fit before its time; declared and learnt times
are rough. A peak that outgrows its pool serves the most pressing work first, all of it when its
time is just about over. With half of the rest, more of it ended late:
worth 0.377 to 0.380, 0.410 to 0.434 and 0.244 to 0.276 on three overloaded plays."""


def order_groups(jobs: Iterable[Job], now_ms: float) -> list[StepGroup]:
    """Return the groups whose turn has come, the most pressing first."""
    groups = [group for job in jobs if not job.ended for group in job.ready_groups(now_ms)]
    groups = [group for group in groups if group.waiting()]
    return sorted(groups, key=lambda group: _priority_key(group, now_ms))


def _priority_key(group: StepGroup, now_ms: float) -> tuple[float, str, int, int]:
    job = group.job
    deadline = job.deadline_ms + job.priority * PRIORITY_DELAY_MS
    if is_overdue(group, now_ms):
        deadline += OVERDUE_DELAY_MS
    if job.exceeds_share:
        deadline += OVER_SHARE_DELAY_MS
    return (deadline, job.id, group.repeat, group.number)


def is_overdue(group: StepGroup, now_ms: float) -> bool:
    """Whether a job can't be completed in time any more; long-running tasks have no such time."""
    if group.spec.long_running or group.due_ms:
        return False
    return (
        now_ms + REMAINING_TIME_RATIO * group.job.critical_paths_ms[group.number]
        > group.job.deadline_ms
    )


class Candidates:
    """The workers of one round that may be given tasks, fewer and fewer as they fill up.

    Asked one by one for each task, the workers of a large pool would take its owner more than a
    second a round.
    """

    def __init__(
        self, loads: Sequence[WorkerLoad], groups: Iterable[StepGroup], now: float
    ) -> None:
        self.loads = loads
        self.now = now
        specs = [group.spec for group in groups]
        self.min_cpu_millis = min((0 if s.fills else s.cpu_millis for s in specs), default=0)
        self.min_memory_mb = min((spec.memory_mb for spec in specs), default=0)
        self.available = [
            load for load in loads if load.accepts_tasks(now) and self._has_free_capacity(load)
        ]

    def _has_free_capacity(self, load: WorkerLoad) -> bool:
        """Whether the smallest of the waiting tasks may fit."""
        room = load.worker.capacity
        return (
            load.cpu_millis + self.min_cpu_millis <= room.cpu_millis
            and load.memory_mb + self.min_memory_mb <= room.memory_mb
        )

    def eligible_for(self, task: Task) -> list[WorkerLoad]:
        """Return the workers that may be given a task."""
        group = task.group
        spec = group.spec
        found = [
            load
            for load in self.available
            if load.fits(spec)
            and load.meets_constraints(group)
            and quarantine_allows(load, task, self.now)
        ]
        if group.job.advised:
            return [load for load in found if group.ticket(load.worker.id, self.now)]
        return found

    def note_assigned(self, load: WorkerLoad) -> None:
        """Leave a worker out once nothing more can fit."""
        if not self._has_free_capacity(load):
            self.available.remove(load)


def place_groups(
    groups: Sequence[StepGroup], loads: Sequence[WorkerLoad], limits: PoolLimits, now: float
) -> list[Task]:
    """Choose workers for the waiting tasks of groups, the most pressing group first."""
    candidates = Candidates(loads, groups, now)
    placed: list[Task] = []
    for group in groups:
        if not candidates.available:
            break
        placed += _place_group(group, candidates, limits)
    return placed


def _place_group(group: StepGroup, candidates: Candidates, limits: PoolLimits) -> list[Task]:
    """Choose workers for a group's waiting tasks; gangs are placed whole or not at all."""
    waiting = group.waiting()
    account = group.job.account
    batch_size = len(group.tasks) if group.spec.gang else 1
    if len(waiting) < batch_size:
        return []
    # Once an earlier group of the account has shown that there is room, nobody looks again.
    blocked = account in limits.blocked_accounts
    if blocked and not limits.allows(account, group.spec, candidates.now, batch_size):
        limits.note_blocked(account, group.spec, len(waiting), batch_size)
        return []
    if group.spec.gang:
        return _place_gang(group, candidates, limits)
    if _is_packed(group) and not any(task.losses for task in waiting):
        return _pack_tasks(group, waiting, candidates, limits)
    placed: list[Task] = []
    for task in waiting:
        load = choose_worker(task, candidates)
        if load is None and needs_quarantine(task, candidates.now):
            continue
        if load is None:
            break
        if not limits.allows(account, group.spec, candidates.now):
            limits.note_blocked(account, group.spec, len(waiting) - len(placed))
            break
        _assign_with_ticket(task, load, candidates.now)
        candidates.note_assigned(load)
        placed.append(task)
    return placed


def _is_packed(group: StepGroup) -> bool:
    spec = group.spec
    return not (spec.fills or spec.long_running or spec.same_rack)


def _pack_tasks(
    group: StepGroup, waiting: Sequence[Task], candidates: Candidates, limits: PoolLimits
) -> list[Task]:
    """Place tasks that all go to the fullest worker: it stays that until it is full."""
    placed: list[Task] = []
    eligible = sorted(
        candidates.eligible_for(waiting[0]), key=lambda load: _packing_key(group, load)
    )
    for load in eligible:
        while (
            len(placed) < len(waiting) and load.fits(group.spec) and load.meets_constraints(group)
        ):
            if not limits.allows(group.job.account, group.spec, candidates.now):
                left = len(waiting) - len(placed)
                limits.note_blocked(group.job.account, group.spec, left)
                return placed
            task = waiting[len(placed)]
            _assign_with_ticket(task, load, candidates.now)
            placed.append(task)
        candidates.note_assigned(load)
        if len(placed) == len(waiting):
            break
    return placed


def _place_gang(group: StepGroup, candidates: Candidates, limits: PoolLimits) -> list[Task]:
    """Choose workers for all members of a gang, or for none."""
    placed: list[Task] = []
    for task in group.tasks:
        load = choose_worker(task, candidates)
        if load is None:
            break
        left = len(group.tasks) - len(placed)
        if not limits.allows(group.job.account, group.spec, candidates.now, left):
            limits.note_blocked(group.job.account, group.spec, left, left)
            break
        _assign_with_ticket(task, load, candidates.now)
        candidates.note_assigned(load)
        placed.append(task)
    if len(placed) < len(group.tasks):
        for task in placed:
            undo_assignment(task, candidates.loads)
        return []
    align_gang_runs(group)
    return placed


def _assign_with_ticket(task: Task, load: WorkerLoad, now: float) -> None:
    assign(task, load)
    task.ticket = task.group.ticket(load.worker.id, now)


def align_gang_runs(group: StepGroup) -> None:
    """Give all members of a gang the same run number and checkpoint."""
    run = max(task.run for task in group.tasks)
    for task in group.tasks:
        task.run = run
        task.checkpoint = group.gang_checkpoint


def assign(task: Task, load: WorkerLoad) -> None:
    """Assign a task to a worker under a new run number."""
    task.state = TaskState.PLACED
    task.run += 1
    task.stability = RunStability.NEW
    task.quarantined = load.reserved
    task.quarantine_requested_at = None
    task.worker = load.worker.id
    task.placed_at = monotonic()
    load.add(task)
    if task.spec.same_rack and task.group.rack is None:
        task.group.rack = load.worker.rack


def undo_assignment(task: Task, loads: Sequence[WorkerLoad]) -> None:
    """Undo an assignment that was neither recorded nor ordered."""
    for load in loads:
        load.remove(task)
    task.run -= 1
    task.mark_waiting()
    if not any(t.worker for t in task.group.tasks):
        task.group.rack = None


def choose_worker(task: Task, candidates: Candidates) -> WorkerLoad | None:
    """Pick the best worker for a waiting task, or None if none has room."""
    group = task.group
    spec = group.spec
    eligible = candidates.eligible_for(task)
    if not eligible:
        return None
    if spec.same_rack:
        return _choose_in_rack(group, eligible)
    if spec.long_running:
        racks = Counter(
            load.worker.rack for load in candidates.loads for t in load.tasks if t.group is group
        )
        return min(
            eligible, key=lambda load: (racks[load.worker.rack], load.utilization(), load.worker.id)
        )
    if task.losses:
        return min(
            eligible,
            key=lambda load: (count_unproven_suspects(load), load.utilization(), load.worker.id),
        )
    if spec.fills:
        # Filling tasks ask for no room of their own and are spread.
        return min(
            eligible,
            key=lambda load: (_is_far_from_data(group, load), load.utilization(), load.worker.id),
        )
    return min(eligible, key=lambda load: _packing_key(group, load))


def _packing_key(group: StepGroup, load: WorkerLoad) -> tuple[bool, float, WorkerId]:
    """Order workers so that whole ones stay idle, which can change pool at once.

    Spread evenly, a peak's last tasks kept every one of its instances for seconds.
    """
    return (_is_far_from_data(group, load), -load.utilization(), load.worker.id)


def _is_far_from_data(group: StepGroup, load: WorkerLoad) -> bool:
    return bool(group.spec.data_rack) and load.worker.rack != group.spec.data_rack


def _choose_in_rack(group: StepGroup, eligible: list[WorkerLoad]) -> WorkerLoad | None:
    """Keep a group in the rack of its first task; the emptiest rack is taken first."""
    if group.rack is not None:
        eligible = [load for load in eligible if load.worker.rack == group.rack]
        return min(eligible, key=lambda load: (load.utilization(), load.worker.id), default=None)
    room: Counter[Rack] = Counter()
    for load in eligible:
        room[load.worker.rack] += load.worker.capacity.cpu_millis - load.cpu_millis
    group.rack = max(sorted(room), key=lambda name: (name == group.spec.data_rack, room[name]))
    return _choose_in_rack(group, eligible)

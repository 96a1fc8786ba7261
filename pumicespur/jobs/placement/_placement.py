"""Placement of waiting tasks on workers: by urgency, preferably near their data."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.jobs._crash_attribution import (
    count_unproven_suspects,
    needs_quarantine,
    quarantine_allows,
)
from pumicespur.jobs._feasibility import (
    LONG_OVERDUE_AFTER_S,
    is_long_overdue,
    is_overdue,
    select_going_first,
)
from pumicespur.jobs._job import RunStability, TaskState
from pumicespur.jobs.placement._gang_reservation import GangReservations, can_start_later
from pumicespur.jobs.placement._held_workers import (
    choose_worker_to_hold,
    has_lost_runs,
    must_run_again,
    takes_after_failures,
)
from pumicespur.jobs.placement._same_rack import choose_in_rack
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.jobs.placement._gang_reservation import Reservation
    from pumicespur.model import WorkerId

PRIORITY_DELAY_MS = 20_000.0
"""Added to a job's deadline per priority level when groups are ordered; higher levels are less
urgent. A job one level up still goes first if its deadline is earlier by more than this."""

OVERDUE_DELAY_MS = LONG_OVERDUE_AFTER_S * 1000
"""Added to the deadline of work that can no longer finish in time."""

OVER_SHARE_DELAY_MS = PRIORITY_DELAY_MS
"""Added to the deadline of jobs beyond their account's fair share. With less than the delay of one
priority level, the urgent jobs of a hot account go before less urgent jobs of others. The delay is
bounded so that such jobs are served too."""


def order_groups(
    jobs: Iterable[Job], now_ms: float, loads: Sequence[WorkerLoad] | None = None
) -> list[StepGroup]:
    """Return the groups that are ready to start tasks, the most urgent first.

    If the workers are given, a long overdue group goes first only if it could start on them.
    """
    open_jobs = [job for job in jobs if not job.ended]
    groups = [group for job in open_jobs for group in job.ready_groups(now_ms)]
    groups = [group for group in groups if group.waiting()]
    long_overdue = [
        group
        for group in groups
        if is_long_overdue(group, now_ms) and (loads is None or can_start_later(group, loads))
    ]
    going_first = select_going_first(long_overdue, open_jobs, now_ms) if long_overdue else set()
    return sorted(groups, key=lambda group: _priority_key(group, now_ms, group in going_first))


def _priority_key(
    group: StepGroup, now_ms: float, goes_first: bool
) -> tuple[bool, float, str, int, int]:
    """Return a sort key: groups that go first by their deadline alone, then all others."""
    job = group.job
    deadline = job.deadline_ms
    if not goes_first:
        deadline += job.priority * PRIORITY_DELAY_MS
        if is_overdue(group, now_ms):
            deadline += OVERDUE_DELAY_MS
        if job.exceeds_share:
            deadline += OVER_SHARE_DELAY_MS
    return (not goes_first, deadline, job.id, group.repeat, group.step)


class Candidates:
    """The workers that may be given tasks in one placement round.

    Full workers are removed during the round: checking every worker for every task would take the
    owner of a large pool more than a second per round.
    """

    def __init__(
        self,
        loads: Sequence[WorkerLoad],
        groups: Iterable[StepGroup],
        now: float,
        spread_halls: bool = False,
    ) -> None:
        self.loads = loads
        self.now = now
        self.spread_halls = spread_halls
        """Whether long-running tasks are spread over data halls before racks."""
        specs = [group.spec for group in groups]
        self.min_cpu_millis = min((0 if s.fills else s.cpu_millis for s in specs), default=0)
        self.min_memory_mb = min((spec.memory_mb for spec in specs), default=0)
        self.held: list[WorkerLoad] = []
        """Workers whose free capacity is held for tasks that do not fit yet."""
        self.reservation: Reservation | None = None
        """Workers reserved for a gang in this round."""
        self.available = self._find_available()

    def _find_available(self) -> list[WorkerLoad]:
        return [
            load
            for load in self.loads
            if load.can_accept_tasks(self.now)
            and self._has_free_capacity(load)
            and load not in self.held
        ]

    def _has_free_capacity(self, load: WorkerLoad) -> bool:
        """Whether a task with the smallest waiting request for each resource would fit."""
        capacity = load.worker.capacity
        return (
            load.cpu_millis + self.min_cpu_millis <= capacity.cpu_millis
            and load.memory_mb + self.min_memory_mb <= capacity.memory_mb
        )

    def eligible_for(self, task: Task) -> list[WorkerLoad]:
        """Return the workers that can be given a task."""
        group = task.group
        spec = group.spec
        eligible = [
            load
            for load in self.available
            if load.fits(spec)
            and (self.reservation is None or self.reservation.permits(load, group, self.now))
            and load.may_start_another(self.now)
            and load.meets_constraints(group)
            and quarantine_allows(load, task, self.now)
        ]
        if group.job.needs_tickets:
            return [load for load in eligible if group.ticket(load.worker.id, self.now)]
        return eligible

    def restore(self) -> None:
        """Make the workers available again that a gang would have filled."""
        self.available = self._find_available()

    def hold_for(self, task: Task) -> bool:
        """Hold a worker for a task that does not fit yet; return whether there is one."""
        others = [load for load in self.loads if load not in self.held]
        load = choose_worker_to_hold(task, others, self.now)
        if load is None:
            return False
        self.held.append(load)
        if load in self.available:
            self.available.remove(load)
        return True

    def note_assigned(self, load: WorkerLoad) -> None:
        """Remove a worker once nothing more fits on it."""
        if load in self.available and not self._has_free_capacity(load):
            self.available.remove(load)


def place_groups(
    groups: Sequence[StepGroup],
    loads: Sequence[WorkerLoad],
    limits: PoolLimits,
    now: float,
    spread_halls: bool = False,
    reservations: GangReservations | None = None,
) -> list[Task]:
    """Choose workers for the waiting tasks of groups, in the given order.

    Long-running tasks that lost their runs come before all others. Gangs that don't fit in their
    turn are considered for a reservation in the next round.
    """
    reservations = reservations or GangReservations()
    candidates = Candidates(loads, groups, now, spread_halls)
    placed: list[Task] = []
    for group in groups:
        if has_lost_runs(group):
            placed += _place_lost_tasks(group, candidates, limits, reservations)
    candidates.reservation = reservations.begin_round(groups, loads, now)
    # Gangs wait for their turns behind steps that wait for room.
    is_blocked = not any(group.spec.gang for group in groups)
    for group in groups:
        if candidates.available:
            placed += _place_group(group, candidates, limits)
        elif is_blocked:
            break
        if is_blocked or not _waits_for_room(group, candidates, limits):
            continue
        if group.spec.gang:
            reservations.refused.append(group)
        else:
            is_blocked = True
    return placed


def _waits_for_room(group: StepGroup, candidates: Candidates, limits: PoolLimits) -> bool:
    """Whether tasks of a step wait for free capacity alone, and some end of tasks gives it."""
    waiting = len(group.waiting())
    if not waiting or not can_start_later(group, candidates.loads):
        return False
    if group.job.needs_tickets and not group.has_tickets(candidates.now):
        return False
    return limits.fits_together(group.job.account, group.spec, waiting if group.spec.gang else 1)


def _place_lost_tasks(
    group: StepGroup, candidates: Candidates, limits: PoolLimits, reservations: GangReservations
) -> list[Task]:
    """Choose workers for a group's long-running tasks that lost their runs, or hold some for them.

    No more workers are held than the account's limit permits tasks, and not for good: expected ends
    of the tasks there may be wrong.
    """
    account, spec, now = group.job.account, group.spec, candidates.now
    placed: list[Task] = []
    to_hold = limits.count_fitting(account, spec, len(group.tasks))
    for task in group.waiting():
        if not must_run_again(task) or not limits.allows(account, spec, now):
            continue
        load = choose_worker(task, candidates)
        may_hold = load is None and to_hold > 0
        if may_hold and reservations.may_hold_worker(task, candidates.loads, now):
            is_held = candidates.hold_for(task)
            to_hold -= is_held
            if is_held:
                continue
        load = load or _choose_after_failures(task, candidates)
        if load is not None:
            _assign_with_ticket(task, load, now)
            candidates.note_assigned(load)
            reservations.note_started(task)
            placed.append(task)
    return placed


def _place_group(group: StepGroup, candidates: Candidates, limits: PoolLimits) -> list[Task]:
    """Choose workers for a group's waiting tasks; gangs are placed whole or not at all."""
    waiting = group.waiting()
    account = group.job.account
    batch_size = len(group.tasks) if group.spec.gang else 1
    if len(waiting) < batch_size:
        return []
    # Skips the search for workers if an earlier group of the account had free workers but was
    # blocked by the account's limit, and this group is blocked as well.
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


def _choose_after_failures(task: Task, candidates: Candidates) -> WorkerLoad | None:
    """Return the best worker among those that are left out after failures, or None."""
    eligible = [
        load for load in candidates.loads if takes_after_failures(load, task, candidates.now)
    ]
    if not eligible:
        return None
    return _choose_spread_out(task.group, eligible, candidates)


def _is_packed(group: StepGroup) -> bool:
    spec = group.spec
    return not (spec.fills or spec.long_running or spec.same_rack)


def _pack_tasks(
    group: StepGroup, waiting: Sequence[Task], candidates: Candidates, limits: PoolLimits
) -> list[Task]:
    """Place tasks on the fullest worker first; it stays the fullest until nothing more fits."""
    placed: list[Task] = []
    eligible = sorted(
        candidates.eligible_for(waiting[0]),
        key=lambda load: _packing_key(group, load, candidates.now),
    )
    for load in eligible:
        while (
            len(placed) < len(waiting)
            and load.fits(group.spec)
            and load.may_start_another(candidates.now)
            and load.meets_constraints(group)
        ):
            if not limits.allows(group.job.account, group.spec, candidates.now):
                remaining = len(waiting) - len(placed)
                limits.note_blocked(group.job.account, group.spec, remaining)
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
    eligible = candidates.eligible_for(group.tasks[0])
    if sum(load.free_slots(group) for load in eligible) < len(group.tasks):
        return []
    placed: list[Task] = []
    for task in group.tasks:
        load = choose_worker(task, candidates)
        if load is None:
            break
        remaining = len(group.tasks) - len(placed)
        if not limits.allows(group.job.account, group.spec, candidates.now, remaining):
            limits.note_blocked(group.job.account, group.spec, remaining, remaining)
            break
        _assign_with_ticket(task, load, candidates.now)
        candidates.note_assigned(load)
        placed.append(task)
    if len(placed) < len(group.tasks):
        for task in placed:
            undo_assignment(task, candidates.loads)
        candidates.restore()
        return []
    align_gang_runs(group)
    return placed


def _assign_with_ticket(task: Task, load: WorkerLoad, now: float) -> None:
    assign(task, load)
    task.placed_at = now
    task.ticket = task.group.ticket(load.worker.id, now)


def align_gang_runs(group: StepGroup) -> None:
    """Set the same run number and checkpoint for all members of a gang."""
    run = max(task.run for task in group.tasks)
    for task in group.tasks:
        task.run = run
        task.checkpoint = group.gang_checkpoint


def assign(task: Task, load: WorkerLoad) -> None:
    """Assign a task to a worker under a new run number."""
    task.state = TaskState.PLACED
    task.run += 1
    task.stability = RunStability.NEW
    task.inherited = False
    task.quarantined = load.reserved
    task.quarantine_requested_at = None
    task.worker = load.worker.id
    task.placed_at = monotonic()
    load.add(task)
    if task.spec.same_rack and task.group.rack is None:
        task.group.rack = load.worker.rack


def undo_assignment(task: Task, loads: Sequence[WorkerLoad]) -> None:
    """Undo an assignment that was neither recorded nor sent to the worker."""
    for load in loads:
        load.remove(task)
    task.run -= 1
    task.mark_waiting()
    if not any(t.worker for t in task.group.tasks):
        task.group.rack = None


def choose_worker(task: Task, candidates: Candidates) -> WorkerLoad | None:
    """Return the best worker for a waiting task, or None if none is eligible."""
    group = task.group
    spec = group.spec
    eligible = candidates.eligible_for(task)
    if not eligible:
        return None
    if spec.same_rack:
        return choose_in_rack(group, eligible, candidates.now)
    if spec.long_running:
        return _choose_spread_out(group, eligible, candidates)
    if task.losses:
        return min(
            eligible,
            key=lambda load: (
                load.is_cold(candidates.now),
                count_unproven_suspects(load),
                load.utilization(),
                load.worker.id,
            ),
        )
    if spec.fills:
        # Best-effort tasks reserve no processor time, so packing would put them all on one worker;
        # they are spread out.
        return min(
            eligible,
            key=lambda load: (_is_far_from_data(group, load), load.utilization(), load.worker.id),
        )
    return min(eligible, key=lambda load: _packing_key(group, load, candidates.now))


def _choose_spread_out(
    group: StepGroup, eligible: list[WorkerLoad], candidates: Candidates
) -> WorkerLoad:
    """Return the worker whose data hall and rack run the fewest tasks of the group."""
    used = [load.worker for load in candidates.loads for t in load.tasks if t.group is group]
    racks = Counter(worker.rack for worker in used)
    halls = Counter(worker.data_hall for worker in used if candidates.spread_halls)
    return min(
        eligible,
        key=lambda load: (
            halls[load.worker.data_hall],
            racks[load.worker.rack],
            load.utilization(),
            load.worker.id,
        ),
    )


def _packing_key(
    group: StepGroup, load: WorkerLoad, now: float
) -> tuple[bool, bool, float, WorkerId]:
    """Return a sort key: warm workers near the group's data first, then by utilization.

    The highest utilization comes first. Other workers thus stay idle, and idle instances can move
    to another pool at once. If tasks were spread evenly, the last ones of a load peak would keep
    all instances in the pool.
    """
    return (
        load.is_cold(now),
        _is_far_from_data(group, load),
        -load.utilization(),
        load.worker.id,
    )


def _is_far_from_data(group: StepGroup, load: WorkerLoad) -> bool:
    return bool(group.spec.data_rack) and load.worker.rack != group.spec.data_rack

"""Why a long-running task has no run, as far as the owner of its pool knows."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

from pumicespur.jobs._crash_attribution import quarantine_allows
from pumicespur.jobs._job import TaskState
from pumicespur.jobs.reports._descriptions import waits_for_hall

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._journal import Journal, Ownership
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.jobs.sessions import EarlierLeases, Restarts, WorkerSession
    from pumicespur.model import WorkerId

COMMIT_OVERDUE_S = 2.0
"""Time without a confirmed commit after which tasks wait for the store; an owner commits every
second."""


class MissingRunReason(Enum):
    """Why a long-running task has no run that is known to go on."""

    TAKEOVER = "its pool is being taken over"
    RELEASE = "its pool is being released"
    COMMIT = "the store confirms no commit"
    START_UNRECORDED = "its start is not recorded yet"
    START_UNCONFIRMED = "its worker has not confirmed the start"
    NOT_POLLED = "its worker has not answered this owner yet"
    UNREACHABLE = "its worker is unreachable"
    RESTARTED = "its worker has restarted and not answered since"
    EARLIER_LEASES = "its worker is not listed, and leases of earlier owners may last"
    NOT_LISTED = "its worker is not listed"
    STARTS_SUSPENDED = "starts are suspended"
    NO_WORKERS = "its pool has no workers"
    GANG = "runs of its gang have not ended"
    DATA_HALL = "it waits for another data hall"
    NO_OPEN_WORKER = "no worker takes new tasks"
    LABEL = "no worker that takes tasks has its label"
    RACK = "no worker of its rack takes tasks"
    TOO_LARGE = "it is larger than any worker"
    WORKER_LIMIT = "its step's limit per worker is reached"
    ROOM = "no worker has room"
    COLD_WORKERS = "workers with room have just started"
    QUARANTINE = "quarantine leaves no worker"
    TICKET = "it has no ticket"
    ACCOUNT_LIMIT = "its account's limit is reached"
    TURN = "other work is placed first"


class ReportedOwner(Protocol):
    """The owner of a pool, as reports on its long-running tasks see it."""

    pool: PoolState
    ownership: Ownership
    journal: Journal
    sessions: dict[WorkerId, WorkerSession]
    restarts: Restarts
    earlier_leases: EarlierLeases
    start_block_reason: str
    ready: bool
    stopping: bool


@dataclass(frozen=True)
class MissingRunCause:
    """Why a task has no run, and until when a lease may keep it from a start elsewhere.

    `leased_until` is in monotonic seconds, and None if no lease is waited for.
    """

    reason: MissingRunReason
    leased_until: float | None = None


def find_cause(owner: ReportedOwner, task: Task, now: float) -> MissingRunCause:
    """Return why a task without a run has none."""
    if not owner.ready:
        return MissingRunCause(MissingRunReason.TAKEOVER)
    if task.worker is None:
        return MissingRunCause(_find_start_block(owner, task, now))
    session = owner.sessions.get(task.worker)
    if session is None:
        return _find_cause_without_session(owner, task.worker, now)
    if task.state is TaskState.PLACED:
        overdue = _is_commit_overdue(owner, now)
        reason = MissingRunReason.COMMIT if overdue else MissingRunReason.START_UNRECORDED
        return MissingRunCause(reason)
    return _find_cause_with_session(owner, session, now)


def _find_cause_without_session(
    owner: ReportedOwner, worker: WorkerId, now: float
) -> MissingRunCause:
    ended_at = owner.restarts.ended.get(worker)
    if ended_at is not None:
        leased_until = ended_at + owner.restarts.max_lease_s()
        return MissingRunCause(MissingRunReason.RESTARTED, leased_until)
    earlier_until = owner.earlier_leases.until
    if earlier_until > now:
        return MissingRunCause(MissingRunReason.EARLIER_LEASES, earlier_until)
    return MissingRunCause(MissingRunReason.NOT_LISTED)


def _find_cause_with_session(
    owner: ReportedOwner, session: WorkerSession, now: float
) -> MissingRunCause:
    if session.load.reachable:
        return MissingRunCause(MissingRunReason.START_UNCONFIRMED)
    leased_until = session.lease.expires_at()
    if session.failures:
        return MissingRunCause(MissingRunReason.UNREACHABLE, leased_until)
    if _is_commit_overdue(owner, now):
        return MissingRunCause(MissingRunReason.COMMIT, leased_until)
    return MissingRunCause(MissingRunReason.NOT_POLLED, leased_until)


def _is_commit_overdue(owner: ReportedOwner, now: float) -> bool:
    return now - owner.journal.confirmed_at > COMMIT_OVERDUE_S


def _find_start_block(owner: ReportedOwner, task: Task, now: float) -> MissingRunReason:
    """Return why a waiting task is not placed."""
    if owner.stopping:
        return MissingRunReason.RELEASE
    if _is_commit_overdue(owner, now):
        return MissingRunReason.COMMIT
    if owner.start_block_reason:
        return MissingRunReason.STARTS_SUSPENDED
    return find_placement_block(owner.pool, task, now)


def find_placement_block(pool: PoolState, task: Task, now: float) -> MissingRunReason:
    """Return why no worker of a pool is given a waiting task: the first test that all fail."""
    group = task.group
    loads = list(pool.loads.values())
    if not loads:
        return MissingRunReason.NO_WORKERS
    if group.spec.gang and len(group.waiting()) < len(group.tasks):
        return MissingRunReason.GANG
    evacuated = [load for load in loads if load.hall_evacuated]
    if evacuated and waits_for_hall(group, pool, evacuated, now):
        return MissingRunReason.DATA_HALL
    for reason, admits in _placement_tests(pool, task, now):
        loads = [load for load in loads if admits(load)]
        if not loads:
            return reason
    if group.job.account in pool.limits.blocked_accounts:
        return MissingRunReason.ACCOUNT_LIMIT
    return MissingRunReason.ROOM if group.spec.gang else MissingRunReason.TURN


def _placement_tests(
    pool: PoolState, task: Task, now: float
) -> Iterator[tuple[MissingRunReason, Callable[[WorkerLoad], bool]]]:
    """Yield the tests that a worker has to pass to be given a task, each with its reason."""
    group = task.group
    spec = group.spec
    yield MissingRunReason.NO_OPEN_WORKER, lambda load: load.can_accept_tasks(now)
    yield MissingRunReason.LABEL, lambda load: load.has_label(spec)
    if not pool.fits_anywhere(spec):
        yield MissingRunReason.TOO_LARGE, lambda load: False
    if spec.same_rack:
        yield MissingRunReason.RACK, lambda load: group.permits_rack(load.worker.rack)
    yield MissingRunReason.WORKER_LIMIT, lambda load: load.meets_constraints(group)
    yield MissingRunReason.ROOM, lambda load: load.fits(spec)
    yield MissingRunReason.COLD_WORKERS, lambda load: load.may_start_another(now)
    yield MissingRunReason.QUARANTINE, lambda load: quarantine_allows(load, task, now)
    if group.job.needs_tickets:
        yield MissingRunReason.TICKET, lambda load: bool(group.ticket(load.worker.id, now))

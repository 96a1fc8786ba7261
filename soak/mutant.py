"""The role `node` with one safeguard removed, to prove that the soak detects its absence.

Run as `python -m soak.mutant NAME`; settings come from the environment, as for the real role.
"""

from __future__ import annotations

import math
import sys
from dataclasses import replace
from enum import Enum
from typing import Any

from expression import Ok

from pumicespur.commands import node
from pumicespur.jobs import (
    _availability,
    _journal,
    _known_state,
    _limits,
    _owner,
    _pool,
    _worker_load,
)
from pumicespur.jobs.placement import _gang_reservation, _placement, _same_rack
from pumicespur.jobs.progress import _recorder
from pumicespur.jobs.sessions import _lease, _session, _starts
from pumicespur.jobs.submissions import _attempt, _service, terms_of
from pumicespur.maintenance import _ended_workers
from pumicespur.model import ANONYMOUS_ACCOUNT
from pumicespur.node import (
    _evacuations,
    _ownership_controller,
    _process_tracker,
    _table_follower,
)
from pumicespur.platform import _callers, _declarations, _http, _orders, _table
from pumicespur.store import Transaction, _clock
from pumicespur.utils import monotonic


class Mutant(Enum):
    """Safeguard to remove; the value names it on the command line."""

    COMMITS_WITHOUT_CONDITIONS = "commits-without-conditions"
    """Transactions carry no conditions on row versions."""
    ENDS_CONFIRMED_UNRECORDED = "ends-confirmed-unrecorded"
    """Ends of runs are acknowledged before they are recorded."""
    LEASES_NOT_WAITED_OUT = "leases-not-waited-out"
    """Leases count as expired at once."""
    LOST_ANSWERS_COUNT_AS_ACCEPTED = "lost-answers-count-as-accepted"
    """A submission with an unknown outcome is reported as accepted."""
    ACCEPTED_UNRECORDED = "accepted-unrecorded"
    """A submission is reported as accepted whether or not the store confirms its row."""
    LOST_ANSWERS_COUNT_AS_REFUSED = "lost-answers-count-as-refused"
    """A submission that may be recorded is reported as certainly not recorded."""
    UNANSWERED_STARTS_FORGOTTEN = "unanswered-starts-forgotten"
    """A task whose start got no response is requeued without revoking the run."""
    BUDGETS_IGNORED = "budgets-ignored"
    """No other task of a step counts as unavailable, so that budgets never prevent a stop."""
    READINGS_BROKEN_OFF = "readings-broken-off"
    """Whenever pending reads are renewed, all are given up, also those that receive data."""
    CHANGES_REPLAYED = "changes-replayed"
    """A follower does not scan its table when the changes that it receives are outdated."""
    LOSSES_FORGOTTEN = "losses-forgotten"
    """A task that crashes workers is started without limit."""
    ROOM_NOT_READ_AGAIN = "room-not-read-again"
    """A change of a worker's capacity is ignored."""
    KEYS_CHECKED_AT_HAND_IN = "keys-checked-at-hand-in"
    """API keys are checked only when a job is submitted."""
    KEYS_LOGGED = "keys-logged"
    """API keys are written to the log."""
    LIMITS_IGNORED = "limits-ignored"
    """Limits of client accounts are not applied."""
    BIRTHS_IGNORED = "births-ignored"
    """Start times of workers are ignored, so that incarnations look alike."""
    OPEN_STARTS_FORGOTTEN = "open-starts-forgotten"
    """Tasks with unconfirmed starts are requeued when their worker is dropped."""
    AGES_IGNORED = "ages-ignored"
    """Starts are ordered however stale the known state is."""
    LEAVING_NOT_ASKED_AGAIN = "leaving-not-asked-again"
    """Nothing is checked again between the record of a placement and its start order."""
    IDS_GUARDED_BY_POOL = "ids-guarded-by-pool"
    """An id is taken in one pool only."""
    TERMS_OF_THE_OWNER = "terms-of-the-owner"
    """A job gets the terms that its owner's configuration has when it takes the job in."""
    HELD_UP_REQUESTS_ARRIVE = "held-up-requests-arrive"
    """Connections are closed without a reset, so what a network holds up arrives later."""
    CANCELLING_UNRECORDED = "cancelling-unrecorded"
    """The cancelling of an unknown job is answered without a record of it."""
    OWNERS_FORGOTTEN = "owners-forgotten"
    """A scan of the owners' table empties the view, in which a takeover looks its owner up."""
    LATE_WORK_STARVES = "late-work-starves"
    """Late work never goes first. The soak does not judge latency, so `tests/test_feasibility.py`
    detects it."""
    EVACUATION_AGES_IGNORED = "evacuation-ages-ignored"
    """Starts are ordered however old the known evacuations of data halls are."""
    EVACUATED_HALLS_IGNORED = "evacuated-halls-ignored"
    """Workers in evacuated data halls get tasks as any others do, at placement and at the order."""
    HALLS_EVACUATED_FOR_GOOD = "halls-evacuated-for-good"
    """A data hall stays evacuated when its row is gone."""
    EVACUATIONS_FORGOTTEN = "evacuations-forgotten"
    """A reading leaves out the evacuations that an earlier one has shown."""
    ENDED_WORKERS_IGNORED = "ended-workers-ignored"
    """Owners ignore which workers have ended according to the fleet leader."""
    UNREACHABLE_COUNT_AS_ENDED = "unreachable-count-as-ended"
    """The fleet leader names each worker that owners can't reach, whether or not it is listed."""
    LISTS_AGELESS = "lists-ageless"
    """Owners take the fleet leader's word on ended workers for new, however old its lists are."""
    ROWS_UNBOUNDED = "rows-unbounded"
    """Each job's progress is one row, and a refused commit is sent again for good."""
    GANGS_HOLD_FOR_GOOD = "gangs-hold-for-good"
    """A gang that waits holds all workers, for as long as it waits."""
    RACKS_KEPT = "racks-kept"
    """A step leaves its rack only if that could not hold it with nothing else on its workers."""


TRANSACTION = _journal.Journal._transaction
APPLY_STATUS = _session.WorkerSession._apply_status
ADD_WORKER = _pool.PoolState.add_worker
ADD_JOB = _pool.PoolState.add_job
INIT_ATTEMPT = _attempt.SubmissionAttempt.__init__
FIRST_CAPACITIES: dict[Any, Any] = {}
SUBMIT = _service.JobService.submit
DROP_WORKER = _pool.PoolState.drop_worker
STALENESS_REASON = _known_state.KnownState.staleness_reason
VALID_FOR_S = _known_state.KnownState.valid_for_s
DECODE_EVACUATIONS = _evacuations.EvacuationFollower._decode
AUTHENTICATE = _callers.CallerServer._authenticate


def _commit_without_conditions(self: _journal.Journal, writes: list[Any]) -> Any:
    transaction, record = TRANSACTION(self, writes)
    return Transaction([], transaction.writes), record


async def _confirm_unrecorded(self: _session.WorkerSession, *arguments: Any) -> None:
    await APPLY_STATUS(self, *arguments)
    self.recorded = self.acknowledged = self.seen


async def _report_unknown_as_accepted(self: _service.JobService, *arguments: Any) -> Any:
    outcome = await SUBMIT(self, *arguments)
    unknown = outcome is _service.SubmissionOutcome.UNKNOWN
    return _service.SubmissionOutcome.ACCEPTED if unknown else outcome


async def _accept_unrecorded(self: _attempt.SubmissionAttempt) -> Any:
    await self._write()
    return _service.SubmissionOutcome.ACCEPTED


async def _report_unknown_as_refused(self: _service.JobService, *arguments: Any) -> Any:
    outcome = await SUBMIT(self, *arguments)
    unknown = outcome is _service.SubmissionOutcome.UNKNOWN
    return _service.SubmissionOutcome.NOT_ACCEPTED if unknown else outcome


async def _forget_start(self: _starts.WorkerStarts, task: Any, start: Any) -> None:
    self.unresolved.pop(task, None)
    self.requeue_if_unchanged(task, start.run, "start did not arrive")


def _drop_worker_and_all_starts(self: _pool.PoolState, worker: Any, keep: Any = ()) -> None:
    DROP_WORKER(self, worker)


def _check_key_on_submit_only(self: _callers.CallerServer, request: Any, *arguments: Any) -> Any:
    return (
        AUTHENTICATE(self, request, *arguments) if request.method == "POST" else ANONYMOUS_ACCOUNT
    )


def _log_key(self: _callers.CallerServer, request: Any, *arguments: Any) -> Any:
    _callers.log.info("call", authorization=request.headers.get("Authorization"))
    return AUTHENTICATE(self, request, *arguments)


def _abort_reads(self: _table.PlatformTable) -> None:
    for read in list(self.pending_reads):
        read.give_up()


def _find_other_staleness(self: _known_state.KnownState, *arguments: Any) -> str:
    return STALENESS_REASON(replace(self, evacuations=None), *arguments)


def _other_validity_s(self: _known_state.KnownState, *arguments: Any) -> float:
    return VALID_FOR_S(replace(self, evacuations=None), *arguments)


def _keep_evacuations(self: _evacuations.EvacuationFollower, rows: Any) -> Any:
    return {**self.view.evacuated_halls, **DECODE_EVACUATIONS(self, rows)}


def _decode_new_evacuations(self: _evacuations.EvacuationFollower, rows: Any) -> Any:
    shown_to = self.view.evacuations_progress.version
    return DECODE_EVACUATIONS(self, [row for row in rows if row.version > shown_to])


async def _leave_unrecorded(self: _service.JobService, *arguments: Any) -> Any:
    return Ok(0)


def _guard_id_by_pool(self: _attempt.SubmissionAttempt, *arguments: Any) -> None:
    INIT_ATTEMPT(self, *arguments)
    self.id_key += f"/{self.route.pool}"


def _add_job_on_present_terms(
    self: _pool.PoolState, record: Any, configuration: Any, progress: Any
) -> Any:
    route = configuration.routes.get(record.route)
    record.terms = route and terms_of(route)
    return ADD_JOB(self, record, configuration, progress)


def _name_suspects(self: _ended_workers.EndedWorkerFinder, reports: Any) -> Any:
    if self.as_of is None:
        return []
    return sorted({name for report in reports for name in _ended_workers._find_suspects(report)})


def _keep_whole(self: _recorder.ProgressRecorder, job: Any) -> bool:
    self.max_value_bytes = sys.maxsize
    return False


def _hold_all_workers(
    self: _gang_reservation.GangReservations, groups: Any, loads: Any, now: float
) -> Any:
    gang = next((group for group in groups if group.spec.gang), None)
    workers = frozenset(load.worker.id for load in loads)
    return gang and _gang_reservation.Reservation(gang, workers, now)


def _clear_owners(self: _process_tracker.ProcessTracker, rows: Any, whole: bool) -> None:
    if whole:
        self.view.owners.clear()
    for row in rows:
        self.apply_owner(row)


async def _check_pool_by_the_view(
    self: _ownership_controller.OwnershipController, pool: Any
) -> bool:
    owner = await self._read_owner(pool)
    if owner is not None and await self._owner_to_replace(pool, owner) is not None:
        await self._take_over(pool, self.view.owners[pool])
    return owner is not None


def apply_mutant(mutant: Mutant) -> None:
    """Disable one safeguard of the product in this process."""
    match mutant:
        case Mutant.COMMITS_WITHOUT_CONDITIONS:
            _replace(_journal.Journal, "_transaction", _commit_without_conditions)
        case Mutant.ENDS_CONFIRMED_UNRECORDED:
            _replace(_session.WorkerSession, "_apply_status", _confirm_unrecorded)
        case Mutant.LEASES_NOT_WAITED_OUT:
            _replace(_lease.WorkerLease, "expires_at", lambda self: 0.0)
        case Mutant.LOST_ANSWERS_COUNT_AS_ACCEPTED:
            _replace(_service.JobService, "submit", _report_unknown_as_accepted)
        case Mutant.ACCEPTED_UNRECORDED:
            _replace(_attempt.SubmissionAttempt, "record_job", _accept_unrecorded)
        case Mutant.LOST_ANSWERS_COUNT_AS_REFUSED:
            _replace(_service.JobService, "submit", _report_unknown_as_refused)
        case Mutant.UNANSWERED_STARTS_FORGOTTEN:
            _replace(_starts.WorkerStarts, "_revoke", _forget_start)
        case Mutant.BUDGETS_IGNORED:
            _replace(_availability, "count_unavailable_others", lambda *arguments: 0)
        case Mutant.READINGS_BROKEN_OFF:
            _replace(_table.PlatformTable, "renew_pending_reads", _abort_reads)
        case Mutant.LOSSES_FORGOTTEN:
            _replace(_pool, "exceeds_loss_limit", lambda task: False)
        case Mutant.KEYS_CHECKED_AT_HAND_IN:
            _replace(_callers.CallerServer, "_authenticate", _check_key_on_submit_only)
        case Mutant.KEYS_LOGGED:
            _replace(_callers.CallerServer, "_authenticate", _log_key)
        case Mutant.LIMITS_IGNORED:
            _replace(_limits.PoolLimits, "allows", lambda *arguments: True)
            _replace(_limits.PoolLimits, "fits_allotment", lambda *arguments: True)
        case Mutant.BIRTHS_IGNORED:
            _replace(_declarations, "decode_start_time", lambda start_time: None)
            _replace(_orders, "decode_start_time", lambda start_time: None)
        case Mutant.AGES_IGNORED:
            _replace(_known_state.KnownState, "staleness_reason", lambda *arguments: "")
            _replace(_known_state.KnownState, "valid_for_s", lambda *arguments: math.inf)
        case Mutant.EVACUATION_AGES_IGNORED:
            _replace(_known_state.KnownState, "staleness_reason", _find_other_staleness)
            _replace(_known_state.KnownState, "valid_for_s", _other_validity_s)
        case Mutant.EVACUATED_HALLS_IGNORED:
            never = property(lambda self: False, lambda self, evacuated: None)
            _replace(_worker_load.WorkerLoad, "hall_evacuated", never)
        case Mutant.HALLS_EVACUATED_FOR_GOOD:
            _replace(_evacuations.EvacuationFollower, "_decode", _keep_evacuations)
        case Mutant.EVACUATIONS_FORGOTTEN:
            _replace(_evacuations.EvacuationFollower, "_decode", _decode_new_evacuations)
        case Mutant.ENDED_WORKERS_IGNORED:
            _replace(_owner.PoolOwner, "_apply_ended_workers", lambda self, now: None)
        case Mutant.UNREACHABLE_COUNT_AS_ENDED:
            _replace(_ended_workers.EndedWorkerFinder, "find", _name_suspects)
        case Mutant.LISTS_AGELESS:
            _replace(_clock.StoreClock, "latest_before", lambda self, time_ms: monotonic())
        case Mutant.ROWS_UNBOUNDED:
            _replace(_recorder.ProgressRecorder, "_is_split", _keep_whole)
            _replace(_table, "FINAL_REFUSAL_STATUSES", frozenset())
        case Mutant.GANGS_HOLD_FOR_GOOD:
            _replace(_gang_reservation.GangReservations, "begin_round", _hold_all_workers)
        case Mutant.RACKS_KEPT:
            _replace(_worker_load.WorkerLoad, "_staying", lambda *arguments: [])
            _replace(_same_rack, "_waits_too_long", lambda *arguments: False)
        case Mutant.LEAVING_NOT_ASKED_AGAIN:
            _replace(_starts.WorkerStarts, "_reason_to_withhold", lambda *arguments: "")
        case Mutant.OPEN_STARTS_FORGOTTEN:
            _replace(_pool.PoolState, "drop_worker", _drop_worker_and_all_starts)
        case Mutant.ROOM_NOT_READ_AGAIN:
            _replace(_pool.PoolState, "add_worker", _keep_first_capacity)
        case Mutant.LATE_WORK_STARVES:
            _replace(_placement, "is_long_overdue", lambda *arguments: False)
        case Mutant.IDS_GUARDED_BY_POOL:
            _replace(_attempt.SubmissionAttempt, "__init__", _guard_id_by_pool)
        case Mutant.CANCELLING_UNRECORDED:
            _replace(_service.JobService, "_withdraw", _leave_unrecorded)
        case Mutant.TERMS_OF_THE_OWNER:
            _replace(_pool.PoolState, "add_job", _add_job_on_present_terms)
        case Mutant.OWNERS_FORGOTTEN:
            _replace(_process_tracker.ProcessTracker, "_apply_owners", _clear_owners)
            controller = _ownership_controller.OwnershipController
            _replace(controller, "_check_pool", _check_pool_by_the_view)
        case Mutant.HELD_UP_REQUESTS_ARRIVE:
            _replace(_http, "open_resetting_socket", None)
        case Mutant.CHANGES_REPLAYED:
            _replace(_table_follower.TableFollower, "_should_rescan", lambda *arguments: False)


def _keep_first_capacity(self: _pool.PoolState, worker: Any) -> Any:
    first = FIRST_CAPACITIES.setdefault(worker.id, worker.capacity)
    return ADD_WORKER(self, replace(worker, capacity=first))


def _replace(owner: object, name: str, value: object) -> None:
    setattr(owner, name, value)


if __name__ == "__main__":
    apply_mutant(Mutant(sys.argv[1]))
    sys.exit(node.main())

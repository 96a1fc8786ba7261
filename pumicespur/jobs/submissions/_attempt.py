"""Writes one submission, and finds out whether a write without an answer was applied."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.jobs._keys import job_id_key, submission_key
from pumicespur.jobs.submissions._access import is_visible_to
from pumicespur.model import AccountId, JobId, SubmissionOutcome
from pumicespur.schema.jobs_pb import JobIdRecord
from pumicespur.store import (
    AnswerLost,
    Condition,
    Conflict,
    NeverDone,
    Transaction,
    Unavailable,
    Write,
)
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.jobs.submissions._hold import SubmissionHold
    from pumicespur.model import PoolId, Route
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.jobs_pb import JobRecord
    from pumicespur.store import Fault

log = Logger(__name__)

RETRY_DELAY_S = 0.03
"""First retry delay of a call to the store; a few of its usual response times."""

MAX_RETRY_DELAY_S = 0.4
"""Longest such delay."""

SEND_RESERVE_S = 0.1
"""Part of the caller's time that is reserved for a write to be confirmed. A write that is sent
later and cut off would leave unknown whether it is recorded."""


class SubmissionAttempt:
    """One call of a caller to record a job."""

    def __init__(
        self,
        table: PlatformTable,
        hold: SubmissionHold,
        route: Route,
        record: JobRecord,
        give_up_at: float,
    ) -> None:
        self.table = table
        self.hold = hold
        self.route = route
        self.record = record
        self.give_up_at = give_up_at
        """By when the caller needs a response (monotonic seconds)."""
        self.id_key = job_id_key(JobId(record.id))
        self.may_be_recorded = False
        """Whether a write without an answer may have been applied, or may be applied later."""

    async def record_job(self) -> SubmissionOutcome:
        """Write the job's rows until the store confirms it or the caller's time is up.

        Nothing is sent while the store does not answer, so that a refusal can be certain.
        """
        pause_s = RETRY_DELAY_S
        while True:
            if not await self.hold.wait_until_answering(self.give_up_at - SEND_RESERVE_S):
                return self.refuse(Unavailable("the store does not answer"))
            match await self._try_once():
                case Result(tag="ok", ok=outcome):
                    return outcome
                case Result(error=NeverDone() as error):
                    return self.refuse(error)
                case Result(error=error) if monotonic() + pause_s >= self.give_up_at:
                    return self.refuse(error)
            await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)

    async def _try_once(self) -> Result[SubmissionOutcome, Fault]:
        """Look the job up if an earlier write may have been applied, else write it."""
        if self.may_be_recorded:
            match await self._look_up():
                case Result(tag="ok", ok=JobIdRecord() as known):
                    return Ok(resubmission_outcome(self.route, self.record, known))
                case Result(tag="error", error=error):
                    return Error(error)
        match await self._write():
            case Result(tag="ok", ok=version):
                self._log_accepted(version)
                return Ok(SubmissionOutcome.ACCEPTED)
            case Result(error=Conflict(rows=rows) as conflict):
                for row in rows:
                    if row.key == self.id_key and row.value:
                        known = JobIdRecord.from_binary(row.value)
                        return Ok(resubmission_outcome(self.route, self.record, known))
                # The row exists, but the response does not show whose it is.
                self.may_be_recorded = True
                return Error(conflict)
            case Result(error=error):
                return Error(error)

    async def _look_up(self) -> Result[JobIdRecord | None, Fault]:
        """Read the row of the id that a write without an answer may have left.

        A slow store queues the writes of a partition but not its reads.
        """
        found = await self.table.read(self.id_key)
        return found.map(lambda row: JobIdRecord.from_binary(row.value) if row.value else None)

    async def _write(self) -> Result[int, Fault]:
        """Write the job if no pool has its id; repeated writes are applied once at most."""
        transaction = submission_transaction(self.id_key, self.route.pool, self.record)
        unconfirmed = self.may_be_recorded
        # The write may be applied even if this call is cancelled.
        self.may_be_recorded = True
        response = await self.table.transact(transaction)
        is_lost = response.is_error() and isinstance(response.error, AnswerLost)
        self.may_be_recorded = unconfirmed or is_lost
        return response

    def refuse(self, error: Fault) -> SubmissionOutcome:
        """Return and log what is known of a job that was not confirmed."""
        unknown = self.may_be_recorded
        outcome = SubmissionOutcome.UNKNOWN if unknown else SubmissionOutcome.NOT_ACCEPTED
        log.warning(
            "job refused",
            job=self.record.id,
            route=self.route.name,
            pool=self.route.pool,
            outcome=outcome.value,
            reason=str(error),
        )
        return outcome

    def _log_accepted(self, version: int) -> None:
        log.info(
            "job accepted",
            job=self.record.id,
            route=self.route.name,
            pool=self.route.pool,
            version=version,
        )


def submission_transaction(id_key: str, pool: PoolId, record: JobRecord) -> Transaction:
    """Return the transaction that records a job for a pool if the row of its id is not there."""
    holder = JobIdRecord(
        pool=pool, route=record.route, account=record.account, withdrawn=record.withdrawn
    )
    return Transaction(
        [Condition(id_key, 0)],
        [
            Write(id_key, holder.to_binary()),
            Write(submission_key(pool, JobId(record.id)), record.to_binary()),
        ],
    )


def resubmission_outcome(route: Route, record: JobRecord, known: JobIdRecord) -> SubmissionOutcome:
    """Return the outcome for an id that is recorded already: accepted if it is the caller's."""
    if known.withdrawn:
        log.warning("job refused", job=record.id, route=route.name, reason="cancelled before")
        return SubmissionOutcome.CANCELLED_BEFORE
    account = AccountId(record.account)
    if not is_visible_to(account, route, known):
        log.warning("job refused", job=record.id, route=route.name, reason="id of another account")
        return SubmissionOutcome.OTHER_ACCOUNT
    log.info("job accepted", job=record.id, route=route.name, repeat=True)
    return SubmissionOutcome.ACCEPTED

"""Callers' requests about jobs: submit, phase and cancel."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.jobs._job import ENDED_PHASES
from pumicespur.jobs._keys import job_id_key, progress_key, submission_key
from pumicespur.jobs.progress import MAX_ROW_RATIO
from pumicespur.jobs.submissions._access import is_visible_to
from pumicespur.jobs.submissions._attempt import (
    MAX_RETRY_DELAY_S,
    RETRY_DELAY_S,
    SubmissionAttempt,
    submission_transaction,
)
from pumicespur.jobs.submissions._hold import SubmissionHold
from pumicespur.jobs.submissions._terms import terms_of
from pumicespur.model import AccountId, CancellationOutcome, JobId, PoolId, SubmissionOutcome
from pumicespur.schema.jobs_pb import JobIdRecord, JobPhase, JobRecord, ProgressRecord
from pumicespur.store import AnswerLost, Condition, NeverDone, Row, Transaction, Write
from pumicespur.utils import monotonic, now_ms

if TYPE_CHECKING:
    from pumicespur.model import Route
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.node_pb import StoreSettings
    from pumicespur.store import Fault
    from pumicespur.view import FleetView

log = Logger(__name__)


class JobService:
    """Serves callers' requests from the store, without the pool's owner."""

    def __init__(self, table: PlatformTable, view: FleetView, settings: StoreSettings) -> None:
        self.table = table
        self.view = view
        self.max_record_bytes = int(MAX_ROW_RATIO * settings.row_bytes)
        self.hold = SubmissionHold(table.outage)

    async def submit(self, route: Route, record: JobRecord, give_up_at: float) -> SubmissionOutcome:
        """Record a job; a job that the caller has submitted before counts as accepted.

        `give_up_at` is the monotonic time by which the caller needs a response.
        """
        account = self.view.configuration.accounts.get(AccountId(record.account))
        record.terms = terms_of(route, account)
        size = len(record.to_binary())
        if size > self.max_record_bytes:
            limit = self.max_record_bytes
            log.warning("job refused", job=record.id, route=route.name, size=size, limit=limit)
            return SubmissionOutcome.TOO_LARGE
        attempt = SubmissionAttempt(self.table, self.hold, route, record, give_up_at)
        with anyio.CancelScope(deadline=give_up_at):
            return await attempt.record_job()
        return attempt.refuse(AnswerLost("no response in time"))

    def describe_size_limit(self) -> str:
        """Return why a job is too large, for its caller."""
        return f"taskSpec and steps take more than the {self.max_record_bytes} bytes of one record"

    async def phase(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        """Read a job's phase; None if the caller has no such job."""
        with anyio.CancelScope(deadline=give_up_at):
            found = await self.find(job, give_up_at, route.pool)
            return found.map(
                lambda known: (
                    None
                    if known is None or not is_visible_to(account, route, known[1])
                    else known[1].phase
                )
            )
        return Error(AnswerLost("no response in time"))

    async def find(
        self, job: JobId, give_up_at: float, likely_pool: PoolId | None = None
    ) -> Result[tuple[PoolId, ProgressRecord] | None, Fault]:
        """Find a job and its pool; None if no pool has a job of this id.

        `likely_pool` is searched first. The job's route may have had another one when the job was
        submitted.
        """
        if likely_pool is not None:
            found = await self._find_in(likely_pool, job, give_up_at)
            if found.is_error() or found.ok is not None:
                return found
        holder = await self._find_holder(job, give_up_at)
        match holder:
            case Result(tag="ok", ok=JobIdRecord(pool=pool)):
                return await self._find_in(PoolId(pool), job, give_up_at)
            case Result(tag="ok"):
                return Ok(None)
            case Result(error=error):
                return Error(error)

    async def _find_in(
        self, pool: PoolId, job: JobId, give_up_at: float
    ) -> Result[tuple[PoolId, ProgressRecord] | None, Fault]:
        found = await self._read_progress(pool, job, give_up_at)
        return found.map(lambda progress: None if progress is None else (pool, progress))

    async def _find_holder(
        self, job: JobId, give_up_at: float
    ) -> Result[JobIdRecord | None, Fault]:
        """Read which pool has the job of an id; None if none has."""
        found = await self._read(job_id_key(job), give_up_at)
        return found.map(lambda row: JobIdRecord.from_binary(row.value) if row.version else None)

    async def _read_progress(
        self, pool: PoolId, job: JobId, give_up_at: float
    ) -> Result[ProgressRecord | None, Fault]:
        """Read a job's progress in a pool; a job without progress is queued."""
        for _ in range(2):
            # A job that ends between the two reads has a progress row at the second attempt.
            progress = await self._read(progress_key(pool, job), give_up_at)
            match progress:
                case Result(tag="ok", ok=row) if row.version:
                    return Ok(ProgressRecord.from_binary(row.value))
                case Result(error=error):
                    return Error(error)
            submission = await self._read(submission_key(pool, job), give_up_at)
            match submission:
                case Result(tag="ok", ok=row) if row.version:
                    record = JobRecord.from_binary(row.value)
                    return Ok(
                        ProgressRecord(
                            phase=JobPhase.QUEUED, route=record.route, account=record.account
                        )
                    )
                case Result(error=error):
                    return Error(error)
        return Ok(None)

    async def cancel(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> CancellationOutcome:
        """Record that a job is cancelled; the pool's owner stops it.

        If no job of this id is recorded, the id is withdrawn, so that a submission that is still
        under way starts nothing.
        """
        with anyio.CancelScope(deadline=give_up_at):
            return await self._cancel(route, account, job, give_up_at)
        return CancellationOutcome.UNKNOWN

    async def _cancel(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> CancellationOutcome:
        outcome = await self._cancel_in(route.pool, route, account, job, give_up_at)
        while outcome is None:
            # The route may have had another pool when the job was submitted.
            holder = await self._find_holder(job, give_up_at)
            match holder:
                case Result(tag="ok", ok=JobIdRecord(pool=pool)):
                    outcome = await self._cancel_in(PoolId(pool), route, account, job, give_up_at)
                    return outcome or CancellationOutcome.NO_SUCH_JOB
                case Result(tag="ok"):
                    response = await self._withdraw(route, account, job)
                    if response.is_ok():
                        return CancellationOutcome.NO_SUCH_JOB
                case _:
                    return CancellationOutcome.UNKNOWN
            if monotonic() + MAX_RETRY_DELAY_S >= give_up_at:
                return CancellationOutcome.UNKNOWN
            await anyio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.0))
        return outcome

    async def _withdraw(self, route: Route, account: AccountId, job: JobId) -> Result[int, Fault]:
        """Record a cancelled job without steps, if no pool has a job of this id."""
        record = JobRecord(
            id=job,
            route=route.name,
            account=account,
            accepted_ms=now_ms(),
            cancelled=True,
            withdrawn=True,
        )
        transaction = submission_transaction(job_id_key(job), route.pool, record)
        response = await self.table.transact(transaction)
        if response.is_ok():
            log.info("job id withdrawn", job=job, route=route.name, version=response.ok)
        return response

    async def _cancel_in(
        self, pool: PoolId, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> CancellationOutcome | None:
        """Cancel a job in a pool; None if the pool has no job of this id."""
        key = submission_key(pool, job)
        while True:
            found = await self._read(key, give_up_at)
            match found:
                case Result(tag="ok", ok=row) if row.version and not _has_ended(row):
                    if not is_visible_to(account, route, JobRecord.from_binary(row.value)):
                        return CancellationOutcome.NO_SUCH_JOB
                    response = await self._write_cancellation(row)
                    if response.is_ok():
                        log.info("job cancelled", job=job, route=route.name, version=response.ok)
                        return CancellationOutcome.DONE
                    if isinstance(response.error, NeverDone):
                        log.error("job not cancelled", job=job, reason=response.error.reason)
                        return CancellationOutcome.UNKNOWN
                case Result(tag="ok"):
                    return await self._cancel_missing(pool, route, account, job, give_up_at)
            if monotonic() + MAX_RETRY_DELAY_S >= give_up_at:
                return CancellationOutcome.UNKNOWN
            await anyio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.0))

    async def _write_cancellation(self, row: Row) -> Result[int, Fault]:
        record = JobRecord.from_binary(row.value)
        if record.cancelled:
            return Ok(row.version)
        record.cancelled = True
        return await self.table.transact(
            Transaction([Condition(row.key, row.version)], [Write(row.key, record.to_binary())])
        )

    async def _cancel_missing(
        self, pool: PoolId, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> CancellationOutcome | None:
        """Determine the outcome for a job that has no unfinished submission row.

        None if the pool has no progress of it either.
        """
        found = await self._read(progress_key(pool, job), give_up_at)
        match found:
            case Result(tag="ok", ok=row) if row.version:
                progress = ProgressRecord.from_binary(row.value)
                if not is_visible_to(account, route, progress):
                    return CancellationOutcome.NO_SUCH_JOB
                if progress.phase is JobPhase.CANCELLED:
                    return CancellationOutcome.DONE
                ended = progress.phase in ENDED_PHASES
                return CancellationOutcome.NO_SUCH_JOB if ended else CancellationOutcome.UNKNOWN
            case Result(tag="ok"):
                return None
            case _:
                return CancellationOutcome.UNKNOWN

    async def _read(self, key: str, give_up_at: float) -> Result[Row, Fault]:
        pause_s = RETRY_DELAY_S
        while True:
            response = await self.table.read(key)
            match response:
                case Result(tag="ok"):
                    return response
                case Result(error=error) if monotonic() + pause_s >= give_up_at:
                    return Error(error)
            await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)


def _has_ended(row: Row) -> bool:
    return JobRecord.from_binary(row.value).ended

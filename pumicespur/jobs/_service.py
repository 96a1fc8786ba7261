"""What callers ask of jobs: submit, state, cancel, and how many wait."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.jobs._job import ENDED_PHASES
from pumicespur.jobs._keys import progress_key, submission_key
from pumicespur.model import Cancellation, JobId, Submission
from pumicespur.schema.jobs_pb import JobPhase, JobRecord, ProgressRecord
from pumicespur.store import AnswerLost, Condition, Conflict, Row, Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.model import PoolId, Route
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Fault

log = Logger(__name__)

RETRY_S = 0.03
"""First pause before a call to the store is repeated; some of its usual answers."""

MAX_RETRY_S = 0.4
"""Longest such pause."""


class JobService:
    """Answers callers from the store, so that it needs no owner to be at work."""

    def __init__(
        self, table: PlatformTable, other_pools: Callable[[Route, bool], list[PoolId]]
    ) -> None:
        self.table = table
        self.other_pools = other_pools
        """Pools beside a route's own in which its jobs may be: all, or (true) its earlier ones."""

    async def submit(self, route: Route, record: JobRecord, give_up_at: float) -> Submission:
        """Record a job; the same id recorded before counts as accepted.

        `give_up_at` is the monotonic time by which the caller needs an answer.
        """
        with anyio.CancelScope(deadline=give_up_at):
            return await self._submit(route, record, give_up_at)
        # The store may hold the call that was broken off.
        return self._give_up(route, JobId(record.id), True, AnswerLost("no answer in time"))

    async def _submit(self, route: Route, record: JobRecord, give_up_at: float) -> Submission:
        pool = route.pool
        job = JobId(record.id)
        conditions = [Condition(submission_key(pool, job), 0)]
        write = Write(submission_key(pool, job), record.to_binary())
        for earlier in self.other_pools(route, True):
            found = await self._phase(earlier, job, give_up_at)
            if found.is_error():
                return Submission.NOT_TAKEN
            if found.ok is not None:
                log.info("job accepted", job=job, route=route.name, pool=earlier, repeat=True)
                return Submission.ACCEPTED
        lost = False
        pause_s = RETRY_S
        while True:
            answer = await self.table.transact(Transaction(conditions, [write]))
            match answer:
                case Result(tag="ok", ok=version):
                    log.info("job accepted", job=job, route=route.name, pool=pool, version=version)
                    return Submission.ACCEPTED
                case Result(error=Conflict()):
                    log.info("job accepted", job=job, route=route.name, pool=pool, repeat=True)
                    return Submission.ACCEPTED
                case Result(error=fault):
                    lost = lost or isinstance(fault, AnswerLost)
                    if monotonic() + pause_s >= give_up_at:
                        return self._give_up(route, job, lost, fault)
            await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    def _give_up(self, route: Route, job: JobId, lost: bool, fault: Fault) -> Submission:
        outcome = Submission.UNKNOWN if lost else Submission.NOT_TAKEN
        log.warning(
            "job refused",
            job=job,
            route=route.name,
            pool=route.pool,
            outcome=outcome.value,
            reason=str(fault),
        )
        return outcome

    async def state(
        self, route: Route, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        """Read how far a job is; None tells that there is no such job."""
        with anyio.CancelScope(deadline=give_up_at):
            return await self._state(route, job, give_up_at)
        return Error(AnswerLost("no answer in time"))

    async def _state(
        self, route: Route, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        for pool in (route.pool, *self.other_pools(route, False)):
            found = await self._phase(pool, job, give_up_at)
            if found.is_error() or found.ok is not None:
                return found
        return Ok(None)

    async def _phase(
        self, pool: PoolId, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        for _ in range(2):
            # A job that ends between the two reads has its progress row at the second try.
            progress = await self._read(progress_key(pool, job), give_up_at)
            match progress:
                case Result(tag="ok", ok=row) if row.version:
                    return Ok(ProgressRecord.from_binary(row.value).phase)
                case Result(error=fault):
                    return Error(fault)
            submission = await self._read(submission_key(pool, job), give_up_at)
            match submission:
                case Result(tag="ok", ok=row) if row.version:
                    return Ok(JobPhase.QUEUED)
                case Result(error=fault):
                    return Error(fault)
        return Ok(None)

    async def find(
        self, pools: Sequence[PoolId], job: JobId, give_up_at: float
    ) -> Result[tuple[PoolId, ProgressRecord] | None, Fault]:
        """Look a job up for an operator, who need not know its route; None if it is in no pool."""
        for pool in pools:
            progress = await self._read(progress_key(pool, job), give_up_at)
            match progress:
                case Result(tag="ok", ok=row) if row.version:
                    return Ok((pool, ProgressRecord.from_binary(row.value)))
                case Result(error=fault):
                    return Error(fault)
            submission = await self._read(submission_key(pool, job), give_up_at)
            match submission:
                case Result(tag="ok", ok=row) if row.version:
                    route = JobRecord.from_binary(row.value).route
                    return Ok((pool, ProgressRecord(phase=JobPhase.QUEUED, route=route)))
                case Result(error=fault):
                    return Error(fault)
        return Ok(None)

    async def cancel(self, route: Route, job: JobId, give_up_at: float) -> Cancellation:
        """Record that a job is not wanted any more; its owner stops it."""
        with anyio.CancelScope(deadline=give_up_at):
            return await self._cancel(route, job, give_up_at)
        return Cancellation.UNKNOWN

    async def _cancel(self, route: Route, job: JobId, give_up_at: float) -> Cancellation:
        for pool in (route.pool, *self.other_pools(route, False)):
            outcome = await self._cancel_in(pool, route, job, give_up_at)
            if outcome is not Cancellation.NO_SUCH_JOB:
                return outcome
        return Cancellation.NO_SUCH_JOB

    async def _cancel_in(
        self, pool: PoolId, route: Route, job: JobId, give_up_at: float
    ) -> Cancellation:
        key = submission_key(pool, job)
        while True:
            found = await self._read(key, give_up_at)
            match found:
                case Result(tag="ok", ok=row) if row.version and not _has_ended(row):
                    answer = await self._write_cancellation(row)
                    if answer.is_ok():
                        log.info("job cancelled", job=job, route=route.name, version=answer.ok)
                        return Cancellation.DONE
                case Result(tag="ok"):
                    return await self._cancel_missing(pool, job, give_up_at)
            if monotonic() + MAX_RETRY_S >= give_up_at:
                return Cancellation.UNKNOWN
            await anyio.sleep(RETRY_S * random.uniform(0.5, 1.0))

    async def _write_cancellation(self, row: Row) -> Result[int, Fault]:
        record = JobRecord.from_binary(row.value)
        if record.cancelled:
            return Ok(row.version)
        record.cancelled = True
        return await self.table.transact(
            Transaction([Condition(row.key, row.version)], [Write(row.key, record.to_binary())])
        )

    async def _cancel_missing(self, pool: PoolId, job: JobId, give_up_at: float) -> Cancellation:
        """Answer for a job without its own row: it has ended or never was."""
        found = await self._read(progress_key(pool, job), give_up_at)
        match found:
            case Result(tag="ok", ok=row) if row.version:
                phase = ProgressRecord.from_binary(row.value).phase
                if phase is JobPhase.CANCELLED:
                    return Cancellation.DONE
                return Cancellation.NO_SUCH_JOB if phase in ENDED_PHASES else Cancellation.UNKNOWN
            case Result(tag="ok"):
                return Cancellation.NO_SUCH_JOB
            case _:
                return Cancellation.UNKNOWN

    async def _read(self, key: str, give_up_at: float) -> Result[Row, Fault]:
        pause_s = RETRY_S
        while True:
            answer = await self.table.read(key)
            match answer:
                case Result(tag="ok"):
                    return answer
                case Result(error=fault) if monotonic() + pause_s >= give_up_at:
                    return Error(fault)
            await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_S, pause_s * 2)


def _has_ended(row: Row) -> bool:
    return JobRecord.from_binary(row.value).ended

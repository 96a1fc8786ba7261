"""Carry one request to its end: claim, queue, attempts, outcome.

Three rules hold throughout. An attempt whose bytes may have left is never sent again if
the request is not repeatable. "Not run" is said of a keyed request only after the key's
row says so for good. Whatever is given up gets its final answer at once.
"""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.routing._claims import ClaimBook, ClaimResult, Taken, Unsettled, Won
from pumicespur.routing._freshness import Freshness
from pumicespur.routing._messages import (
    AlreadyRan,
    Answered,
    AttemptResult,
    CallerRequest,
    Declined,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    RequestCounts,
    Unknown,
)
from pumicespur.routing._queue import PoolQueue, Refusal
from pumicespur.schema.claims_pb import Claim, ClaimState

if TYPE_CHECKING:
    from pumicespur.routing._backend import Backend
    from pumicespur.routing._table import RoutingTable
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.structure import TeamId

log = Logger(__name__)

MAX_ATTEMPTS = 4
RETRY_BURST = 10.0
CLAIM_RESERVE_S = 0.05
SERVER_ERROR = 500

HEDGE_SHARE = 0.5
"""Share of the time left to a repeatable request after which another try starts."""

CAUTION = (NotRun, Unknown, Answered)
"""Ends of a repeatable request's tries, the one that counts last."""


@dataclass
class RetryBudget:
    """Retries as a share of first attempts, so that a dead rack causes no storm."""

    share: float
    tokens: float = RETRY_BURST

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(RETRY_BURST, self.tokens + self.share)

    def spend(self) -> bool:
        """Take one retry if the budget has it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Dispatcher:
    """Carries requests to the backend servers of their pools."""

    def __init__(self, settings: EntrySettings, table: RoutingTable, claims: ClaimBook) -> None:
        self.settings = settings
        self.table = table
        self.claims = claims
        self.retries = RetryBudget(settings.retry_share)
        self.counts = RequestCounts()
        self.freshness = Freshness(settings, table.replica)
        self.team_running: dict[TeamId, int] = {}

    async def handle(self, request: CallerRequest) -> Outcome:
        """Carry one request to its end."""
        await self.freshness.wait()
        if not self._enter_team(request.team):
            outcome = await self.refuse(request, 429, Refusal("team quota reached", 1.0))
        else:
            try:
                outcome = await self._handle_admitted(request)
            finally:
                self._leave_team(request.team)
        self.counts.count(outcome)
        return outcome

    async def _handle_admitted(self, request: CallerRequest) -> Outcome:
        queue = self.table.queues.get(request.pool)
        if queue is None:
            return await self.refuse(request, 404, Refusal("no such pool", 5.0))
        refusal = queue.refusal(request)
        if refusal is not None:
            return await self.refuse(request, 503, refusal)
        if request.repeatable:
            return await self._run_repeatable(queue, request)
        return await self._run_once(queue, request)

    async def refuse(self, request: CallerRequest, status: int, refusal: Refusal) -> Outcome:
        """Refuse a request that this process has not sent.

        An earlier delivery of the same key may have run, so the key's row decides what is
        said; the row then keeps the key from ever running.
        """
        if request.repeatable:
            return NotRun(status, refusal.reason, refusal.retry_after_s)
        claim = self.claims.new_claim(ClaimState.NOT_RUN, request.digest())
        result = await self._write_claim(request, claim, 0)
        match result:
            case Won():
                return NotRun(status, refusal.reason, refusal.retry_after_s)
            case _:
                return self._after_lost_claim(request, result)

    # Repeatable requests

    async def _run_repeatable(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
        """Try, and try again beside the earlier tries while no answer comes.

        The first answer counts. Without one the most cautious end does: if either try may
        have run, the request may have.
        """
        self.retries.earn()
        ends: list[Outcome] = []
        tried: set[str] = set()
        ended = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def run() -> None:
                ends.append(await self._try_repeatedly(queue, request, tried))
                ended.set()
                if isinstance(ends[-1], Answered):
                    tasks.cancel_scope.cancel()

            tasks.start_soon(run)
            for _ in range(MAX_ATTEMPTS - 1):
                with anyio.move_on_after(self._hedge_delay_s(request)):
                    await ended.wait()
                if ended.is_set() or not self._may_retry(request):
                    break
                self.counts.hedges += 1
                tasks.start_soon(run)
        return max(ends, key=lambda end: CAUTION.index(type(end)))

    def _hedge_delay_s(self, request: CallerRequest) -> float:
        return self.settings.hedge_after_s or request.remaining_s() * HEDGE_SHARE

    async def _try_repeatedly(
        self, queue: PoolQueue, request: CallerRequest, tried: set[str]
    ) -> Outcome:
        """Try until there is an answer, the deadline passes or the retry budget is spent."""
        maybe_ran = False
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._may_retry(request):
                break
            acquired = await queue.acquire(request, tried)
            match acquired:
                case Result(tag="ok", ok=backend):
                    tried.add(backend.id)
                    result = await self._attempt(queue, backend, request)
                case Result(error=refusal):
                    reason = refusal.reason
                    break
            match result:
                case Answered():
                    return result
                case Lost(reason=reason):
                    maybe_ran = True
                case NotSent(reason=reason) | Declined(reason=reason):
                    pass
        if maybe_ran:
            return Unknown(502, f"no answer: {reason}")
        return NotRun(503, f"not accepted: {reason}")

    def _may_retry(self, request: CallerRequest) -> bool:
        if request.remaining_s() <= 0 or not self.retries.spend():
            return False
        self.counts.retries += 1
        return True

    # Requests that run at most once

    async def _run_once(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
        claim = self.claims.new_claim(ClaimState.HELD, request.digest())
        claimed = await self._write_claim(request, claim, 0)
        match claimed:
            case Won(version=version):
                pass
            case _:
                return self._after_lost_claim(request, claimed)
        result = await self._send_once(queue, request)
        match result:
            case Answered():
                self._keep_answer(request, claim, version, result)
                return result
            case Lost(reason=reason):
                return Unknown(502, f"no answer: {reason}")
            case NotSent(reason=reason) | Declined(reason=reason):
                return await self._burn(request, claim, version, reason)

    async def _send_once(self, queue: PoolQueue, request: CallerRequest) -> AttemptResult:
        """Try backend servers until the request may have left this process."""
        self.retries.earn()
        tried: set[str] = set()
        result: AttemptResult = NotSent("no attempt")
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self._may_retry(request):
                break
            match await queue.acquire(request, tried):
                case Result(tag="ok", ok=backend):
                    tried.add(backend.id)
                    result = await self._attempt(queue, backend, request)
                case Result(error=refusal):
                    return NotSent(refusal.reason)
            if isinstance(result, Answered | Lost):
                break
        return result

    def _keep_answer(
        self, request: CallerRequest, claim: Claim, version: int, answer: Answered
    ) -> None:
        """Write the answer into the key's row, without making the caller wait."""
        kept = len(answer.body) <= self.settings.max_kept_answer_bytes
        done = Claim.from_binary(claim.to_binary())
        done.state = ClaimState.DONE
        done.status = answer.status
        done.content_type = dict(answer.headers).get("content-type", "")
        done.body_kept = kept
        done.body = answer.body if kept else b""
        self.claims.submit(self._row(request), done, version)

    async def _burn(
        self, request: CallerRequest, claim: Claim, version: int, reason: str
    ) -> Outcome:
        """Say "not run" once the key's row keeps it from ever running."""
        burnt = Claim.from_binary(claim.to_binary())
        burnt.state = ClaimState.NOT_RUN
        match await self.claims.write(
            self._row(request), burnt, version, self.claims.platform.settings.timeout_s
        ):
            case Won():
                return NotRun(503, f"not accepted: {reason}")
            case _:
                return Unknown(503, f"not accepted, key still held: {reason}")

    async def _write_claim(self, request: CallerRequest, claim: Claim, version: int) -> ClaimResult:
        timeout = max(CLAIM_RESERVE_S, request.remaining_s() - CLAIM_RESERVE_S)
        return await self.claims.write(self._row(request), claim, version, timeout)

    def _after_lost_claim(self, request: CallerRequest, result: ClaimResult) -> Outcome:
        match result:
            case Taken(claim=claim):
                return answer_from_row(request, claim)
            case Unsettled(reason=reason):
                return Unknown(503, f"can't claim the key: {reason}")
            case _:
                raise AssertionError(result)

    @staticmethod
    def _row(request: CallerRequest) -> str:
        return f"{request.pool}/{request.key}"

    # Attempts

    async def _attempt(
        self, queue: PoolQueue, backend: Backend, request: CallerRequest
    ) -> AttemptResult:
        """Send once to one backend server and note what it says of its health."""
        self.counts.attempts += 1
        started = time.monotonic()
        # Cancelled when the second of two tries was quicker: that is a failure, too.
        result: AttemptResult = Lost("outrun by another try")
        try:
            result = await backend.send(request, f"{request.id}-{uuid.uuid4().hex[:8]}")
            return result
        finally:
            note_health(backend, result)
            queue.release(backend, time.monotonic() - started)

    def _enter_team(self, team: TeamId) -> bool:
        running = self.team_running.get(team, 0)
        declared = self.table.replica.fleet.teams.get(team)
        if declared and declared.max_requests and running >= declared.max_requests:
            return False
        self.team_running[team] = running + 1
        return True

    def _leave_team(self, team: TeamId) -> None:
        self.team_running[team] -= 1
        if not self.team_running[team]:
            del self.team_running[team]


def note_health(backend: Backend, result: AttemptResult) -> None:
    """Judge a backend server by the result of an attempt."""
    match result:
        case Answered(status=status) if status < SERVER_ERROR:
            backend.note_success()
        case Declined(leaving=True):
            backend.leaving = True
        case _:
            backend.note_failure()


def answer_from_row(request: CallerRequest, claim: Claim) -> Outcome:
    """Answer a delivery whose key has a row already."""
    if claim.digest != request.digest():
        return NotRun(422, "the key was used for another request")
    match claim.state:
        case ClaimState.DONE if claim.body_kept:
            headers = [("content-type", claim.content_type)] if claim.content_type else []
            return Answered(claim.status, headers, claim.body)
        case ClaimState.DONE:
            return AlreadyRan(409)
        case ClaimState.NOT_RUN:
            return NotRun(503, "refused before under this key")
        case _:
            return Unknown(409, f"held by {claim.entry}")

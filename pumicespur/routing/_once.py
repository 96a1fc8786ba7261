"""Requests that run at most once: claimed first, and sent on only while nothing has left.

"Not run" is said only after the key's row says so for good.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result

from pumicespur.routing._attempts import MAX_ATTEMPTS
from pumicespur.routing._claims import ClaimBook, ClaimResult, Taken, Unsettled, Won
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
    Unknown,
)
from pumicespur.schema.claims_pb import Claim, ClaimState
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from pumicespur.routing._attempts import Attempts
    from pumicespur.routing._queue import PoolQueue, Refusal

CLAIM_RESERVE_S = 0.05
"""Time kept back from the wait for a claim, to answer before the deadline."""


class OnceRequests:
    """Carries requests that must not run twice."""

    def __init__(self, attempts: Attempts, claims: ClaimBook) -> None:
        self.attempts = attempts
        self.claims = claims

    async def run(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
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
        self.attempts.budget.earn()
        tried: set[str] = set()
        result: AttemptResult = NotSent("no attempt")
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.attempts.may_retry(request):
                break
            match await queue.acquire(request, tried):
                case Result(tag="ok", ok=backend):
                    tried.add(backend.id)
                    result = await self.attempts.send(queue, backend, request)
                case Result(error=refusal):
                    return NotSent(refusal.reason)
            if isinstance(result, Answered | Lost):
                break
        return result

    def _keep_answer(
        self, request: CallerRequest, claim: Claim, version: int, answer: Answered
    ) -> None:
        """Write the answer into the key's row, without making the caller wait."""
        kept = len(answer.body) <= self.attempts.settings.max_kept_answer_bytes
        done = replace_fields(
            claim,
            state=ClaimState.DONE,
            status=answer.status,
            content_type=dict(answer.headers).get("content-type", ""),
            body_kept=kept,
            body=answer.body if kept else b"",
        )
        self.claims.submit(self._row(request), done, version)

    async def _burn(
        self, request: CallerRequest, claim: Claim, version: int, reason: str
    ) -> Outcome:
        """Say "not run" once the key's row keeps it from ever running."""
        burnt = replace_fields(claim, state=ClaimState.NOT_RUN)
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

    async def refuse(self, request: CallerRequest, status: int, refusal: Refusal) -> Outcome:
        """Refuse a request that this process has not claimed.

        An earlier delivery of the same key may have run, so the key's row decides what is
        said; the row then keeps the key from ever running.
        """
        claim = self.claims.new_claim(ClaimState.NOT_RUN, request.digest())
        result = await self._write_claim(request, claim, 0)
        match result:
            case Won():
                return NotRun(status, refusal.reason, refusal.retry_after_s)
            case _:
                return self._after_lost_claim(request, result)


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

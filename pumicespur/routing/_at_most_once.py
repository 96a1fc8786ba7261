"""At-most-once requests: the key is claimed first, and a retry is made only if nothing has run.

A request is sent again only if no byte of it was sent, or if the backend server reported that it
did not run it. "Not run" is reported only after the key's row has been set to that, which is final.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from logbook import Logger

from pumicespur.routing._attempts import MAX_ATTEMPTS
from pumicespur.routing._claims import ClaimResult, ClaimWriter, KeyInUse, Unresolved, Written
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

log = Logger(__name__)

RESPONSE_MARGIN_S = 0.05
"""Time before the deadline at which the wait for a claim ends, so that a response can still be
sent; also the minimum wait."""


class AtMostOnceRequests:
    """Handles requests with an idempotency key, which must not run twice."""

    def __init__(self, attempts: Attempts, claims: ClaimWriter) -> None:
        self.attempts = attempts
        self.claims = claims

    async def run(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
        """Claim the request's key, send the request and return its outcome."""
        claim = self.claims.new_claim(ClaimState.HELD, request.digest())
        claimed = await self._write_claim(request, claim, 0)
        match claimed:
            case Written(version=version):
                pass
            case _:
                self._release_unresolved_claim(request, claim, claimed)
                return self._outcome_of_failed_claim(request, claimed)
        result = await self._send_once(queue, request)
        match result:
            case Answered():
                self._store_response(request, claim, version, result)
                return result
            case Lost(reason=reason):
                return Unknown(502, f"no answer: {reason}")
            case NotSent(reason=reason) | Declined(reason=reason):
                return await self._finish_not_run(request, claim, version, reason)

    def _release_unresolved_claim(
        self, request: CallerRequest, claim: Claim, result: ClaimResult
    ) -> None:
        """Mark the key as not run if its claim may be written, since this delivery won't run.

        Without that the key would stay held for good, as it may while too many rows wait.
        """
        match result:
            case Unresolved(may_be_written=True) if self.claims.has_room:
                not_run = replace_fields(claim, state=ClaimState.NOT_RUN)
                self.claims.submit_outcome(self._claim_key(request), not_run, 0)
            case Unresolved(may_be_written=True):
                log.error("key may stay held", pool=request.pool, request=request.id)

    async def _send_once(self, queue: PoolQueue, request: CallerRequest) -> AttemptResult:
        """Try backend servers until one responds or may have run the request."""
        self.attempts.budget.add_share()
        tried: set[str] = set()
        result: AttemptResult = NotSent("no attempt")
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.attempts.try_take_retry(request):
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

    def _store_response(
        self, request: CallerRequest, claim: Claim, version: int, response: Answered
    ) -> None:
        """Submit the response for the key's row, without making the caller wait for the write."""
        kept = len(response.body) <= self.attempts.settings.max_kept_answer_bytes
        completed = replace_fields(
            claim,
            state=ClaimState.DONE,
            status=response.status,
            content_type=dict(response.headers).get("content-type", ""),
            body_kept=kept,
            body=response.body if kept else b"",
        )
        self.claims.submit_outcome(self._claim_key(request), completed, version)

    async def _finish_not_run(
        self, request: CallerRequest, claim: Claim, version: int, reason: str
    ) -> Outcome:
        """Mark the key as not run; return NotRun only if the row was written, else Unknown.

        Once the row is written, no delivery of the key can run.
        """
        not_run = replace_fields(claim, state=ClaimState.NOT_RUN)
        match await self.claims.write_outcome(
            self._claim_key(request), not_run, version, self.claims.platform.settings.timeout_s
        ):
            case Written():
                return NotRun(503, f"not accepted: {reason}")
            case _:
                return Unknown(503, f"not accepted, key still held: {reason}")

    async def _write_claim(self, request: CallerRequest, claim: Claim, version: int) -> ClaimResult:
        timeout = max(RESPONSE_MARGIN_S, request.remaining_s() - RESPONSE_MARGIN_S)
        return await self.claims.write(self._claim_key(request), claim, version, timeout)

    def _outcome_of_failed_claim(self, request: CallerRequest, result: ClaimResult) -> Outcome:
        """Return the outcome of a request whose key this process could not claim."""
        match result:
            case KeyInUse(claim=claim):
                return outcome_from_claim(request, claim)
            case Unresolved(reason=reason):
                return Unknown(503, f"can't claim the key: {reason}")
            case _:
                raise AssertionError(result)

    @staticmethod
    def _claim_key(request: CallerRequest) -> str:
        return f"{request.pool}/{request.key}"

    async def refuse(self, request: CallerRequest, status: int, refusal: Refusal) -> Outcome:
        """Refuse a request whose key this process has not claimed.

        An earlier delivery of the same key may have run, so an existing row decides the
        outcome. Without one, a row is written that marks the key as not run for good.
        """
        claim = self.claims.new_claim(ClaimState.NOT_RUN, request.digest())
        result = await self._write_claim(request, claim, 0)
        match result:
            case Written():
                return NotRun(status, refusal.reason, refusal.retry_after_s)
            case _:
                return self._outcome_of_failed_claim(request, result)


def outcome_from_claim(request: CallerRequest, claim: Claim) -> Outcome:
    """Return the outcome of a delivery whose key has a row already."""
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

"""Idempotent requests: retried and hedged until the first response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result

from pumicespur.routing._attempts import MAX_ATTEMPTS
from pumicespur.routing._messages import (
    Answered,
    CallerRequest,
    Declined,
    Lost,
    NotRun,
    NotSent,
    Outcome,
    Unknown,
)

if TYPE_CHECKING:
    from pumicespur.routing._attempts import Attempts
    from pumicespur.routing._queue import PoolQueue

HEDGE_DELAY_RATIO = 0.5
"""Part of a request's remaining time after which a parallel series of attempts starts."""

OUTCOME_PRECEDENCE = (NotRun, Unknown, Answered)
"""Outcomes in ascending precedence, where parallel series end in different ones."""


class IdempotentRequests:
    """Handles requests that may run more than once."""

    def __init__(self, attempts: Attempts) -> None:
        self.attempts = attempts

    async def run(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
        """Run a series of attempts, and start parallel ones (hedges) while none has ended.

        The first response is the outcome. Without one, the outcome is Unknown if the
        request may have run in any of the series.
        """
        self.attempts.budget.add_share()
        outcomes: list[Outcome] = []
        tried: set[str] = set()
        ended = anyio.Event()
        async with anyio.create_task_group() as tasks:

            async def run_attempts() -> None:
                outcomes.append(await self._attempt_until_outcome(queue, request, tried))
                ended.set()
                if isinstance(outcomes[-1], Answered):
                    tasks.cancel_scope.cancel()

            tasks.start_soon(run_attempts)
            for _ in range(MAX_ATTEMPTS - 1):
                with anyio.move_on_after(self._hedge_delay_s(request)):
                    await ended.wait()
                if ended.is_set() or not self.attempts.try_take_retry(request):
                    break
                self.attempts.counts.hedges += 1
                tasks.start_soon(run_attempts)
        return max(outcomes, key=lambda outcome: OUTCOME_PRECEDENCE.index(type(outcome)))

    def _hedge_delay_s(self, request: CallerRequest) -> float:
        return self.attempts.settings.hedge_after_s or request.remaining_s() * HEDGE_DELAY_RATIO

    async def _attempt_until_outcome(
        self, queue: PoolQueue, request: CallerRequest, tried: set[str]
    ) -> Outcome:
        """Retry until there is a response, the deadline passes or the retry budget is spent."""
        may_have_run = False
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.attempts.try_take_retry(request):
                break
            acquired = await queue.acquire(request, tried)
            match acquired:
                case Result(tag="ok", ok=backend):
                    tried.add(backend.id)
                    result = await self.attempts.send(queue, backend, request)
                case Result(error=refusal):
                    reason = refusal.reason
                    break
            match result:
                case Answered():
                    return result
                case Lost(reason=reason):
                    may_have_run = True
                case NotSent(reason=reason) | Declined(reason=reason):
                    pass
        if may_have_run:
            return Unknown(502, f"no answer: {reason}")
        return NotRun(503, f"not accepted: {reason}")

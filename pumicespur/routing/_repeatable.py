"""Requests that may run more than once: tried until one answer comes."""

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

HEDGE_SHARE = 0.5
"""Share of the time left to a request after which another try starts."""

CAUTION = (NotRun, Unknown, Answered)
"""Ends of a request's tries, the one that counts last."""


class RepeatableRequests:
    """Carries requests that may run more than once."""

    def __init__(self, attempts: Attempts) -> None:
        self.attempts = attempts

    async def run(self, queue: PoolQueue, request: CallerRequest) -> Outcome:
        """Try, and try again beside the earlier tries while no answer comes.

        The first answer counts. Without one the most cautious end does: if either try may
        have run, the request may have.
        """
        self.attempts.budget.earn()
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
                if ended.is_set() or not self.attempts.may_retry(request):
                    break
                self.attempts.counts.hedges += 1
                tasks.start_soon(run)
        return max(ends, key=lambda end: CAUTION.index(type(end)))

    def _hedge_delay_s(self, request: CallerRequest) -> float:
        return self.attempts.settings.hedge_after_s or request.remaining_s() * HEDGE_SHARE

    async def _try_repeatedly(
        self, queue: PoolQueue, request: CallerRequest, tried: set[str]
    ) -> Outcome:
        """Try until there is an answer, the deadline passes or the retry budget is spent."""
        maybe_ran = False
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not self.attempts.may_retry(request):
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
                    maybe_ran = True
                case NotSent(reason=reason) | Declined(reason=reason):
                    pass
        if maybe_ran:
            return Unknown(502, f"no answer: {reason}")
        return NotRun(503, f"not accepted: {reason}")

"""Single attempts at backend servers, and the budget for repeating them."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.routing._messages import (
    Answered,
    AttemptResult,
    CallerRequest,
    Declined,
    Lost,
    RequestCounts,
)
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.routing._backend import Backend
    from pumicespur.routing._queue import PoolQueue
    from pumicespur.schema.settings_pb import EntrySettings

MAX_ATTEMPTS = 4
RETRY_BURST = 10.0
SERVER_ERROR = 500


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


class Attempts:
    """Sends single attempts and decides whether there may be another one."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.budget = RetryBudget(settings.retry_share)
        self.counts = RequestCounts()

    def may_retry(self, request: CallerRequest) -> bool:
        """Take a retry from the budget if the request still has time for it."""
        if request.remaining_s() <= 0 or not self.budget.spend():
            return False
        self.counts.retries += 1
        return True

    async def send(
        self, queue: PoolQueue, backend: Backend, request: CallerRequest
    ) -> AttemptResult:
        """Send once to one backend server and note what it says of its health."""
        self.counts.attempts += 1
        started = monotonic()
        # Cancelled when the second of two tries was quicker: that is a failure, too.
        result: AttemptResult = Lost("outrun by another try")
        try:
            result = await backend.send(request, f"{request.id}-{uuid.uuid4().hex[:8]}")
            return result
        finally:
            note_health(backend, result)
            queue.release(backend, monotonic() - started)


def note_health(backend: Backend, result: AttemptResult) -> None:
    """Judge a backend server by the result of an attempt."""
    match result:
        case Answered(status=status) if status < SERVER_ERROR:
            backend.note_success()
        case Declined(leaving=True):
            backend.leaving = True
        case _:
            backend.note_failure()

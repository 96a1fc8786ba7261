"""Single attempts to send a request to a backend server, and the retry budget."""

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
"""Max attempts in one series, and max parallel series of one idempotent request."""

MAX_RETRY_TOKENS = 10.0
"""Retries that may be made in a burst."""

MIN_SERVER_ERROR_STATUS = 500


@dataclass
class RetryBudget:
    """A token bucket that limits retries to a share of first attempts.

    Without it, the failure of a rack would multiply the load on the other backend servers.
    """

    share: float
    tokens: float = MAX_RETRY_TOKENS

    def add_share(self) -> None:
        """Add the share of a retry that each first attempt allows."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + self.share)

    def try_take(self) -> bool:
        """Take the token of one retry; False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Attempts:
    """Sends single attempts and decides whether a request may be retried."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.budget = RetryBudget(settings.retry_share)
        self.counts = RequestCounts()

    def try_take_retry(self, request: CallerRequest) -> bool:
        """Take a retry from the budget; False if it is spent or the deadline has passed."""
        if request.remaining_s() <= 0 or not self.budget.try_take():
            return False
        self.counts.retries += 1
        return True

    async def send(
        self, queue: PoolQueue, backend: Backend, request: CallerRequest
    ) -> AttemptResult:
        """Send a request once, update the backend server's health and release its capacity."""
        self.counts.attempts += 1
        started = monotonic()
        # The result if the attempt is cancelled because a parallel one got its response first. It
        # counts as a failure of this backend server, which was too slow.
        result: AttemptResult = Lost("a parallel attempt was faster")
        try:
            result = await backend.send(request, f"{request.id}-{uuid.uuid4().hex[:8]}")
            return result
        finally:
            note_health(backend, result)
            queue.release(backend, monotonic() - started)


def note_health(backend: Backend, result: AttemptResult) -> None:
    """Update a backend server's health from the result of an attempt.

    A status of 500 or more, a refusal while it is not leaving, and any attempt without a
    whole response count as failures.
    """
    match result:
        case Answered(status=status) if status < MIN_SERVER_ERROR_STATUS:
            backend.note_success()
        case Declined(leaving=True):
            backend.leaving = True
        case _:
            backend.note_failure()

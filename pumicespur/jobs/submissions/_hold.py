"""Holds submissions while the store does not answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.store import OutageTracker

MAX_HELD = 200
"""Maximum number of submissions held at a time: about 13 MB with rows of 64 KB, in processes of 200
MB and more."""


class SubmissionHold:
    """Lets submissions wait while calls to the store fail, up to a bound."""

    def __init__(self, outage: OutageTracker) -> None:
        self.outage = outage
        self.held = 0
        """Number of submissions held at present."""

    async def wait_until_answering(self, until: float) -> bool:
        """Wait for the store; return whether it answers by the given monotonic time.

        Beyond `MAX_HELD` submissions, it returns at once.
        """
        if self.outage.began_at is None:
            return True
        if self.held >= MAX_HELD:
            return False
        self.held += 1
        try:
            with anyio.move_on_after(until - monotonic()) as scope:
                await self.outage.wait_until_over()
            return not scope.cancelled_caught
        finally:
            self.held -= 1

"""Tracks since when calls to a store fail, and wakes those who wait for its return."""

from __future__ import annotations

import anyio


class OutageTracker:
    """Tracks an outage, which begins with the first failed call after a success.

    Counted from the last success, one lost response would look like a long outage in a process that
    calls the store rarely.
    """

    def __init__(self) -> None:
        self.began_at: float | None = None
        """When the first call failed (monotonic seconds); None if the last call succeeded."""
        self.began = anyio.Event()
        """Set while an outage lasts."""
        self.ended = anyio.Event()
        """Set by the end of the present or the next outage."""

    def note_success(self) -> None:
        """Note a response with a result."""
        if self.began_at is not None:
            self.began_at = None
            self.began = anyio.Event()
            self.ended.set()
            self.ended = anyio.Event()

    def note_failure(self, now: float) -> None:
        """Note a refusal or a call without a response."""
        if self.began_at is None:
            self.began_at = now
            self.began.set()

    def length_s(self, now: float) -> float:
        """Return how long calls have failed, in seconds; 0 if the last call succeeded."""
        return 0.0 if self.began_at is None else now - self.began_at

    async def wait_until_over(self) -> None:
        """Wait for the next success; return at once if the last call succeeded."""
        if self.began_at is not None:
            await self.ended.wait()

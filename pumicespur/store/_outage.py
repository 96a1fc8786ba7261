"""Tracks since when calls to a store fail."""

from __future__ import annotations


class OutageTracker:
    """The time since the first failed call after the last successful one.

    It does not begin with the last success: a process that calls the store every 1.5 s would
    otherwise take one lost response for an outage of that length.
    """

    def __init__(self) -> None:
        self.began_at: float | None = None
        """When the first call failed (monotonic seconds); None if the last call succeeded."""

    def note_success(self) -> None:
        """Note a response with a result."""
        self.began_at = None

    def note_failure(self, now: float) -> None:
        """Note a refusal or a call without a response."""
        if self.began_at is None:
            self.began_at = now

    def length_s(self, now: float) -> float:
        """Return how long calls have failed, in seconds; 0 if the last call succeeded."""
        return 0.0 if self.began_at is None else now - self.began_at

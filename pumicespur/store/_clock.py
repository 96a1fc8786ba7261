"""Tracks the store's monotonic clock, by which processes compare times with each other."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class StoreClock:
    """The newest reading of the store's clock; 0 before the first one."""

    reading_ms: int = 0
    sent_at: float = 0.0
    """When the call was sent whose response carried the reading (monotonic seconds)."""
    received_at: float = 0.0
    """When that response arrived (monotonic seconds)."""

    def note(self, reading_ms: int, sent_at: float, received_at: float) -> None:
        """Note a reading in milliseconds; responses without one have 0."""
        if reading_ms:
            self.reading_ms, self.sent_at, self.received_at = reading_ms, sent_at, received_at

    @property
    def known(self) -> bool:
        """Whether the clock has been read."""
        return self.reading_ms > 0

    def at_most_ms(self, now: float) -> int:
        """Return an upper bound of the clock's present time, in milliseconds."""
        return self.reading_ms + int((now - self.sent_at) * 1000) + 1

    def at_least_ms(self, now: float) -> int:
        """Return a lower bound of the clock's present time, in milliseconds."""
        return self.reading_ms + int((now - self.received_at) * 1000)

    def latest_before(self, time_ms: int) -> float:
        """Return the latest monotonic time that was certainly not after a time on the clock."""
        return self.sent_at + (time_ms - self.reading_ms - 1) / 1000

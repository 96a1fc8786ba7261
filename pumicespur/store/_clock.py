"""The store's steady clock, which all processes can compare times by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class StoreClock:
    """The newest reading of the store's clock; 0 before the first one."""

    shown_ms: int = 0
    sent_at: float = 0.0
    """When the call was sent whose answer showed it (monotonic seconds)."""
    received_at: float = 0.0
    """When that answer came."""

    def note(self, shown_ms: int, sent_at: float, received_at: float) -> None:
        """Take a reading; answers without one show 0."""
        if shown_ms:
            self.shown_ms, self.sent_at, self.received_at = shown_ms, sent_at, received_at

    @property
    def known(self) -> bool:
        """Whether the clock has been read."""
        return self.shown_ms > 0

    def at_most_ms(self, now: float) -> int:
        """Return a time that the clock has not passed yet."""
        return self.shown_ms + int((now - self.sent_at) * 1000) + 1

    def at_least_ms(self, now: float) -> int:
        """Return a time that the clock has surely passed."""
        return self.shown_ms + int((now - self.received_at) * 1000)

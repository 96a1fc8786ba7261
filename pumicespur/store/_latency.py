"""Derives timeouts from the response times of a store whose speed varies."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SMOOTHING_FACTOR = 0.2
"""Weight of the newest response time in the moving average."""

MEAN_FACTOR = 4.0
"""Timeout of a call as a multiple of the mean response time; normal variation stays below it."""

CHANGES_SLACK_S = 0.1
"""Time, in addition to that for slow responses, after which a request for changes counts as lost if
the rows can be read in another way. A store that has dropped its history may leave such requests
without a response (for 1.2 s, at the start of a load peak) while it accepts every submission."""

SLOWEST_FACTOR = 2.0
"""Wait for changes before another way is used, as a multiple of the longest recent response
time."""

RECENT_WINDOW_S = 3.0
"""Time for which a slow response is remembered."""


@dataclass
class ResponseTimes:
    """The mean of response times and the longest recent one, in seconds.

    A call without a response only shows that its timeout was too short, so it doubles the next
    one (exponential backoff, as for retransmissions); any response ends that.
    """

    min_s: float
    max_s: float
    mean_s: float = 0.0
    doublings: int = 0
    recent: deque[tuple[float, float]] = field(default_factory=deque)

    def timeout_s(self) -> float:
        """Return the timeout of the next call, in seconds."""
        return min(self.max_s, self.usual_timeout_s() * 2**self.doublings)

    def usual_timeout_s(self) -> float:
        """Return the timeout of a call after a response, in seconds."""
        return min(self.max_s, self.min_s + MEAN_FACTOR * self.mean_s)

    def note_response(self, now: float, took_s: float) -> None:
        """Note a response."""
        self.doublings = 0
        self.mean_s += SMOOTHING_FACTOR * (took_s - self.mean_s)
        self._note_recent(now, took_s)

    def note_timeout(self, now: float, waited_s: float) -> None:
        """Note a call that got no response in time."""
        if self.timeout_s() < self.max_s:
            self.doublings += 1
        self._note_recent(now, waited_s)

    def reset_backoff(self) -> None:
        """Use the usual timeout again, as after a response."""
        self.doublings = 0

    def _note_recent(self, now: float, took_s: float) -> None:
        self.recent.append((now, took_s))
        while self.recent and now - self.recent[0][0] > RECENT_WINDOW_S:
            self.recent.popleft()

    def max_recent_s(self, now: float) -> float:
        """Return the longest time that a recent call took, in seconds."""
        return max((took for at, took in self.recent if now - at <= RECENT_WINDOW_S), default=0.0)

    def fallback_timeout_s(self, now: float) -> float:
        """Return the time, in seconds, after which to read the rows in another way."""
        return CHANGES_SLACK_S + SLOWEST_FACTOR * self.max_recent_s(now)

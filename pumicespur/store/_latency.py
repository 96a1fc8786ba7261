"""How long to wait for an answer of a store whose speed changes."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

SMOOTHING = 0.2
"""Weight of the newest answer time in the mean."""

MEANS = 4.0
"""Mean answer times that a call may take; the usual spread stays under it."""

PATIENCE_S = 0.1
"""Time beyond the slowest answers of late after which a request for changes counts as forgotten,
where what it waits for can be read in another way. A store that had dropped its history answered
no such request for 1.2 s, at the onset of a pool, while it took every submission."""

SLOW_ANSWERS = 2.0
"""Times that the slowest answer of late counts there."""

RECENT_S = 3.0
"""Time for which a slow answer is remembered."""


@dataclass
class AnswerTimes:
    """The mean of answer times and the longest of late, in seconds.

    A call without an answer tells only that the time allowed was too short, so it doubles
    the next one's, as usual for retransmissions; any answer ends that.
    """

    least_s: float
    most_s: float
    mean_s: float = 0.0
    doublings: int = 0
    recent: deque[tuple[float, float]] = field(default_factory=deque)

    def timeout_s(self) -> float:
        """Return how long the next call may take."""
        allowed = self.least_s + MEANS * self.mean_s
        return min(self.most_s, allowed * 2**self.doublings)

    def note_answer(self, now: float, took_s: float) -> None:
        """Count an answer."""
        self.doublings = 0
        self.mean_s += SMOOTHING * (took_s - self.mean_s)
        self._remember(now, took_s)

    def note_silence(self, now: float, waited_s: float) -> None:
        """Count a call that got no answer in time."""
        if self.timeout_s() < self.most_s:
            self.doublings += 1
        self._remember(now, waited_s)

    def _remember(self, now: float, took_s: float) -> None:
        self.recent.append((now, took_s))
        while self.recent and now - self.recent[0][0] > RECENT_S:
            self.recent.popleft()

    def worst_s(self, now: float) -> float:
        """Return the longest time that a call took of late."""
        return max((took for at, took in self.recent if now - at <= RECENT_S), default=0.0)

    def patience_s(self, now: float) -> float:
        """Return the time after which an answer is better asked for in another way."""
        return PATIENCE_S + SLOW_ANSWERS * self.worst_s(now)

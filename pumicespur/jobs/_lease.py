"""How long a worker may go on with what it runs, reckoned on the owner's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass
class EarlierLeases:
    """When the leases are over that earlier owners of a pool may have given (monotonic seconds)."""

    last_until: float
    """For the owner before; it may still be alive and extend leases where it is not fenced."""
    older_until: float = 0.0
    """For all owners before that one."""

    @property
    def until(self) -> float:
        """Return when all of them are over."""
        return max(self.last_until, self.older_until)

    def shorten(self, last_until: float) -> None:
        """Note that the owner before is known to extend no more."""
        self.last_until = min(self.last_until, last_until)


@dataclass
class WorkerLease:
    """The newest reading of a worker's clock and the latest deadline it was ever given."""

    drift: float
    """Share by which the worker's clock may run slow."""
    earlier: EarlierLeases
    clock_ms: float | None = None
    last_seen_at: float = 0.0
    granted_until_ms: float = 0.0

    def note_clock(self, clock_ms: float, now: float) -> None:
        """Take a reading of the worker's clock; it showed at least this at `now`."""
        self.clock_ms = clock_ms
        self.last_seen_at = now

    def grant(self, now: float, lease_s: float, at_most_s: float = math.inf) -> int | None:
        """Return a deadline on the worker's clock, or None before its clock is known.

        It is over `at_most_s` from now at the latest, however slow that clock runs.
        """
        if self.clock_ms is None:
            return None
        since_s = now - self.last_seen_at
        left_s = min(since_s + lease_s, (since_s + at_most_s) * (1 - self.drift))
        deadline = self.clock_ms + left_s * 1000
        self.granted_until_ms = max(self.granted_until_ms, deadline)
        return int(deadline)

    def expires_at(self) -> float:
        """Return the monotonic time by which all that the worker ran has ended."""
        if self.clock_ms is None:
            return self.earlier.until
        left_s = max(0.0, self.granted_until_ms - self.clock_ms) / 1000
        return max(self.earlier.until, self.last_seen_at + left_s / (1 - self.drift))

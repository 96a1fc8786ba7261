"""Worker leases: until when a worker may run its tasks, on the owner's clock."""

from __future__ import annotations

import math
from dataclasses import dataclass

FENCED_LEASE_MARGIN_S = 0.5
"""Margin on the longest lease that an earlier owner has granted, for late timers."""


@dataclass
class EarlierLeases:
    """When leases that earlier owners of a pool may have granted expire (monotonic seconds)."""

    last_until: float
    """For the previous owner, which may still renew leases of workers that don't fence it yet."""
    older_until: float = 0.0
    """For all owners before the previous one."""
    of_any_length: bool = False
    """Whether they may have been granted to another incarnation of the worker, on whose clock they
    would be shorter."""

    @property
    def until(self) -> float:
        """Return when all of them have expired."""
        return max(self.last_until, self.older_until)

    def limit_last(self, last_until: float) -> None:
        """Bring the expiry forward when the previous owner is known to renew no more leases."""
        self.last_until = min(self.last_until, last_until)


@dataclass
class WorkerLease:
    """The last reading of a worker's clock and the latest deadline granted to it."""

    drift: float
    """Maximum ratio by which the worker's clock may run slow."""
    earlier: EarlierLeases
    clock_ms: float | None = None
    last_seen_at: float = 0.0
    granted_until_ms: float = 0.0

    def note_clock(self, clock_ms: float, now: float) -> None:
        """Note a reading of the worker's clock, which at `now` (monotonic) shows at least this."""
        self.clock_ms = clock_ms
        self.last_seen_at = now

    def note_fenced(self, now: float, lease_s: float) -> None:
        """Note that the worker has responded to this owner, so that it obeys no earlier one.

        What earlier owners granted before that lasts for one lease at most, in seconds.
        """
        if not self.earlier.of_any_length:
            until = now + lease_s / (1 - self.drift) + FENCED_LEASE_MARGIN_S
            self.earlier = EarlierLeases(min(self.earlier.until, until))

    def grant(self, now: float, lease_s: float, at_most_s: float = math.inf) -> int | None:
        """Return a deadline on the worker's clock, or None before its clock is known.

        The deadline is at most `at_most_s` from now, even if that clock runs as slow as `drift`
        allows.
        """
        if self.clock_ms is None:
            return None
        since_s = now - self.last_seen_at
        left_s = min(since_s + lease_s, (since_s + at_most_s) * (1 - self.drift))
        deadline = self.clock_ms + left_s * 1000
        self.granted_until_ms = max(self.granted_until_ms, deadline)
        return int(deadline)

    def expires_at(self) -> float:
        """Return the monotonic time by which the worker has ended all its runs."""
        if self.clock_ms is None:
            return self.earlier.until
        left_s = max(0.0, self.granted_until_ms - self.clock_ms) / 1000
        return max(self.earlier.until, self.last_seen_at + left_s / (1 - self.drift))

"""How long free capacity is held for work that can't start yet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._worker_load import WorkerLoad

MAX_IDLE_HOLD_S = 2.5
"""Longest hold in a pool of which under half is in use: other jobs may wait for 3 s beside free
capacity, less a round, a commit and a call."""

MAX_HOLD_S = 10.0
"""Longest hold in a pool that is in use; about the length of a load peak."""

MAX_GAP_S = 1.0
"""Time without a request after which a hold has ended; rounds follow within a quarter of it."""

IDLE_RATIO = 0.5
"""Share of a pool's processors below which it counts as idle."""


@dataclass
class HoldTimer:
    """Bounds holds: each is followed by a pause of the same length, in which nothing is held.

    Times are in monotonic seconds.
    """

    max_hold_s: float = MAX_HOLD_S
    began_at: float = 0.0
    requested_at: float = float("-inf")
    """When the hold was last requested."""
    idle_s: float = 0.0
    """For how long of the hold the pool was idle."""
    paused_until: float = float("-inf")

    def request(self, now: float, *, idle: bool) -> bool:
        """Return whether capacity may be held in this round."""
        if now < self.paused_until:
            return False
        if now - self.requested_at > MAX_GAP_S:
            self.began_at = now
            self.idle_s = 0.0
        elif idle:
            self.idle_s += now - self.requested_at
        self.requested_at = now
        if self.idle_s <= MAX_IDLE_HOLD_S and now - self.began_at <= self.max_hold_s:
            return True
        self.paused_until = now + (now - self.began_at)
        self.requested_at = float("-inf")
        return False

    def end(self) -> None:
        """End the hold, since the work has started."""
        self.requested_at = float("-inf")


def is_idle(loads: Iterable[WorkerLoad]) -> bool:
    """Whether so little of a pool is in use that other jobs may wait for a short time only."""
    used = capacity = 0
    for load in loads:
        used += load.cpu_millis
        capacity += load.worker.capacity.cpu_millis
    return used < IDLE_RATIO * capacity

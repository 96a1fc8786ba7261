"""Bounds how long leases granted by a pool's previous owners may still run.

An owner that is cut off from the store goes on renewing leases for a while. Its successor cannot
observe this on workers that it does not reach, so it waits for these leases to expire, unless the
previous owner is known to renew no more. The owner's row carries the latest expiry for all older
owners. Without it, each takeover would restart the wait of 12 s for the tasks of a lost worker, or
end it too early if the last owner is known to be gone and an older one is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs import EarlierLeases
from pumicespur.model import PoolId, ProcessId

if TYPE_CHECKING:
    from pumicespur.config import NodeSettings
    from pumicespur.store import StoreClock
    from pumicespur.view import FleetView, SeenOwner, SeenProcess

EXPIRY_SLACK_S = 0.5
"""Margin on the longest lease of a previous owner, for late timers and a stop under way."""


class Predecessors:
    """The previous owners of the pools that this process took over."""

    def __init__(self, settings: NodeSettings, view: FleetView, clock: StoreClock) -> None:
        self.settings = settings
        self.view = view
        self.clock = clock
        self.takeovers: dict[PoolId, tuple[SeenOwner, EarlierLeases]] = {}

    def track_leases(self, pool: PoolId, previous: SeenOwner, now: float) -> EarlierLeases:
        """Return when the leases on a pool just taken over expire; later heartbeats update it."""
        leases = EarlierLeases(now + self._max_remaining_s(pool, previous))
        if previous.record.leases_until_ms and self.clock.known:
            left_ms = previous.record.leases_until_ms - self.clock.at_least_ms(now)
            leases.older_until = now + left_ms / 1000
        self.takeovers[pool] = (previous, leases)
        return leases

    def leases_until_ms(self, pool: PoolId, previous: SeenOwner, now: float) -> int:
        """Return when all leases granted so far expire, on the store's clock, for a takeover now.

        The store may apply the takeover at any time until the call times out.
        """
        if not self.clock.known:
            return previous.record.leases_until_ms
        left_s = self.settings.store.max_timeout_s + self._max_remaining_s(pool, previous)
        return max(previous.record.leases_until_ms, self.clock.at_most_ms(now) + int(left_s * 1000))

    def apply_heartbeat(self, seen: SeenProcess, now: float) -> None:
        """Shorten the wait for previous owners that a heartbeat shows to renew no more leases."""
        for pool, (previous, leases) in self.takeovers.items():
            if previous.record.process != seen.heartbeat.process:
                continue
            if _has_stopped_renewing(seen, pool, previous):
                leases.limit_last(now + self._max_lease_s())

    def _max_lease_s(self) -> float:
        workers = self.settings.workers
        return workers.lease_s / (1 - workers.clock_drift) + EXPIRY_SLACK_S

    def _max_remaining_s(self, pool: PoolId, previous: SeenOwner) -> float:
        """Return how long leases of the previous owner may still run, in seconds."""
        if not previous.token:
            return 0.0
        if previous.record.released or previous.record.process == self.settings.process.id:
            return self._max_lease_s()
        seen = self.view.processes.get(ProcessId(previous.record.process))
        if seen is not None and _has_stopped_renewing(seen, pool, previous):
            return self._max_lease_s()
        return self._max_lease_s() + self.settings.workers.owner_silence_s


def _has_stopped_renewing(seen: SeenProcess, pool: PoolId, owner: SeenOwner) -> bool:
    """Return whether an owner's heartbeat shows that it renews no more leases on a pool.

    Only a heartbeat sent after that owner took the pool counts.
    """
    if seen.version <= owner.token:
        return False
    heartbeat = seen.heartbeat
    if heartbeat.incarnation != owner.record.incarnation:
        return True
    return any(g.pool == pool and g.fencing_token >= owner.token for g in heartbeat.given_up)

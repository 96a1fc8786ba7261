"""How long a new owner of a pool has to reckon with leases that owners before it gave.

An owner that is cut off from the store goes on extending leases for a while, and a new owner
can't tell so of a worker that it does not reach. It waits that out, unless the process before is
known to extend no more. What older owners may have given is carried in the owner's row: each
takeover would otherwise begin the wait of 12 s anew for tasks of a lost worker, or cut it short
where the last owner is known to be gone and one before it is not.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs import EarlierLeases
from pumicespur.model import PoolId, ProcessId

if TYPE_CHECKING:
    from pumicespur.config import NodeSettings
    from pumicespur.store import StoreClock
    from pumicespur.view import NodeView, SeenOwner, SeenProcess

LAPSE_SLACK_S = 0.5
"""Added to the longest lease of an earlier owner, for late timers and a stop under way."""


class Predecessors:
    """Who owned each pool before this process took it."""

    def __init__(self, settings: NodeSettings, view: NodeView, clock: StoreClock) -> None:
        self.settings = settings
        self.view = view
        self.clock = clock
        self.taken: dict[PoolId, tuple[SeenOwner, EarlierLeases]] = {}

    def earlier_leases(self, pool: PoolId, before: SeenOwner, now: float) -> EarlierLeases:
        """Return when the leases of a pool just taken are over; it is kept up to date here."""
        leases = EarlierLeases(now + self._unknown_s(pool, before))
        if before.record.leases_until_ms and self.clock.known:
            left_ms = before.record.leases_until_ms - self.clock.at_least_ms(now)
            leases.older_until = now + left_ms / 1000
        self.taken[pool] = (before, leases)
        return leases

    def leases_until_ms(self, pool: PoolId, before: SeenOwner, now: float) -> int:
        """Return when all leases so far are over, on the store's clock, if the pool is taken now.

        The call that takes it may apply until its answer is given up.
        """
        if not self.clock.known:
            return before.record.leases_until_ms
        left_s = self.settings.store.max_timeout_s + self._unknown_s(pool, before)
        return max(before.record.leases_until_ms, self.clock.at_most_ms(now) + int(left_s * 1000))

    def hear(self, seen: SeenProcess, now: float) -> None:
        """Wait no longer than for the last lease of owners that a heartbeat shows to be gone."""
        for pool, (before, leases) in self.taken.items():
            if before.record.process != seen.heartbeat.process:
                continue
            if _extends_no_more(seen, pool, before):
                leases.shorten(now + self._lease_s())

    def _lease_s(self) -> float:
        workers = self.settings.workers
        return workers.lease_s / (1 - workers.clock_drift) + LAPSE_SLACK_S

    def _unknown_s(self, pool: PoolId, before: SeenOwner) -> float:
        """Return how long leases of the owner before may still run, in seconds."""
        if not before.token:
            return 0.0
        if before.record.released or before.record.process == self.settings.process.id:
            return self._lease_s()
        seen = self.view.processes.get(ProcessId(before.record.process))
        if seen is not None and _extends_no_more(seen, pool, before):
            return self._lease_s()
        return self._lease_s() + self.settings.workers.owner_silence_s


def _extends_no_more(seen: SeenProcess, pool: PoolId, owner: SeenOwner) -> bool:
    """Whether an owner's process tells, after it took the pool, that it extends no leases there."""
    if seen.version <= owner.token:
        return False
    heartbeat = seen.heartbeat
    if heartbeat.incarnation != owner.record.incarnation:
        return True
    return any(g.pool == pool and g.fencing_token >= owner.token for g in heartbeat.given_up)

"""Restarted workers: which incarnations have ended, and how long their orders may take effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.model import start_time_ms, worker_name
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.jobs._pool import RunKey
    from pumicespur.model import Worker, WorkerId, WorkerName
    from pumicespur.schema.node_pb import WorkerSettings

MAX_CLOCK_DIFFERENCE_S = 5.0
"""Maximum difference between the wall clocks of a worker and of this process, with a margin."""


MAX_ORDER_DELAY_S = 15.0
"""Time for which a worker may still execute an order that got no response."""


def max_lease_s(settings: WorkerSettings) -> float:
    """Return how long a worker runs at most after an order, in seconds on the local clock."""
    return settings.longest_lease_ms / 1000 / (1 - settings.clock_drift)


def started_recently(worker: Worker, settings: WorkerSettings) -> bool:
    """Whether a worker may still run by an order that was meant for its previous incarnation."""
    start_ms = start_time_ms(worker.id)
    if start_ms is None:
        return False
    recent_s = max_lease_s(settings) + MAX_ORDER_DELAY_S + MAX_CLOCK_DIFFERENCE_S
    return now_ms() - start_ms < recent_s * 1000


class Restarts:
    """Ended incarnations of a pool's workers, and the runs to revoke on their next ones."""

    def __init__(self, settings: WorkerSettings, earlier: EarlierLeases) -> None:
        self.settings = settings
        self.earlier = earlier
        """When leases expire that earlier owners may have granted."""
        self.ended: dict[WorkerId, float] = {}
        """Ended incarnations and when that was noted (monotonic seconds)."""
        self.leased: set[WorkerName] = set()
        """Workers whose next incarnations may hold leases meant for the previous ones."""
        self.revoked: dict[WorkerName, dict[RunKey, float]] = {}
        """When runs whose starts got no response were last revoked (monotonic seconds)."""

    def note_revoked(self, worker: WorkerId, run: RunKey, now: float) -> None:
        """Note that a run was revoked whose start order may still be executed late."""
        revoked = self.revoked.setdefault(worker_name(worker), {})
        revoked[run] = now
        for old in [key for key, at in revoked.items() if now - at > MAX_ORDER_DELAY_S]:
            del revoked[old]

    def revoked_runs(self, worker: Worker, now: float) -> list[RunKey]:
        """Return the runs to revoke again on a worker's next incarnation."""
        revoked = self.revoked.get(worker.name, {})
        return [run for run, at in revoked.items() if now - at <= MAX_ORDER_DELAY_S]

    def note_ended(self, worker: WorkerId, now: float, *, leased: bool) -> None:
        """Note that an incarnation ended because another one of the same worker was seen."""
        self.ended[worker] = now
        if leased:
            self.leased.add(worker_name(worker))
        else:
            self.leased.discard(worker_name(worker))

    def has_ended(self, worker: WorkerId) -> bool:
        """Whether an incarnation is known to have ended, even if it is still listed."""
        return worker in self.ended

    def current_incarnations(self, listed: Mapping[WorkerId, Worker]) -> list[Worker]:
        """Return the listed incarnations without the ended ones, whose entries are outdated."""
        return [worker for name, worker in listed.items() if not self.has_ended(name)]

    def unknown_leases(self, worker: Worker, now: float) -> EarlierLeases:
        """Return when leases expire that an incarnation may hold without this owner's knowledge.

        A deadline on the clock of the previous incarnation may reach the new one, which applies it
        to its own clock. It may then run for as long as the platform allows any worker.
        """
        if worker.name not in self.leased and not self._may_hold_earlier_lease(worker, now):
            return self.earlier
        until = now + self.max_lease_s() + self.settings.call_timeout_s
        return EarlierLeases(until, self.earlier.until, of_any_length=True)

    def _may_hold_earlier_lease(self, worker: Worker, now: float) -> bool:
        """Whether an earlier owner may have sent its last orders to the previous incarnation."""
        start_ms = start_time_ms(worker.id)
        if start_ms is None or self.earlier.until <= now:
            return False
        return now_ms() - start_ms < (self.max_lease_s() + MAX_CLOCK_DIFFERENCE_S) * 1000

    def max_lease_s(self) -> float:
        """Return how long a worker runs at most after an order, in seconds on the local clock."""
        return max_lease_s(self.settings)

    def take_expired(self, now: float) -> set[WorkerId]:
        """Remove and return the ended incarnations whose last orders can no longer take effect."""
        expired_at = now - self.max_lease_s()
        found = {worker for worker, since in self.ended.items() if since < expired_at}
        for worker in found:
            del self.ended[worker]
        return found

"""Workers that started again: which lives are over, and how long orders for them take effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._lease import EarlierLeases
from pumicespur.model import birth_ms, worker_name
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.jobs._pool import RunKey
    from pumicespur.model import Worker, WorkerId, WorkerName
    from pumicespur.schema.node_pb import WorkerSettings

MAX_CLOCK_DIFFERENCE_S = 5.0
"""Most by which the time of day of a worker and of this process may differ, with room to spare."""


MAX_ORDER_DELAY_S = 15.0
"""Time for which an order without an answer may still be done by a worker."""


class Restarts:
    """The lives of a pool's workers that are known to be over, and what their next ones refuse."""

    def __init__(self, settings: WorkerSettings, earlier: EarlierLeases) -> None:
        self.settings = settings
        self.earlier = earlier
        """When leases are over that earlier owners may have given."""
        self.ended: dict[WorkerId, float] = {}
        """Lives that are over, and since when that is known (monotonic seconds)."""
        self.leased: set[WorkerName] = set()
        """Workers whose next lives may hold leases that were meant for the ones before."""
        self.revoked: dict[WorkerName, dict[RunKey, float]] = {}
        """When runs were last revoked (monotonic seconds) whose starts had got no answer."""

    def note_revoked(self, worker: WorkerId, run: RunKey, now: float) -> None:
        """Note that a worker was told to refuse a run whose start may still be done late."""
        revoked = self.revoked.setdefault(worker_name(worker), {})
        revoked[run] = now
        for old in [key for key, at in revoked.items() if now - at > MAX_ORDER_DELAY_S]:
            del revoked[old]

    def revoked_runs(self, worker: Worker, now: float) -> list[RunKey]:
        """Return the runs that a worker's next life, which knows of no stop, has to refuse too."""
        revoked = self.revoked.get(worker.name, {})
        return [run for run, at in revoked.items() if now - at <= MAX_ORDER_DELAY_S]

    def note_ended(self, worker: WorkerId, now: float, *, leased: bool) -> None:
        """Note that a life is over because another one of the same worker was heard of."""
        self.ended[worker] = now
        if leased:
            self.leased.add(worker_name(worker))
        else:
            self.leased.discard(worker_name(worker))

    def has_ended(self, worker: WorkerId) -> bool:
        """Whether a life is known to be over, whatever its entry says."""
        return worker in self.ended

    def current_incarnations(self, listed: Mapping[WorkerId, Worker]) -> list[Worker]:
        """Return the listed lives but for those that are over: their entries are out of date."""
        return [worker for name, worker in listed.items() if not self.has_ended(name)]

    def unknown_leases(self, worker: Worker, now: float) -> EarlierLeases:
        """Return when the leases of a life are over that nobody knows of.

        A deadline on the clock of the life before may reach a new one, which counts it on its
        own: it then goes on for as long as the platform lets any worker go on.
        """
        if worker.name not in self.leased and not self._may_hold_earlier_lease(worker, now):
            return self.earlier
        until = now + self._max_lease_s() + self.settings.call_timeout_s
        return EarlierLeases(last_until=until, older_until=self.earlier.until)

    def _may_hold_earlier_lease(self, worker: Worker, now: float) -> bool:
        """Whether an earlier owner may have meant its last orders for the life before."""
        born_ms = birth_ms(worker.id)
        if born_ms is None or self.earlier.until <= now:
            return False
        return now_ms() - born_ms < (self._max_lease_s() + MAX_CLOCK_DIFFERENCE_S) * 1000

    def _max_lease_s(self) -> float:
        """Return how long a worker goes on at most after an order, on this process's clock."""
        return self.settings.longest_lease_ms / 1000 / (1 - self.settings.clock_drift)

    def take_expired(self, now: float) -> set[WorkerId]:
        """Return the lives whose last orders can have no effect any more, each once."""
        longest_s = self._max_lease_s()
        found = {worker for worker, since in self.ended.items() if now - since > longest_s}
        for worker in found:
            del self.ended[worker]
        return found

"""Workers that have ended for certain, as the platform's list of instances shows.

An owner cannot tell a worker that has crashed from one that it does not reach, and would have to
wait for the lease to expire. The list shows what runs on each instance, whoever can reach it.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from pumicespur.model import InstanceState, WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.model import Instance
    from pumicespur.schema.jobs_pb import PoolReport

MIN_LIST_DISTANCE_S = 0.3
"""Shortest time between two lists that are compared. An instance may be left out while the list
changes, or appear late; two lists within that time may lack it for the same reason."""

RUNNING_STATES = frozenset({InstanceState.UP, InstanceState.UNKNOWN})
"""States of instances whose worker may run."""


class ListedWorkers(NamedTuple):
    """The workers that may run by one list of instances."""

    requested_at: float
    """In monotonic seconds."""
    names: frozenset[WorkerName]


class EndedWorkerFinder:
    """The workers that ran on no instance in two lists, nor in any between them."""

    def __init__(self) -> None:
        self.lists: deque[ListedWorkers] = deque()
        """The newest list that is old enough to be compared, and all later ones."""

    def note_list(self, instances: Iterable[Instance], requested_at: float) -> None:
        """Note a complete list of instances."""
        names = frozenset(
            instance.worker
            for instance in instances
            if instance.worker is not None and instance.state in RUNNING_STATES
        )
        self.lists.append(ListedWorkers(requested_at, names))
        while len(self.lists) > 1 and self._is_old(self.lists[1]):
            self.lists.popleft()

    def _is_old(self, listed: ListedWorkers) -> bool:
        return self.lists[-1].requested_at - listed.requested_at >= MIN_LIST_DISTANCE_S

    @property
    def as_of(self) -> float | None:
        """Return when the oldest list was requested, in monotonic seconds; None if it is new."""
        if not self.lists or not self._is_old(self.lists[0]):
            return None
        return self.lists[0].requested_at

    def find(self, reports: Iterable[PoolReport]) -> list[WorkerName]:
        """Return the ended ones among the workers that owners miss or can't reach.

        Without any worker in the lists, this platform does not tell what runs on its instances.
        """
        running = frozenset[WorkerName]().union(*(listed.names for listed in self.lists))
        if self.as_of is None or not running:
            return []
        suspects = {name for report in reports for name in _find_suspects(report)}
        return sorted(suspects - running)


def _find_suspects(report: PoolReport) -> Iterable[WorkerName]:
    yield from (WorkerName(name) for name in report.missing_workers)
    for worker in report.workers:
        if worker.tasks and not worker.reachable:
            yield WorkerName(worker.worker)

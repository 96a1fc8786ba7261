"""Workers that have ended for certain, as the platform's list of instances shows.

An owner cannot tell a worker that has crashed from one that it does not reach, and would have to
wait for the lease to expire. The list shows what runs on each instance, whoever can reach it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.model import InstanceState, WorkerName

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.model import Instance
    from pumicespur.schema.jobs_pb import PoolReport


class EndedWorkers:
    """The workers that ran on no instance in two lists in a row.

    One list is not enough: an instance may be left out of a page while the list changes.
    """

    def __init__(self) -> None:
        self.running: frozenset[WorkerName] = frozenset()
        """Workers on instances that are up, in the newest list or the one before."""
        self.newest: frozenset[WorkerName] = frozenset()
        """Workers on instances that are up, in the newest list."""
        self.as_of: float | None = None
        """When the older of the two lists was requested (monotonic seconds); None before there are
        two."""
        self.listed_at: float | None = None
        """When the newest list was requested (monotonic seconds)."""

    def note_list(self, instances: Iterable[Instance], requested_at: float) -> None:
        """Note a complete list of instances."""
        listed = frozenset(
            instance.worker
            for instance in instances
            if instance.worker is not None and instance.state is InstanceState.UP
        )
        self.running = self.newest | listed
        self.newest = listed
        self.as_of = self.listed_at
        self.listed_at = requested_at

    def find(self, reports: Iterable[PoolReport]) -> list[WorkerName]:
        """Return the ended ones among the workers with tasks that owners miss or can't reach.

        Without any worker in the lists, this platform does not tell what runs on its instances.
        """
        if self.as_of is None or not self.running:
            return []
        suspects = {name for report in reports for name in _find_suspects(report)}
        return sorted(suspects - self.running)


def _find_suspects(report: PoolReport) -> Iterable[WorkerName]:
    yield from (WorkerName(name) for name in report.missing_workers)
    for worker in report.workers:
        if worker.tasks and not worker.reachable:
            yield WorkerName(worker.worker)

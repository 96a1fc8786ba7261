"""Reports of the pools' owners on workers, as the fleet leader uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.model import Instance, InstanceId, PoolId
    from pumicespur.schema.jobs_pb import PoolReport, WorkerReport
    from pumicespur.view import FleetView

MAX_REPORT_AGE_S = 3.0
"""Max age of an owner's report by which a worker counts as empty."""

UNREACHABLE_DELAY_S = 1.2
"""Time without a response after which a worker is replaced; a lost call is retried within it."""


class FleetReports:
    """Newest reports of the owners, and when each instance's worker last responded."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.reached_at: dict[InstanceId, float] = {}
        """When a worker on each instance last responded (monotonic seconds)."""

    def pools(self) -> dict[PoolId, PoolReport]:
        """Return the reports that are fresh enough to decide by."""
        fresh = self.view.fresh_reports(MAX_REPORT_AGE_S)
        return {pool: fresh[pool] for pool in self.view.pools() if pool in fresh}

    def workers(
        self, reports: Mapping[PoolId, PoolReport], instances: Iterable[Instance]
    ) -> dict[InstanceId, WorkerReport]:
        """Return the report on the worker of each instance."""
        by_worker = {
            worker.worker: worker for report in reports.values() for worker in report.workers
        }
        return {i.id: by_worker[i.worker] for i in instances if i.worker in by_worker}

    def reachable(self, found: Mapping[InstanceId, WorkerReport]) -> frozenset[InstanceId]:
        """Return the instances whose workers responded within `UNREACHABLE_DELAY_S`."""
        now = monotonic()
        for name, report in found.items():
            if report.reachable:
                self.reached_at[name] = now
        return frozenset(
            name for name in found if now - self.reached_at.get(name, 0.0) < UNREACHABLE_DELAY_S
        )

    def is_empty(self, instance: Instance, report: WorkerReport | None) -> bool:
        """Whether an instance certainly runs no task and will be given none.

        `report` is the report on its worker; looking it up for each instance would take most of
        the time of a round.
        """
        if instance.worker is None:
            return True
        settings = self.view.configuration.pools.get(instance.pool)
        if settings is not None and settings.spare:
            return True
        if report is None:
            return False
        return report.reachable and report.evacuating and not report.tasks

    def has_no_protected_task(self, instance: Instance) -> bool:
        """Whether an instance certainly runs no task that an availability budget protects."""
        report = self._worker(instance)
        return report is not None and report.evacuating and not report.held_tasks

    def _worker(self, instance: Instance) -> WorkerReport | None:
        report = self.view.fresh_report(instance.pool, MAX_REPORT_AGE_S)
        workers = [] if report is None else report.workers
        return next((w for w in workers if w.worker == instance.worker), None)

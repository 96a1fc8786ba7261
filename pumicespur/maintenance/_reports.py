"""What pools' owners told of the workers on instances, as the fleet's holder reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.model import Instance, InstanceId, PoolId
    from pumicespur.schema.jobs_pb import PoolReport, WorkerReport
    from pumicespur.view import NodeView

REPORT_MAX_AGE_S = 3.0
"""Oldest report of an owner from which a worker is known to be empty."""

UNREACHED_S = 1.2
"""Time without an answer after which a worker is replaced; a lost call is repeated by then."""


class FleetReports:
    """The newest reports, and when each instance's worker last answered its owner."""

    def __init__(self, view: NodeView) -> None:
        self.view = view
        self.reached_at: dict[InstanceId, float] = {}
        """When a worker on each instance last answered (monotonic seconds)."""

    def pools(self) -> dict[PoolId, PoolReport]:
        """Return the reports that are fresh enough to decide by."""
        fresh = self.view.fresh_reports(REPORT_MAX_AGE_S)
        return {pool: fresh[pool] for pool in self.view.pools() if pool in fresh}

    def workers(
        self, reports: Mapping[PoolId, PoolReport], instances: Iterable[Instance]
    ) -> dict[InstanceId, WorkerReport]:
        """Return what is told of the worker on each instance."""
        told = {worker.worker: worker for report in reports.values() for worker in report.workers}
        return {i.id: told[i.worker] for i in instances if i.worker in told}

    def reachable(self, found: Mapping[InstanceId, WorkerReport]) -> frozenset[InstanceId]:
        """Return the instances whose workers answer, or did so a moment ago."""
        now = monotonic()
        for name, report in found.items():
            if report.reachable:
                self.reached_at[name] = now
        return frozenset(
            name for name in found if now - self.reached_at.get(name, 0.0) < UNREACHED_S
        )

    def is_idle(self, instance: Instance, report: WorkerReport | None) -> bool:
        """Whether an instance surely carries no task, nor will be given one.

        `report` is what is told of its worker; looked up anew for each instance, it would take
        most of a round.
        """
        if instance.worker is None:
            return True
        settings = self.view.configuration.pools.get(instance.pool)
        if settings is not None and settings.spare:
            return True
        if report is None:
            return False
        return report.reachable and report.evacuating and not report.tasks

    def is_released(self, instance: Instance) -> bool:
        """Whether an instance surely carries no task that an availability budget protects."""
        report = self._worker(instance)
        return report is not None and report.evacuating and not report.held_tasks

    def _worker(self, instance: Instance) -> WorkerReport | None:
        report = self.view.fresh_report(instance.pool, REPORT_MAX_AGE_S)
        workers = [] if report is None else report.workers
        return next((w for w in workers if w.worker == instance.worker), None)

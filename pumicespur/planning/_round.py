"""Input and output of a planning round, shared by all its steps."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.planning._usage import UsageTracker
from pumicespur.schema.fleet_pb import Assignment, Placement, Record, WaveProgress
from pumicespur.structure import Fleet, InstanceId, TaskId, WaveId, task_id

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.schema.operators_pb import Finding
    from pumicespur.schema.platform_pb import ListedInstance
    from pumicespur.schema.settings_pb import ManagerSettings


@dataclass
class PlanInput:
    """Input of a round: the state, the platform's list and the orders that it accepted."""

    fleet: Fleet
    listed: Mapping[str, ListedInstance]
    # Tokens of orders that the platform accepted before it made the list.
    acknowledged: frozenset[str]
    # Tokens of drain orders accepted so long ago that every entry has received the drain, or treats
    # its routing table as outdated; only then may an instance change pool.
    propagated: frozenset[str]
    # Instances that have been absent from the list for too long.
    missing: frozenset[InstanceId]
    now_ms: int
    settings: ManagerSettings
    usage: UsageTracker = field(default_factory=UsageTracker)


@dataclass
class Decision:
    """Rows that a round changes, the newest for each key, and its findings for operators."""

    assignments: dict[InstanceId, Assignment] = field(default_factory=dict)
    placements: dict[TaskId, Placement] = field(default_factory=dict)
    waves: dict[WaveId, WaveProgress] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def assign(self, assignment: Assignment) -> None:
        """Set the assignment of an instance."""
        self.assignments[InstanceId(assignment.instance)] = assignment

    def place(self, placements: Iterable[Placement]) -> None:
        """Set placements of tasks."""
        for placement in placements:
            self.placements[task_id(placement.job, placement.index)] = placement

    def record(self) -> Record | None:
        """Return the log record of the decision, or None if it changes nothing."""
        if not (self.assignments or self.placements or self.waves):
            return None
        return Record(
            assignments=list(self.assignments.values()),
            placements=list(self.placements.values()),
            waves=list(self.waves.values()),
        )

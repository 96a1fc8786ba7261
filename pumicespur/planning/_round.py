"""What a planning round knows and what it decides; shared by all its steps."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.planning._usage import UsageBook
from pumicespur.schema.fleet_pb import Assignment, Placement, Record, WaveProgress
from pumicespur.structure import Fleet, InstanceId, TaskId, WaveId, task_id

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.schema.operators_pb import Finding
    from pumicespur.schema.platform_pb import ListedInstance
    from pumicespur.schema.settings_pb import ManagerSettings


@dataclass
class PlanInput:
    """What a round knows: the state, the platform's list and the orders it has taken."""

    fleet: Fleet
    listed: Mapping[str, ListedInstance]
    # Tokens of orders that the platform took before the list was made.
    acknowledged: frozenset[str]
    # Tokens of drain orders taken long enough ago for an instance to change pool.
    settled: frozenset[str]
    # Instances that have been out of the list for too long.
    missing: frozenset[InstanceId]
    now_ms: int
    settings: ManagerSettings
    usage: UsageBook = field(default_factory=UsageBook)


@dataclass
class Decision:
    """The rows that a round wants to change, the newest for each key, and its findings."""

    assignments: dict[InstanceId, Assignment] = field(default_factory=dict)
    placements: dict[TaskId, Placement] = field(default_factory=dict)
    waves: dict[WaveId, WaveProgress] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)

    def assign(self, assignment: Assignment) -> None:
        """Decide an instance's place."""
        self.assignments[InstanceId(assignment.instance)] = assignment

    def place(self, placements: Iterable[Placement]) -> None:
        """Decide tasks' places."""
        for placement in placements:
            self.placements[task_id(placement.job, placement.index)] = placement

    def record(self) -> Record | None:
        """Return the log record of the decision, None if it changes nothing."""
        if not (self.assignments or self.placements or self.waves):
            return None
        return Record(
            assignments=list(self.assignments.values()),
            placements=list(self.placements.values()),
            waves=list(self.waves.values()),
        )

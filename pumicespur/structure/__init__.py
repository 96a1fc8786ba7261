"""The state of the fleet: ids, the state built from the log, and the checks on declarations."""

from __future__ import annotations

from pumicespur.model import (
    SPARE_POOL,
    DataHall,
    Epoch,
    InstanceId,
    JobId,
    PoolId,
    ProcessId,
    Rack,
    Revision,
    TaskId,
    TeamId,
    WaveId,
    task_id,
)
from pumicespur.structure._checks import check_declaration, min_available_instances
from pumicespur.structure._fleet import Fleet, RevisionGapError
from pumicespur.structure._sections import (
    SectionName,
    changed_sections,
    removed_sections,
    sections_of,
)

__all__ = [
    "SPARE_POOL",
    "DataHall",
    "Epoch",
    "Fleet",
    "InstanceId",
    "JobId",
    "PoolId",
    "ProcessId",
    "Rack",
    "Revision",
    "RevisionGapError",
    "SectionName",
    "TaskId",
    "TeamId",
    "WaveId",
    "changed_sections",
    "check_declaration",
    "min_available_instances",
    "removed_sections",
    "sections_of",
    "task_id",
]

"""The kinds of names and numbers that must not be mixed up."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
PoolId = NewType("PoolId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
TeamId = NewType("TeamId", str)
WaveId = NewType("WaveId", str)
ProcessId = NewType("ProcessId", str)
Rack = NewType("Rack", str)
DataHall = NewType("DataHall", str)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)

SPARE_POOL = PoolId("spare")
"""The pool of instances that no declared pool has."""


def task_id(job: str, index: int) -> TaskId:
    """Name one task of a job."""
    return TaskId(f"{job}/{index}")

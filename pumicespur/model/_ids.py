"""The kinds of names and numbers that must not be mixed up."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""An instance; it stays the same over restarts of what runs on it."""

WorkerId = NewType("WorkerId", str)
"""One life of a worker; a worker that starts again has another."""

PoolId = NewType("PoolId", str)
JobId = NewType("JobId", str)
RouteName = NewType("RouteName", str)
TaskId = NewType("TaskId", str)
TaskName = NewType("TaskName", str)
"""A task of a submitted job, as workers know it."""

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
    """Name one task of a declared job."""
    return TaskId(f"{job}/{index}")


def task_name(job: JobId, repeat: int, step: int, index: int) -> TaskName:
    """Name one task of a submitted job as workers know it."""
    return TaskName(f"{job}.{repeat}.{step}.{index}")

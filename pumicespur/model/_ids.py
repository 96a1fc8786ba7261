"""The kinds of names and numbers that must not be mixed up."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""An instance; it stays the same over restarts of what runs on it."""

WorkerName = NewType("WorkerName", str)
"""A worker as the platform lists it; it may start again under the same name."""

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


BIRTH_MARK = "@"
"""Parts a worker's name from the birth that tells its lives apart."""


def worker_id(name: WorkerName, born_ms: int | None) -> WorkerId:
    """Name one life of a worker; `born_ms` is None where the platform tells no births.

    Everything kept of a worker is kept under this id, so that nothing of one life is ever held
    for true of the next one.
    """
    return WorkerId(name if born_ms is None else f"{name}{BIRTH_MARK}{born_ms}")


def worker_name(worker: WorkerId) -> WorkerName:
    """Return the name under which the platform lists a life of a worker."""
    name, mark, birth = worker.rpartition(BIRTH_MARK)
    return WorkerName(name if mark and birth.isdigit() else worker)


def birth_ms(worker: WorkerId) -> int | None:
    """Return when a life began, in milliseconds since 1970; None where that is not told."""
    birth = worker.removeprefix(worker_name(worker)).removeprefix(BIRTH_MARK)
    return int(birth) if birth else None


def task_id(job: str, index: int) -> TaskId:
    """Name one task of a declared job."""
    return TaskId(f"{job}/{index}")


def task_name(job: JobId, repeat: int, step: int, index: int) -> TaskName:
    """Name one task of a submitted job as workers know it."""
    return TaskName(f"{job}.{repeat}.{step}.{index}")

"""Types of ids and numbers, distinct so that mypy reports any mix-up."""

from __future__ import annotations

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Id of an instance; it does not change when what runs on the instance restarts."""

WorkerName = NewType("WorkerName", str)
"""Name of a worker as the platform lists it; a worker keeps it when it restarts."""

WorkerId = NewType("WorkerId", str)
"""Id of one incarnation of a worker; a worker that restarts gets another."""

PoolId = NewType("PoolId", str)
JobId = NewType("JobId", str)
RouteName = NewType("RouteName", str)
TaskId = NewType("TaskId", str)
TaskName = NewType("TaskName", str)
"""Name of a task of a submitted job, as used in orders to workers."""

TeamId = NewType("TeamId", str)
WaveId = NewType("WaveId", str)
ProcessId = NewType("ProcessId", str)
Rack = NewType("Rack", str)
DataHall = NewType("DataHall", str)
Revision = NewType("Revision", int)
Epoch = NewType("Epoch", int)

SPARE_POOL = PoolId("spare")
"""The pool of instances that belong to no declared pool."""


INCARNATION_SEPARATOR = "@"
"""Separates a worker's name from the start time of the incarnation."""


def worker_id(name: WorkerName, start_ms: int | None) -> WorkerId:
    """Return the id of one incarnation of a worker.

    `start_ms` is the start time of the incarnation in milliseconds since 1970, None where the
    platform does not report it. All data about a worker is kept under this id, so that the data of
    one incarnation is never applied to the next.
    """
    return WorkerId(name if start_ms is None else f"{name}{INCARNATION_SEPARATOR}{start_ms}")


def worker_name(worker: WorkerId) -> WorkerName:
    """Return the name under which the platform lists a worker, the same for every incarnation."""
    name, separator, start = worker.rpartition(INCARNATION_SEPARATOR)
    return WorkerName(name if separator and start.isdigit() else worker)


def start_time_ms(worker: WorkerId) -> int | None:
    """Return the start time of an incarnation in ms since 1970; None where it is not reported."""
    start = worker.removeprefix(worker_name(worker)).removeprefix(INCARNATION_SEPARATOR)
    return int(start) if start else None


def task_id(job: str, index: int) -> TaskId:
    """Return the id of one task of a declared job."""
    return TaskId(f"{job}/{index}")


def task_name(job: JobId, repeat: int, step: int, index: int) -> TaskName:
    """Return the name of one task of a submitted job, as used in orders to workers."""
    return TaskName(f"{job}.{repeat}.{step}.{index}")

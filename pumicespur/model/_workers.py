"""Workers, their running and ended runs, and the instances that workers run on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from pumicespur.model._ids import worker_name

if TYPE_CHECKING:
    from pumicespur.model._ids import (
        DataHall,
        InstanceId,
        PoolId,
        Rack,
        TaskName,
        WorkerId,
        WorkerName,
    )


class WorkerState(Enum):
    """State of a worker; it accepts new tasks only while it is ready."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Capacity:
    """Resources that a worker has or a task needs."""

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0


@dataclass(frozen=True)
class Worker:
    """An incarnation of a worker, as it describes itself in the store."""

    id: WorkerId
    pool: PoolId
    address: str
    data_hall: DataHall
    state: WorkerState
    capacity: Capacity
    labels: frozenset[str]
    rack: Rack
    instance: InstanceId
    leaves_in_s: float | None = None
    """Min time in seconds until a draining worker leaves; None if it does not report one."""
    cold_for_s: float = 0.0
    """Time in seconds for which the worker is still slow after its start; 0 once it is warm."""

    @property
    def name(self) -> WorkerName:
        """The name under which the platform lists the worker, the same for every incarnation."""
        return worker_name(self.id)


@dataclass(frozen=True)
class HallEvacuation:
    """An operator's request that no task starts in a data hall, in force while its row exists."""

    hall: DataHall
    version: int
    """Version of the row; another one means that the evacuation was requested again."""


class InstanceState(Enum):
    """State of an instance."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"
    """The platform lists a state that is not known here."""


@dataclass(frozen=True)
class Instance:
    """An instance as the platform lists it."""

    id: InstanceId
    pool: PoolId
    state: InstanceState
    data_hall: DataHall
    rack: Rack
    labels: frozenset[str]
    capacity: Capacity
    worker: WorkerName | None
    """The worker that runs on the instance; the list does not say in which incarnation."""


class RunEnd(Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    """Its lease expired."""
    GANG_BROKEN = "broken"
    """Another member of its gang ended."""
    GANG_INCOMPLETE = "alone"
    """It waited too long for the other members of its gang."""


@dataclass(frozen=True)
class ActiveRun:
    """A run that is active on a worker."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    measurement: float
    """Measured latency in milliseconds for a serving task, CPU usage for any other."""


@dataclass(frozen=True)
class EndedRun:
    """The end of a run, which a worker lists until the owner acknowledges it as recorded."""

    number: int
    task: TaskName
    run: int
    outcome: RunEnd
    checkpoint: str

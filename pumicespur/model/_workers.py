"""Workers, what runs on them and how it ends, and the instances below them."""

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
    """Whether a worker takes new tasks."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Capacity:
    """What a worker has or a task asks for."""

    cpu_millis: int
    memory_mb: int
    accelerators: int = 0


@dataclass(frozen=True)
class Worker:
    """A worker as it describes itself in the store."""

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
    """Time that is left at least while the worker drains."""

    @property
    def name(self) -> WorkerName:
        """Return the name under which the platform lists the worker, in whatever life."""
        return worker_name(self.id)


class InstanceState(Enum):
    """What an instance is doing."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


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
    """The worker that runs there; the list does not tell in which of its lives."""


class RunEnd(Enum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """It waited too long for the other members of its gang."""


@dataclass(frozen=True)
class Running:
    """A run that a worker carries."""

    task: TaskName
    run: int
    checkpoint: str
    percent: int
    figure: float
    """Latency in milliseconds for a task that serves, else processor time in use."""


@dataclass(frozen=True)
class TaskEnd:
    """A run that ended, as a worker lists it until told that the end is recorded."""

    number: int
    task: TaskName
    run: int
    how: RunEnd
    checkpoint: str

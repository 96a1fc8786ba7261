"""Orders to workers, and their responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model._ids import TaskName
    from pumicespur.model._workers import ActiveRun, EndedRun


FENCED_REASON = "fence"
"""Reason of a worker that refuses an order with an outdated fencing token."""


@dataclass(frozen=True)
class OtherLife:
    """The addressed worker is gone; something else responds at its address."""


@dataclass(frozen=True)
class StartedAgain:
    """Another incarnation than the addressed one responded; it may have executed the order."""


@dataclass(frozen=True)
class Refused:
    """The worker did nothing; `reason` says why, or is the HTTP status if the worker gives none."""

    reason: str
    clock_ms: float | None


@dataclass(frozen=True)
class WorkerStatus:
    """Status of a worker: its running and ended runs, at `clock_ms` of its own clock."""

    clock_ms: float
    running: list[ActiveRun]
    ended: list[EndedRun]


@dataclass(frozen=True)
class StartOrder:
    """Order to start a run of a task; the deadline is in milliseconds of the worker's clock."""

    task: TaskName
    run: int
    payload: str
    checkpoint: str
    deadline_ms: int
    ticket: str = ""
    timeout_s: float = 0.5
    """Timeout of the call to the worker."""

"""Orders to workers, and what workers answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model._ids import TaskName
    from pumicespur.model._workers import Running, TaskEnd


FENCED = "fence"
"""Reason for which a worker refuses an order under an older token."""


@dataclass(frozen=True)
class OtherLife:
    """The worker that was meant is gone; something else answers at its address."""


@dataclass(frozen=True)
class StartedAgain:
    """The worker answers in another life than was meant, which may have done the order."""


@dataclass(frozen=True)
class Refused:
    """The worker did nothing, for the reason it names (or the status, if it names none)."""

    reason: str
    clock_ms: float | None


@dataclass(frozen=True)
class Account:
    """What a worker says of itself, at `clock_ms` of its own clock."""

    clock_ms: float
    running: list[Running]
    ended: list[TaskEnd]


@dataclass(frozen=True)
class StartOrder:
    """One start of a task; the deadline is a time of the worker's clock in milliseconds."""

    task: TaskName
    run: int
    payload: str
    checkpoint: str
    deadline_ms: int
    ticket: str = ""
    timeout_s: float = 0.5
    """How long its answer is waited for."""

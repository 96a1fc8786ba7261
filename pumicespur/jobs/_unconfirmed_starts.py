"""Starts ordered to one life of a worker, until an account of that life tells of them.

A worker that starts again keeps its name and its address, so that a start on its way to one life
may be done by the next one. Such a start is lost with neither: it is carried over to the next
life, where it is found running or barred before its task starts elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from collections.abc import Container

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._pool import RunKey
    from pumicespur.model import WorkerId

ORDERED = frozenset({TaskState.STARTING, TaskState.RUNNING})


@dataclass
class UnresolvedStart:
    """A start of which it is not known whether the worker took it."""

    run: int
    since: float
    """When its call was given up (monotonic seconds); only accounts asked for later tell."""
    revoked_at: float | None = None
    """When a run that had not begun was known to be kept from it (monotonic seconds)."""
    ordered_to: WorkerId | None = None
    """The earlier life that it was ordered to, if it was not this one."""


@dataclass
class UnconfirmedStarts:
    """Starts that were ordered and that no account of the life has told of yet."""

    tasks: set[Task] = field(default_factory=set)

    def remove_confirmed(self, worker: WorkerId, running: Container[RunKey]) -> None:
        """Take out what the worker lists as running, and what has ended or is ordered no more."""
        self.tasks = {
            task
            for task in self.tasks
            if task.is_current_run(worker, task.run)
            and task.state in ORDERED
            and (task.name, task.run) not in running
        }

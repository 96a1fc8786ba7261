"""Starts ordered on one incarnation of a worker, until a status of that incarnation lists them.

A restarted worker keeps its name and address, so that a start sent to one incarnation may be
executed by the next one. Such a start is not dropped with the ended incarnation: the next one
adopts it, and it is found running or is revoked there before its task is requeued.
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
    """A start of which it is not known whether the worker accepted it."""

    run: int
    since: float
    """When its call ended without a response, or the pool was taken over if the start was adopted
    (monotonic seconds). A status requested earlier does not show whether the worker accepted it."""
    revoked_at: float | None = None
    """When the worker confirmed that the run is revoked (monotonic seconds)."""
    ordered_to: WorkerId | None = None
    """The earlier incarnation that it was ordered on, if it was not this one."""


@dataclass
class UnconfirmedStarts:
    """Ordered starts that no status of the incarnation has listed yet."""

    tasks: set[Task] = field(default_factory=set)

    def remove_confirmed(self, worker: WorkerId, running: Container[RunKey]) -> None:
        """Remove tasks that the worker lists as running, that ended or are assigned elsewhere."""
        self.tasks = {
            task
            for task in self.tasks
            if task.is_current_run(worker, task.run)
            and task.state in ORDERED
            and (task.name, task.run) not in running
        }

"""How fast tasks that fill may work beside tasks that serve users."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._load import WorkerLoad

FULL = 100
CAREFUL = 30
"""First share, in percent, to which filling tasks are slowed; the next is a standstill."""

HIGH = 0.85
"""Share of a latency objective above which filling tasks are slowed."""

LOW = 0.6
"""Share of a latency objective below which they may work faster again."""

STEP = 20
"""Percent by which they work faster each time."""

AGAIN_S = 0.6
"""Pause between changes on one worker: the figures are means of half a second."""


def choose_paces(loads: Iterable[WorkerLoad], now: float) -> list[tuple[Task, int]]:
    """Return the filling tasks whose pace changes, with the new share in percent."""
    changes: list[tuple[Task, int]] = []
    for load in loads:
        if now - load.paced_at < AGAIN_S:
            continue
        running = [task for task in load.tasks if task.state is TaskState.RUNNING]
        filling = [task for task in running if task.spec.fills]
        strain = max((_strain(task) for task in running), default=0.0)
        found = [(task, pace) for task in filling if (pace := _pace(task, strain)) != task.pace]
        if found:
            load.paced_at = now
            changes += found
    return changes


def _strain(task: Task) -> float:
    objective = task.spec.latency_objective_ms
    return task.figure / objective if objective else 0.0


def _pace(task: Task, strain: float) -> int:
    if strain > HIGH:
        return CAREFUL if task.pace > CAREFUL else 0
    if strain < LOW:
        return min(FULL, task.pace + STEP)
    return task.pace

"""Throttling of best-effort tasks that run beside tasks with latency objectives."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._worker_load import WorkerLoad

FULL_SPEED_PERCENT = 100
REDUCED_SPEED_PERCENT = 30
"""First speed to which best-effort tasks are throttled; the next step is a standstill."""

THROTTLE_ABOVE_RATIO = 0.85
"""Share of a latency objective above which best-effort tasks are throttled."""

SPEED_UP_BELOW_RATIO = 0.6
"""Share of a latency objective below which best-effort tasks speed up again."""

SPEED_STEP_PERCENT = 20
"""Increase of the speed at each step."""

CHANGE_INTERVAL_S = 0.6
"""Pause between changes on one worker, as measurements are averages over half a second."""


def choose_speed_changes(loads: Iterable[WorkerLoad], now: float) -> list[tuple[Task, int]]:
    """Return the best-effort tasks whose speed changes, with the new speed in percent."""
    changes: list[tuple[Task, int]] = []
    for load in loads:
        if now - load.throttled_at < CHANGE_INTERVAL_S:
            continue
        running = [task for task in load.tasks if task.state is TaskState.RUNNING]
        best_effort = [task for task in running if task.spec.fills]
        latency_ratio = max((_latency_ratio(task) for task in running), default=0.0)
        found = [
            (task, percent)
            for task in best_effort
            if (percent := _next_speed(task, latency_ratio)) != task.speed_percent
        ]
        if found:
            load.throttled_at = now
            changes += found
    return changes


def _latency_ratio(task: Task) -> float:
    objective = task.spec.latency_objective_ms
    return task.measurement / objective if objective else 0.0


def _next_speed(task: Task, latency_ratio: float) -> int:
    if latency_ratio > THROTTLE_ABOVE_RATIO:
        return REDUCED_SPEED_PERCENT if task.speed_percent > REDUCED_SPEED_PERCENT else 0
    if latency_ratio < SPEED_UP_BELOW_RATIO:
        return min(FULL_SPEED_PERCENT, task.speed_percent + SPEED_STEP_PERCENT)
    return task.speed_percent

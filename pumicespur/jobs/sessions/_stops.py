"""Which runs on a worker are stopped: unwanted ones, those of broken gangs, and stalled ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from collections.abc import Collection

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import TaskName

MIN_STALL_TIMEOUT_S = 2.0
"""Minimum time without progress after which a short task counts as stalled: two and a half polls.
Healthy tasks of one or two seconds gain a percent in a fiftieth of a second."""

STALL_TIMEOUT_RATIO = 0.1
"""Share of a task's estimate that one percent of progress may take; estimates are inaccurate."""

STOP_RETRY_DELAY_S = 0.4
"""Time after which a stop without effect is sent again."""


def is_stalled(task: Task, now: float) -> bool:
    """Whether a task has made no progress for longer than a healthy one would."""
    if task.state is not TaskState.RUNNING or task.job.ended or task.spec.long_running:
        return False
    if now - task.stop_sent_at < STOP_RETRY_DELAY_S:
        return False
    timeout_s = max(MIN_STALL_TIMEOUT_S, STALL_TIMEOUT_RATIO * task.spec.estimated_ms / 1000)
    return now - task.progressed_at > timeout_s


def is_gang_broken(task: Task) -> bool:
    """Whether a task runs in a gang of which a member waits, so that all have to start again."""
    return task.spec.gang and any(other.state is TaskState.WAITING for other in task.group.tasks)


def _is_wanted(task: Task, load: WorkerLoad, run: int) -> bool:
    return task.is_current_run(load.worker.id, run) and not is_gang_broken(task)


def mark_stalled(load: WorkerLoad, now: float) -> list[Task]:
    """Return stalled tasks, marked as stopping; they continue elsewhere from their checkpoint."""
    chosen = [
        task for task in load.tasks if task.worker == load.worker.id and is_stalled(task, now)
    ]
    for task in chosen:
        task.stop_sent_at = now
        task.stopping_run = task.run
        load.note_result(False, now)
    return chosen


@dataclass
class UnwantedRuns:
    """Unwanted runs on one worker: cancelled, failed or replaced ones, and parts of gangs."""

    stops: dict[tuple[TaskName, int], float] = field(default_factory=dict)
    """When each was last ordered to stop (monotonic seconds)."""

    def choose(
        self,
        pool: PoolState,
        load: WorkerLoad,
        running: Collection[tuple[TaskName, int]],
        now: float,
    ) -> list[tuple[TaskName, int]]:
        """Return the runs to stop; a stop without effect is repeated after a delay."""
        chosen = []
        for name, run in running:
            task = pool.find_task(name)
            if task is not None and _is_wanted(task, load, run):
                continue
            if now - self.stops.get((name, run), float("-inf")) < STOP_RETRY_DELAY_S:
                continue
            self.stops[name, run] = now
            chosen.append((name, run))
        if len(self.stops) > len(running):
            self.stops = {key: at for key, at in self.stops.items() if key in running}
        return chosen

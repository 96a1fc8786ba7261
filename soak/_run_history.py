"""Queries on the history of runs as the workers recorded it."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from standins.hosted import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak._callers import SentJob
    from standins.hosted import Run


def group_by_task(history: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs of each task, oldest first."""
    grouped: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(history, key=lambda run: run.started_at):
        grouped[run.task].append(run)
    return grouped


def is_running_at(run: Run, at: float) -> bool:
    """Return whether a run was in progress at a monotonic time."""
    return run.started_at <= at and (run.ended_at is None or run.ended_at > at)


def runs_of_step(runs: dict[str, list[Run]], job: SentJob, step: int) -> list[Run]:
    """Return the runs of all tasks of a step."""
    names = [f"{job.id}.0.{step}.{n}" for n in range(job.task_count(step))]
    return [run for name in names for run in runs.get(name, [])]


def step_completed_at(runs: dict[str, list[Run]], job: SentJob, step: int) -> float | None:
    """Return the time at which the last task of a step succeeded; None until all have."""
    ends = []
    for index in range(job.task_count(step)):
        done = [r for r in runs.get(f"{job.id}.0.{step}.{index}", []) if r.how == "done"]
        if not done:
            return None
        ends.append(min(run.ended_at or 0.0 for run in done))
    return max(ends)


def is_completed(runs: dict[str, list[Run]], job: SentJob) -> bool:
    """Return whether every task of a job has succeeded."""
    return all(step_completed_at(runs, job, number) is not None for number in range(len(job.steps)))


def has_exhausted_attempts(runs: dict[str, list[Run]], job: SentJob) -> bool:
    """Return whether a task of a job has used all its attempts."""
    return any(
        sum(1 for run in task_runs if run.how == "failed") >= MAX_ATTEMPTS
        for task, task_runs in runs.items()
        if task.startswith(job.id)
    )

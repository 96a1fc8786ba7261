"""What the runs of a job's tasks show, as the workers saw them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from standins.hosted import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak._callers import SentJob
    from standins.hosted import Run


def by_task(history: Iterable[Run]) -> dict[str, list[Run]]:
    """Return the runs of each task, oldest first."""
    found: dict[str, list[Run]] = defaultdict(list)
    for run in sorted(history, key=lambda run: run.started_at):
        found[run.task].append(run)
    return found


def is_at_work(run: Run, at: float) -> bool:
    """Whether a run was at work at a monotonic time."""
    return run.started_at <= at and (run.ended_at is None or run.ended_at > at)


def runs_of(runs: dict[str, list[Run]], job: SentJob, step: int) -> list[Run]:
    """Return the runs of a step's tasks."""
    names = [f"{job.id}.0.{step}.{n}" for n in range(job.size_of(step))]
    return [run for name in names for run in runs.get(name, [])]


def done_at(runs: dict[str, list[Run]], job: SentJob, step: int) -> float | None:
    """Return when the last task of a step was done, None while one is not."""
    ends = []
    for place in range(job.size_of(step)):
        done = [r for r in runs.get(f"{job.id}.0.{step}.{place}", []) if r.how == "done"]
        if not done:
            return None
        ends.append(min(run.ended_at or 0.0 for run in done))
    return max(ends)


def all_done(runs: dict[str, list[Run]], job: SentJob) -> bool:
    """Whether every task of a job was done."""
    return all(done_at(runs, job, number) is not None for number in range(len(job.steps)))


def has_failed(runs: dict[str, list[Run]], job: SentJob) -> bool:
    """Whether a task of a job used its attempts."""
    return any(
        sum(1 for run in found if run.how == "failed") >= MAX_ATTEMPTS
        for task, found in runs.items()
        if task.startswith(job.id)
    )

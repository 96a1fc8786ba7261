"""What operators are told of a job."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import PoolId
    from pumicespur.schema.jobs_pb import FailureRecord, ProgressRecord


def explain_failure(failure: FailureRecord) -> str:
    """Tell in words why a job failed."""
    if failure.lost_workers:
        return f"task {failure.task} brought down {len(failure.lost_workers)} workers"
    return f"task {failure.task} failed {failure.attempts} times"


def describe_progress(name: str, pool: PoolId, progress: ProgressRecord) -> dict[str, object]:
    """Return a job's recorded state, for JSON; workers brought down by its tasks are named."""
    failure = progress.failure
    described: dict[str, object] = {
        "job": name,
        "pool": pool,
        "route": progress.route,
        "account": progress.account,
        "phase": progress.phase.name.lower(),
        "reason": "" if failure is None else explain_failure(failure),
        "lost_workers": [] if failure is None else list(failure.lost_workers),
    }
    described["suspected_tasks"] = {
        str(task.index): [loss.worker for loss in task.losses]
        for task in progress.tasks
        if task.losses
    }
    return described

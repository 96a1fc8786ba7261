"""Descriptions of jobs for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.model import WorkerId, worker_name

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.model import PoolId, WorkerName
    from pumicespur.schema.jobs_pb import FailureRecord, ProgressRecord


def explain_failure(failure: FailureRecord) -> str:
    """Return in words why a job failed."""
    if failure.lost_workers:
        return f"task {failure.task} brought down {len(failure.lost_workers)} workers"
    return f"task {failure.task} failed {failure.attempts} times"


def _names(workers: Iterable[str]) -> list[WorkerName]:
    """Return the names of workers, under which operators find them."""
    return [worker_name(WorkerId(worker)) for worker in workers]


def describe_progress(name: str, pool: PoolId, progress: ProgressRecord) -> dict[str, object]:
    """Return a job's recorded state for JSON, with the workers that its tasks crashed."""
    failure = progress.failure
    described: dict[str, object] = {
        "job": name,
        "pool": pool,
        "route": progress.route,
        "account": progress.account,
        "phase": progress.phase.name.lower(),
        "reason": "" if failure is None else explain_failure(failure),
        "lost_workers": [] if failure is None else _names(failure.lost_workers),
    }
    described["suspected_tasks"] = {
        str(task.index): _names(loss.worker for loss in task.losses)
        for task in progress.tasks
        if task.losses
    }
    return described

"""Long-running tasks without a run: since when and why, for logs, metrics and descriptions.

An owner looks for them once a second. A task counts as without a run unless a worker that answers
has confirmed its run, so one whose worker is unreachable counts although its run may go on.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.jobs._job import TaskState
from pumicespur.jobs.reports._missing_run_reasons import find_cause
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs.reports._missing_run_reasons import (
        MissingRunCause,
        MissingRunReason,
        ReportedOwner,
    )
    from pumicespur.model import Worker, WorkerId, WorkerName

log = Logger(__name__)

MAX_TIME_WITHOUT_RUN_S = 6.0
"""Time after its last run within which a long-running task has its next one, by the platform's
promise to callers."""

LOG_AFTER_S = MAX_TIME_WITHOUT_RUN_S / 2
"""Time without a run after which a task is logged."""

MAX_LOGGED_TASKS = 20
"""Tasks that one update logs by name, for each event; the rest is counted."""

MAX_EXAMINED_STEPS = 3
"""Steps for which one update looks through the pool's workers for the reason why they wait."""

MAX_NAMED_TASKS = 20
"""Tasks that a description names, those that have waited longest; the rest is counted."""


def has_known_run(pool: PoolState, task: Task) -> bool:
    """Whether a worker that still answers has confirmed a task's run."""
    if task.state is not TaskState.RUNNING:
        return False
    load = pool.load_of(task)
    return load is not None and load.reachable


def find_tasks_without_run(pool: PoolState, now_ms: float) -> Iterator[Task]:
    """Yield the long-running tasks of unfinished jobs that may start and have no known run."""
    for job in pool.jobs.values():
        if job.ended or not any(step.long_running for step in job.record.steps):
            continue
        for group in job.ready_groups(now_ms):
            if not group.spec.long_running:
                continue
            for task in group.tasks:
                if task.state is not TaskState.DONE and not has_known_run(pool, task):
                    yield task


@dataclass
class MissingRun:
    """A long-running task that has had no run since a monotonic time in seconds."""

    task: Task
    since: float
    at_least: bool
    """Whether it may have had none for longer, under an earlier owner."""
    worker: WorkerId | None = None
    """The worker that it was last known to be assigned to."""
    reasons: list[MissingRunReason] = field(default_factory=list)
    """The reasons that were logged, oldest first; empty if the task was not logged."""
    examined_at: float = 0.0
    """When the reason was last looked for (monotonic seconds)."""

    def is_over(self, pool: PoolState) -> bool:
        """Whether the task has had a run since."""
        return self.task.first_seen_at > self.since or has_known_run(pool, self.task)


class MissingRuns:
    """The long-running tasks without a run of one owned pool."""

    def __init__(self, owner: ReportedOwner) -> None:
        self.owner = owner
        self.pool = owner.pool
        self.missing: dict[Task, MissingRun] = {}
        self.updated_at = owner.ownership.acquired_at
        """When tasks were last looked for (monotonic seconds)."""

    def note_takeover(self, now_ms: float) -> None:
        """Note the tasks of the jobs that an earlier owner has left."""
        for task in find_tasks_without_run(self.pool, now_ms):
            self.missing[task] = MissingRun(task, self.updated_at, at_least=True)
            self.missing[task].worker = task.worker

    def update(self, now: float, now_ms: float) -> None:
        """Look for tasks without a run, log those that have waited for long, set the gauges."""
        before = self.missing
        over = {task: run for task, run in before.items() if run.is_over(self.pool)}
        self.missing = {}
        for task in find_tasks_without_run(self.pool, now_ms):
            known = None if task in over else before.get(task)
            found = known or MissingRun(task, self._missing_since(task, now), at_least=False)
            found.worker = task.worker or found.worker
            self.missing[task] = found
        self.updated_at = now
        self._log_resumed([run for run in over.values() if run.reasons], now)
        self._log_missing(now)
        labels = {"pool": str(self.pool.pool)}
        METRICS.tasks_without_run.set(labels, len(self.missing))
        METRICS.longest_time_without_run.set(labels, round(self._longest_s(now), 3))

    def _missing_since(self, task: Task, now: float) -> float:
        """Return since when a task has had no run that had one, or was not ready, before.

        An earlier time than the last update is from an earlier run.
        """
        load = self.pool.load_of(task)
        if load is not None and not load.reachable:
            since = load.unresponsive_since
        else:
            since = task.unavailable_since or 0.0
        return since if since >= self.updated_at else now

    def _longest_s(self, now: float) -> float:
        return max((now - run.since for run in self.missing.values()), default=0.0)

    def _log_missing(self, now: float) -> None:
        """Log the tasks that have been without a run for long, and again for a new reason."""
        late = [run for run in self.missing.values() if now - run.since >= LOG_AFTER_S]
        late.sort(key=lambda run: (bool(run.reasons), run.examined_at, run.since))
        causes = _Causes(self.owner, now)
        for run in late[:MAX_LOGGED_TASKS]:
            if len(causes.by_step) < MAX_EXAMINED_STEPS or causes.is_known(run.task):
                self._log_cause(run, causes.of(run.task), now)
        left_out = sum(1 for run in late if not run.reasons)
        if left_out:
            self._log_rest("long-running tasks without a run left out", left_out)

    def _log_cause(self, run: MissingRun, cause: MissingRunCause, now: float) -> None:
        """Log why a task has no run, unless it was logged for this reason before."""
        run.examined_at = now
        if cause.reason in run.reasons:
            return
        still = "still " if run.reasons else ""
        run.reasons.append(cause.reason)
        log.warning(
            f"long-running task {still}without a run",
            pool=self.pool.pool,
            job=run.task.job.id,
            **_describe(run, cause, now),
        )

    def _log_resumed(self, runs: Sequence[MissingRun], now: float) -> None:
        for run in runs[:MAX_LOGGED_TASKS]:
            began_at = run.task.first_seen_at if run.task.first_seen_at > run.since else now
            log.info(
                "long-running task runs again",
                pool=self.pool.pool,
                job=run.task.job.id,
                task=run.task.name,
                run=run.task.run,
                worker=run.task.worker,
                for_s=round(began_at - run.since, 3),
                at_least=run.at_least,
                reasons=[reason.value for reason in run.reasons],
            )
        if len(runs) > MAX_LOGGED_TASKS:
            left_out = len(runs) - MAX_LOGGED_TASKS
            self._log_rest("long-running tasks that run again left out", left_out)

    def _log_rest(self, event: str, count: int) -> None:
        log.warning(event, pool=self.pool.pool, count=count)

    def describe(self, now: float) -> dict[str, object]:
        """Return the pool's long-running tasks without a run, for JSON."""
        runs = [run for run in self.missing.values() if not self._has_ended(run)]
        longest_s = max((now - run.since for run in runs), default=0.0)
        return {
            "count": len(runs),
            "longest_s": round(longest_s, 3),
            "tasks": self._describe_oldest(runs, now),
        }

    def describe_job(self, job: Job, now: float) -> dict[str, object]:
        """Return the tasks without a run of one job, for JSON; empty if there are none."""
        runs = [run for task in job.tasks if (run := self.missing.get(task)) is not None]
        runs = [run for run in runs if not self._has_ended(run)]
        if not runs:
            return {}
        described: dict[str, object] = {"count": len(runs)}
        return {"without_run": described | {"tasks": self._describe_oldest(runs, now)}}

    def _has_ended(self, run: MissingRun) -> bool:
        """Whether a task has got a run, or has none any more to wait for, since the last update."""
        done = run.task.job.ended or run.task.state is TaskState.DONE
        return done or run.is_over(self.pool)

    def _describe_oldest(self, runs: Iterable[MissingRun], now: float) -> list[dict[str, object]]:
        oldest = sorted(runs, key=lambda run: run.since)[:MAX_NAMED_TASKS]
        causes = _Causes(self.owner, now)
        return [_describe(run, causes.of(run.task), now) for run in oldest]


class _Causes:
    """Why tasks have no run at one time; waiting tasks of a step have the same cause."""

    def __init__(self, owner: ReportedOwner, now: float) -> None:
        self.owner = owner
        self.now = now
        self.by_step: dict[tuple[StepGroup, int], MissingRunCause] = {}
        """By step and number of worker losses, on which quarantine depends."""

    def is_known(self, task: Task) -> bool:
        """Whether the cause is found without a look through the pool's workers."""
        return task.worker is not None or (task.group, len(task.losses)) in self.by_step

    def of(self, task: Task) -> MissingRunCause:
        """Return why a task has no run."""
        if task.worker is not None:
            return find_cause(self.owner, task, self.now)
        step = (task.group, len(task.losses))
        if step not in self.by_step:
            self.by_step[step] = find_cause(self.owner, task, self.now)
        return self.by_step[step]


def _describe(run: MissingRun, cause: MissingRunCause, now: float) -> dict[str, object]:
    """Return fields on one task without a run; without those that are not known."""
    described: dict[str, object] = {
        "task": run.task.name,
        "for_s": round(now - run.since, 3),
        "at_least": run.at_least,
        "reason": cause.reason.value,
    }
    if run.worker is not None:
        described["worker"] = run.worker
    if cause.leased_until is not None:
        described["leases_end_in_s"] = round(max(0.0, cause.leased_until - now), 3)
    return described


def describe_inherited_runs(
    pool: PoolState, listed: Mapping[WorkerName, Worker] | None
) -> dict[str, int | None]:
    """Return how many runs an earlier owner has left, and of how many the worker is not listed.

    The latter is None while the list of workers is not known.
    """
    runs = [
        task
        for job in pool.jobs.values()
        if not job.ended
        for task in job.tasks
        if task.worker is not None
    ]
    if listed is None:
        return {"inherited_runs": len(runs), "unlisted_runs": None}
    current = {worker.id for worker in listed.values()}
    unlisted = sum(1 for task in runs if task.worker not in current)
    return {"inherited_runs": len(runs), "unlisted_runs": unlisted}

"""The check that long-running tasks are not away for long, by what workers saw of them.

It is called several times a second, since a task that is back at the end may have been away long
before.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from soak._callers import TASK_CPU_MILLIS, JobKind
from soak._checker import Finding
from soak._steadiness import Steadiness

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from soak._callers import SentJob
    from soak._faults import Injector
    from soak._world import SoakWorld
    from standins.hosted import HostedWorker, Run

PLATFORM_LEASE_S = 3.5
"""Lease of the platform for which it states the two times below."""

PLATFORM_MAX_ABSENCE_S = 6.0
"""Time after a task's last run from which on it must run again."""

PLATFORM_MIN_CALM_S = 7.0
"""Time without faults up to that moment."""

MIN_ROOM_TASKS = 2
"""Tasks for which a worker must have room to count as free for one."""


@dataclass(frozen=True)
class Limits:
    """The platform's times, each shorter by as much as the lease is."""

    lease_s: float

    @property
    def max_absence_s(self) -> float:
        """Time after its last run, or after its acceptance, by which a task runs again."""
        return PLATFORM_MAX_ABSENCE_S - PLATFORM_LEASE_S + self.lease_s

    @property
    def min_calm_s(self) -> float:
        """Time without faults before that limit applies."""
        return PLATFORM_MIN_CALM_S - PLATFORM_LEASE_S + self.lease_s


@dataclass
class Absence:
    """The time in which a task has no run; all times are in monotonic seconds."""

    since: float
    room_since: float
    """Since when there has been room for the task without a break."""
    reported: bool = False


@dataclass
class LongRunningCheck:
    """Follows the runs of all long-running tasks of one run of the soak."""

    world: SoakWorld
    injector: Injector
    limits: Limits
    absences: dict[str, Absence] = field(default_factory=dict)
    """The present absence of each task."""
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    """The runs of each long-running task."""
    pools: dict[str, str] = field(default_factory=dict)
    """The pool of each worker that has been seen."""
    read: int = 0
    """Number of runs of the world's history that have been looked at."""
    steadiness: Steadiness = field(default_factory=Steadiness)
    judged_s: float = 0.0
    """Time in which it was calm, so that tasks were judged."""

    def check(self, jobs: Iterable[SentJob], now: float) -> Iterator[Finding]:
        """Return tasks that have had no run for too long although nothing prevented one."""
        calm = self._note_time(now)
        self._read_history()
        self.pools.update((worker.id, worker.pool) for worker in self.world.serving_workers())
        for job in jobs:
            if job.kind is not JobKind.LONG_RUNNING or job.accepted_at is None:
                continue
            for task in (f"{job.id}.0.0.{n}" for n in range(job.task_count(0))):
                absence = self._update(job, task, now)
                if absence is None or absence.reported or not calm:
                    continue
                if now - max(absence.since, absence.room_since) > self.limits.max_absence_s:
                    absence.reported = True
                    yield Finding("long-running tasks run in calm", self._describe(task, now))

    def _note_time(self, now: float) -> bool:
        """Note the time of a check; return whether it has been calm for long enough."""
        nodes = self.world.nodes.nodes.values()
        gap_s = self.steadiness.note((node.process.pid for node in nodes), now)
        calm_since = max(self.injector.fault_free_since(now), self.steadiness.steady_since)
        calm = calm_since <= now - self.limits.min_calm_s
        self.judged_s += gap_s if calm else 0.0
        return calm

    def _read_history(self) -> None:
        history = self.world.history
        for run in history[self.read :]:
            if run.payload == JobKind.LONG_RUNNING.value:
                self.runs[run.task].append(run)
        self.read = len(history)

    def _update(self, job: SentJob, task: str, now: float) -> Absence | None:
        """Return a task's present absence; None while it runs or need not run any more."""
        runs = self.runs[task]
        accepted_at = job.accepted_at
        running = any(run.ended_at is None for run in runs)
        if running or accepted_at is None or job.cancel_sent_at is not None:
            self.absences.pop(task, None)
            return None
        since = max([accepted_at, *(run.ended_at or 0.0 for run in runs)])
        absence = self.absences.get(task)
        if absence is None or absence.since != since:
            absence = self.absences[task] = Absence(since, room_since=since)
        if not self._has_room(task):
            absence.room_since = now
        return absence

    def _has_room(self, task: str) -> bool:
        """Return whether each pool that the task may be in has room for it."""
        by_pool = defaultdict(list)
        for worker in self.world.serving_workers():
            by_pool[worker.pool].append(worker)
        pools = {self.pools[run.worker] for run in self.runs[task] if run.worker in self.pools}
        return bool(by_pool) and all(
            any(self._is_free(worker, task) for worker in by_pool[pool])
            for pool in pools or set(by_pool)
        )

    def _is_free(self, worker: HostedWorker, task: str) -> bool:
        """Return whether a worker could run a task if its short tasks were over."""
        evacuated = worker.hall in self.world.evacuations.evacuated_halls()
        if worker.leaving_at is not None or evacuated:
            return False
        step = task.rpartition(".")[0]
        staying = [r.task for r in worker.running.values() if r.task in self.runs]
        if any(other.rpartition(".")[0] == step for other in staying):
            return False
        return worker.cpu - len(staying) * TASK_CPU_MILLIS >= MIN_ROOM_TASKS * TASK_CPU_MILLIS

    def _describe(self, task: str, now: float) -> str:
        absence = self.absences[task]
        last = self.runs[task][-1] if self.runs[task] else "it never ran"
        return f"{task} for {now - absence.since:.1f} s at {now:.1f}; {last}"

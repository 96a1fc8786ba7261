"""Plays rounds of a pool under a random load, on a clock that is passed in."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._feasibility import latest_start_ms
from pumicespur.jobs._job import TaskState
from pumicespur.jobs.submissions import terms_of
from pumicespur.model import (
    AccountId,
    Capacity,
    ClientAccount,
    Configuration,
    PoolId,
    Route,
    RouteName,
    RunEnd,
)
from pumicespur.schema.jobs_pb import JobRecord, StepRecord
from tests.test_jobs import POOL, make_end, make_pool, make_worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._pool import PoolState

ROUND_MS = 100

TASKS_PER_JOB = 8

WORKERS = 12
CORES_PER_WORKER = 4

ACCOUNTS = tuple(AccountId(f"account-{number}") for number in range(10))
HOT_ACCOUNT = ACCOUNTS[0]

JOBS_PER_S = 6.0
"""Rate at which jobs of both kinds fill all workers."""


@dataclass(frozen=True)
class Kind:
    """A kind of job: its route, the duration of its tasks, and its share of all jobs."""

    route: Route
    task_ms: int
    ratio: float


def _make_route(name: str, priority: int) -> Route:
    return Route(RouteName(name), "host", f"/{name}/", PoolId(POOL), 0.6, priority, 2, 2.0, 0.6)


LOOKUP = Kind(_make_route("lookup", 0), 800, 0.8)
BATCH = Kind(_make_route("batch", 1), 1700, 0.2)
"""Work of a less urgent priority."""


def _make_steps(kind: Kind) -> list[StepRecord]:
    """Make a wide step and a narrow one that depends on it."""
    first = StepRecord(count=TASKS_PER_JOB - 2, cpu_millis=1000, estimated_ms=kind.task_ms)
    last = StepRecord(count=2, cpu_millis=1000, estimated_ms=kind.task_ms, depends_on=[0])
    return [first, last]


@dataclass(frozen=True)
class Load:
    """Submissions as multiples of what the pool can serve."""

    rest: float
    """Rate outside peaks."""
    peak: float = 0.0
    peak_s: float = 0.0
    period_s: float = 15.0
    hot_factor: float = 1.0
    """Multiple of its usual rate that the hot account sends."""
    duration_s: float = 60.0

    def rate(self, now_ms: float) -> float:
        """Return the rate of submissions at a time, without the hot account's excess."""
        in_peak = now_ms / 1000 % self.period_s < self.peak_s
        return JOBS_PER_S * (self.peak if in_peak else self.rest)


PEAKS = Load(rest=0.1, peak=2.0, peak_s=5.0)
"""Peaks that exceed the pool, and the time to work off what they leave."""

OVERLOAD = Load(rest=1.3)
"""More than the pool can serve all the time."""

BUSY = Load(rest=0.9)
"""Nearly all that the pool can serve."""

CALM = Load(rest=0.6)

HOT = Load(rest=0.6, hot_factor=8.0)
"""Less than the pool can serve, but for one account that sends eight times its usual."""


@dataclass
class Outcome:
    """What callers got."""

    jobs: Counter[AccountId] = field(default_factory=Counter)
    """Jobs whose deadline is over, by account."""
    in_time: Counter[AccountId] = field(default_factory=Counter)
    """Those of them that ended in time."""
    longest_late_wait_s: float = 0.0
    """Longest time that a task waited after its job could no longer be in time."""
    small_waits_s: list[float] = field(default_factory=list)
    """Time from submission to the last start, for jobs of all accounts but the hot one."""

    @property
    def ratio_in_time(self) -> float:
        """Return the ratio of all jobs that were in time."""
        return self.in_time.total() / self.jobs.total()

    @property
    def small_ratio_in_time(self) -> float:
        """Return the ratio of jobs that were in time, for all accounts but the hot one."""
        small_jobs = self.jobs.total() - self.jobs[HOT_ACCOUNT]
        return (self.in_time.total() - self.in_time[HOT_ACCOUNT]) / small_jobs

    @property
    def worst_ratio_in_time(self) -> float:
        """Return the ratio of jobs in time for the account that was served worst."""
        return min(self.in_time[account] / jobs for account, jobs in self.jobs.items())


class PoolPlay:
    """Plays a load on a pool of a few workers; a seed always gives the same load."""

    def __init__(self, load: Load, seed: int, workers: int = WORKERS) -> None:
        self.load = load
        self.seed = seed
        self.random = random.Random(seed)
        cores = CORES_PER_WORKER * 1000
        self.pool: PoolState = make_pool(
            *(make_worker(f"w-{n}", f"r1-{n % 2}", cores) for n in range(workers))
        )
        weight = 2 * JOBS_PER_S / len(ACCOUNTS)
        self.configuration = Configuration(
            1,
            {kind.route.name: kind.route for kind in (LOOKUP, BATCH)},
            {},
            accounts={name: ClientAccount(name, weight, Capacity(0, 0)) for name in ACCOUNTS},
        )
        self.now_ms = 0
        self.jobs: list[Job] = []
        self.running: list[tuple[int, Task]] = []
        """Running tasks with the time of their end."""
        self.started_ms: dict[Task, int] = {}
        self.ended_ms: dict[Job, int] = {}

    def run(self, each_round: Callable[[PoolPlay], None] = lambda play: None) -> Outcome:
        """Play all rounds and return what callers got."""
        while self.now_ms < self.load.duration_s * 1000:
            self.play_round()
            each_round(self)
        return self._judge()

    def play_round(self) -> None:
        """End tasks, submit jobs and place waiting tasks."""
        self._end_tasks()
        self._submit_jobs()
        for task in self.pool.place(self.now_ms / 1000, self.now_ms):
            task.state = TaskState.RUNNING
            task.started_at = self.now_ms / 1000
            self.started_ms[task] = self.now_ms
            self.running.append((self.now_ms + self._run_time_ms(task), task))
        self.now_ms += ROUND_MS

    def _run_time_ms(self, task: Task) -> int:
        """Return a task's run time, which does not depend on the order of starts."""
        spread = random.Random(f"{self.seed}/{task.name}").uniform(0.8, 1.2)
        return round(task.spec.estimated_ms * spread)

    def _end_tasks(self) -> None:
        ended = [entry for entry in self.running if entry[0] <= self.now_ms]
        self.running = [entry for entry in self.running if entry[0] > self.now_ms]
        for at_ms, task in ended:
            assert task.worker is not None
            self.pool.note_end(task.worker, make_end(task, RunEnd.DONE), at_ms / 1000)
            if task.job.ended:
                self.ended_ms[task.job] = at_ms
                del self.pool.jobs[task.job.id]

    def _submit_jobs(self) -> None:
        for account in ACCOUNTS:
            factor = self.load.hot_factor if account == HOT_ACCOUNT else 1.0
            mean = factor * self.load.rate(self.now_ms) / len(ACCOUNTS) * ROUND_MS / 1000
            # Poisson arrivals: exponential gaps within one round.
            gap = self.random.expovariate(1.0)
            while gap < mean:
                self._submit_job(account)
                gap += self.random.expovariate(1.0)

    def _submit_job(self, account: AccountId) -> None:
        self.submit(LOOKUP if self.random.random() < LOOKUP.ratio else BATCH, account)

    def submit(self, kind: Kind, account: AccountId) -> Job:
        """Submit a job."""
        record = JobRecord(
            id=f"{len(self.jobs):016x}",
            route=kind.route.name,
            steps=_make_steps(kind),
            account=account,
            accepted_ms=self.now_ms,
            terms=terms_of(kind.route),
        )
        job = self.pool.add_job(record, self.configuration, None)
        assert job is not None
        self.jobs.append(job)
        return job

    def late_wait_s(self, group: StepGroup) -> float:
        """Return for how long a step has waited since it could no longer be in time."""
        last_ms = max(self.started_ms.get(task, self.now_ms) for task in group.tasks)
        return max(0.0, last_ms - latest_start_ms(group)) / 1000

    def _judge(self) -> Outcome:
        outcome = Outcome()
        for job in self.jobs:
            if job.deadline_ms > self.now_ms:
                continue
            in_time = self.ended_ms.get(job, self.now_ms + 1) <= job.deadline_ms
            outcome.jobs[job.account] += 1
            outcome.in_time[job.account] += in_time
            late_s = max(self.late_wait_s(group) for group in job.groups)
            outcome.longest_late_wait_s = max(outcome.longest_late_wait_s, late_s)
            if job.account != HOT_ACCOUNT:
                last_ms = max(self.started_ms.get(task, self.now_ms) for task in job.tasks)
                outcome.small_waits_s.append((last_ms - job.record.accepted_ms) / 1000)
        return outcome

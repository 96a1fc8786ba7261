"""Model check of account limits: the real decisions under random faults.

Several pools share two accounts; the owner of each runs the real pool state and limits. Reports
are late or lost, commits are delayed, owners are replaced or frozen, starts take effect late,
workers stop answering, and limits change. In any order of events, the running tasks of an account
must not exceed the highest limit that any owner may apply. Once the faults have stopped, an account
that uses less than half of its limit must be able to start its next task in any pool. Each mutant
removes one safeguard, and the check has to find it.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from unittest.mock import patch

from pumicespur.jobs._job import Job, TaskState
from pumicespur.jobs._ledger import Ledger
from pumicespur.jobs._limit_transfers import PeerAllotment
from pumicespur.jobs._limits import PoolLimits
from pumicespur.jobs._pool import PoolState
from pumicespur.jobs.submissions import terms_of
from pumicespur.model import (
    AccountId,
    Capacity,
    ClientAccount,
    EndedRun,
    JobId,
    PoolId,
    RunEnd,
    TaskName,
    Worker,
    WorkerId,
)
from pumicespur.schema.jobs_pb import (
    JobRecord,
    PartRecord,
    PartReport,
    ProgressRecord,
    StepRecord,
)
from tests.test_jobs import CONFIGURATION, ROUTE, make_worker

if TYPE_CHECKING:
    from pumicespur.jobs._worker_load import WorkerLoad

POOLS = [PoolId("a"), PoolId("b"), PoolId("c")]
ACCOUNTS = [AccountId("one"), AccountId("two")]
LIMITS = (6_000, 8_000, 12_000)
TASK_CPU = (700, 1_000, 2_500, 5_000)
PLANS = 200
STEPS = 220
STABLE_ROUNDS = 60


@dataclass(eq=False)
class Run:
    """A run on a worker."""

    task: TaskName
    number: int
    account: AccountId
    cpu: int


@dataclass(eq=False)
class ModelWorker:
    """A worker: its runs, the newest fencing token it has seen, and ends not yet reported."""

    worker: Worker
    token: int = 0
    runs: list[Run] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)
    silent: bool = False


@dataclass
class Store:
    """Stored rows of one pool."""

    token: int = 0
    progress: dict[str, bytes] = field(default_factory=dict)
    parts: dict[str, bytes] = field(default_factory=dict)
    submissions: dict[str, bytes] = field(default_factory=dict)


class Owner:
    """An owner of a pool, with the real decisions and a model of its environment."""

    def __init__(self, world: ModelWorld, pool: PoolId) -> None:
        self.world = world
        self.store = world.stores[pool]
        self.store.token += 1
        self.token = self.store.token
        self.limit = world.limit
        self.state = PoolState(pool)
        self.state.limits.set_founders(POOLS)
        self._apply_limit()
        records = [PartRecord.from_binary(row) for row in self.store.parts.values()]
        self.state.limits.restore(records)
        ended = set()
        for name, row in self.store.progress.items():
            progress = ProgressRecord.from_binary(row)
            if progress.left or name not in self.store.submissions:
                ended.add(name)
                for run in progress.left:
                    self.state.add_inherited_run(AccountId(progress.account), run)
        for name, row in self.store.submissions.items():
            if name not in ended:
                kept = self.store.progress.get(name)
                known = None if kept is None else ProgressRecord.from_binary(kept)
                self._add(JobRecord.from_binary(row), known)
        for worker in world.workers[pool]:
            load = self.state.add_worker(worker.worker)
            load.reachable = False
            for job in self.state.jobs.values():
                for task in job.tasks:
                    if task.worker == worker.worker.id:
                        load.add(task)
            self.state.adopt_inherited(load)

    def _add(self, record: JobRecord, progress: ProgressRecord | None) -> Job | None:
        return self.state.add_job(record, CONFIGURATION, progress)

    def _apply_limit(self) -> None:
        limit = Capacity(self.limit, 0)
        self.state.limits.set_accounts({a: ClientAccount(a, 1.0, limit) for a in ACCOUNTS})

    def apply_configuration(self) -> None:
        """Put the newest configuration in force."""
        self.limit = self.world.limit
        self._apply_limit()

    def round(self, now: float, delayed: bool) -> None:
        """Place, record, then start tasks; `delayed` stops before anything is recorded."""
        for name, row in self.store.submissions.items():
            if JobId(name) not in self.state.jobs and name not in self.store.progress:
                self._add(JobRecord.from_binary(row), None)
        self.state.limits.apply_reports(self.world.peer_allotments(self), now)
        self.state.place(now, 0.0)
        if delayed or self.token != self.store.token:
            return
        parts = self.state.limits.take_changed(100)
        for part in parts:
            self.store.parts[part.account] = part.to_binary()
        ended = [job for job in self.state.dirty if job.ended]
        for job in self.state.dirty:
            self.store.progress[job.id] = job.progress(0).to_binary()
        self.state.dirty.clear()
        self.state.limits.note_recorded(parts)
        for job in ended:
            self.state.jobs.pop(job.id, None)
            self.store.submissions.pop(job.id, None)
            self._stop(job)
        fresh, self.state.newly_placed = self.state.newly_placed, []
        for task in fresh:
            if task.state is TaskState.PLACED and task.worker and not task.job.ended:
                task.state = TaskState.STARTING
                run = Run(task.name, task.run, task.job.account, task.spec.cpu_millis)
                self.world.send_start(self, task.worker, run)

    def _stop(self, job: Job) -> None:
        names = {task.name for task in job.tasks}
        for worker in self.world.workers[self.state.pool]:
            if not worker.silent and self.world.rng.random() < 0.7:
                worker.runs = [run for run in worker.runs if run.task not in names]

    def poll(self, worker: ModelWorker) -> None:
        """Apply a worker's current status."""
        if worker.silent or self.token < worker.token:
            return
        worker.token = self.token
        load = self.state.loads[worker.worker.id]
        load.reachable = True
        ended, worker.ended = worker.ended, []
        for end in ended:
            self.state.note_end(worker.worker.id, end, 0.0)
        running = {(run.task, run.number) for run in worker.runs}
        self.state.resolve_inherited(worker.worker.id, running)
        pending = {(run.task, run.number) for _, _, run in self.world.delayed_starts}
        for task in list(load.tasks):
            key = (task.name, task.run)
            if key in running:
                task.state = TaskState.RUNNING
            elif key not in pending and (task.state is not TaskState.PLACED or task.job.ended):
                self._resolve(load, task.job, key)
        for run in list(worker.runs):
            wanted = self.state.find_task(run.task)
            if wanted is None or not wanted.is_current_run(worker.worker.id, run.number):
                worker.runs.remove(run)

    def _resolve(self, load: WorkerLoad, job: Job, key: tuple[TaskName, int]) -> None:
        task = job.by_name[key[0]]
        if job.ended or task.worker != load.worker.id:
            load.remove(task)
        else:
            self.state.requeue(task)


class ModelWorld:
    """Pools, owners, workers and the messages between them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 0.0
        self.limit = LIMITS[1]
        self.stores = {pool: Store() for pool in POOLS}
        self.workers = {
            pool: [ModelWorker(make_worker(f"{pool}-{n}", cpu=20_000)) for n in range(2)]
            for pool in POOLS
        }
        self.delayed_starts: list[tuple[int, ModelWorker, Run]] = []
        """Starts under a fencing token that a worker may still execute."""
        self.written_reports: dict[PoolId, list[PartReport]] = {pool: [] for pool in POOLS}
        self.delivered_reports: dict[tuple[PoolId, PoolId], list[PartReport]] = {}
        self.owners = {pool: Owner(self, pool) for pool in POOLS}
        self.frozen: list[Owner] = []
        self.jobs = 0
        self.violations: list[str] = []

    def peer_allotments(self, owner: Owner) -> dict[AccountId, list[PeerAllotment]]:
        """Return the allotments of other pools from the reports delivered to an owner."""
        found: dict[AccountId, list[PeerAllotment]] = {}
        for pool in POOLS:
            for report in self.delivered_reports.get((owner.state.pool, pool), []):
                found.setdefault(AccountId(report.account), []).append(PeerAllotment(pool, report))
        return found

    def write_report(self, owner: Owner) -> None:
        """Write an owner's report; frozen owners may write theirs too."""
        reports = owner.state.limits.reports()
        self.written_reports[owner.state.pool] = [
            PartReport.from_binary(report.to_binary()) for report in reports
        ]

    def deliver(self, to: PoolId, since: PoolId) -> None:
        """Deliver a pool's newest report to the owner of another one."""
        if to != since:
            self.delivered_reports[to, since] = self.written_reports[since]

    def send_start(self, owner: Owner, worker: WorkerId, run: Run) -> None:
        """Send a start, which is executed now or later, or refused."""
        target = next(w for w in self.workers[owner.state.pool] if w.worker.id == worker)
        fates = ("now",) if self.stable else ("now", "now", "late", "refused")
        match self.rng.choice(fates):
            case "now" if not target.silent:
                self.execute_start(owner.token, target, run)
            case "refused" if not target.silent:
                task = owner.state.find_task(run.task)
                if task is not None and task.run == run.number:
                    owner.state.requeue(task)
            case _:
                self.delayed_starts.append((owner.token, target, run))

    def execute_start(self, token: int, worker: ModelWorker, run: Run) -> None:
        """Start a run unless the worker has seen a newer token, and check the account's limit."""
        if token < worker.token:
            return
        worker.token = token
        worker.runs.append(run)
        total = sum(
            other.cpu
            for workers in self.workers.values()
            for w in workers
            for other in w.runs
            if other.account == run.account
        )
        highest = max(o.limit for o in [*self.owners.values(), *self.frozen])
        if total > self.highest(highest):
            self.violations.append(f"{run.account} runs {total} of {highest}")

    def highest(self, in_force: int) -> int:
        """Return the highest usage allowed by the limits in force or by recent ones."""
        return max(in_force, self.limit, self.recent)

    stable = False
    recent = 0
    """Highest limit under which tasks may still run."""

    def end_run(self, worker: ModelWorker) -> None:
        """End a random run."""
        if worker.runs:
            run = worker.runs.pop(self.rng.randrange(len(worker.runs)))
            how = self.rng.choice((RunEnd.DONE, RunEnd.FAILED, RunEnd.EXPIRED))
            worker.ended.append(EndedRun(1, run.task, run.number, how, ""))

    def submit(self, pool: PoolId, count: int, cpu: int) -> None:
        """Submit a job of a random account."""
        self.jobs += 1
        account = self.rng.choice(ACCOUNTS)
        step = StepRecord(count=count, cpu_millis=cpu)
        record = JobRecord(
            id=f"{self.jobs:016x}",
            route=ROUTE.name,
            steps=[step],
            account=account,
            terms=terms_of(ROUTE),
        )
        self.stores[pool].submissions[record.id] = record.to_binary()

    def step(self) -> None:
        """Execute one random event."""
        pool = self.rng.choice(POOLS)
        owner = self.owners[pool]
        worker = self.rng.choice(self.workers[pool])
        self.now += 0.05
        match self.rng.randrange(14):
            case 0 | 1:
                owner.round(self.now, delayed=False)
            case 2:
                self.delay_commit(owner)
            case 3 | 4:
                self.write_report(owner)
                self.deliver(self.rng.choice(POOLS), pool)
            case 5:
                self.deliver(self.rng.choice(POOLS), pool)
            case 6:
                self.submit(pool, self.rng.randrange(1, 8), self.rng.choice(TASK_CPU))
            case 7:
                owner.poll(worker)
            case 8 | 9:
                self.end_run(worker)
                owner.poll(worker)
            case 10 if self.delayed_starts:
                self.execute_start(
                    *self.delayed_starts.pop(self.rng.randrange(len(self.delayed_starts)))
                )
            case 11 if self.rng.random() < 0.8:
                self.replace(pool)
            case 12 if owner.state.jobs:
                self.cancel(owner)
            case 13:
                self.inject_fault(worker)

    def delay_commit(self, owner: Owner) -> None:
        """Delay a commit; reports are written meanwhile, and the owner may be replaced."""
        owner.round(self.now, delayed=True)
        self.write_report(owner)
        for pool in POOLS:
            self.deliver(pool, owner.state.pool)
        if self.rng.random() < 0.3:
            self.replace(owner.state.pool)

    def cancel(self, owner: Owner) -> None:
        """Cancel a job; the owner may be replaced while its runs are being stopped."""
        owner.state.cancel(self.rng.choice(list(owner.state.jobs.values())))
        if self.rng.random() < 0.5:
            owner.round(self.now, delayed=False)
            self.replace(owner.state.pool)
            self.owners[owner.state.pool].round(self.now, delayed=False)

    def replace(self, pool: PoolId) -> None:
        """Replace the owner of a pool; the earlier one may continue without knowing it."""
        self.frozen.append(self.owners[pool])
        self.owners[pool] = Owner(self, pool)

    def inject_fault(self, worker: ModelWorker) -> None:
        """Change a worker, a limit, a configuration, or run a frozen owner."""
        match self.rng.randrange(4):
            case 0:
                worker.silent = not worker.silent
            case 1:
                self.limit = self.rng.choice(LIMITS)
                self.recent = max(self.recent, self.limit)
            case 2:
                for owner in self.owners.values():
                    owner.apply_configuration()
            case _ if self.frozen:
                frozen = self.rng.choice(self.frozen)
                frozen.round(self.now, delayed=False)

    def stabilize(self) -> list[str]:
        """Run some rounds without faults; return tasks that still wait without cause."""
        self.stable = True
        for workers in self.workers.values():
            for worker in workers:
                worker.silent = False
        self.delayed_starts.clear()
        for _ in range(STABLE_ROUNDS):
            self.now += 0.3
            for pool in POOLS:
                owner = self.owners[pool]
                owner.apply_configuration()
                for worker in self.workers[pool]:
                    owner.poll(worker)
                    owner.poll(worker)
                owner.round(self.now, delayed=False)
                self.write_report(owner)
                for other in POOLS:
                    self.deliver(other, pool)
        return [text for pool in POOLS for text in self._starving(self.owners[pool])]

    def _starving(self, owner: Owner) -> list[str]:
        """Return accounts whose next task waits although they use less than half of their limit."""
        found = []
        for job in owner.state.jobs.values():
            running = sum(
                run.cpu
                for workers in self.workers.values()
                for worker in workers
                for run in worker.runs
                if run.account == job.account
            )
            step = job.record.steps[0]
            waits = any(task.state is TaskState.WAITING for task in job.tasks)
            free = any(load.fits(step) for load in owner.state.loads.values())
            if waits and free and max(running, step.cpu_millis) <= self.limit / 2:
                found.append(f"{job.account} waits in {owner.state.pool} at {running}")
        return found


def run_plan(seed: int) -> list[str]:
    """Run one plan; return the violations."""
    world = ModelWorld(random.Random(seed))
    world.recent = world.limit
    for _ in range(STEPS):
        world.step()
    starving = world.stabilize()
    return [*world.violations, *starving]


def run_plans() -> list[str]:
    """Run many plans; return the violations of the first one that has any."""
    for seed in range(PLANS):
        found = run_plan(seed)
        if found:
            return [f"seed {seed}: {text}" for text in found[:3]]
    return []


class LimitModelTest(unittest.TestCase):
    """Many random plans, and mutants that the check must find."""

    def assert_found(self) -> None:
        self.assertNotEqual([], run_plans())

    def test_limits_hold_and_no_account_starves(self) -> None:
        self.assertEqual([], run_plans())

    def test_finds_a_transfer_taken_before_it_is_recorded(self) -> None:
        report = PoolLimits._report

        def hasty(limits: PoolLimits, account: AccountId) -> PartReport:
            ledger = limits.allotment_of(account).ledger
            ledger.recorded_given = dict(ledger.given)
            return report(limits, account)

        with patch.object(PoolLimits, "_report", hasty):
            self.assert_found()

    def test_finds_a_transfer_that_is_taken_twice(self) -> None:
        def take(ledger: Ledger, pool: PoolId, ever_given: int) -> bool:
            ledger.taken[pool] = ledger.taken.get(pool, 0) + ever_given
            return ever_given > 0

        with patch.object(Ledger, "take", take):
            self.assert_found()

    def test_finds_an_allotment_that_is_lost_with_its_owner(self) -> None:
        with patch.object(PoolLimits, "restore", lambda limits, records: None):
            self.assert_found()

    def test_finds_runs_of_an_earlier_owner_that_are_forgotten(self) -> None:
        with patch.object(PoolState, "add_inherited_run", lambda pool, account, run: None):
            self.assert_found()

    def test_finds_stopped_runs_that_are_not_counted(self) -> None:
        cancel = PoolState.cancel

        def forgetful(pool: PoolState, job: Job) -> None:
            cancel(pool, job)
            for load in pool.loads.values():
                for task in [task for task in load.tasks if task.job is job]:
                    load.remove(task)

        with patch.object(PoolState, "cancel", forgetful):
            self.assert_found()

    def test_finds_allotments_that_are_never_transferred(self) -> None:
        with patch.object(PoolLimits, "_decide_transfers", lambda *arguments: None):
            self.assert_found()

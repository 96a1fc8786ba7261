"""A model check of workers that start again: the real owner of a pool against unruly workers.

Workers start again under their names, alone and together, with entries that come early or late;
orders are lost, answered late, or done late, by whatever life is there by then; the pool gets
another owner. Whatever the order, no task runs twice at once, none runs again after an end that was
acknowledged, and once all is calm every job is done and every lasting task at work. The mutants
take one guard out each; the check has to find them.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import unittest
from contextlib import ExitStack
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast
from unittest import mock

import anyio
from expression import Error, Ok, Result

import pumicespur.jobs._pool as pool_module
import pumicespur.jobs._worker_session as watch_module
from pumicespur.config import NodeSettings
from pumicespur.jobs import Ownership, OwnershipLostError, PoolOwner
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._pool import PoolState
from pumicespur.model import (
    Account,
    Configuration,
    PoolSettings,
    RunEnd,
    Running,
    StartedAgain,
    StartOrder,
    TaskEnd,
    TaskName,
    Worker,
    WorkerName,
    worker_id,
)
from pumicespur.schema.jobs_pb import JobPhase, ProgressRecord, StepRecord
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.store import AnswerLost, Reading, Unavailable, Write
from pumicespur.utils import monotonic
from pumicespur.view import NodeView
from tests.base import quiet_loop
from tests.test_jobs import POOL, ROUTE, make_record, make_worker

if TYPE_CHECKING:
    from collections.abc import Iterable

PLANS = 40
MUTANT_PLANS = 200
AT_ONCE = 10
"""Plans that are played side by side; with many more, the loop's own delays hide the workers'."""

WORKERS = 3
SHORT_JOBS = 25
TROUBLE_S = 1.0
"""How long workers start again and orders go astray."""

READ_S = 0.1
"""Pause between readings of the tables."""

CALM_S = 20.0
"""Longest time after that until everything is in order; a plan takes some hundredths of it."""

MUTANT_CALM_S = 2.0
"""The same for a mutant, some of whose tasks never run again."""

LASTING_JOB = "f" * 16
DELIVERY_S = 0.002
"""Longest way of a call that is not late; shorter than any run."""

FATES = ("answered", "answered", "answered", "answer lost", "late", "refused")


@dataclass(eq=False)
class ModelRun:
    """One run as its worker saw it."""

    task: TaskName
    number: int
    alive: bool = True
    how: RunEnd | None = None
    acknowledged: bool = False


@dataclass(eq=False)
class Life:
    """One life of a worker."""

    born: int
    began: float = field(default_factory=monotonic)
    token: int = 0
    running: dict[TaskName, ModelRun] = field(default_factory=dict)
    refused: dict[TaskName, int] = field(default_factory=dict)
    ended: dict[int, tuple[ModelRun, TaskEnd]] = field(default_factory=dict)
    count: int = 0

    def clock_ms(self) -> float:
        """Return the time since the life began."""
        return (monotonic() - self.began) * 1000


class ModelWorkers:
    """The workers of a pool, and orders to them."""

    def __init__(self, chance: random.Random, tasks: anyio.abc.TaskGroup) -> None:
        self.chance = chance
        self.tasks = tasks
        self.births = itertools.count(1000)
        self.lives: dict[WorkerName, list[Life]] = {}
        """All lives of each worker; the last one is there, unless it is down."""
        self.down: set[WorkerName] = set()
        self.history: dict[TaskName, list[ModelRun]] = {}
        self.findings: list[str] = []
        self.trouble = True
        for number in range(WORKERS):
            self.lives[WorkerName(f"w-{number}")] = [Life(next(self.births))]

    def entry(self, name: WorkerName, life: Life) -> Worker:
        """Return what a life writes of itself."""
        return make_worker(worker_id(name, life.born))

    def restart(self, name: WorkerName) -> Life:
        """End a life with all that it runs, and begin the next one."""
        for run in self.lives[name][-1].running.values():
            run.alive = False
        self.lives[name].append(Life(next(self.births)))
        return self.lives[name][-1]

    async def _deliver(self, worker: Worker) -> Life | Unavailable | AnswerLost:
        """Bring a call to whatever life is there when it arrives."""
        await anyio.sleep(self.chance.uniform(0, DELIVERY_S))
        if worker.name in self.down:
            return AnswerLost("down") if self.chance.random() < 0.5 else Unavailable("down")
        return self.lives[worker.name][-1]

    def _note_token(self, life: Life, token: int) -> bool:
        fenced = token < life.token
        life.token = max(life.token, token)
        return not fenced

    async def start(self, worker: Worker, token: int, order: StartOrder) -> Result[None, Any]:
        """Do a start, now, late or never."""
        fate = self.chance.choice(FATES) if self.trouble else "answered"
        sent_to = self.lives[worker.name][-1]
        life = await self._deliver(worker)
        if not isinstance(life, Life):
            return Error(life)
        match fate:
            case "refused":
                return Error(Unavailable("sick"))
            case "late":
                self.tasks.start_soon(self._start_late, worker.name, sent_to, token, order)
                return Error(AnswerLost("late"))
            case _:
                self._begin(life, token, order)
                return Ok(None) if fate == "answered" else Error(AnswerLost("lost"))

    async def _start_late(
        self, name: WorkerName, sent_to: Life, token: int, order: StartOrder
    ) -> None:
        """Do a start late, by the life that is there then unless one before was barred from it."""
        await anyio.sleep(self.chance.uniform(0.005, 0.1))
        since = self.lives[name][self.lives[name].index(sent_to) :]
        newest = max(life.token for life in since)
        barred = any(order.run <= life.refused.get(order.task, 0) for life in since)
        if name not in self.down and not barred and token >= newest:
            self._begin(since[-1], token, order)

    def _begin(self, life: Life, token: int, order: StartOrder) -> None:
        if not self._note_token(life, token) or order.run <= life.refused.get(order.task, 0):
            return
        if order.task in life.running:
            return
        before = self.history.setdefault(order.task, [])
        if any(run.alive for run in before):
            self.findings.append(f"{order.task} runs twice at once")
        if any(run.how is RunEnd.DONE and run.acknowledged for run in before):
            self.findings.append(f"{order.task} is done again")
        run = ModelRun(order.task, order.run)
        before.append(run)
        life.running[order.task] = run
        if not order.task.startswith(LASTING_JOB):
            self.tasks.start_soon(self._end_later, life, run)

    async def _end_later(self, life: Life, run: ModelRun) -> None:
        await anyio.sleep(self.chance.uniform(0.006, 0.03))
        self._end(life, run, RunEnd.DONE)

    def _end(self, life: Life, run: ModelRun, how: RunEnd) -> None:
        if life.running.get(run.task) is not run or not run.alive:
            return
        del life.running[run.task]
        run.alive, run.how = False, how
        life.refused[run.task] = max(run.number, life.refused.get(run.task, 0))
        life.count += 1
        life.ended[life.count] = (run, TaskEnd(life.count, run.task, run.number, how, ""))

    async def stop(self, worker: Worker, token: int, task: TaskName, run: int) -> Result[None, Any]:
        """Stop a run, or keep it from beginning."""
        life = await self._deliver(worker)
        if not isinstance(life, Life):
            return Error(life)
        if not self._note_token(life, token):
            return Error(Unavailable("fenced"))
        present = life.running.get(task)
        if present is None:
            life.refused[task] = max(run, life.refused.get(task, 0))
        elif present.number == run:
            self._end(life, present, RunEnd.STOPPED)
        return Ok(None)

    async def hold(
        self, worker: Worker, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> Result[Account, Any]:
        """Take acknowledgements and give the account."""
        life = await self._deliver(worker)
        if not isinstance(life, Life):
            return Error(life)
        if not self._note_token(life, token):
            return Error(Unavailable("fenced"))
        for number in [n for n in life.ended if n <= last_seen]:
            life.ended.pop(number)[0].acknowledged = True
        if wait_s and not life.ended:
            await anyio.sleep(0.005)
        running = [Running(r.task, r.number, "", 100, 0.0) for r in life.running.values()]
        account = Account(life.clock_ms(), running, [end for _, end in life.ended.values()])
        await anyio.sleep(self.chance.uniform(0, DELIVERY_S))
        if self.trouble and self.chance.random() < 0.1:
            return Error(AnswerLost("lost"))
        return (
            Ok(account) if worker_id(worker.name, life.born) == worker.id else self.denied(account)
        )

    def denied(self, account: Account) -> Result[Account, Any]:
        """Tell that another life gives the account than the one that was asked."""
        return Error(StartedAgain())


class BirthsIgnored(ModelWorkers):
    """A mutant: every account counts as that of the life that was asked."""

    def denied(self, account: Account) -> Result[Account, Any]:
        return Ok(account)


@dataclass
class Records:
    """What owners recorded, and under which token the last one took the pool."""

    rows: dict[str, bytes] = field(default_factory=dict)
    token: int = 1


class ModelJournal:
    """Records at once, after a while, unless there is a newer owner."""

    def __init__(self, records: Records, token: int, chance: random.Random) -> None:
        self.records = records
        self.token = token
        self.chance = chance

    @property
    def confirmed_at(self) -> float:
        """Return now: the store is always there."""
        return monotonic()

    async def commit(self, writes: list[Write]) -> None:
        """Record what an owner writes."""
        await anyio.sleep(self.chance.uniform(0, 0.005))
        if self.token != self.records.token:
            raise OwnershipLostError("a newer owner")
        for write in writes:
            self.records.rows[write.key] = write.value or b""


class Play:
    """One plan."""

    def __init__(self, seed: int, workers: type[ModelWorkers], calm_s: float) -> None:
        self.calm_s = calm_s
        self.chance = random.Random(seed)
        self.kind = workers
        self.records = Records()
        pools = {POOL: PoolSettings(POOL, True, False)}
        self.view = NodeView(Configuration(1, {ROUTE.name: ROUTE}, pools))
        self.view.workers_known = True
        self.owner: PoolOwner | None = None
        short = StepRecord(count=3, cpu_millis=100, estimated_ms=20)
        lasting = StepRecord(count=2, cpu_millis=100, long_running=True)
        self.to_come = [make_record(short, job=f"{n:016x}") for n in range(SHORT_JOBS)]
        self.jobs = [make_record(lasting, job=LASTING_JOB)]

    async def run(self) -> list[str]:
        """Play and return what was broken."""
        async with anyio.create_task_group() as tasks:
            workers = self.kind(self.chance, tasks)
            for name, lives in workers.lives.items():
                self.view.workers[name] = workers.entry(name, lives[-1])
            tasks.start_soon(self._read_on)
            scope = anyio.CancelScope()
            tasks.start_soon(self._own, workers, scope)
            async with anyio.create_task_group() as troubles:
                troubles.start_soon(self._hand_in)
                for name in workers.lives:
                    troubles.start_soon(self._restart_again_and_again, workers, name)
                await anyio.sleep(self.chance.uniform(0.1, TROUBLE_S))
                if self.chance.random() < 0.5:
                    scope.cancel()
                    self.records.token += 1
                    scope = anyio.CancelScope()
                    tasks.start_soon(self._own, workers, scope)
            workers.trouble = False
            until = monotonic() + self.calm_s
            while (left := self._left(workers)) and monotonic() < until:
                await anyio.sleep(0.02)
            tasks.cancel_scope.cancel()
        return [*workers.findings, *left]

    async def _read_on(self) -> None:
        """Know the tables as of now; what the owner is told late is the plan's own matter."""
        while True:
            self.view.workers_reading = Reading(1, monotonic())
            if self.owner is not None:
                self.owner.submissions.reading = Reading(1, monotonic())
            await anyio.sleep(READ_S)

    async def _hand_in(self) -> None:
        """Hand jobs in one by one."""
        while self.to_come:
            await anyio.sleep(self.chance.uniform(0, 2 * TROUBLE_S / SHORT_JOBS))
            self.jobs.append(self.to_come.pop())
            if self.owner is not None:
                self.owner.pool.add_job(self.jobs[-1], self.view.configuration, None)
                self.owner.wake()

    async def _own(self, workers: ModelWorkers, scope: anyio.CancelScope) -> None:
        """Own the pool as a process does that has just taken it."""
        settings = NodeSettings(
            workers=WorkerSettings(
                lease_s=60,
                longest_lease_ms=10_000,
                watch_s=0.1,
                clock_drift=0.02,
                owner_silence_s=8,
                call_timeout_s=0.5,
                drain_ms=2000,
                cancel_ms=3000,
            )
        )
        token = self.records.token
        owner = PoolOwner(
            settings,
            self.view,
            cast("Any", None),
            cast("Any", workers),
            Ownership(POOL, token, "life", monotonic()),
            EarlierLeases(0.0),
            lambda: None,
        )
        owner.journal = cast("Any", ModelJournal(self.records, token, self.chance))
        for record in self.jobs:
            kept = self.records.rows.get(f"progress/{POOL}/{record.id}")
            progress = ProgressRecord.from_binary(kept) if kept else None
            if progress is None or progress.phase is not JobPhase.COMPLETED:
                owner.pool.add_job(record, self.view.configuration, progress)
        # It may be about to record something when the next owner takes the pool.
        with scope, contextlib.suppress(OwnershipLostError):
            await self._follow(owner)

    async def _follow(self, owner: PoolOwner) -> None:
        try:
            async with anyio.create_task_group() as owner.tasks:
                self.owner = owner
                owner.sync_workers()
                owner.tasks.start_soon(owner._rounds)
        except* OwnershipLostError as lost:
            raise lost.exceptions[0] from None

    async def _restart_again_and_again(self, workers: ModelWorkers, name: WorkerName) -> None:
        until = monotonic() + TROUBLE_S
        while monotonic() < until:
            await anyio.sleep(self.chance.uniform(0.02, 0.3))
            workers.down.add(name)
            life = workers.restart(name)
            late_s = self.chance.uniform(-0.02, 0.2)
            if late_s < 0:
                self._publish(workers, name, life)
            await anyio.sleep(self.chance.uniform(0.005, 0.03))
            workers.down.discard(name)
            if late_s >= 0:
                await anyio.sleep(late_s)
                self._publish(workers, name, life)

    def _publish(self, workers: ModelWorkers, name: WorkerName, life: Life) -> None:
        self.view.workers[name] = workers.entry(name, life)
        if self.owner is not None:
            self.owner.sync_workers()

    def _left(self, workers: ModelWorkers) -> list[str]:
        """Return what is not done or not at work."""
        left = []
        for record in self.jobs:
            row = self.records.rows.get(f"progress/{POOL}/{record.id}", b"")
            phase = ProgressRecord.from_binary(row).phase
            if record.id != LASTING_JOB and phase is not JobPhase.COMPLETED:
                left.append(f"job {record.id} is not completed: {phase}")
        at_work = [r for runs in workers.history.values() for r in runs if r.alive]
        lasting = [r for r in at_work if r.task.startswith(LASTING_JOB)]
        if len(lasting) != 2:
            left.append(f"{len(lasting)} lasting tasks are at work")
        return left


def drop_all(self: PoolState, worker: Any, keep: Any = ()) -> None:
    """Forget a worker with all that it may have begun in its next life."""
    DROP_WORKER(self, worker)


DROP_WORKER = PoolState.drop_worker


class LivesModelTest(unittest.TestCase):
    """Many plans, and mutants that must be found."""

    def setUp(self) -> None:
        stack = ExitStack()
        for name, value in (("RETRY_DELAY_S", 0.005), ("UNCONFIRMED_POLL_DELAY_S", 0.002)):
            stack.enter_context(mock.patch.object(watch_module, name, value))
        # Workers crash here more often than a task may lose them before its job is given up.
        stack.enter_context(
            mock.patch.object(pool_module, "exceeds_loss_limit", lambda task: False)
        )
        self.addCleanup(stack.close)

    def play(self, seeds: Iterable[int], workers: type[ModelWorkers], calm_s: float) -> list[str]:
        """Play some plans side by side; return what was broken."""

        async def play() -> list[str]:
            quiet_loop()
            plans = [Play(seed, workers, calm_s) for seed in seeds]
            found = await asyncio.gather(*(plan.run() for plan in plans))
            return [
                f"seed {seed}: {text}"
                for seed, texts in zip(seeds, found, strict=True)
                for text in texts
            ]

        return anyio.run(play)

    def search(self, workers: type[ModelWorkers], calm_s: float, plans: int) -> list[str]:
        """Play plans until something is broken."""
        for first in range(0, plans, AT_ONCE):
            found = self.play(range(first, first + AT_ONCE), workers, calm_s)
            if found:
                return found
        return []

    def test_no_life_pays_for_another(self) -> None:
        self.assertEqual([], self.search(ModelWorkers, CALM_S, PLANS))

    def test_finds_births_that_are_ignored(self) -> None:
        self.assertNotEqual([], self.search(BirthsIgnored, MUTANT_CALM_S, MUTANT_PLANS))

    def test_finds_open_starts_that_are_forgotten(self) -> None:
        with mock.patch.object(PoolState, "drop_worker", drop_all):
            found = self.search(ModelWorkers, MUTANT_CALM_S, MUTANT_PLANS)
            self.assertNotEqual([], found)

"""Tests of the dealings with one worker, against a worker that keeps to a script."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from pumicespur.jobs._job import TaskState, WorkerLoss
from pumicespur.jobs._known_state import KnownState
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._placement import assign
from pumicespur.jobs._unconfirmed_starts import UnresolvedStart
from pumicespur.jobs._worker_session import WorkerSession
from pumicespur.model import (
    Account,
    RunEnd,
    Running,
    StartedAgain,
    StartOrder,
    TaskEnd,
    WorkerName,
    worker_id,
)
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.store import AnswerLost, Reading
from pumicespur.utils import monotonic
from tests.base import default_settings, quiet_loop
from tests.test_jobs import make_pool, make_record, make_worker, submit

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.model import TaskName, WorkerId


@dataclass
class ScriptedOrders:
    """A worker whose ends are set by the test."""

    ends: list[TaskEnd] = field(default_factory=list)
    ended_before_stop: TaskEnd | None = None
    """A run that has begun and ended when the first stop arrives."""
    stops: int = 0
    starts: int = 0
    orders: list[StartOrder] = field(default_factory=list)
    running: list[Running] = field(default_factory=list)
    last_seen: list[int] = field(default_factory=list)
    """What each look acknowledged."""
    deadlines: list[int | None] = field(default_factory=list)
    faults: list[Any] = field(default_factory=list)
    """What the next looks meet instead of an account, first the first one."""

    async def start(self, worker: Any, token: int, order: StartOrder) -> Result[None, Any]:
        """Take a start."""
        self.starts += 1
        self.orders.append(order)
        return Ok(None)

    async def hold(
        self, worker: Any, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> Result[Account, Any]:
        """Tell what has ended and what runs."""
        self.last_seen.append(last_seen)
        self.deadlines.append(deadline_ms)
        if self.faults:
            return Error(self.faults.pop(0))
        return Ok(Account(monotonic() * 1000, list(self.running), list(self.ends)))

    async def stop(self, *arguments: Any) -> Result[None, Any]:
        """Take a stop; the run may be over by then."""
        self.stops += 1
        if self.ended_before_stop is not None:
            self.ends.append(self.ended_before_stop)
        return Ok(None)


class ScriptedOwner:
    """A pool's owner without rounds."""

    def __init__(self) -> None:
        self.settings = default_settings()
        self.settings.workers.lease_s = 3
        self.settings.workers.watch_s = 0
        self.pool = make_pool()
        self.orders: Any = ScriptedOrders()
        self.token = 1
        self.workers_age_s = 0.0
        self.submissions_age_s = 0.0
        self.restarted: list[tuple[WorkerId, bool]] = []

    def known_state(self) -> KnownState:
        """Know everything as of now, unless a test sets ages."""
        now = monotonic()
        return KnownState(
            Reading(1, now - self.workers_age_s), Reading(1, now - self.submissions_age_s), 1
        )

    def may_renew_leases(self, now: float) -> bool:
        """Extend leases always."""
        return True

    def wake(self) -> None:
        """Do nothing; there are no rounds."""

    def spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Do nothing; the tests look at states."""

    def note_end(self, worker: WorkerId, end: TaskEnd, now: float) -> None:
        """Take an end in."""
        self.pool.note_end(worker, end, now)

    def stop_gang(self, group: StepGroup, run: int) -> None:
        """Do nothing; the tests have no gangs."""

    def note_restart(self, worker: WorkerId, *, leased: bool) -> None:
        """Take note."""
        self.restarted.append((worker, leased))

    def note_revoked(self, worker: WorkerId, run: Any) -> None:
        """Do nothing."""

    def forget(self, worker: WorkerId) -> None:
        """Do nothing."""


class SettleTest(unittest.IsolatedAsyncioTestCase):
    """A start without an answer, settled by a stop and the account after it."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        worker = make_worker("w")
        self.session = WorkerSession(self.owner, worker, EarlierLeases(0.0))
        job = submit(self.owner.pool, make_record(StepRecord(count=1, cpu_millis=100)))
        self.task: Task = job.tasks[0]
        assign(self.task, self.session.load)
        self.task.state = TaskState.STARTING
        self.session.starts.unresolved[self.task] = UnresolvedStart(self.task.run, monotonic())

    def name(self) -> TaskName:
        return self.task.name

    async def look(self) -> None:
        await self.session._poll(monotonic())

    async def test_run_that_ended_before_the_stop_is_not_started_again(self) -> None:
        # A task was done twice.
        end = TaskEnd(1, self.name(), 1, RunEnd.DONE, "")
        self.owner.orders.ended_before_stop = end
        await self.look()
        self.assertIs(TaskState.STARTING, self.task.state)
        await self.look()
        self.assertIs(TaskState.DONE, self.task.state)

    async def test_run_that_never_began_is_started_again(self) -> None:
        await self.look()
        await self.look()
        self.assertIs(TaskState.WAITING, self.task.state)
        self.assertEqual(1, self.owner.orders.stops)
        self.assertEqual({}, self.session.starts.unresolved)

    async def test_account_asked_for_before_the_call_was_given_up_tells_nothing(self) -> None:
        # A lasting task that had just begun was stopped: an older account did not list it.
        self.session.starts.unresolved[self.task].since = monotonic() + 60
        await self.look()
        self.assertEqual(0, self.owner.orders.stops)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A start whose task changed while its place was recorded."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(0.0))
        self.session.load.reachable = True
        self.session.lease.note_clock(0.0, monotonic())
        record = make_record(StepRecord(count=2, cpu_millis=100))
        self.job = submit(self.owner.pool, record)
        self.task = self.job.tasks[0]

    async def test_task_that_an_earlier_run_finished_stays_done(self) -> None:
        # An earlier run ended while the place of its copy was recorded; the next owner ran the task
        # once more.
        assign(self.task, self.session.load)
        self.task.mark_waiting()
        assign(self.task, self.session.load)
        earlier = TaskEnd(1, self.task.name, 1, RunEnd.DONE, "")
        self.owner.pool.note_end(self.session.id, earlier, monotonic())
        await self.session.starts.order(self.task, 2)
        self.assertIs(TaskState.DONE, self.task.state)
        self.assertEqual(0, self.owner.orders.starts)
        self.assertEqual(b"\x01", self.job.progress(0).done)

    async def test_placed_task_is_ordered(self) -> None:
        assign(self.task, self.session.load)
        await self.session.starts.order(self.task, 1)
        self.assertEqual(1, self.owner.orders.starts)
        self.assertIs(TaskState.RUNNING, self.task.state)


class AcknowledgementTest(unittest.IsolatedAsyncioTestCase):
    """Numbers of ends mean something to the life alone that gave them."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.orders = self.owner.orders
        self.session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(0.0))
        job = submit(self.owner.pool, make_record(StepRecord(count=2, cpu_millis=100)))
        self.first, self.second = job.tasks

    async def look(self) -> None:
        await self.session._poll(monotonic())

    async def begin(self, task: Task) -> None:
        assign(task, self.session.load)
        await self.session.starts.order(task, task.run)

    async def end_first(self) -> None:
        """Let one of two tasks end after both were seen at work."""
        await self.look()
        await self.begin(self.first)
        self.orders.ends = [TaskEnd(1, self.first.name, 1, RunEnd.DONE, "")]
        await self.look()

    async def test_recorded_ends_are_acknowledged(self) -> None:
        await self.end_first()
        self.session.note_recorded(1)
        await self.look()
        self.assertEqual([0, 0, 1], self.orders.last_seen)

    async def test_not_while_a_start_is_open(self) -> None:
        # The start may have reached a life that began meanwhile and numbers its ends anew.
        await self.end_first()
        await self.begin(self.second)
        self.session.note_recorded(1)
        await self.look()
        self.assertEqual(0, self.orders.last_seen[-1])
        self.orders.running = [Running(self.second.name, 1, "", 0, 0.0)]
        await self.look()
        await self.look()
        self.assertEqual(1, self.orders.last_seen[-1])

    async def test_nor_what_was_acknowledged_before(self) -> None:
        await self.end_first()
        self.session.note_recorded(1)
        await self.look()
        await self.begin(self.second)
        await self.look()
        self.assertEqual([1, 0], self.orders.last_seen[-2:])

    async def test_not_after_a_silence(self) -> None:
        await self.end_first()
        self.session.note_recorded(1)
        self.orders.faults = [AnswerLost("silent")]
        for _ in range(3):
            await self.look()
        self.assertEqual([1, 0, 1], self.orders.last_seen[-3:])


class SilentWorkerTest(unittest.IsolatedAsyncioTestCase):
    """What a worker is promised that does not answer."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.orders = self.owner.orders
        self.session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(0.0))
        await self.session._poll(monotonic())

    async def test_it_is_promised_nothing_more(self) -> None:
        self.orders.faults = [AnswerLost("silent"), AnswerLost("silent")]
        await self.session._poll(monotonic())
        expires_at = self.session.lease.expires_at()
        await self.session._poll(monotonic())
        self.assertIsNone(self.orders.deadlines[-1])
        self.assertEqual(expires_at, self.session.lease.expires_at())

    async def test_a_next_life_that_is_met_after_a_silence_holds_no_lease(self) -> None:
        self.orders.faults = [AnswerLost("silent"), StartedAgain()]
        await self.session._poll(monotonic())
        await self.session._poll(monotonic())
        self.assertEqual([(self.session.id, False)], self.owner.restarted)

    async def test_one_that_took_a_deadline_may_hold_one(self) -> None:
        self.orders.faults = [StartedAgain()]
        await self.session._poll(monotonic())
        self.assertEqual([(self.session.id, True)], self.owner.restarted)


class NextLifeTest(unittest.IsolatedAsyncioTestCase):
    """A worker that answers in another life than its owner dealt with."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.orders = self.owner.orders
        first, second = (worker_id(WorkerName("w"), born) for born in (1000, 2000))
        self.before = WorkerSession(self.owner, make_worker(first), EarlierLeases(0.0))
        job = submit(self.owner.pool, make_record(StepRecord(count=2, cpu_millis=100)))
        self.seen, self.open = job.tasks
        await self.before._poll(monotonic())
        for task in job.tasks:
            assign(task, self.before.load)
            await self.before.starts.order(task, 1)
            if task is self.seen:
                self.orders.running = [Running(task.name, 1, "", 0, 0.0)]
                await self.before._poll(monotonic())
        self.orders.running = []
        self.orders.faults = [StartedAgain()]
        await self.before._poll(monotonic())
        self.after = WorkerSession(self.owner, make_worker(second), EarlierLeases(0.0))

    async def look(self) -> None:
        await self.after._poll(monotonic())

    async def test_what_the_life_before_told_of_is_lost_with_it(self) -> None:
        self.assertEqual([(self.before.id, True)], self.owner.restarted)
        self.assertIs(TaskState.WAITING, self.seen.state)

    async def test_an_open_start_waits_for_what_the_next_life_tells(self) -> None:
        self.assertEqual(self.before.id, self.open.worker)
        self.after.starts.adopt(self.open, monotonic())
        await self.look()
        self.assertEqual((1, TaskState.STARTING), (self.orders.stops, self.open.state))
        await self.look()
        self.assertIs(TaskState.WAITING, self.open.state)
        self.assertEqual([self.before.id], [loss.worker for loss in self.open.losses])

    async def test_an_open_start_that_the_next_life_took_goes_on(self) -> None:
        self.open.losses = [
            WorkerLoss(self.before.id, self.before.load.instance, sole_suspect=True)
        ]
        self.after.starts.adopt(self.open, monotonic())
        self.orders.running = [Running(self.open.name, 1, "", 0, 0.0)]
        await self.look()
        self.assertIs(TaskState.RUNNING, self.open.state)
        self.assertEqual((0, []), (self.orders.stops, self.open.losses))

    async def test_its_ends_are_taken_in_from_one_on(self) -> None:
        self.after.starts.adopt(self.open, monotonic())
        self.orders.ends = [TaskEnd(1, self.open.name, 1, RunEnd.DONE, "")]
        await self.look()
        self.assertEqual(0, self.orders.last_seen[-1])
        self.assertIs(TaskState.DONE, self.open.state)

"""Tests of the dealings with one worker, against a worker that keeps to a script."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from expression import Ok, Result

from pumicespur.config import NodeSettings
from pumicespur.jobs._job import TaskState
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._placement import put
from pumicespur.jobs._watch import UnansweredStart, WorkerWatch
from pumicespur.model import Account, RunEnd, TaskEnd
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.utils import monotonic
from tests.base import quiet_loop
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

    async def start(self, *arguments: Any) -> Result[None, Any]:
        """Take a start."""
        self.starts += 1
        return Ok(None)

    async def hold(self, *arguments: Any) -> Result[Account, Any]:
        """Tell what has ended; nothing runs."""
        return Ok(Account(monotonic() * 1000, [], list(self.ends)))

    async def stop(self, *arguments: Any) -> Result[None, Any]:
        """Take a stop; the run may be over by then."""
        self.stops += 1
        if self.ended_before_stop is not None:
            self.ends.append(self.ended_before_stop)
        return Ok(None)


class ScriptedHolder:
    """A pool's owner without rounds."""

    def __init__(self) -> None:
        self.settings = NodeSettings(
            workers=WorkerSettings(lease_s=3, watch_s=0, clock_drift=0.02, owner_silence_s=8)
        )
        self.pool = make_pool()
        self.orders: Any = ScriptedOrders()
        self.token = 1

    def may_extend(self, now: float) -> bool:
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

    def forget(self, worker: WorkerId) -> None:
        """Do nothing."""


class SettleTest(unittest.IsolatedAsyncioTestCase):
    """A start without an answer, settled by a stop and the account after it."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.holder = ScriptedHolder()
        worker = make_worker("w")
        self.watch = WorkerWatch(self.holder, worker, EarlierLeases(0.0))
        job = submit(self.holder.pool, make_record(StepRecord(count=1, cpu_millis=100)))
        self.task: Task = job.tasks[0]
        put(self.task, self.watch.load)
        self.task.state = TaskState.STARTING
        self.watch.unsettled[self.task] = UnansweredStart(self.task.run, monotonic())

    def name(self) -> TaskName:
        return self.task.name

    async def look(self) -> None:
        await self.watch._look(monotonic())

    async def test_run_that_ended_before_the_stop_is_not_started_again(self) -> None:
        # Found on the bench (grown Coulee, trouble-1): a task was done twice.
        end = TaskEnd(1, self.name(), 1, RunEnd.DONE, "")
        self.holder.orders.ended_before_stop = end
        await self.look()
        self.assertIs(TaskState.STARTING, self.task.state)
        await self.look()
        self.assertIs(TaskState.DONE, self.task.state)

    async def test_run_that_never_began_is_started_again(self) -> None:
        await self.look()
        await self.look()
        self.assertIs(TaskState.WAITING, self.task.state)
        self.assertEqual(1, self.holder.orders.stops)
        self.assertEqual({}, self.watch.unsettled)

    async def test_account_asked_for_before_the_call_was_given_up_tells_nothing(self) -> None:
        # Found on the bench (grown Sofia, trouble-1): a lasting task that had just begun was
        # stopped because an older account did not list it.
        self.watch.unsettled[self.task].since = monotonic() + 60
        await self.look()
        self.assertEqual(0, self.holder.orders.stops)


class StartTest(unittest.IsolatedAsyncioTestCase):
    """A start whose task changed while its place was recorded."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.holder = ScriptedHolder()
        self.watch = WorkerWatch(self.holder, make_worker("w"), EarlierLeases(0.0))
        self.watch.lease.note(0.0, monotonic())
        record = make_record(StepRecord(count=2, cpu_millis=100))
        self.job = submit(self.holder.pool, record)
        self.task = self.job.tasks[0]

    async def test_task_that_an_earlier_run_finished_stays_done(self) -> None:
        # Found on a hunted day (Coulee, trouble-2, seed 422724837697): an earlier run ended
        # while the place of its copy was recorded; the next owner ran the task once more.
        put(self.task, self.watch.load)
        self.task.release()
        put(self.task, self.watch.load)
        earlier = TaskEnd(1, self.task.name, 1, RunEnd.DONE, "")
        self.holder.pool.note_end(self.watch.id, earlier, monotonic())
        await self.watch.start(self.task, 2)
        self.assertIs(TaskState.DONE, self.task.state)
        self.assertEqual(0, self.holder.orders.starts)
        self.assertEqual(b"\x01", self.job.progress(0).done)

    async def test_placed_task_is_ordered(self) -> None:
        put(self.task, self.watch.load)
        await self.watch.start(self.task, 1)
        self.assertEqual(1, self.holder.orders.starts)
        self.assertIs(TaskState.RUNNING, self.task.state)

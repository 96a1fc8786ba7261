"""Tests of states of a task without a run: each ends by an event or by a time that is known before.

The states are listed in docs/develop/task-states.md.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from expression import Error, Result

from pumicespur.jobs._job import TaskState
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.jobs.sessions._unconfirmed_starts import UnresolvedStart
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.store import AnswerLost
from pumicespur.utils import monotonic
from tests.base import quiet_loop
from tests.test_jobs import make_record, make_worker, submit
from tests.test_worker_session import ScriptedOrders, ScriptedOwner

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task


class UnansweredStops(ScriptedOrders):
    """A worker that answers each poll and no stop."""

    async def stop(self, *arguments: Any) -> Result[None, Any]:
        """Count a stop without a response."""
        self.stops += 1
        return Error(AnswerLost("no response in 0.50 s"))


class SessionCase(unittest.IsolatedAsyncioTestCase):
    """A session with a worker that has answered once."""

    tasks = 1

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(0.0))
        await self.poll()
        step = StepRecord(count=self.tasks, cpu_millis=100, long_running=True)
        self.job = submit(self.owner.pool, make_record(step))

    async def poll(self) -> None:
        await self.session._poll(monotonic())

    def lose_answer(self, task: Task) -> None:
        """Assign a task whose start gets no response."""
        assign(task, self.session.load)
        task.state = TaskState.STARTING
        self.session.starts.unresolved[task] = UnresolvedStart(task.run, monotonic())


class SilentWorkerTest(SessionCase):
    """A worker that falls silent while its session waits within calls."""

    tasks = 12

    async def test_its_silence_is_noticed_after_one_stop_without_a_response(self) -> None:
        # Each of a dozen starts was revoked in turn, half a second each, before the next poll.
        self.owner.orders = UnansweredStops()
        for task in self.job.tasks:
            self.lose_answer(task)
        await self.poll()
        self.assertEqual(1, self.owner.orders.stops)

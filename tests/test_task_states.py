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
from pumicespur.model import WorkerName, worker_id
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.store import AnswerLost, ConnectionBroken
from pumicespur.utils import monotonic, now_ms
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


class FencedLeaseTest(unittest.IsolatedAsyncioTestCase):
    """Until when a worker may hold a lease that an earlier owner granted."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()

    async def expires_in_s(
        self, earlier: EarlierLeases, name: str = "w", *, responds: bool = True
    ) -> float:
        """Return for how long tasks are kept on a worker whose connection breaks."""
        session = WorkerSession(self.owner, make_worker(name), earlier)
        if responds:
            await session._poll(monotonic())
        self.owner.orders.faults = [ConnectionBroken("closed")]
        await session._poll(monotonic())
        return session.lease.expires_at() - monotonic()

    async def test_a_worker_that_responded_to_this_owner_waits_for_one_lease(self) -> None:
        # Its tasks waited for all leases of earlier owners, 12 s after the takeover.
        lease_s = self.owner.settings.workers.lease_s
        expires_in_s = await self.expires_in_s(EarlierLeases(monotonic() + 12.0))
        self.assertLess(expires_in_s, lease_s + 1.0)
        self.assertGreaterEqual(expires_in_s, lease_s)

    async def test_a_worker_that_never_responded_waits_for_leases_of_earlier_owners(self) -> None:
        earlier = EarlierLeases(monotonic() + 12.0)
        self.assertGreater(await self.expires_in_s(earlier, responds=False), 11.0)

    async def test_a_deadline_for_another_incarnation_waits_for_the_longest_lease(self) -> None:
        earlier = EarlierLeases(monotonic() + 12.0, of_any_length=True)
        self.assertGreater(await self.expires_in_s(earlier), 11.0)

    async def test_an_order_for_the_incarnation_before_may_have_reached_a_recent_one(self) -> None:
        recent = worker_id(WorkerName("w"), now_ms())
        earlier = EarlierLeases(monotonic() + 12.0)
        self.assertGreater(await self.expires_in_s(earlier, recent), 11.0)

    async def test_leases_that_expire_earlier_are_not_extended(self) -> None:
        session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(5.0))
        await session._poll(monotonic())
        self.assertEqual(5.0, session.lease.earlier.until)


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

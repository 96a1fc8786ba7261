"""Tests of states of a task without a run: each ends by an event or by a time that is known before.

The states are listed in docs/develop/task-states.md.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from expression import Error, Result

from pumicespur.jobs._job import TaskState
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions import OrphanedTasks, Restarts
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.jobs.sessions._unconfirmed_starts import UnresolvedStart
from pumicespur.model import AccountId, ActiveRun, TaskName, WorkerName, worker_id
from pumicespur.schema.jobs_pb import (
    JobRecord,
    LeftRun,
    ProgressRecord,
    StepRecord,
    TaskRecord,
)
from pumicespur.store import AnswerLost, ConnectionBroken
from pumicespur.utils import monotonic, now_ms
from tests.base import quiet_loop
from tests.test_jobs import CONFIGURATION, make_record, make_worker, submit
from tests.test_worker_session import ScriptedOrders, ScriptedOwner

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task

ACCOUNT = AccountId("account")


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


class InheritedUsageTest(unittest.IsolatedAsyncioTestCase):
    """Runs of an earlier owner count against their account's limit while they may go on."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.pool = self.owner.pool
        self.before, self.now = (worker_id(WorkerName("w"), at) for at in (1000, 2000))
        step = StepRecord(count=1, cpu_millis=1000, long_running=True)
        record = JobRecord(id="1" * 16, route="quick", steps=[step], account=ACCOUNT)
        progress = ProgressRecord(tasks=[TaskRecord(index=0, run=1, worker=self.before)])
        job = self.pool.add_job(record, CONFIGURATION, progress)
        assert job is not None
        (self.task,) = job.tasks
        self.earlier = EarlierLeases(monotonic() + 12.0)

    def used(self) -> int:
        return self.pool.limits.usage.of(ACCOUNT).cpu_millis

    def open_next_session(self) -> WorkerSession:
        """Open the session with the incarnation that followed the one of the run."""
        session = WorkerSession(self.owner, make_worker(self.now), self.earlier)
        session.starts.adopt(self.task, monotonic())
        self.pool.adopt_inherited(session.load)
        return session

    async def test_a_run_counts_once_after_its_worker_started_again(self) -> None:
        # The task could not start beside its own run until all leases had expired.
        await self.open_next_session()._poll(monotonic())
        self.assertEqual(1000, self.used())

    async def test_a_run_of_an_ended_job_counts_while_the_next_incarnation_lists_it(self) -> None:
        left = LeftRun(task="2" * 16 + ".0.0.0", run=1, worker=self.before, cpu_millis=500)
        self.pool.add_inherited_run(ACCOUNT, left)
        self.owner.orders.running = [ActiveRun(TaskName(left.task), 1, "", 0, 0.0)]
        session = self.open_next_session()
        await session._poll(monotonic())
        self.assertEqual(1500, self.used())
        self.owner.orders.running = []
        await session._poll(monotonic())
        self.assertEqual(0, self.used())

    def make_orphans(self) -> OrphanedTasks:
        """Look for tasks and runs without a session, as their owner does after a takeover."""
        restarts = Restarts(self.owner.settings.workers, self.earlier)
        orphans = OrphanedTasks(self.pool, set(), restarts, self.earlier)
        orphans.requeue_expired(monotonic())
        return orphans

    async def test_a_worker_with_runs_of_ended_jobs_alone_is_missed(self) -> None:
        # Nobody asked whether it had ended, so its runs counted until all leases had expired.
        left = LeftRun(task="2" * 16 + ".0.0.0", run=1, worker="gone", cpu_millis=500)
        self.pool.add_inherited_run(ACCOUNT, left)
        orphans = self.make_orphans()
        self.assertEqual([WorkerName("gone"), WorkerName("w")], orphans.names())
        now = monotonic()
        self.assertTrue(orphans.requeue_ended({WorkerName("gone")}, now, now))
        self.assertEqual(1000, self.used())

    async def test_runs_on_a_worker_that_never_comes_count_until_all_leases_expire(self) -> None:
        orphans = self.make_orphans()
        self.assertFalse(orphans.requeue_expired(self.earlier.until))
        self.assertEqual(1000, self.used())
        self.assertTrue(orphans.requeue_expired(self.earlier.until + 0.1))
        self.assertEqual(0, self.used())


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

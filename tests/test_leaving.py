"""Tests of starts on workers that say they leave, while the store tells their owner late.

What users saw: a task was started on a worker more than the time allowed after the store had
confirmed that it leaves.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from pumicespur.jobs._beliefs import Beliefs, start_timeout_s, workers_max_age_s
from pumicespur.jobs._job import TaskState
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._load import ACTED_ON_S
from pumicespur.jobs._placement import put
from pumicespur.jobs._reports import report_pool
from pumicespur.jobs._watch import WorkerWatch
from pumicespur.model import AccountId, Capacity, ClientAccount, ProcessId, WorkerState
from pumicespur.node._process_tracker import ProcessTracker
from pumicespur.schema.jobs_pb import DutyReport, PoolReport, StepRecord
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.store import Reading, Row, StoreClock
from pumicespur.utils import monotonic
from pumicespur.view import NodeView, SeenReport
from tests.base import default_settings, quiet_loop
from tests.test_jobs import make_pool, make_record, make_worker, submit
from tests.test_node import STEP, NodeCase, job_id
from tests.test_watch import ScriptedHolder

DRAIN_S = 1.2
"""Time that nodes under test have to know that a worker leaves, as their settings tell."""

LONE = {**STEP, "count": 1}

TWO_TASKS = StepRecord(count=2, cpu_millis=1000)


class LeavingWhileRecordedTest(unittest.IsolatedAsyncioTestCase):
    """A worker whose state changes between the choice of it and the order."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.holder = ScriptedHolder()
        self.settings = self.holder.settings.workers
        self.drain_s = self.settings.drain_ms / 1000
        self.worker = make_worker("w", cpu=4000)
        self.watch = WorkerWatch(self.holder, self.worker, EarlierLeases(0.0))
        self.watch.load.reachable = True
        self.watch.lease.note(0.0, monotonic())
        self.task = submit(self.holder.pool, make_record(StepRecord(count=1, cpu_millis=1))).tasks[
            0
        ]
        put(self.task, self.watch.load)

    async def test_a_start_is_not_ordered_on_a_worker_that_has_come_to_leave(self) -> None:
        self.holder.pool.add_worker(replace(self.worker, state=WorkerState.DRAINING))
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)
        self.assertIs(TaskState.WAITING, self.task.state)

    async def test_a_start_is_not_ordered_on_a_worker_that_is_to_be_emptied_by_now(self) -> None:
        self.watch.load.evacuating = True
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_a_start_is_not_ordered_on_a_worker_that_is_not_listed_any_more(self) -> None:
        self.watch.load.listed = False
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_a_start_is_not_ordered_where_the_label_has_gone(self) -> None:
        self.task.spec.required_label = "large"
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_a_start_is_ordered_where_nothing_has_changed(self) -> None:
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(1, self.holder.orders.starts)

    async def test_a_start_is_not_ordered_once_its_account_is_over_a_fallen_limit(self) -> None:
        limits = self.holder.pool.limits
        account = AccountId("crown")
        job = submit(self.holder.pool, make_record(TWO_TASKS, job="2"))
        job.account = account
        for task in job.tasks:
            put(task, self.watch.load)
        limits.set_accounts({account: ClientAccount(account, 1.0, Capacity(1500, 0))})
        await self.watch.starts.order(job.tasks[0], 1)
        await self.watch.starts.order(job.tasks[1], 1)
        self.assertEqual(1, self.holder.orders.starts)

    async def test_a_start_under_a_limit_waits_while_the_limit_may_have_changed(self) -> None:
        limits = self.holder.pool.limits
        account = AccountId("crown")
        self.task.job.account = account
        limits.set_accounts({account: ClientAccount(account, 1.0, Capacity(1500, 0))})
        limits.doubtful = True
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)
        self.assertFalse(limits.allows(account, TWO_TASKS, monotonic()))
        limits.doubtful = False
        self.assertTrue(limits.allows(account, TWO_TASKS, monotonic()))

    async def test_a_start_whose_ticket_is_over_is_not_ordered(self) -> None:
        self.task.job.advised = True
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_no_start_is_ordered_by_a_list_that_is_too_old(self) -> None:
        self.holder.workers_age_s = self.drain_s - start_timeout_s(self.settings) + 0.01
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_no_start_is_ordered_while_cancellations_may_be_unheard(self) -> None:
        self.holder.submissions_age_s = self.settings.cancel_ms / 1000
        await self.watch.starts.order(self.task, 1)
        self.assertEqual(0, self.holder.orders.starts)

    async def test_the_worker_refuses_a_start_that_comes_once_its_beliefs_are_too_old(self) -> None:
        self.holder.workers_age_s = 1.0
        sent_at = monotonic()
        await self.watch.starts.order(self.task, 1)
        clock_ms = (sent_at - self.watch.lease.heard_at) * 1000
        left_ms = self.holder.orders.orders[0].deadline_ms - clock_ms
        self.assertLess(left_ms, (self.drain_s - 1.0) * 1000)
        self.assertGreater(left_ms, (self.drain_s - 1.0) * 900)


class BeliefsTest(unittest.TestCase):
    """How old what a start rests on may be."""

    def settings(self, drain_ms: int) -> WorkerSettings:
        return WorkerSettings(call_timeout_s=0.5, drain_ms=drain_ms, cancel_ms=3000)

    def test_age_and_call_fit_into_the_time_allowed(self) -> None:
        for drain_ms in (200, 600, 2000, 3000, 60_000):
            settings = self.settings(drain_ms)
            total_s = workers_max_age_s(settings) + start_timeout_s(settings)
            self.assertAlmostEqual(drain_ms / 1000, total_s)
            self.assertGreater(workers_max_age_s(settings), 0)

    def test_what_was_never_read_is_out_of_date(self) -> None:
        self.assertTrue(Beliefs().outdated(self.settings(2000), 10.0))

    def test_an_order_holds_for_as_long_as_each_of_them_allows(self) -> None:
        settings = self.settings(2000)
        fresh, old = Reading(1, 10.0), Reading(1, 8.5)
        self.assertAlmostEqual(2.0, Beliefs(fresh, fresh).hold_for_s(settings, 10.0))
        self.assertAlmostEqual(1.5, Beliefs(fresh, old).hold_for_s(settings, 10.0))

    def test_each_table_is_judged(self) -> None:
        settings, fresh = self.settings(2000), Reading(1, 10.0)
        self.assertEqual("", Beliefs(fresh, fresh).outdated(settings, 11.0))
        self.assertIn("workers", Beliefs(Reading(1, 9.0), fresh).outdated(settings, 11.0))
        self.assertIn("cancel", Beliefs(fresh, Reading(1, 8.0)).outdated(settings, 11.0))


class KeptEmptyTest(unittest.TestCase):
    """A worker that its owner has told to be empty, and a fleet's holder that falls silent."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w"))
        (self.load,) = self.pool.loads.values()

    def told(self) -> bool:
        return report_pool(self.pool, 1).workers[0].evacuating

    def test_it_is_kept_empty_for_as_long_as_the_holder_may_act_on_it(self) -> None:
        self.assertTrue(self.load.note_evacuation(True, monotonic()))
        self.assertTrue(self.told())
        now = monotonic()
        self.load.note_evacuation(None, now)
        self.assertTrue(self.load.evacuating)
        self.assertTrue(self.load.note_evacuation(None, now + ACTED_ON_S))
        self.assertFalse(self.load.evacuating)

    def test_meanwhile_nobody_is_told_so_again(self) -> None:
        self.load.note_evacuation(True, monotonic())
        self.load.note_evacuation(None, monotonic())
        self.assertFalse(self.told())

    def test_it_takes_tasks_again_as_soon_as_the_holder_says_so(self) -> None:
        self.load.note_evacuation(True, monotonic())
        self.assertTrue(self.told())
        self.load.note_evacuation(False, monotonic())
        self.assertFalse(self.load.evacuating)


class OldReportTest(unittest.TestCase):
    """A report that is read long after it was told."""

    def test_it_is_as_old_as_its_telling(self) -> None:
        view = NodeView()
        table: Any = SimpleNamespace(clock=StoreClock())
        now = monotonic()
        table.clock.note(60_000, now, now)
        roles: Any = SimpleNamespace(fleet_leader=None, pool_owners=list)
        nobody: Any = None
        tracker = ProcessTracker(default_settings(), view, table, roles, nobody, nobody, nobody)
        pools = [PoolReport(pool="main", fencing_token=4)]
        for told_ms, known in ((50_000, False), (59_000, True)):
            report = DutyReport(process="owner", pools=pools, told_ms=told_ms, evacuations=["w"])
            tracker.apply_reports([Row("reports/o/newest", report.to_binary(), told_ms)], False)
            self.assertEqual(known, bool(view.fresh_reports(3.0)))

    def test_without_a_holder_nothing_is_known_of_evacuations(self) -> None:
        view = NodeView()
        view.reports[ProcessId("owner")] = SeenReport(DutyReport(process="owner"), monotonic())
        self.assertIsNone(view.evacuations(3.0))


class LeavingCase(NodeCase):
    """Two workers; the job of a test runs on the first one alone until that leaves."""

    workers = 1

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.world.wait_for(
            lambda: '"worker answers"' in self.node.log.read_text(), "the worker is watched"
        )

    async def check_moved_on(self, job: str) -> None:
        """Check that a job completes once all is well, and where its tasks began."""
        await self.world.wait_state(self.node, job, "completed")
        self.assertEqual([], self.world.starts_on_leaving(DRAIN_S))

    async def submit(self, number: int, steps: list[dict[str, Any]] | None = None) -> str:
        """Hand a job in."""
        job = job_id(number)
        self.assertEqual(200, await self.world.submit(self.node, job, steps or [LONE]))
        return job


class CommitWaitsTest(LeavingCase):
    """The store refuses an owner's commits, and tells it all the while of its workers."""

    async def test_a_start_whose_commit_waited_is_not_ordered_on_a_worker_that_left(self) -> None:
        self.world.workers["m-0"].task_s = 0.1
        job = await self.submit(1, [LONE, {**LONE, "dependsOn": [0]}])
        await self.world.wait_for(lambda: bool(self.world.history), "the first step runs")
        self.world.store.faults.refused_callers.add(self.world.workers["m-0"].id)
        await self.world.wait_for(lambda: self.world.history[0].how == "done", "it has ended")
        self.world.drain_worker("m-0")
        await asyncio.sleep(DRAIN_S + 0.05)
        await self.world.add_worker("m-1")
        self.world.store.faults.refused_callers.clear()
        await self.check_moved_on(job)


class ListUnreadTest(LeavingCase):
    """The list of workers can't be read, while all other calls are answered."""

    async def leave_unheard(self, tables: set[str]) -> None:
        """Let the worker leave while nobody can hear of it."""
        await asyncio.sleep(0.3)
        tables.add("servers")
        await asyncio.sleep(0.1)
        self.world.drain_worker("m-0")
        await self.world.add_worker("m-1")

    async def test_no_start_is_ordered_by_a_list_that_is_refused_for_too_long(self) -> None:
        refused = self.world.store.faults.refused_tables
        await self.leave_unheard(refused)
        await asyncio.sleep(DRAIN_S + 0.1)
        job = await self.submit(2)
        await asyncio.sleep(0.7)
        refused.clear()
        await self.check_moved_on(job)

    async def test_a_list_is_read_anew_in_time_when_its_changes_stay_silent(self) -> None:
        deaf = self.world.store.faults.stalled_feeds
        await self.leave_unheard(deaf)
        await asyncio.sleep(DRAIN_S + 0.1)
        await self.check_moved_on(await self.submit(3))

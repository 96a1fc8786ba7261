"""Tests of starts on leaving workers whose owner learns late that they leave.

They guard against a start on a worker later than the time allowed after the store confirmed that
the worker leaves.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

from pumicespur.jobs._job import TaskState
from pumicespur.jobs._known_state import KnownState, start_timeout_s, workers_max_age_s
from pumicespur.jobs._worker_load import REPORT_VALIDITY_S
from pumicespur.jobs.placement import assign
from pumicespur.jobs.reports import report_pool
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.model import AccountId, Capacity, ClientAccount, ProcessId, WorkerState
from pumicespur.node._process_tracker import ProcessTracker
from pumicespur.schema.jobs_pb import DutyReport, PoolReport, StepRecord
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.store import Row, StoreClock, TableProgress
from pumicespur.utils import monotonic
from pumicespur.view import FleetView, SeenReport
from tests.base import default_settings, quiet_loop
from tests.test_jobs import make_pool, make_record, make_worker, submit
from tests.test_node import STEP, NodeCase, job_id
from tests.test_worker_session import ScriptedOwner

DRAIN_S = 1.2
"""Time after which tested nodes must know that a worker leaves; set in their settings."""

LONE = {**STEP, "count": 1}

TWO_TASKS = StepRecord(count=2, cpu_millis=1000)


class LeavingWhileRecordedTest(unittest.IsolatedAsyncioTestCase):
    """A worker whose state changes between placement and the start order."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.settings = self.owner.settings.workers
        self.drain_s = self.settings.drain_ms / 1000
        self.worker = make_worker("w", cpu=4000)
        self.session = WorkerSession(self.owner, self.worker, EarlierLeases(0.0))
        self.session.load.reachable = True
        self.session.lease.note_clock(0.0, monotonic())
        self.task = submit(self.owner.pool, make_record(StepRecord(count=1, cpu_millis=1))).tasks[0]
        assign(self.task, self.session.load)

    async def test_a_start_is_not_ordered_on_a_draining_worker(self) -> None:
        self.owner.pool.add_worker(replace(self.worker, state=WorkerState.DRAINING))
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)
        self.assertIs(TaskState.WAITING, self.task.state)

    async def test_a_start_is_not_ordered_on_a_worker_that_is_being_evacuated(self) -> None:
        self.session.load.evacuating = True
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_a_start_is_not_ordered_on_a_worker_that_is_no_longer_listed(self) -> None:
        self.session.load.listed = False
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_a_start_is_not_ordered_without_the_required_label(self) -> None:
        self.task.spec.required_label = "large"
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_a_start_is_ordered_if_nothing_has_changed(self) -> None:
        await self.session.starts.order(self.task, 1)
        self.assertEqual(1, self.owner.orders.starts)

    async def test_a_start_is_not_ordered_if_its_account_exceeds_a_reduced_limit(self) -> None:
        limits = self.owner.pool.limits
        account = AccountId("crown")
        job = submit(self.owner.pool, make_record(TWO_TASKS, job="2"))
        job.account = account
        for task in job.tasks:
            assign(task, self.session.load)
        limits.set_accounts({account: ClientAccount(account, 1.0, Capacity(1500, 0))})
        await self.session.starts.order(job.tasks[0], 1)
        await self.session.starts.order(job.tasks[1], 1)
        self.assertEqual(1, self.owner.orders.starts)

    async def test_a_start_under_a_limit_waits_while_the_limit_is_stale(self) -> None:
        limits = self.owner.pool.limits
        account = AccountId("crown")
        self.task.job.account = account
        limits.set_accounts({account: ClientAccount(account, 1.0, Capacity(1500, 0))})
        limits.stale = True
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)
        self.assertFalse(limits.allows(account, TWO_TASKS, monotonic()))
        limits.stale = False
        self.assertTrue(limits.allows(account, TWO_TASKS, monotonic()))

    async def test_a_start_with_an_expired_ticket_is_not_ordered(self) -> None:
        self.task.job.needs_tickets = True
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_no_start_is_ordered_while_the_list_of_workers_is_too_old(self) -> None:
        self.owner.workers_age_s = self.drain_s - start_timeout_s(self.settings) + 0.01
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_no_start_is_ordered_while_the_cancellations_are_too_old(self) -> None:
        self.owner.submissions_age_s = self.settings.cancel_ms / 1000
        await self.session.starts.order(self.task, 1)
        self.assertEqual(0, self.owner.orders.starts)

    async def test_a_start_has_a_deadline_by_the_age_of_the_known_state(self) -> None:
        self.owner.workers_age_s = 1.0
        sent_at = monotonic()
        await self.session.starts.order(self.task, 1)
        clock_ms = (sent_at - self.session.lease.last_seen_at) * 1000
        left_ms = self.owner.orders.orders[0].deadline_ms - clock_ms
        self.assertLess(left_ms, (self.drain_s - 1.0) * 1000)
        self.assertGreater(left_ms, (self.drain_s - 1.0) * 900)


class KnownStateTest(unittest.TestCase):
    """How old the tables may be that a start depends on."""

    def settings(self, drain_ms: int) -> WorkerSettings:
        return WorkerSettings(call_timeout_s=0.5, drain_ms=drain_ms, cancel_ms=3000)

    def test_age_and_call_fit_into_the_time_allowed(self) -> None:
        for drain_ms in (200, 600, 2000, 3000, 60_000):
            settings = self.settings(drain_ms)
            total_s = workers_max_age_s(settings) + start_timeout_s(settings)
            self.assertAlmostEqual(drain_ms / 1000, total_s)
            self.assertGreater(workers_max_age_s(settings), 0)

    def test_tables_that_were_never_read_are_stale(self) -> None:
        self.assertTrue(KnownState().staleness_reason(self.settings(2000), 10.0))

    def test_validity_of_an_order_is_the_shortest_of_all_tables(self) -> None:
        settings = self.settings(2000)
        fresh, old = TableProgress(1, 10.0), TableProgress(1, 8.5)
        self.assertAlmostEqual(2.0, KnownState(fresh, fresh).valid_for_s(settings, 10.0))
        self.assertAlmostEqual(1.5, KnownState(fresh, old).valid_for_s(settings, 10.0))

    def test_the_age_of_each_table_is_checked(self) -> None:
        settings, fresh = self.settings(2000), TableProgress(1, 10.0)
        self.assertEqual("", KnownState(fresh, fresh).staleness_reason(settings, 11.0))
        self.assertIn(
            "workers", KnownState(TableProgress(1, 9.0), fresh).staleness_reason(settings, 11.0)
        )
        self.assertIn(
            "cancel", KnownState(fresh, TableProgress(1, 8.0)).staleness_reason(settings, 11.0)
        )


class EvacuatedWorkerTest(unittest.TestCase):
    """A worker that was reported as evacuated, and a fleet leader that becomes unreachable."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w"))
        (self.load,) = self.pool.loads.values()

    def reported(self) -> bool:
        return report_pool(self.pool, 1).workers[0].evacuating

    def test_it_gets_no_tasks_while_the_leader_may_act_on_the_report(self) -> None:
        self.assertTrue(self.load.update_evacuation(True, monotonic()))
        self.assertTrue(self.reported())
        now = monotonic()
        self.load.update_evacuation(None, now)
        self.assertTrue(self.load.evacuating)
        self.assertTrue(self.load.update_evacuation(None, now + REPORT_VALIDITY_S))
        self.assertFalse(self.load.evacuating)

    def test_it_is_not_reported_again_meanwhile(self) -> None:
        self.load.update_evacuation(True, monotonic())
        self.load.update_evacuation(None, monotonic())
        self.assertFalse(self.reported())

    def test_it_gets_tasks_again_as_soon_as_the_leader_ends_the_evacuation(self) -> None:
        self.load.update_evacuation(True, monotonic())
        self.assertTrue(self.reported())
        self.load.update_evacuation(False, monotonic())
        self.assertFalse(self.load.evacuating)


class OldReportTest(unittest.TestCase):
    """A report that is read long after it was sent."""

    def test_its_age_counts_from_its_sending(self) -> None:
        view = FleetView()
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

    def test_without_a_leader_evacuations_are_unknown(self) -> None:
        view = FleetView()
        view.reports[ProcessId("owner")] = SeenReport(DutyReport(process="owner"), monotonic())
        self.assertIsNone(view.workers_to_evacuate(3.0))


class LeavingCase(NodeCase):
    """A job runs on a single worker until that leaves and a second worker is added."""

    workers = 1

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.world.wait_for(
            lambda: '"worker reachable"' in self.node.log.read_text(), "the worker has a session"
        )

    async def check_moved(self, job: str) -> None:
        """Check that a job completes and no task started on the leaving worker too late."""
        await self.world.wait_state(self.node, job, "completed")
        self.assertEqual([], self.world.starts_on_leaving(DRAIN_S))

    async def submit(self, number: int, steps: list[dict[str, Any]] | None = None) -> str:
        """Submit a job."""
        job = job_id(number)
        self.assertEqual(200, await self.world.submit(self.node, job, steps or [LONE]))
        return job


class DelayedCommitTest(LeavingCase):
    """The store refuses an owner's commits but serves its reads of the list of workers."""

    async def test_a_start_with_a_delayed_commit_is_not_ordered_on_a_leaving_worker(self) -> None:
        self.world.workers["m-0"].task_s = 0.1
        job = await self.submit(1, [LONE, {**LONE, "dependsOn": [0]}])
        await self.world.wait_for(lambda: bool(self.world.history), "the first step runs")
        self.world.store.faults.refused_texts.add(self.world.workers["m-0"].id)
        await self.world.wait_for(lambda: self.world.history[0].how == "done", "it has ended")
        self.world.drain_worker("m-0")
        await asyncio.sleep(DRAIN_S + 0.05)
        await self.world.add_worker("m-1")
        self.world.store.faults.refused_texts.clear()
        await self.check_moved(job)


class UnreadableListTest(LeavingCase):
    """The list of workers can't be read while all other calls succeed."""

    async def leave_unnoticed(self, tables: set[str]) -> None:
        """Let the worker leave while no node can read that."""
        await asyncio.sleep(0.3)
        tables.add("servers")
        await asyncio.sleep(0.1)
        self.world.drain_worker("m-0")
        await self.world.add_worker("m-1")

    async def test_no_start_is_ordered_if_the_list_is_refused_for_too_long(self) -> None:
        refused = self.world.store.faults.refused_tables
        await self.leave_unnoticed(refused)
        await asyncio.sleep(DRAIN_S + 0.1)
        job = await self.submit(2)
        await asyncio.sleep(0.7)
        refused.clear()
        await self.check_moved(job)

    async def test_a_list_is_read_in_full_in_time_if_its_changes_get_no_response(self) -> None:
        deaf = self.world.store.faults.stalled_feeds
        await self.leave_unnoticed(deaf)
        await asyncio.sleep(DRAIN_S + 0.1)
        await self.check_moved(await self.submit(3))

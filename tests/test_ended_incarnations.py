"""Tests of what follows the end of a worker that the list of instances shows."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from pumicespur.jobs import Ownership, PoolOwner
from pumicespur.jobs._crash_attribution import COMMON_CAUSE_WINDOW_S
from pumicespur.jobs._job import TaskState
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions import EarlierLeases, OrphanedTasks, Restarts, WorkerSession
from pumicespur.maintenance._ended_workers import EndedWorkerFinder
from pumicespur.model import (
    WorkerId,
    WorkerName,
    worker_id,
    worker_name,
)
from pumicespur.platform._fleet import _decode_instance, _Machine
from pumicespur.schema.jobs_pb import PoolReport, StepRecord
from pumicespur.store import AnswerLost, ConnectionBroken
from pumicespur.utils import monotonic
from pumicespur.view import FleetView
from tests.base import default_settings, quiet_loop
from tests.test_jobs import POOL, make_pool, make_record, make_worker, submit
from tests.test_maintenance import make_instance
from tests.test_worker_session import ScriptedOrders, ScriptedOwner

NAME = WorkerName("w")
ENDED = frozenset({NAME})
LIST_DELAY_S = 0.2
"""By how much an entry of the list may be late, as docs/develop/platform.md assumes."""


class NoTaskGroup:
    """A task group that runs nothing."""

    def start_soon(self, *arguments: Any) -> None:
        """Do nothing."""


class RestartsOwner(ScriptedOwner):
    """A pool's owner that keeps account of restarts as the real one does."""

    def __init__(self) -> None:
        super().__init__()
        self.restarts = Restarts(self.settings.workers, EarlierLeases(0.0))

    def note_restart(self, worker: WorkerId, *, leased: bool) -> None:
        """Note the restart."""
        self.restarts.note_ended(worker, monotonic(), leased=leased)


class EndedButListedTest(unittest.IsolatedAsyncioTestCase):
    """A worker that has ended by the list of instances, while its entry in the store remains."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        orders: Any = ScriptedOrders()
        self.orders = orders
        nothing: Any = None
        view = FleetView()
        self.first, self.other = (worker_id(WorkerName(name), 1000) for name in ("w", "x"))
        self.view = view
        self.list_workers(self.first, self.other)
        self.owner = PoolOwner(
            default_settings(),
            view,
            nothing,
            self.orders,
            Ownership(POOL, 1, "incarnation", monotonic()),
            EarlierLeases(0.0),
            lambda: None,
        )
        group: Any = NoTaskGroup()
        self.owner.tasks = group
        await self.open_sessions()
        step = StepRecord(count=1, cpu_millis=100, long_running=True)
        self.job = submit(self.owner.pool, make_record(step))
        (self.task,) = self.job.tasks

    def list_workers(self, *workers: WorkerId) -> None:
        """Set the workers that the store lists."""
        self.view.workers = {worker_name(worker): make_worker(worker) for worker in workers}

    async def open_sessions(self) -> None:
        """Open the sessions of the listed workers, which answer once."""
        self.owner.sync_workers()
        for session in self.owner.sessions.values():
            await session._poll(monotonic())

    async def begin_and_break(self, worker: WorkerId) -> WorkerSession:
        """Start the task on a worker, whose connection then breaks."""
        session = self.owner.sessions[worker]
        assign(self.task, session.load)
        session.starts.confirm(self.task)
        self.orders.faults = [ConnectionBroken("closed")]
        await session._poll(monotonic())
        return session

    async def end_first(self) -> None:
        """End the session of the first worker, as the list shows; its entry comes again."""
        session = await self.begin_and_break(self.first)
        later = monotonic() + COMMON_CAUSE_WINDOW_S
        session.end_if_over(ENDED, later, later)
        self.owner.drop_session(session.id)
        self.owner.sync_workers()

    async def test_no_session_is_opened_again_for_an_ended_incarnation(self) -> None:
        await self.end_first()
        self.assertNotIn(self.first, self.owner.sessions)

    async def test_a_worker_that_comes_back_is_used_where_no_start_time_is_told(self) -> None:
        self.first = WorkerId("w")
        self.list_workers(self.first, self.other)
        await self.open_sessions()
        await self.end_first()
        self.list_workers(self.other)
        self.owner.sync_workers()
        self.list_workers(self.first, self.other)
        self.owner.sync_workers()
        self.assertIn(self.first, self.owner.sessions)

    async def test_an_ended_worker_is_no_common_cause_of_a_later_crash_in_its_rack(self) -> None:
        await self.end_first()
        again = self.owner.sessions.get(self.first)
        if again is not None:
            self.orders.faults = [ConnectionBroken("closed")]
            await again._poll(monotonic())
        second = await self.begin_and_break(self.other)
        second.end("it runs on no instance")
        self.assertTrue(self.job.ended, [loss.sole_suspect for loss in self.task.losses])


class NextIncarnationTest(unittest.IsolatedAsyncioTestCase):
    """What a worker may have been told before the list ended its previous incarnation."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = RestartsOwner()
        self.session = WorkerSession(
            self.owner, make_worker(worker_id(NAME, 1000)), EarlierLeases(0.0)
        )
        await self.session._poll(monotonic())
        job = submit(self.owner.pool, make_record(StepRecord(count=1, long_running=True)))
        (self.task,) = job.tasks

    async def lose_answer(self) -> None:
        """Extend the lease by a call without an answer, which may be done late."""
        self.owner.orders.faults = [AnswerLost("no response in 0.50 s")]
        await self.session._poll(monotonic())
        assert self.owner.orders.deadlines[-1] is not None

    def end_by_list(self) -> None:
        later = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, later, later)

    def unknown_lease_s(self) -> float:
        """Return for how long the next incarnation may run by orders for the one before."""
        now = monotonic()
        following = make_worker(worker_id(NAME, 2000))
        return self.owner.restarts.unknown_leases(following, now).until - now

    async def test_a_deadline_without_an_answer_counts_as_the_longest_lease(self) -> None:
        await self.lose_answer()
        self.end_by_list()
        self.assertTrue(self.session.gone)
        self.assertGreaterEqual(self.unknown_lease_s(), self.owner.restarts.max_lease_s())

    async def test_the_same_without_the_list(self) -> None:
        await self.lose_answer()
        self.session.end_restarted(leased=True)
        self.assertGreaterEqual(self.unknown_lease_s(), self.owner.restarts.max_lease_s())

    async def test_a_start_that_the_next_incarnation_adopted_is_not_revoked(self) -> None:
        assign(self.task, self.session.load)
        await self.session.starts.order(self.task, self.task.run)
        await self.lose_answer()
        self.session.end_restarted(leased=True)
        self.end_by_list()
        self.assertEqual([], self.owner.revoked)


class OrphanedStartTest(unittest.TestCase):
    """An earlier owner's start whose worker has ended by the list of instances."""

    def test_it_is_revoked_on_the_next_incarnation(self) -> None:
        pool = make_pool()
        earlier = EarlierLeases(monotonic() + 12.0)
        restarts = Restarts(default_settings().workers, earlier)
        orphans = OrphanedTasks(pool, set(), restarts, earlier)
        job = submit(pool, make_record(StepRecord(count=1, long_running=True)))
        (task,) = job.tasks
        task.worker, task.run, task.state = WorkerId("w"), 1, TaskState.STARTING
        now = monotonic()
        orphans.requeue_expired(now)
        self.assertTrue(orphans.requeue_ended(ENDED, now, now))
        self.assertEqual([(task.name, 1)], restarts.revoked_runs(make_worker("w"), now))


class ListTest(unittest.TestCase):
    """Lists of instances that prove nothing."""

    def setUp(self) -> None:
        self.ended = EndedWorkerFinder()
        self.report = PoolReport(missing_workers=[NAME])
        self.other = replace(make_instance("m-1"), worker=WorkerName("other"))

    def test_two_lists_within_the_delay_of_the_list(self) -> None:
        for at in (0.0, LIST_DELAY_S - 0.05):
            self.ended.note_list([self.other], at)
        self.assertEqual([], self.ended.find([self.report]))

    def test_an_instance_in_a_state_that_is_not_known(self) -> None:
        unknown = _decode_instance(_Machine("m-2", POOL, "leaving", "hall", id=NAME))
        for at in (0.0, 1.0):
            self.ended.note_list([self.other, unknown], at)
        self.assertEqual([], self.ended.find([self.report]))

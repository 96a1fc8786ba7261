"""Tests of workers that have ended: how the list shows it, and what owners do about it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from pumicespur.jobs._crash_attribution import COMMON_CAUSE_WINDOW_S
from pumicespur.jobs._job import TaskState
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions import EarlierLeases, OrphanedTasks, Restarts, WorkerSession
from pumicespur.maintenance._ended_workers import EndedWorkerFinder
from pumicespur.model import Instance, InstanceState, WorkerId, WorkerName, worker_id
from pumicespur.schema.jobs_pb import PoolReport, StepRecord, WorkerReport
from pumicespur.store import ConnectionBroken, StoreClock
from pumicespur.utils import monotonic
from tests.base import default_settings, quiet_loop
from tests.test_jobs import make_pool, make_record, make_worker, submit
from tests.test_maintenance import make_instance
from tests.test_worker_session import ScriptedOwner

ENDED = frozenset({WorkerName("w")})


def report(name: str, *, reachable: bool = False, tasks: int = 1) -> PoolReport:
    """Make an owner's report on one worker."""
    return PoolReport(workers=[WorkerReport(worker=name, tasks=tasks, reachable=reachable)])


class ListedWorkersTest(unittest.TestCase):
    """Which workers the lists of instances show to have ended."""

    def setUp(self) -> None:
        self.ended = EndedWorkerFinder()
        self.other = replace(make_instance("m-1"), worker=WorkerName("other"))
        self.instance = replace(make_instance("m-2"), worker=WorkerName("w"))

    def note_lists(self, *lists: list[Instance]) -> None:
        """Note lists that are requested a second after each other."""
        for at, instances in enumerate(lists):
            self.ended.note_list(instances, float(at))

    def test_a_worker_that_two_lists_lack_has_ended_before_the_older_one(self) -> None:
        self.note_lists([self.other], [self.other])
        self.assertEqual([WorkerName("w")], self.ended.find([report("w")]))
        self.assertEqual(0.0, self.ended.as_of)

    def test_a_worker_that_one_list_lacks_may_run(self) -> None:
        self.note_lists([self.other, self.instance], [self.other])
        self.assertEqual([], self.ended.find([report("w")]))

    def test_an_instance_that_is_not_up_runs_no_worker(self) -> None:
        for state in (InstanceState.DOWN, InstanceState.MOVING, InstanceState.MAINTENANCE):
            down = replace(self.instance, state=state)
            self.note_lists([self.other, down], [self.other, down])
            self.assertEqual([WorkerName("w")], self.ended.find([report("w")]), state)

    def test_a_worker_that_its_owner_misses_has_ended(self) -> None:
        self.note_lists([self.other], [self.other])
        self.assertEqual([WorkerName("w")], self.ended.find([PoolReport(missing_workers=["w"])]))

    def test_a_worker_that_responds_has_not_ended(self) -> None:
        self.note_lists([self.other], [self.other])
        self.assertEqual([], self.ended.find([report("w", reachable=True)]))

    def test_lists_without_any_worker_tell_nothing(self) -> None:
        bare = replace(self.instance, worker=None)
        self.note_lists([bare], [bare])
        self.assertEqual([], self.ended.find([report("w")]))


class EndedSessionTest(unittest.IsolatedAsyncioTestCase):
    """A session whose worker is unreachable ends once the worker is known to have ended."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        worker = make_worker(worker_id(WorkerName("w"), 1000))
        self.session = WorkerSession(self.owner, worker, EarlierLeases(1e9))
        await self.session._poll(monotonic())
        job = submit(self.owner.pool, make_record(StepRecord(count=1, long_running=True)))
        (self.task,) = job.tasks
        assign(self.task, self.session.load)
        await self.session.starts.order(self.task, self.task.run)
        self.broken_at = monotonic()
        self.owner.orders.faults = [ConnectionBroken("closed")]

    async def test_its_task_waits_for_no_lease(self) -> None:
        await self.session._poll(self.broken_at)
        now = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, now, now)
        self.assertIs(TaskState.WAITING, self.task.state)

    async def test_a_worker_that_responds_keeps_its_task(self) -> None:
        now = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, now, now)
        self.assertFalse(self.session.gone)

    async def test_a_list_from_before_the_silence_ends_nothing(self) -> None:
        await self.session._poll(self.broken_at)
        now = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, self.broken_at - 1.0, now)
        self.assertFalse(self.session.gone)

    async def test_workers_lost_at_the_same_time_are_noticed_first(self) -> None:
        await self.session._poll(self.broken_at)
        self.session.end_if_over(ENDED, monotonic(), monotonic())
        self.assertFalse(self.session.gone)

    async def test_a_start_without_a_status_is_revoked_on_the_next_incarnation(self) -> None:
        await self.session._poll(self.broken_at)
        now = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, now, now)
        self.assertEqual([(self.task.name, 1)], self.owner.revoked)

    async def test_no_session_is_opened_again_for_an_entry_that_has_not_lapsed_yet(self) -> None:
        await self.session._poll(self.broken_at)
        now = monotonic() + COMMON_CAUSE_WINDOW_S
        self.session.end_if_over(ENDED, now, now)
        self.assertEqual([(self.session.id, True)], self.owner.restarted)


class OrphanedTasksTest(unittest.TestCase):
    """Tasks whose worker has no session are requeued, each by a time that is known before."""

    def setUp(self) -> None:
        self.pool = make_pool()
        settings = default_settings().workers
        self.earlier = EarlierLeases(100.0)
        self.restarts = Restarts(settings, self.earlier)
        self.sessions: set[WorkerId] = set()
        self.orphans = OrphanedTasks(self.pool, self.sessions, self.restarts, self.earlier)
        job = submit(self.pool, make_record(StepRecord(count=1, long_running=True)))
        (self.task,) = job.tasks
        self.task.worker, self.task.run, self.task.state = WorkerId("w"), 1, TaskState.STARTING

    def assert_requeued_after(self, at: float) -> None:
        self.assertFalse(self.orphans.requeue_expired(at))
        self.assertTrue(self.orphans.requeue_expired(at + 0.1))
        self.assertIs(TaskState.WAITING, self.task.state)

    def test_an_inherited_task_waits_for_the_leases_of_earlier_owners(self) -> None:
        self.assert_requeued_after(100.0)

    def test_a_task_that_loses_its_session_later_waits_for_the_longest_lease(self) -> None:
        self.sessions.add(WorkerId("w"))
        self.orphans.requeue_expired(150.0)
        self.sessions.clear()
        self.orphans.requeue_expired(200.0)
        self.assert_requeued_after(200.0 + self.restarts.max_lease_s())

    def test_a_task_left_to_a_next_incarnation_waits_for_the_longest_lease(self) -> None:
        self.restarts.note_ended(WorkerId("w"), 200.0, leased=True)
        self.assert_requeued_after(200.0 + self.restarts.max_lease_s())

    def test_its_worker_is_named_until_the_task_is_requeued(self) -> None:
        self.orphans.requeue_expired(0.0)
        self.assertEqual([WorkerName("w")], self.orphans.names())
        self.orphans.requeue_ended(ENDED, 0.0, 1.0)
        self.assertEqual([], self.orphans.names())

    def test_an_ended_worker_holds_no_lease(self) -> None:
        self.orphans.requeue_expired(0.0)
        self.assertTrue(self.orphans.requeue_ended(ENDED, 0.5, 1.0))
        self.assertIs(TaskState.WAITING, self.task.state)

    def test_a_worker_missed_after_the_list_may_be_a_later_incarnation(self) -> None:
        self.orphans.requeue_expired(10.0)
        self.assertFalse(self.orphans.requeue_ended(ENDED, 9.0, 11.0))


class StoreClockTest(unittest.TestCase):
    """Times on the store's clock as times that certainly came before them."""

    def test_a_time_is_before_the_upper_bound_of_the_clock(self) -> None:
        clock = StoreClock()
        clock.note(5000, sent_at=10.0, received_at=10.5)
        latest = clock.latest_before(7000)
        self.assertLessEqual(clock.at_most_ms(latest), 7000)
        self.assertGreater(clock.at_most_ms(latest + 0.01), 7000)

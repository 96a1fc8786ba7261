"""Tests of states of a task without a run: each ends by an event or by a time that is known before.

The states are listed in docs/develop/task-states.md.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from pumicespur.jobs import Ownership, PoolOwner
from pumicespur.jobs._advice_client import AdviceClient
from pumicespur.jobs._crash_attribution import LOSS_LIMIT, PROVEN_AFTER_S
from pumicespur.jobs._demand import MIN_WORKERS
from pumicespur.jobs._job import TaskState, WorkerLoss
from pumicespur.jobs._worker_load import MIN_EJECT_FAILURES
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions import OrphanedTasks, Restarts
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.jobs.sessions._starts import UNHEALTHY_PAUSE_S
from pumicespur.jobs.sessions._unconfirmed_starts import UnresolvedStart
from pumicespur.model import (
    AccountId,
    ActiveRun,
    Capacity,
    ClientAccount,
    EndedRun,
    InstanceId,
    RunEnd,
    TaskName,
    WorkerId,
    WorkerName,
    worker_id,
)
from pumicespur.schema.jobs_pb import (
    JobRecord,
    JobTerms,
    LeftRun,
    ProgressRecord,
    StepRecord,
    TaskRecord,
)
from pumicespur.store import AnswerLost, ConnectionBroken
from pumicespur.utils import monotonic, now_ms
from pumicespur.view import FleetView
from tests.base import default_settings, quiet_loop
from tests.test_jobs import CONFIGURATION, POOL, finish, make_pool, make_record, make_worker, submit
from tests.test_worker_session import ScriptedOrders, ScriptedOwner

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task

ACCOUNT = AccountId("account")

ROUND_MS = 100

SHORT_ROUNDS = 8
"""Rounds for which a short task runs."""

MAX_ROUNDS = 60
"""Rounds after which a task without a run is late: six seconds."""


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

    def make_orphans(self, *sessions: WorkerSession) -> OrphanedTasks:
        """Look for tasks and runs without a session, as their owner does after a takeover."""
        restarts = Restarts(self.owner.settings.workers, self.earlier)
        ids = {session.id for session in sessions}
        orphans = OrphanedTasks(self.pool, ids, restarts, self.earlier)
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

    async def test_a_listed_worker_with_runs_of_ended_jobs_alone_is_missed(self) -> None:
        left = LeftRun(task="2" * 16 + ".0.0.0", run=1, worker="silent", cpu_millis=500)
        self.pool.add_inherited_run(ACCOUNT, left)
        session = WorkerSession(self.owner, make_worker("silent"), self.earlier)
        self.owner.orders.faults = [ConnectionBroken("closed")]
        await session._poll(monotonic())
        orphans = self.make_orphans(session)
        self.assertIn(WorkerName("silent"), orphans.names())
        session.load.reachable = True
        self.assertNotIn(WorkerName("silent"), orphans.names())

    async def test_runs_on_a_worker_that_never_comes_count_until_all_leases_expire(self) -> None:
        orphans = self.make_orphans()
        self.assertFalse(orphans.requeue_expired(self.earlier.until))
        self.assertEqual(1000, self.used())
        self.assertTrue(orphans.requeue_expired(self.earlier.until + 0.1))
        self.assertEqual(0, self.used())


class FullPool:
    """A pool whose workers are full of one-core tasks that end in turn, with more waiting."""

    def __init__(self, workers: int = 2) -> None:
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(workers)))
        short = StepRecord(count=300, cpu_millis=1000, estimated_ms=SHORT_ROUNDS * ROUND_MS)
        self.short = submit(self.pool, make_record(short, job="1" * 16))
        self.round = 0
        self.ends: dict[Task, int] = {}
        """In which round each short task that runs ends."""

    def play_round(self) -> list[Task]:
        """End the short tasks whose time has come and place waiting ones; return these."""
        for task in [task for task, end in self.ends.items() if end <= self.round]:
            del self.ends[task]
            finish(self.pool, task)
        placed = self.pool.place(self.round * ROUND_MS / 1000, self.round * ROUND_MS)
        for number, task in enumerate(placed):
            task.state = TaskState.RUNNING
            if task.job is self.short:
                # The first ones end one after the other, so that no two places become free at once.
                first = task.run == 1 and not self.round
                self.ends[task] = self.round + (1 + number % 4 if first else SHORT_ROUNDS)
        self.round += 1
        return placed

    def lose_long_running(self, record: JobRecord, losses: int = 0) -> list[Task]:
        """Add a job whose tasks have lost their workers; return the tasks."""
        job = submit(self.pool, record)
        for task in job.tasks:
            task.run = 1
            for number in range(losses):
                lost = f"lost-{number}"
                task.losses.append(WorkerLoss(WorkerId(lost), InstanceId(lost), False))
        return job.tasks

    def rounds_until_placed(self, tasks: list[Task]) -> int:
        """Return after how many rounds all tasks run; raise AssertionError if that is too late."""
        began = self.round
        while any(task.state is TaskState.WAITING for task in tasks):
            self.play_round()
            if self.round - began > MAX_ROUNDS:
                raise AssertionError("tasks wait for free capacity")
        return self.round - began


class FreeCapacityTest(unittest.TestCase):
    """Long-running tasks that lost their worker, in a pool that is full."""

    def setUp(self) -> None:
        self.full = FullPool()
        for _ in range(SHORT_ROUNDS):
            self.full.play_round()

    def make_record(self, count: int = 1, cpu_millis: int = 3000, priority: int = 0) -> JobRecord:
        """Make a long-running job of which each worker takes one task."""
        step = StepRecord(count=count, cpu_millis=cpu_millis, long_running=True, max_per_worker=1)
        record = make_record(step)
        record.accepted_ms = self.full.round * ROUND_MS
        record.terms = JobTerms(max_attempts=1, stretch=1.0, priority=priority)
        return record

    def test_smaller_tasks_do_not_take_each_place_that_becomes_free(self) -> None:
        tasks = self.full.lose_long_running(self.make_record())
        self.assertLessEqual(self.full.rounds_until_placed(tasks), SHORT_ROUNDS + 1)

    def test_several_tasks_wait_for_their_places_at_the_same_time(self) -> None:
        tasks = self.full.lose_long_running(self.make_record(count=2))
        self.assertLessEqual(self.full.rounds_until_placed(tasks), SHORT_ROUNDS + 1)

    def test_more_urgent_tasks_do_not_go_first(self) -> None:
        tasks = self.full.lose_long_running(self.make_record(cpu_millis=1000, priority=2))
        self.assertLessEqual(self.full.rounds_until_placed(tasks), 2)

    def test_a_task_on_its_last_start_before_its_job_fails_gets_a_worker(self) -> None:
        # It had to start quarantined, and no worker ever had free capacity to be reserved for it.
        tasks = self.full.lose_long_running(self.make_record(), LOSS_LIMIT - 1)
        bound = SHORT_ROUNDS + 1 + PROVEN_AFTER_S * 1000 / ROUND_MS
        self.assertLessEqual(self.full.rounds_until_placed(tasks), bound)

    def assert_short_tasks_go_on(self) -> None:
        """Check that each place that becomes free is taken at once."""
        for _ in range(2 * SHORT_ROUNDS):
            self.full.play_round()
            self.assertEqual(2 * 4, len(self.full.ends))

    def test_a_task_that_fits_no_worker_keeps_none_free(self) -> None:
        self.full.lose_long_running(self.make_record(cpu_millis=5000))
        self.assert_short_tasks_go_on()

    def test_a_task_that_its_accounts_limit_stops_keeps_no_worker_free(self) -> None:
        record = self.make_record()
        record.account = ACCOUNT
        limit = ClientAccount(ACCOUNT, 1.0, Capacity(4000, 0))
        self.full.pool.limits.set_accounts({ACCOUNT: limit})
        self.full.pool.limits.usage.add(ACCOUNT, StepRecord(cpu_millis=4000), 1)
        self.full.lose_long_running(record)
        self.assert_short_tasks_go_on()

    def test_a_task_with_a_reserved_worker_keeps_no_other_free(self) -> None:
        # It waits there until other new tasks are proven.
        reserved = self.full.pool.add_worker(make_worker("reserved"))
        reserved.reachable = True
        new = submit(self.full.pool, make_record(StepRecord(count=1, cpu_millis=100), job="2" * 16))
        assign(new.tasks[0], reserved)
        tasks = self.full.lose_long_running(self.make_record(), LOSS_LIMIT - 1)
        self.assert_short_tasks_go_on()
        self.assertEqual([TaskState.WAITING], [task.state for task in tasks])

    def test_a_task_that_never_ran_keeps_no_worker_free(self) -> None:
        submit(self.full.pool, self.make_record())
        self.assert_short_tasks_go_on()


class EjectedWorkersTest(unittest.IsolatedAsyncioTestCase):
    """A long-running task that lost its run, beside workers that are left out after failures."""

    def setUp(self) -> None:
        self.pool = make_pool(*(make_worker(name) for name in ("w-0", "w-1")))
        record = make_record(StepRecord(count=1, cpu_millis=1000, long_running=True))
        (self.task,) = submit(self.pool, record).tasks
        self.task.run = 1

    def eject(self, *names: str) -> None:
        """Let a worker fail several tasks in a row."""
        for name in names:
            for _ in range(MIN_EJECT_FAILURES):
                self.pool.loads[WorkerId(name)].note_result(False, 0.0)

    def test_it_starts_although_all_are_left_out(self) -> None:
        # A job whose tasks all failed left out all workers of an idle pool, for 16 s at last.
        self.eject("w-0", "w-1")
        self.assertEqual([self.task], self.pool.place(0.1, 100.0))

    def test_a_worker_without_failures_is_preferred(self) -> None:
        self.eject("w-0")
        (placed,) = self.pool.place(0.1, 100.0)
        self.assertEqual(WorkerId("w-1"), placed.worker)

    def test_a_full_worker_without_failures_is_waited_for(self) -> None:
        self.eject("w-0")
        short = submit(self.pool, make_record(StepRecord(count=1, cpu_millis=4000), job="1" * 16))
        assign(short.tasks[0], self.pool.loads[WorkerId("w-1")])
        self.assertEqual([], self.pool.place(0.1, 100.0))

    def test_short_tasks_wait(self) -> None:
        self.eject("w-0", "w-1")
        submit(self.pool, make_record(StepRecord(count=1, cpu_millis=1000), job="1" * 16))
        self.assertEqual([self.task], self.pool.place(0.1, 100.0))

    def test_a_worker_that_leaves_is_not_used(self) -> None:
        self.eject("w-0", "w-1")
        for load in self.pool.loads.values():
            load.evacuating = True
        self.assertEqual([], self.pool.place(0.1, 100.0))

    async def test_its_start_is_not_withheld(self) -> None:
        quiet_loop()
        owner = ScriptedOwner()
        session = WorkerSession(owner, make_worker("w"), EarlierLeases(0.0))
        await session._poll(monotonic())
        for _ in range(MIN_EJECT_FAILURES):
            session.load.note_result(False, monotonic())
        job = submit(owner.pool, make_record(StepRecord(count=1, long_running=True)))
        job.tasks[0].run = 1
        (task,) = owner.pool.place(monotonic(), 0.0)
        await session.starts.order(task, task.run)
        self.assertIs(TaskState.RUNNING, task.state)


class EmptyPoolTest(unittest.TestCase):
    """What the owner of a pool without any worker requests from the fleet leader."""

    def setUp(self) -> None:
        nothing: Any = None
        self.owner = PoolOwner(
            default_settings(),
            FleetView(),
            nothing,
            nothing,
            Ownership(POOL, 1, "incarnation", monotonic()),
            EarlierLeases(0.0),
            lambda: None,
        )

    def requested_workers(self) -> tuple[int, int]:
        report = self.owner.report()
        return report.busy_workers, report.wanted_workers

    def test_work_of_a_pool_that_lost_all_workers_is_given_some(self) -> None:
        # It requested none, so its tasks had no run until the pool's next peak.
        step = StepRecord(count=1, cpu_millis=1000, long_running=True)
        submit(self.owner.pool, make_record(step))
        self.assertEqual((MIN_WORKERS, MIN_WORKERS), self.requested_workers())

    def test_a_widely_spread_step_is_given_a_worker_for_each_task(self) -> None:
        step = StepRecord(count=9, cpu_millis=1000, long_running=True, max_per_worker=1)
        submit(self.owner.pool, make_record(step))
        self.assertEqual((10, 10), self.requested_workers())

    def test_a_pool_without_work_is_given_none(self) -> None:
        job = submit(self.owner.pool, make_record(StepRecord(count=1, cpu_millis=1000)))
        self.owner.pool.cancel(job)
        self.assertEqual((0, 0), self.requested_workers())


class NoTickets:
    """An advice service that issues no ticket."""

    async def request_tickets(self, *arguments: Any) -> Result[Any, Any]:
        """Return no ticket."""
        return Ok(({}, 1.0))


class TicketTest(unittest.IsolatedAsyncioTestCase):
    """Steps that wait for tickets of the advice service."""

    async def test_a_step_that_gets_no_tickets_does_not_hold_up_the_others(self) -> None:
        orders: Any = NoTickets()
        pool = make_pool(make_worker("w"))
        for job in ("1" * 16, "2" * 16):
            step = StepRecord(count=1, cpu_millis=1000)
            submit(pool, make_record(step, job=job)).needs_tickets = True
        client = AdviceClient(pool, orders)
        first = client._next_group()
        assert first is not None
        await client._request_tickets(first)
        self.assertIsNot(first, client._next_group())


class RecordingOwner(ScriptedOwner):
    """A pool's owner that records what it is asked to run concurrently."""

    def __init__(self) -> None:
        super().__init__()
        self.spawned: list[tuple[Any, ...]] = []

    def spawn(self, function: Any, *arguments: Any) -> None:
        """Record the call."""
        self.spawned.append(arguments)


class BrokenGangTest(unittest.IsolatedAsyncioTestCase):
    """A gang that lost one member, while the others are at work."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = RecordingOwner()
        sessions = [
            WorkerSession(self.owner, make_worker(name), EarlierLeases(0.0)) for name in ("v", "w")
        ]
        job = submit(self.owner.pool, make_record(StepRecord(count=2, cpu_millis=100, gang=True)))
        for task, session in zip(job.tasks, sessions, strict=True):
            assign(task, session.load)
            session.starts.confirm(task)
        self.lost, self.other = job.tasks
        self.lost_session, self.session = sessions
        self.owner.orders.running = [ActiveRun(self.other.name, 1, "", 0, 0.0)]

    async def test_the_others_are_stopped_so_that_it_starts_again(self) -> None:
        self.lost_session.end("its instance runs another worker")
        await self.session._poll(monotonic())
        self.assertEqual([(self.other.name, 1)], [call[:2] for call in self.owner.spawned])

    async def test_a_whole_gang_goes_on(self) -> None:
        await self.session._poll(monotonic())
        self.assertEqual([], self.owner.spawned)


class LostStartTest(SessionCase):
    """A start that did not arrive at a worker which answers polls."""

    async def resolve(self) -> None:
        """Poll until the start is revoked and its task waits again."""
        for _ in range(2):
            await self.poll()
        self.assertIs(TaskState.WAITING, self.job.tasks[0].state)

    async def test_its_task_is_placed_on_another_worker(self) -> None:
        # The same worker was the least utilized each time, as it never ran what it was sent.
        self.owner.pool.add_worker(make_worker("x")).reachable = True
        self.lose_answer(self.job.tasks[0])
        await self.resolve()
        (placed,) = self.owner.pool.place(monotonic(), 0.0)
        self.assertEqual(WorkerId("x"), placed.worker)

    async def test_the_worker_is_used_again_after_a_while(self) -> None:
        self.lose_answer(self.job.tasks[0])
        await self.resolve()
        self.assertEqual([], self.owner.pool.place(monotonic(), 0.0))
        (placed,) = self.owner.pool.place(monotonic() + UNHEALTHY_PAUSE_S, 0.0)
        self.assertEqual(self.session.id, placed.worker)

    async def test_a_start_of_an_earlier_owner_says_nothing_of_the_worker(self) -> None:
        task = self.job.tasks[0]
        task.run = 1
        self.session.starts.adopt(task, monotonic())
        await self.resolve()
        self.assertEqual([task], self.owner.pool.place(monotonic(), 0.0))


class UnlistedRunTest(SessionCase):
    """A run that its worker confirmed and then neither lists nor reports as ended."""

    async def begin(self) -> Task:
        """Start a task; the worker confirms it."""
        task = self.job.tasks[0]
        assign(task, self.session.load)
        await self.session.starts.order(task, task.run)
        return task

    async def test_its_task_does_not_count_as_running_for_good(self) -> None:
        task = await self.begin()
        for _ in range(3):
            await self.poll()
        self.assertEqual((1, TaskState.WAITING), (self.owner.orders.stops, task.state))

    async def test_it_goes_on_if_a_later_status_lists_it(self) -> None:
        task = await self.begin()
        await self.poll()
        self.owner.orders.running = [ActiveRun(task.name, 1, "", 100, 0.0)]
        for _ in range(2):
            await self.poll()
        self.assertEqual((0, TaskState.RUNNING), (self.owner.orders.stops, task.state))

    async def test_a_status_requested_before_the_start_proves_nothing(self) -> None:
        requested_at = monotonic()
        task = await self.begin()
        await self.session._poll(requested_at)
        self.assertEqual({}, self.session.starts.unresolved)
        self.assertIs(TaskState.RUNNING, task.state)

    async def test_a_status_that_may_lack_ends_proves_nothing(self) -> None:
        task = await self.begin()
        other = TaskName("2" * 16 + ".0.0.0")
        self.owner.orders.ends = [
            EndedRun(number, other, number, RunEnd.DONE, "") for number in range(1, 501)
        ]
        for _ in range(3):
            await self.poll()
        self.assertEqual((0, TaskState.RUNNING), (self.owner.orders.stops, task.state))


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

"""Tests of placement beside evacuated data halls, and on cold workers."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from pumicespur.jobs._crash_attribution import QUARANTINE_MIN_LOSSES
from pumicespur.jobs._demand import measure_demand
from pumicespur.jobs._estimates import ColdSlowdown
from pumicespur.jobs._job import TaskState, WorkerLoss
from pumicespur.jobs._pool import PoolState
from pumicespur.jobs.placement import order_groups
from pumicespur.model import (
    AccountId,
    Capacity,
    ClientAccount,
    DataHall,
    InstanceId,
    RunEnd,
    WorkerId,
)
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.utils import monotonic
from tests.test_jobs import (
    POOL,
    ROUTE,
    finish,
    make_end,
    make_pool,
    make_record,
    make_worker,
    run_all,
    submit,
)

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task
    from pumicespur.model import Worker

A = DataHall("a")
B = DataHall("b")
ACCOUNT = AccountId("crown")


def worker(name: str, hall: DataHall, rack: str = "r1-1", cpu: int = 1000) -> Worker:
    """Make a worker in a hall."""
    return replace(make_worker(name, rack, cpu), data_hall=hall)


def evacuate(pool: PoolState, *halls: DataHall) -> None:
    """Mark the workers as the pool's owner does."""
    for load in pool.loads.values():
        load.hall_evacuated = load.worker.data_hall in halls


def workers_of(tasks: list[Task]) -> list[str]:
    """Return the names of the workers that tasks are assigned to, sorted."""
    return sorted(str(task.worker) for task in tasks)


class SameRackTest(unittest.TestCase):
    """Steps that stay in one rack, whose rack is evacuated."""

    def setUp(self) -> None:
        self.pool = make_pool(
            *(worker(f"a-{n}", A, "r1-1") for n in range(3)),
            worker("b-0", B, "r2-1"),
            worker("b-1", B, "r2-1"),
            worker("b-2", B, "r2-2"),
        )

    def start(self, count: int) -> list[Task]:
        """Place what fits of a step; its rack is that of hall A, which has the most capacity."""
        submit(self.pool, make_record(StepRecord(count=count, cpu_millis=1000, same_rack=True)))
        return run_all(self.pool)

    def test_one_of_which_nothing_has_begun_chooses_another_rack_as_a_whole(self) -> None:
        for task in self.start(3):
            self.pool.requeue(task)
        evacuate(self.pool, A)
        self.assertEqual(["b-0", "b-1"], workers_of(run_all(self.pool)))

    def test_one_that_has_begun_continues_in_other_racks(self) -> None:
        # Guards against a step that waits for as long as its hall is evacuated.
        first, second, third = self.start(3)
        finish(self.pool, first)
        self.pool.requeue(second)
        evacuate(self.pool, A)
        self.assertEqual(["b-0"], workers_of(run_all(self.pool)))
        self.assertEqual("a-2", third.worker)

    def test_its_tasks_go_to_several_racks_if_one_is_full(self) -> None:
        tasks = self.start(4)
        self.assertEqual(["a-0", "a-1", "a-2"], workers_of(tasks))
        for task in tasks[1:]:
            self.pool.requeue(task)
        evacuate(self.pool, A)
        self.assertEqual(["b-0", "b-1", "b-2"], workers_of(run_all(self.pool)))

    def test_it_keeps_its_rack_while_other_workers_of_it_are_open(self) -> None:
        tasks = self.start(3)
        for task in tasks:
            self.pool.requeue(task)
        evacuate(self.pool, B)
        self.assertEqual(["a-0", "a-1", "a-2"], workers_of(run_all(self.pool)))


class OtherHallTest(unittest.TestCase):
    """Work that prefers or needs the workers of an evacuated hall."""

    def test_work_whose_data_is_there_runs_elsewhere_at_once(self) -> None:
        pool = make_pool(worker("a", A, "r1-1"), worker("b", B, "r2-1"))
        evacuate(pool, A)
        submit(pool, make_record(StepRecord(count=1, cpu_millis=1, data_rack="r1-1")))
        self.assertEqual(["b"], workers_of(run_all(pool)))

    def test_work_bound_to_the_hall_waits_and_blocks_nothing(self) -> None:
        # Guards against jobs that are given up, or hold the queue, for an evacuation's length.
        bound = replace(worker("a", A), labels=frozenset({"special", "r1-1"}))
        pool = make_pool(bound, worker("b", B))
        evacuate(pool, A)
        label = StepRecord(count=1, cpu_millis=1, required_label="special")
        # One member fits on the worker of the other hall, two do not.
        gang = StepRecord(count=2, cpu_millis=1000, gang=True)
        waiting = [
            submit(pool, make_record(spec, job=f"{n:016x}")) for n, spec in enumerate((label, gang))
        ]
        submit(pool, make_record(StepRecord(count=1, cpu_millis=1), job="f" * 16))
        self.assertEqual(["b"], workers_of(run_all(pool)))
        self.assertFalse(any(job.ended for job in waiting))
        evacuate(pool)
        self.assertEqual("a", pool.place(0.0, 0.0)[0].worker)

    def test_with_all_halls_evacuated_everything_waits(self) -> None:
        pool = make_pool(worker("a", A), worker("b", B))
        evacuate(pool, A, B)
        job = submit(pool, make_record(StepRecord(count=2, cpu_millis=1)))
        self.assertEqual([], run_all(pool))
        self.assertFalse(job.ended)


class NoBlameTest(unittest.TestCase):
    """An evacuation neither attributes a crash to a task nor frees any of a limit."""

    def setUp(self) -> None:
        self.pool = make_pool(worker("a", A), worker("b", B))

    def test_a_requeued_start_counts_neither_as_failure_nor_as_loss(self) -> None:
        job = submit(self.pool, make_record(StepRecord(count=1, cpu_millis=1)))
        for _ in range(10):
            (task,) = self.pool.place(0.0, 0.0)
            self.pool.requeue(task)
        self.assertEqual((0, []), (task.failures, task.losses))
        self.assertFalse(job.ended)

    def test_a_lost_worker_of_the_hall_is_judged_like_any_other(self) -> None:
        # A worker that the fleet leader evacuates may be taken down; one in an evacuated hall goes
        # on, so that its loss is as suspect as any.
        submit(self.pool, make_record(StepRecord(count=1, cpu_millis=1)))
        (task,) = run_all(self.pool)
        load = self.pool.load_of(task)
        assert load is not None
        load.connection_broken = True
        evacuate(self.pool, A, B)
        self.assertFalse(load.leaving)
        self.assertEqual([task], self.pool.note_lost_runs(load))
        self.assertTrue(task.losses[0].sole_suspect)

    def test_no_worker_of_the_hall_is_reserved_for_quarantine(self) -> None:
        evacuate(self.pool, A)
        submit(self.pool, make_record(StepRecord(count=1, cpu_millis=1)))
        (task,) = next(iter(self.pool.jobs.values())).tasks
        task.losses = [
            WorkerLoss(WorkerId(f"x-{n}"), InstanceId(f"m-x-{n}"), sole_suspect=False)
            for n in range(QUARANTINE_MIN_LOSSES)
        ]
        self.assertEqual(["b"], workers_of(run_all(self.pool)))
        self.assertEqual(QUARANTINE_MIN_LOSSES, len(task.losses))
        self.assertFalse(self.pool.loads[WorkerId("a")].reserved)

    def test_what_runs_in_the_hall_counts_against_its_limit(self) -> None:
        limits = self.pool.limits
        limits.set_accounts({ACCOUNT: ClientAccount(ACCOUNT, 1.0, Capacity(1000, 8000))})
        spec = StepRecord(count=2, cpu_millis=1000)
        job = submit(self.pool, make_record(spec))
        job.account = ACCOUNT
        (task,) = run_all(self.pool)
        assert task.worker is not None
        evacuate(self.pool, self.pool.loads[task.worker].worker.data_hall)
        self.assertEqual([], run_all(self.pool))
        self.assertEqual(1000, limits.usage.of(ACCOUNT).cpu_millis)
        finish(self.pool, task)
        self.assertEqual(0, limits.usage.of(ACCOUNT).cpu_millis)

    def test_shares_and_order_of_waiting_work_stay(self) -> None:
        for number in range(4):
            record = make_record(StepRecord(count=1, cpu_millis=1), job=f"{number:016x}")
            submit(self.pool, record).exceeds_share = number % 2 == 0
        before = [group.job.id for group in order_groups(self.pool.jobs.values(), 0.0)]
        evacuate(self.pool, A, B)
        self.assertEqual([], run_all(self.pool))
        after = [group.job.id for group in order_groups(self.pool.jobs.values(), 0.0)]
        self.assertEqual(before, after)


class ColdWorkerTest(unittest.TestCase):
    """Workers that are slow for a while after their start."""

    def setUp(self) -> None:
        self.pool = PoolState(POOL, distinguishes_cold_workers=True)
        for name, cold_s in (("c-0", 60.0), ("c-1", 60.0), ("w", 0.0)):
            entry = replace(worker(name, A, cpu=2000), cold_for_s=cold_s)
            self.pool.add_worker(entry).reachable = True

    def submit(self, count: int, **fields: object) -> None:
        spec = StepRecord(count=count, cpu_millis=500, estimated_ms=100, **fields)  # type: ignore[arg-type]
        submit(self.pool, make_record(spec))

    def test_warm_workers_come_first_and_cold_ones_get_one_start_at_a_time(self) -> None:
        self.submit(9)
        placed = self.pool.place(monotonic(), 0.0)
        names = Counter(str(task.worker) for task in placed)
        self.assertEqual({"w": 4, "c-0": 1, "c-1": 1}, names)
        self.assertEqual([], self.pool.place(monotonic(), 0.0))
        for task in placed:
            task.state = TaskState.RUNNING
        self.assertEqual(2, len(self.pool.place(monotonic(), 0.0)))

    def test_a_step_in_one_rack_gets_one_start_for_each_cold_worker(self) -> None:
        self.submit(9, same_rack=True)
        placed = self.pool.place(monotonic(), 0.0)
        self.assertEqual(2, sum(1 for task in placed if str(task.worker).startswith("c-")))

    def test_a_worker_may_turn_cold_again_after_an_evacuation(self) -> None:
        # Workers of a hall that had been evacuated were taken for warm, as at their start.
        load = next(load for load in self.pool.loads.values() if load.worker.name == "w")
        self.assertFalse(load.is_cold(monotonic()))
        self.pool.add_worker(replace(load.worker, cold_for_s=5.0))
        self.assertTrue(load.is_cold(monotonic()))

    def test_the_same_entry_does_not_keep_a_worker_cold(self) -> None:
        # Owners apply each entry several times a second, also one that has not changed.
        load = self.pool.loads[WorkerId("c-0")]
        before = load.cold_until
        self.pool.add_worker(load.worker)
        self.assertEqual(before, load.cold_until)
        started_at = monotonic()
        self.pool.add_worker(replace(load.worker, cold_for_s=0.0))
        self.assertFalse(load.is_cold(monotonic()))
        # A task that began before then ran slowly, which is not its usual run time.
        self.assertTrue(load.is_cold(started_at))

    def test_without_a_bound_for_evacuations_all_workers_are_alike(self) -> None:
        pool = make_pool(replace(worker("c", A, cpu=2000), cold_for_s=60.0))
        submit(pool, make_record(StepRecord(count=4, cpu_millis=500)))
        self.assertEqual(4, len(pool.place(monotonic(), 0.0)))

    def test_the_slowdown_is_learnt_and_kept_out_of_expected_times(self) -> None:
        self.submit(9)
        now = monotonic()
        for task in self.pool.place(now, 0.0):
            cold = str(task.worker).startswith("c-")
            task.state, task.started_at = TaskState.RUNNING, now - (0.3 if cold else 0.1)
            assert task.worker is not None
            self.pool.note_end(task.worker, make_end(task, RunEnd.DONE), now)
        self.assertAlmostEqual(3.0, self.pool.cold_slowdown.factor() or 0.0, 1)
        self.assertAlmostEqual(100.0, self.pool.estimates.expected_ms(ROUTE.name, 100.0), 1)

    def test_no_slowdown_is_told_before_the_first_task(self) -> None:
        self.assertIsNone(ColdSlowdown().factor())


class DemandTest(unittest.TestCase):
    """What a pool asks for while some of its tasks run in an evacuated hall."""

    def test_tasks_that_stay_in_an_evacuated_hall_need_no_other_workers(self) -> None:
        pool = make_pool(worker("a-0", A, cpu=4000))
        submit(pool, make_record(StepRecord(count=4, cpu_millis=1000, long_running=True)))
        run_all(pool)
        self.assertEqual(4000, measure_demand(pool, 0.0).long_running.cpu_millis)
        evacuate(pool, A)
        self.assertEqual(0, measure_demand(pool, 0.0).long_running.cpu_millis)

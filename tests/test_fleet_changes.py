"""Plays of pools whose workers leave, arrive, or stand in racks of other sizes."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace

from pumicespur.jobs._availability import tasks_to_move
from pumicespur.jobs._job import Task, TaskState
from pumicespur.model import Rack, WorkerId, WorkerState
from pumicespur.schema.jobs_pb import StepRecord
from tests.pool_play import Load, PoolPlay
from tests.test_jobs import make_pool, make_record, make_worker, run_all, submit

LEAVING_S = 7.0
"""Time for which a worker serves on after it has said that it leaves."""

LIGHT = Load(rest=0.35, duration_s=45.0)
"""Work that six of ten workers can serve."""


class LeavingPlay(PoolPlay):
    """A play in which workers leave at given times."""

    def __init__(self, load: Load, leaves_at_ms: dict[WorkerId, int], workers: int) -> None:
        super().__init__(load, 1, workers)
        self.leaves_at_ms = leaves_at_ms
        """When each worker says that it leaves."""
        self.starts_on_leaving: list[Task] = []
        self.lost: list[Task] = []
        """Tasks that still ran on a worker when it was gone."""

    def play_round(self) -> None:
        """Let workers leave, and note what starts on them."""
        for name, at_ms in self.leaves_at_ms.items():
            if self.now_ms == at_ms:
                worker = replace(self.pool.loads[name].worker, state=WorkerState.DRAINING)
                self.pool.add_worker(replace(worker, leaves_in_s=LEAVING_S))
            elif self.now_ms == at_ms + LEAVING_S * 1000:
                self.lost += self.pool.loads[name].tasks
                self.pool.drop_worker(name)
        started_ms = self.now_ms
        super().play_round()
        self.starts_on_leaving += [
            task
            for load in self.pool.loads.values()
            if load.leaving
            for task in load.tasks
            if self.started_ms[task] == started_ms
        ]


class LeavingTest(unittest.TestCase):
    """Workers that serve on for seven seconds after they have said that they leave."""

    def test_leaving_worker_gets_no_start_while_it_serves_on(self) -> None:
        # All jobs wait for the only other worker, although the leaving one is nearly idle.
        first, second = WorkerId("w-0"), WorkerId("w-1")
        play = LeavingPlay(Load(rest=0.5, duration_s=6.0), {first: 1_000}, workers=2)
        play.run()
        self.assertEqual([], play.starts_on_leaving)
        self.assertEqual(set(), play.pool.loads[first].tasks)
        self.assertEqual(4, len(play.pool.loads[second].tasks))

    def test_free_capacity_of_a_leaving_worker_is_no_place_to_move_to(self) -> None:
        pool = make_pool(make_worker("w-0"), make_worker("w-1"))
        step = StepRecord(count=1, cpu_millis=1000, long_running=True)
        submit(pool, make_record(step))
        (task,) = run_all(pool)
        assert task.worker is not None
        pool.loads[task.worker].evacuating = True
        self.assertEqual([task], tasks_to_move(pool, 0.0))
        (other,) = (load for load in pool.loads.values() if load.worker.id != task.worker)
        pool.add_worker(replace(other.worker, state=WorkerState.DRAINING, leaves_in_s=LEAVING_S))
        self.assertEqual([], tasks_to_move(pool, 0.0))

    def test_jobs_go_on_while_four_of_ten_workers_leave_one_after_the_other(self) -> None:
        leaves_at_ms = {WorkerId(f"w-{n}"): 10_000 + 5_000 * n for n in range(4)}
        play = LeavingPlay(LIGHT, leaves_at_ms, workers=10)
        outcome = play.run()
        self.assertEqual(6, len(play.pool.loads))
        self.assertEqual(([], []), (play.starts_on_leaving, play.lost))
        self.assertLessEqual({task.run for job in play.jobs for task in job.tasks}, {0, 1})
        self.assertGreater(outcome.ratio_in_time, 0.95)


class ArrivingTest(unittest.TestCase):
    """A quarter of a pool's workers added empty at once, while work waits."""

    def setUp(self) -> None:
        self.play = PoolPlay(Load(rest=2.0), 1)
        while self.play.now_ms < 4_000:
            self.play.play_round()
        self.new = [
            self.play.pool.add_worker(make_worker(f"new-{n}", f"r9-{n % 2}")) for n in range(4)
        ]
        for load in self.new:
            load.reachable = True

    def test_all_are_full_after_one_round(self) -> None:
        self.play.play_round()
        self.assertEqual([4] * 4, [len(load.tasks) for load in self.new])

    def test_starts_of_a_round_reach_several_racks(self) -> None:
        # All starts of a round on one rack lose a whole step with that rack.
        started_ms = self.play.now_ms
        self.play.play_round()
        racks = Counter(
            load.worker.rack
            for load in self.play.pool.loads.values()
            for task in load.tasks
            if self.play.started_ms[task] == started_ms
        )
        self.assertLessEqual({Rack("r9-0"), Rack("r9-1")}, set(racks))
        self.assertLess(max(racks.values()), racks.total())

    def test_long_running_step_is_spread_over_the_racks_of_new_workers(self) -> None:
        pool = make_pool(*(make_worker(f"new-{n}", f"r9-{n % 2}") for n in range(4)))
        submit(pool, make_record(StepRecord(count=4, cpu_millis=1000, long_running=True)))
        racks = Counter(pool.loads[t.worker].worker.rack for t in run_all(pool) if t.worker)
        self.assertEqual([2, 2], sorted(racks.values()))


class RackTest(unittest.TestCase):
    """Racks of twelve and of twenty workers, also side by side."""

    sizes = ((12, 12, 12), (20, 20, 20), (12, 20, 12))

    def place(self, sizes: tuple[int, ...], step: StepRecord) -> Counter[Rack]:
        """Place a step on idle racks; return its tasks by rack."""
        pool = make_pool(
            *(
                make_worker(f"w-{rack}-{number}", f"r1-{rack}")
                for rack, size in enumerate(sizes)
                for number in range(size)
            )
        )
        submit(pool, make_record(step))
        return Counter(pool.loads[t.worker].worker.rack for t in run_all(pool) if t.worker)

    def test_long_running_step_is_spread_evenly(self) -> None:
        step = StepRecord(count=24, cpu_millis=1000, long_running=True, max_per_worker=1)
        for sizes in self.sizes:
            with self.subTest(sizes=sizes):
                self.assertEqual([8, 8, 8], list(self.place(sizes, step).values()))

    def test_step_that_stays_in_one_rack_fills_it(self) -> None:
        for sizes in self.sizes:
            with self.subTest(sizes=sizes):
                step = StepRecord(
                    count=max(sizes), cpu_millis=1000, same_rack=True, max_per_worker=1
                )
                self.assertEqual([max(sizes)], list(self.place(sizes, step).values()))

    def test_tasks_of_a_lost_rack_start_in_the_others(self) -> None:
        for sizes in self.sizes:
            with self.subTest(sizes=sizes):
                self.check_rack_loss(sizes)

    def check_rack_loss(self, sizes: tuple[int, ...]) -> None:
        """Lose the first rack and check that its tasks start elsewhere."""
        pool = make_pool(
            *(
                make_worker(f"w-{rack}-{number}", f"r1-{rack}")
                for rack, size in enumerate(sizes)
                for number in range(size)
            )
        )
        job = submit(pool, make_record(StepRecord(count=24, cpu_millis=1000, long_running=True)))
        run_all(pool)
        for name in [n for n, load in pool.loads.items() if load.worker.rack == "r1-0"]:
            pool.drop_worker(name)
        self.assertEqual(8, len(run_all(pool)))
        self.assertTrue(all(task.state is TaskState.RUNNING for task in job.tasks))


if __name__ == "__main__":
    unittest.main()

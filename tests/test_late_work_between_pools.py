"""Plays of two pools: late work of one, and instances for the peak of the other.

They guard against late work that keeps instances from a pool whose load peak begins, and show which
reported figures count late work.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest.mock import patch

from pumicespur.jobs._demand import MIN_WORKERS
from pumicespur.jobs._job import Task, TaskState
from pumicespur.jobs._pool_sizing import PoolSizer
from pumicespur.maintenance._rebalancing import PoolRebalancer, RebalanceInput
from pumicespur.model import InstanceId, PoolId, RunEnd, WorkerId
from pumicespur.schema.jobs_pb import PoolReport, StepRecord
from tests.test_jobs import (
    make_end,
    make_pool,
    make_record,
    make_worker,
    submit,
)
from tests.test_maintenance import MAIN, OTHER, SPARE, index, make_instance

ROUND_MS = 250

MOVE_MS = 1500
"""Duration of a move and of the first response of its worker."""

SIZE = 16
"""Instances of each pool at first, each with four cores."""

STEP = StepRecord(count=8, cpu_millis=1000, estimated_ms=1000)

PEAK_JOBS_PER_ROUND = 3
"""Jobs of the other pool in each round of its peak: 96 cores, 24 instances."""

PEAK_ROUNDS = 40

LATE_JOBS = 80

GIVEN_IN_ROUND = 9
"""Round of a peak in which moved instances bring a pool to half as much again."""


class PoolsPlay:
    """Two pools with real sizing, exchanging instances by the real rebalancer."""

    def __init__(self) -> None:
        names = {MAIN: "m", OTHER: "o"}
        self.now_ms = 100_000
        self.instances = index(
            *(make_instance(f"{names[p]}-{n}", p) for p in names for n in range(SIZE))
        )
        self.pools = {
            pool: make_pool(*(make_worker(f"{names[pool]}-{n}") for n in range(SIZE)))
            for pool in names
        }
        self.sizers = {pool: PoolSizer(state, lambda: None) for pool, state in self.pools.items()}
        self.rebalancer = PoolRebalancer()
        self.reserved = dict.fromkeys(names, 0)
        self.moving: dict[InstanceId, tuple[PoolId, int]] = {}
        """Target and time of arrival of moving instances."""
        self.running: list[tuple[int, PoolId, Task]] = []
        self.reports: dict[PoolId, PoolReport] = {}
        self.submitted = 0

    def submit(self, pool: PoolId, count: int, *, age_ms: int = 0) -> None:
        """Submit jobs that were accepted some time ago, counted as arriving at that time."""
        for _ in range(count):
            self.submitted += 1
            record = make_record(
                STEP, job=f"{self.submitted:016x}", accepted_ms=self.now_ms - age_ms
            )
            job = submit(self.pools[pool], record)
            if not age_ms:
                self.sizers[pool].note_arrival(job)

    def play_round(self) -> None:
        """End and place tasks, report, and order moves."""
        self._end_tasks()
        self._end_moves()
        with patch("pumicespur.jobs._pool_sizing.now_ms", return_value=self.now_ms):
            for pool, state in self.pools.items():
                for load in state.loads.values():
                    load.evacuating = InstanceId(load.worker.id) in self.rebalancer.evacuating
                for task in state.place(self.now_ms / 1000, self.now_ms):
                    task.state = TaskState.RUNNING
                    self.running.append((self.now_ms + STEP.estimated_ms, pool, task))
                self.sizers[pool].update(self.now_ms / 1000)
                self.reports[pool] = PoolReport()
                self.sizers[pool].fill_report(self.reports[pool])
        plan = self.rebalancer.plan(self._state(), self.now_ms / 1000)
        for name, target in plan.moves:
            self.pools[self.instances[name].pool].drop_worker(WorkerId(name))
            self.moving[name] = (target, self.now_ms + MOVE_MS)
        self.now_ms += ROUND_MS

    def _end_tasks(self) -> None:
        ended = [entry for entry in self.running if entry[0] <= self.now_ms]
        self.running = [entry for entry in self.running if entry[0] > self.now_ms]
        for at_ms, pool, task in ended:
            if task.worker is not None:
                self.pools[pool].note_end(task.worker, make_end(task, RunEnd.DONE), at_ms / 1000)

    def _end_moves(self) -> None:
        for name, (target, at_ms) in list(self.moving.items()):
            if at_ms <= self.now_ms:
                del self.moving[name]
                self.instances[name] = replace(self.instances[name], pool=target)
                if target in self.pools:
                    self.pools[target].add_worker(make_worker(name)).reachable = True

    def _state(self) -> RebalanceInput:
        loads = {
            InstanceId(load.worker.id): load
            for state in self.pools.values()
            for load in state.loads.values()
        }
        return RebalanceInput(
            instances=self.instances,
            reserved=self.reserved,
            needed={pool: report.wanted_workers for pool, report in self.reports.items()},
            busy={pool: report.busy_workers for pool, report in self.reports.items()},
            spare_pools=frozenset({SPARE}),
            reachable=frozenset(loads),
            task_counts={name: len(load.tasks) for name, load in loads.items()},
            empty=frozenset(n for n, load in loads.items() if load.evacuating and not load.tasks),
            protected=frozenset(),
            unconfirmed=frozenset(),
            in_wave=frozenset(),
            moving={name: target for name, (target, _) in self.moving.items()},
        )

    def size(self, pool: PoolId) -> int:
        """Return how many instances a pool has."""
        return len(self.pools[pool].loads)

    def play_peak(self, rounds: int = PEAK_ROUNDS) -> int | None:
        """Play a peak of the other pool; return the round in which it has half as much again."""
        grown_in = None
        for number in range(rounds):
            self.submit(OTHER, PEAK_JOBS_PER_ROUND)
            self.play_round()
            if grown_in is None and self.size(OTHER) >= 1.5 * SIZE:
                grown_in = number
        return grown_in

    def count_ended(self, pool: PoolId) -> int:
        """Return how many jobs of a pool are complete."""
        return sum(1 for job in self.pools[pool].jobs.values() if job.ended)


class LateWorkTest(unittest.TestCase):
    """A pool that is full of one kind of work while the peak of another pool begins."""

    def setUp(self) -> None:
        self.play = PoolsPlay()

    def fill_with_late_work(self) -> None:
        """Submit jobs that were accepted long ago and keep the pool busy for ten seconds."""
        self.play.submit(MAIN, LATE_JOBS, age_ms=20_000)

    def test_idle_pool_gives_instances_at_once(self) -> None:
        self.assertEqual(GIVEN_IN_ROUND, self.play.play_peak())
        self.assertEqual(108, self.play.count_ended(OTHER))

    def test_pool_with_late_work_gives_instances_as_soon_as_an_idle_one(self) -> None:
        # Its running late work counted as `busy` once its own arrivals had ended: the other pool
        # got no instance within ten seconds and completed 72 of 120 jobs.
        self.fill_with_late_work()
        grown_in = self.play.play_peak()
        assert grown_in is not None
        self.assertLessEqual(grown_in, GIVEN_IN_ROUND + STEP.estimated_ms // ROUND_MS)
        self.assertEqual(108, self.play.count_ended(OTHER))

    def test_pool_that_may_have_the_next_peak_retains_half(self) -> None:
        self.fill_with_late_work()
        self.play.reserved[MAIN] = SIZE
        self.assertIsNotNone(self.play.play_peak())
        self.assertEqual(SIZE // 2, self.play.size(MAIN))

    def test_late_work_still_runs_on_what_is_left(self) -> None:
        self.fill_with_late_work()
        self.play.play_peak()
        self.assertGreater(self.play.count_ended(MAIN), LATE_JOBS // 4)

    def test_work_in_time_keeps_its_instances(self) -> None:
        for _ in range(PEAK_ROUNDS):
            self.play.submit(MAIN, 2)
            self.play.submit(OTHER, PEAK_JOBS_PER_ROUND)
            self.play.play_round()
        self.assertEqual(SIZE, self.play.size(MAIN))

    def test_late_work_keeps_instances_that_no_other_pool_needs(self) -> None:
        self.fill_with_late_work()
        for _ in range(PEAK_ROUNDS // 2):
            self.play.play_round()
        self.assertEqual(SIZE, self.play.size(MAIN))

    def test_late_work_counts_as_wanted_but_not_as_busy(self) -> None:
        self.fill_with_late_work()
        for _ in range(8):
            self.play.play_round()
            report = self.play.reports[MAIN]
            self.assertGreater(report.wanted_workers, SIZE)
            self.assertEqual(MIN_WORKERS, report.busy_workers)


if __name__ == "__main__":
    unittest.main()

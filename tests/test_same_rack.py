"""Tests of steps that stay in one rack, when that rack can't serve them."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from pumicespur.model import WorkerId
from pumicespur.schema.jobs_pb import StepRecord
from tests.test_jobs import finish, make_pool, make_record, make_worker, run_all, submit
from tests.test_node import STEP, NodeCase, job_id

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task

RACKS = ("r1-1", "r2-1")
WORKERS_PER_RACK = 3


class RackCase(unittest.TestCase):
    """Two racks of workers with room for one task each; the first rack has a little more."""

    def setUp(self) -> None:
        self.pool = make_pool(
            *(
                make_worker(f"{rack}-{number}", rack, 1100 if rack == RACKS[0] else 1000)
                for rack in RACKS
                for number in range(WORKERS_PER_RACK)
            )
        )

    def start(self, count: int, **fields: Any) -> list[Task]:
        """Submit a step that stays in one rack, and start what can be placed."""
        step = StepRecord(count=count, cpu_millis=1000, same_rack=True, **fields)
        submit(self.pool, make_record(step))
        return run_all(self.pool)

    def lose(self, *tasks: Task) -> None:
        """Let the workers of some tasks vanish; the tasks wait again."""
        for task in tasks:
            assert task.worker is not None
            self.pool.loads[task.worker].reachable = False
            self.pool.requeue(task)

    def racks_of(self, tasks: list[Task]) -> list[str]:
        """Return the racks in which tasks are, sorted."""
        return sorted(
            self.pool.loads[task.worker].worker.rack for task in tasks if task.worker is not None
        )


class LostRackTest(RackCase):
    """The rack of a step is lost, as a whole or in part."""

    def test_the_whole_step_moves_to_another_rack(self) -> None:
        # Guards against a job that waits for ever beside idle workers.
        for fields in ({}, {"gang": True}, {"long_running": True}):
            with self.subTest(fields):
                self.setUp()
                tasks = self.start(3, **fields)
                self.assertEqual([RACKS[0]] * 3, self.racks_of(tasks))
                self.lose(*tasks)
                self.assertEqual([RACKS[1]] * 3, self.racks_of(run_all(self.pool)))

    def test_one_that_is_silent_keeps_the_step_until_its_tasks_are_lost(self) -> None:
        first, second, third = self.start(3)
        finish(self.pool, first)
        self.lose(second)
        for load in self.pool.loads.values():
            load.reachable = load.worker.rack == RACKS[1]
        self.assertEqual([], run_all(self.pool))
        self.lose(third)
        self.assertEqual([RACKS[1]] * 2, self.racks_of(run_all(self.pool)))

    def test_a_short_step_goes_on_with_what_is_left_of_it(self) -> None:
        first, second, third = self.start(3)
        self.lose(first, second)
        self.assertEqual([], run_all(self.pool))
        finish(self.pool, third)
        self.assertEqual([RACKS[0]], self.racks_of(run_all(self.pool)))

    def test_tasks_that_last_go_elsewhere_if_what_is_left_is_too_small(self) -> None:
        first, second, third = self.start(3, long_running=True)
        self.lose(first, second)
        self.assertEqual([RACKS[1]] * 2, self.racks_of(run_all(self.pool)))
        self.assertEqual(RACKS[0], self.pool.loads[WorkerId(str(third.worker))].worker.rack)

    def test_a_gang_moves_as_a_whole_with_its_checkpoint(self) -> None:
        tasks = self.start(3, gang=True)
        tasks[0].group.gang_checkpoint = "half"
        self.lose(tasks[0])
        for task in tasks[1:]:
            self.pool.requeue(task)
        moved = run_all(self.pool)
        self.assertEqual([RACKS[1]] * 3, self.racks_of(moved))
        self.assertEqual({"half"}, {task.checkpoint for task in moved})


class SmallRackTest(RackCase):
    """No rack holds a whole step."""

    def test_what_runs_together_or_for_good_uses_several_racks(self) -> None:
        for fields in ({"gang": True}, {"long_running": True}):
            with self.subTest(fields):
                self.setUp()
                expected = [RACKS[0]] * 3 + [RACKS[1]]
                self.assertEqual(expected, self.racks_of(self.start(4, **fields)))

    def test_short_tasks_wait_for_each_other(self) -> None:
        self.assertEqual([RACKS[0]] * 3, self.racks_of(self.start(4)))

    def test_a_gang_prefers_the_rack_that_holds_it(self) -> None:
        # The rack with the most free capacity, a single large worker, holds one member only.
        self.pool = make_pool(
            make_worker("large", RACKS[0], 9000),
            *(make_worker(f"small-{number}", RACKS[1], 1000) for number in range(3)),
        )
        step = StepRecord(count=3, cpu_millis=1000, same_rack=True, gang=True, max_per_worker=1)
        submit(self.pool, make_record(step))
        self.assertEqual([RACKS[1]] * 3, self.racks_of(run_all(self.pool)))


class CrashedRackTest(NodeCase):
    """All workers of a rack crash for good, on real processes."""

    workers = 4

    async def test_a_step_is_completed_in_another_rack(self) -> None:
        # No task was started again in the 30 s that were watched.
        for worker in self.world.workers.values():
            worker.task_s = 0.4
        step = {**STEP, "count": 8, "sameRack": True}
        self.assertEqual(200, await self.world.submit(self.node, job_id(1), [step]))
        await self.world.wait_for(lambda: len(self.world.history) > 0, "the first task runs")
        lost = self.world.history[0].worker
        rack = next(w.rack for w in self.world.workers.values() if w.id == lost)
        for name, worker in list(self.world.workers.items()):
            if worker.rack == rack:
                await self.world.crash_worker(name)
        await self.world.wait_state(self.node, job_id(1), "completed")
        self.assertEqual([], self.world.overlaps())

"""Tests that batch placement chooses the same workers as placing tasks one by one."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.jobs.placement import assign, order_groups
from pumicespur.model import DataHall
from pumicespur.schema.jobs_pb import StepRecord
from tests.test_jobs import make_pool, make_record, make_worker, run_all, submit

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState

STEPS = st.tuples(
    st.integers(1, 6),
    st.sampled_from([0, 300, 700, 1100]),
    st.sampled_from([0, 500, 3000]),
    st.integers(0, 2),
    st.sampled_from(["", "r1-1", "r1-2"]),
)


def place_one_by_one(pool: PoolState) -> list[tuple[str, str]]:
    """Place each waiting task on the fullest eligible worker, in its data's rack if possible."""
    found = []
    for group in order_groups(pool.jobs.values(), 0.0):
        for task in group.waiting():
            eligible = [load for load in pool.loads.values() if load.can_take(group, 0.0)]
            if not eligible:
                break
            rack = group.spec.data_rack
            load = min(
                eligible,
                key=lambda load: (
                    bool(rack) and load.worker.rack != rack,
                    -load.utilization(),
                    load.worker.id,
                ),
            )
            assign(task, load)
            found.append((str(task.name), str(load.worker.id)))
    return found


class PlacementTest(unittest.TestCase):
    """Batch placement against placing tasks one by one."""

    def pool(self, workers: list[int], steps: list[tuple[int, int, int, int, str]]) -> PoolState:
        pool = make_pool(
            *(
                make_worker(f"w-{number}", f"r1-{number % 3}", cpu)
                for number, cpu in enumerate(workers)
            )
        )
        for number, (count, cpu, memory, spread, rack) in enumerate(steps):
            step = StepRecord(
                count=count,
                cpu_millis=cpu,
                memory_mb=memory,
                max_per_worker=spread,
                data_rack=rack,
            )
            submit(pool, make_record(step, job=f"{number:016x}"))
        return pool

    @given(
        st.lists(st.sampled_from([500, 1000, 2500, 4000]), min_size=1, max_size=6),
        st.lists(STEPS, min_size=1, max_size=8),
    )
    def test_chooses_the_same_workers(
        self, workers: list[int], steps: list[tuple[int, int, int, int, str]]
    ) -> None:
        placed = self.pool(workers, steps).place(0.0, 0.0)
        chosen = [(str(task.name), str(task.worker)) for task in placed]
        self.assertEqual(place_one_by_one(self.pool(workers, steps)), chosen)


class EvacuatedHallTest(unittest.TestCase):
    """Placement while a worker's data hall is evacuated."""

    def test_worker_in_an_evacuated_hall_gets_no_task(self) -> None:
        # A start in an evacuated hall breaks the guarantee that operators rely on.
        pool = make_pool(make_worker("w-1"), make_worker("w-2"))
        loads = list(pool.loads.values())
        loads[0].hall_evacuated = True
        submit(pool, make_record(StepRecord(count=2, cpu_millis=1000)))
        self.assertEqual({loads[1].worker.id}, {task.worker for task in run_all(pool)})

    def test_tasks_wait_until_a_hall_opens(self) -> None:
        pool = make_pool(make_worker("w-1"))
        (load,) = pool.loads.values()
        load.hall_evacuated = True
        submit(pool, make_record(StepRecord(count=1, cpu_millis=1000)))
        self.assertEqual([], run_all(pool))
        load.hall_evacuated = False
        self.assertEqual(1, len(run_all(pool)))


class SpreadOverHallsTest(unittest.TestCase):
    """Long-running tasks where a data hall may be lost."""

    RACKS = {"north": 6, "east": 3, "south": 2, "west": 1}
    """Racks of each hall, with two workers each."""

    def tasks_by_hall(self, spread: bool, count: int, cpu_millis: int = 2000) -> Counter[str]:
        """Place the tasks of a long-running step; return their number by data hall."""
        pool = make_pool(
            *(
                replace(make_worker(f"{hall}-{n}", f"{hall}-{n // 2}"), data_hall=DataHall(hall))
                for hall, racks in self.RACKS.items()
                for n in range(2 * racks)
            )
        )
        pool.spread_halls = spread
        step = StepRecord(count=count, cpu_millis=cpu_millis, long_running=True)
        submit(pool, make_record(step))
        return Counter(
            str(pool.loads[task.worker].worker.data_hall) for task in run_all(pool) if task.worker
        )

    def test_largest_share_of_a_step_in_a_hall_is_smaller(self) -> None:
        # The loss of the hall with most racks took half of a step that was spread over racks only.
        self.assertEqual(0.5, max(self.tasks_by_hall(False, 12).values()) / 12)
        self.assertEqual(0.25, max(self.tasks_by_hall(True, 12).values()) / 12)

    def test_all_tasks_are_placed_if_a_hall_is_full(self) -> None:
        # Tasks must not wait for capacity in a small hall while other halls have some.
        halls = self.tasks_by_hall(True, 24, 4000)
        self.assertEqual({"north": 12, "east": 6, "south": 4, "west": 2}, dict(halls))

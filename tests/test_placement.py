"""Tests that batch placement chooses the same workers as placing tasks one by one."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.jobs._placement import assign, order_groups
from pumicespur.schema.jobs_pb import StepRecord
from tests.test_jobs import make_pool, make_record, make_worker, submit

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

"""Tests of what operators see of waiting work: they guard against late work that nobody notices."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from logbook import TestHandler

from pumicespur.jobs._pool_sizing import PoolSizer
from pumicespur.jobs.reports import (
    describe_waiting_work,
    measure_waiting_work,
    update_waiting_metrics,
)
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.utils import METRICS
from tests.test_jobs import make_pool, make_record, make_worker, submit

STEP = StepRecord(count=3, cpu_millis=1000, estimated_ms=1000)

NOW_MS = 20_000


class WaitingWorkTest(unittest.TestCase):
    """Waiting tasks of a pool with a late job, one in time, and one without a deadline."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w-1"))
        self.late = submit(self.pool, make_record(STEP, job="1" * 16))
        submit(self.pool, make_record(STEP, job="2" * 16, accepted_ms=NOW_MS))
        lasting = StepRecord(count=2, cpu_millis=1000, long_running=True)
        submit(self.pool, make_record(lasting, job="3" * 16))

    def test_late_tasks_are_told_apart_from_those_that_can_be_in_time(self) -> None:
        work = measure_waiting_work(self.pool, NOW_MS)
        self.assertEqual((5, 3), (work.timely_tasks, work.overdue_tasks))

    def test_longest_wait_counts_from_when_the_job_became_late(self) -> None:
        latest_ms = self.late.deadline_ms - 1000
        work = measure_waiting_work(self.pool, NOW_MS)
        self.assertAlmostEqual((NOW_MS - latest_ms) / 1000, work.longest_overdue_wait_s, places=3)

    def test_work_that_fits_no_worker_is_left_out(self) -> None:
        # Such work waits for ever and would hide how long other late work waits.
        huge = StepRecord(count=1, cpu_millis=90_000, estimated_ms=1000)
        submit(self.pool, make_record(huge, job="4" * 16, accepted_ms=-90_000))
        work = measure_waiting_work(self.pool, NOW_MS)
        self.assertEqual(3, work.overdue_tasks)
        self.assertLess(work.longest_overdue_wait_s, NOW_MS / 1000)

    def test_running_tasks_do_not_wait(self) -> None:
        self.pool.place(0.0, NOW_MS)
        work = measure_waiting_work(self.pool, NOW_MS)
        self.assertEqual(8 - 4, work.timely_tasks + work.overdue_tasks)

    def test_metrics_of_a_pool_that_is_no_longer_owned_are_dropped(self) -> None:
        update_waiting_metrics(self.pool, NOW_MS)
        late = {"pool": self.pool.pool, "state": "overdue"}
        self.assertEqual(3, METRICS.waiting_tasks.get(late))
        self.assertNotEqual(0, METRICS.longest_overdue_wait.get({"pool": self.pool.pool}))
        METRICS.clear_pools()
        self.assertEqual(0, len(METRICS.waiting_tasks.values))
        self.assertEqual(0, len(METRICS.longest_overdue_wait.values))

    def test_description_names_all_figures(self) -> None:
        self.assertEqual(
            {"timely_tasks", "overdue_tasks", "longest_overdue_wait_s"},
            set(describe_waiting_work(self.pool, NOW_MS)),
        )

    def test_log_line_tells_of_late_work(self) -> None:
        with (
            TestHandler() as handler,
            patch("pumicespur.jobs._pool_sizing.now_ms", return_value=NOW_MS),
        ):
            PoolSizer(self.pool, lambda: None).update(0.0)
        (line,) = [record for record in handler.records if record.message == "pool load"]
        self.assertEqual((8, 3), (line.kwargs["waiting_tasks"], line.kwargs["overdue_tasks"]))
        self.assertGreater(line.kwargs["longest_overdue_wait_s"], 0)


if __name__ == "__main__":
    unittest.main()

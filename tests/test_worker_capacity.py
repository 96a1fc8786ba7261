"""Tests of a worker's capacity, which may shrink while starts are under way.

They guard against a worker that is overcommitted, which slows all its tasks. This happens if the
capacity shrinks while a placement is being recorded, or if a run that is being stopped is no longer
counted.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from typing import Any

from expression import Ok, Result

from pumicespur.jobs._job import TaskState
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.jobs.sessions._unconfirmed_starts import UnresolvedStart
from pumicespur.model import ActiveRun, Capacity, TaskName, WorkerStatus
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.utils import monotonic
from tests.base import quiet_loop
from tests.test_jobs import make_record, make_worker, submit
from tests.test_node import STEP, NodeCase, job_id
from tests.test_worker_session import ScriptedOwner

CAPACITY_MILLIS = 1000


class ShrinkingCapacityTest(unittest.IsolatedAsyncioTestCase):
    """One worker with capacity for two of three tasks."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = ScriptedOwner()
        self.worker = make_worker("w", cpu=CAPACITY_MILLIS)
        self.session = WorkerSession(self.owner, self.worker, EarlierLeases(0.0))
        self.session.load.reachable = True
        self.session.lease.note_clock(0.0, monotonic())
        self.job = submit(self.owner.pool, make_record(StepRecord(count=3, cpu_millis=500)))

    def shrink(self, cpu: int) -> None:
        smaller = replace(self.worker, capacity=Capacity(cpu, 8000))
        self.owner.pool.add_worker(smaller)

    async def report_status(self, *runs: ActiveRun) -> None:
        status = WorkerStatus(monotonic() * 1000, list(runs), [])
        await self.session._apply_status(status, monotonic())

    async def test_start_is_withdrawn_when_the_capacity_shrank_meanwhile(self) -> None:
        first, second, _ = self.job.tasks
        for task in (first, second):
            assign(task, self.session.load)
        await self.session.starts.order(first, 1)
        self.shrink(500)
        await self.session.starts.order(second, 1)
        self.assertEqual(1, self.owner.orders.starts)
        self.assertIs(TaskState.WAITING, second.state)
        self.assertEqual(500, self.session.load.cpu_millis)

    async def test_capacity_that_grows_again_is_used(self) -> None:
        self.shrink(500)
        self.assertEqual(1, len(self.owner.pool.place(monotonic(), 0.0)))
        self.shrink(CAPACITY_MILLIS)
        self.assertEqual(1, len(self.owner.pool.place(monotonic(), 0.0)))

    async def test_pending_start_counts_after_its_job_was_cancelled(self) -> None:
        task = self.job.tasks[0]
        assign(task, self.session.load)
        released = asyncio.Event()

        async def slow_start(*_: Any) -> Result[None, Any]:
            await released.wait()
            return Ok(None)

        self.owner.orders.start = slow_start
        ordering = asyncio.create_task(self.session.starts.order(task, 1))
        await asyncio.sleep(0)
        self.owner.pool.cancel(self.job)
        await self.report_status()
        self.assertEqual(500, self.session.load.cpu_millis)
        released.set()
        await ordering

    async def test_unresolved_start_counts_after_its_job_was_cancelled(self) -> None:
        task = self.job.tasks[0]
        assign(task, self.session.load)
        task.state = TaskState.STARTING
        self.session.starts.unresolved[task] = UnresolvedStart(1, monotonic() + 60)
        self.owner.pool.cancel(self.job)
        await self.report_status()
        self.assertEqual(500, self.session.load.cpu_millis)

    async def test_worker_with_an_unknown_run_gets_no_tasks_until_it_has_ended(self) -> None:
        await self.report_status(ActiveRun(TaskName("f" * 16 + ".0.0.0"), 1, "", 5, 0.0))
        self.assertEqual([], self.owner.pool.place(monotonic(), 0.0))
        await self.report_status()
        self.assertEqual(2, len(self.owner.pool.place(monotonic(), 0.0)))


class ShrunkWorkerTest(NodeCase):
    """Workers shrink to a single task each, and one of them grows again."""

    async def test_shrunk_workers_get_no_more_tasks_than_they_fit(self) -> None:
        for worker in self.world.workers.values():
            worker.task_s = 0.2
        for name in ("m-0", "m-1"):
            self.world.resize_worker(name, 500)
        await asyncio.sleep(1.0)
        shrunk = {self.world.workers[name].id for name in ("m-0", "m-1")}
        jobs = [job_id(number) for number in range(6)]
        for job in jobs:
            await self.world.submit(self.node, job, [STEP])
        for job in jobs:
            await self.world.wait_state(self.node, job, "completed")
        for name in shrunk:
            runs = [run for run in self.world.history if run.worker == name]
            for run in runs:
                concurrent = [r for r in runs if r.started_at <= run.started_at < (r.ended_at or 0)]
                self.assertEqual(1, len(concurrent))
        self.world.resize_worker("m-0", 4000)
        await asyncio.sleep(1.0)
        jobs = [job_id(100 + number) for number in range(6)]
        for job in jobs:
            await self.world.submit(self.node, job, [STEP])
        for job in jobs:
            await self.world.wait_state(self.node, job, "completed")

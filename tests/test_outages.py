"""Long-running jobs through outages of the store and the loss of all processes.

These tests guard against an accepted long-running job that is lost with the processes that knew it,
and against one whose start is given up while the store is away.
"""

from __future__ import annotations

import asyncio

from pumicespur.utils import monotonic
from tests.test_node import LONG_RUNNING, NodeCase, job_id

OUTAGE_S = 2.5
"""Longer than an owner extends leases without the store, 1.5 s in these tests. Runs that lapse in
the outage start again after it."""

STEADY_AFTER_S = 2.5
"""Age from which a run counts as steady: older than any lease given before the outage."""


class LongRunningCase(NodeCase):
    """One long-running job of two tasks."""

    nodes = 2
    workers = 3
    job = job_id(800)

    async def submit_job(self) -> None:
        status = await self.world.submit(self.node, self.job, [LONG_RUNNING], payload="lasts")
        self.assertEqual(200, status)

    def steadily_running_tasks(self) -> set[str]:
        """Return the tasks that run and did not start just now."""
        until = monotonic() - STEADY_AFTER_S
        runs = self.world.history
        return {run.task for run in runs if run.ended_at is None and run.started_at < until}

    async def check_runs(self) -> None:
        """Check that both tasks run, each once at a time, and that the job is not ended."""
        settled_at = monotonic() + STEADY_AFTER_S
        await self.world.wait_for(
            lambda: monotonic() > settled_at and len(self.steadily_running_tasks()) == 2,
            "both tasks run steadily",
        )
        self.assertEqual([], self.world.overlaps())
        await self.world.wait_state(self.started[-1], self.job, "running")


class AllProcessesKilledTest(LongRunningCase):
    """All processes of the role are killed and others start in their place."""

    def kill_nodes(self) -> None:
        for node in self.started:
            node.process.kill()

    def start_nodes(self) -> None:
        self.started += [self.world.start_node(f"again-{n}") for n in range(self.nodes)]

    async def test_a_running_job_goes_on(self) -> None:
        await self.submit_job()
        await self.check_runs()
        self.kill_nodes()
        self.start_nodes()
        await self.check_runs()

    async def test_a_job_accepted_right_before_runs(self) -> None:
        await self.submit_job()
        self.kill_nodes()
        self.start_nodes()
        await self.check_runs()

    async def test_a_job_runs_again_after_its_workers_were_lost_too(self) -> None:
        await self.submit_job()
        await self.check_runs()
        self.kill_nodes()
        for name in list(self.world.workers):
            await self.world.restart_worker(name)
        self.start_nodes()
        await self.check_runs()


class StoreAwayTest(LongRunningCase):
    """The store does not answer in the seconds after the job was accepted."""

    async def pass_outage(self) -> None:
        self.world.store.faults.silent = True
        await asyncio.sleep(OUTAGE_S)
        self.world.store.faults.silent = False

    async def test_a_job_accepted_right_before_the_outage_starts_after_it(self) -> None:
        await self.submit_job()
        await self.pass_outage()
        await self.check_runs()

    async def test_a_start_on_its_way_when_the_outage_begins_is_not_repeated_beside_it(
        self,
    ) -> None:
        self.delay_starts(0.5)
        await self.submit_job()
        await self.world.wait_for(self.is_start_recorded, "a start is recorded")
        await self.pass_outage()
        # Starts that are late beyond their call's timeout are revoked for as long as they are.
        self.delay_starts(0.0)
        await self.check_runs()

    def delay_starts(self, late_s: float) -> None:
        for worker in self.world.workers.values():
            worker.faults.late_starts_s = late_s

    def is_start_recorded(self) -> bool:
        return bool(self.world.store.value(("progress", "main", self.job)))

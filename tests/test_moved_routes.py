"""Jobs whose route gets another pool, at processes that know nothing of the earlier one."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from tests.test_node import LONG_RUNNING, STEP, NodeCase, job_id
from tests.test_slow_links import versions_in_force

if TYPE_CHECKING:
    from standins.hosted import Node

POOLS = ("main", "second")
SEEDS = (1, 2, 3, 4)
MAX_PAUSE_S = 0.4
COUNT_TIMEOUT_S = 20.0
"""Time limit for the count of waiting jobs."""

OBSERVED_S = 1.0
"""Time for which runs are watched after the ids have come again."""


class MovedRouteCase(NodeCase):
    """Workers in two pools, and a route that moves between them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(self.workers):
            await self.world.add_worker(f"s-{number}", f"r2-{number % 2}", "second")

    async def move_route(self, pool: str) -> None:
        """Send the route to a pool; return when the node has the configuration in force."""
        version = self.world.version + 1
        self.world.configure(version, backend=pool)
        await self.world.wait_for(
            lambda: version in versions_in_force(self.node), "the change is in force"
        )


class NewProcessTest(MovedRouteCase):
    """Ids come again at a process that started after the route had moved."""

    async def test_no_task_runs_again_in_another_pool(self) -> None:
        # All tasks of an accepted job ran a second time, in the pool that the route had then.
        for seed in SEEDS:
            await self.play(seed)

    async def play(self, seed: int) -> None:
        source = random.Random(seed)
        short, lasting = job_id(10 * seed), job_id(10 * seed + 1)
        first, *others = source.sample(POOLS, len(POOLS))
        await self.move_route(first)
        await self.submit_both(self.node, short, lasting)
        await self.world.wait_state(self.node, short, "completed")
        await self.world.wait_state(self.node, lasting, "running")
        for pool in source.choices(POOLS, k=source.randint(0, 2)) + others:
            await self.move_route(pool)
            await asyncio.sleep(source.uniform(0.0, MAX_PAUSE_S))
        fresh = await self.start_process(f"fresh-{seed}", replace=source.random() < 0.5)
        await self.submit_both(fresh, short, lasting)
        await asyncio.sleep(OBSERVED_S)
        self.assertEqual([], self.world.overlaps(), f"seed {seed}")
        # Their leases may lapse while the process starts, so that they run again where they were.
        self.assertEqual({first}, self.pools_of(short, lasting), f"seed {seed}")
        self.assertEqual("completed", await self.world.state(fresh, short))
        self.assertEqual("running", await self.world.state(fresh, lasting))
        status, _ = await self.world.call(fresh, "DELETE", f"/quick/{lasting}")
        self.assertEqual(200, status)
        await self.world.wait_state(fresh, lasting, "cancelled")
        self.node = fresh

    def pools_of(self, *jobs: str) -> set[str]:
        """Return the pools in which tasks of the jobs have run."""
        pools = {worker.id: worker.pool for worker in self.world.workers.values()}
        return {pools[run.worker] for run in self.world.history if run.task.startswith(jobs)}

    async def submit_both(self, node: Node, short: str, lasting: str) -> None:
        self.assertEqual(200, await self.world.submit(node, short, [STEP]))
        self.assertEqual(200, await self.world.submit(node, lasting, [LONG_RUNNING], "lasts"))

    async def start_process(self, name: str, replace: bool) -> Node:
        """Start a process on a new machine, or in place of the present one."""
        if replace:
            self.node.process.kill()
            self.node.process.wait()
            name = self.node.name
        fresh = self.world.start_node(name)
        self.started.append(fresh)
        await self.world.wait_ready(fresh)
        return fresh


class SameProcessTest(MovedRouteCase):
    """The process saw the route move."""

    async def test_its_jobs_are_found_and_not_duplicated(self) -> None:
        await self.world.submit(self.node, job_id(1), [LONG_RUNNING], payload="lasts")
        await self.world.wait_state(self.node, job_id(1), "running")
        await self.move_route("second")
        self.assertEqual("running", await self.world.state(self.node, job_id(1)))
        await self.world.submit(self.node, job_id(1), [LONG_RUNNING], payload="lasts")
        status, _ = await self.world.call(self.node, "DELETE", f"/quick/{job_id(1)}")
        self.assertEqual(200, status)
        await self.world.wait_for(
            lambda: all(run.ended_at for run in self.world.history), "its tasks are stopped"
        )
        self.assertEqual(2, len(self.world.history))


class WaitingJobsTest(MovedRouteCase):
    """Jobs that wait in the pool that the route had before."""

    async def test_they_are_counted(self) -> None:
        # GET on the route answered `pending` 0 while jobs of the route waited.
        huge = {**STEP, "count": 1, "cpu": 100_000}
        self.assertEqual(200, await self.world.submit(self.node, job_id(1), [huge]))
        await self.move_route("second")
        self.assertEqual(200, await self.world.submit(self.node, job_id(2), [huge]))
        pending = 0
        async with asyncio.timeout(COUNT_TIMEOUT_S):
            while pending != 2:
                _, body = await self.world.call(self.node, "GET", "/quick/")
                pending = body.get("pending", 0)
                await asyncio.sleep(0.05)

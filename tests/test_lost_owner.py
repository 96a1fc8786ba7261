"""Tests of long-running tasks that are lost together with their pool's owner, by real processes."""

from __future__ import annotations

import asyncio
import unittest

from standins.hosted import Node, World
from tests.base import quiet_loop
from tests.test_node import LONG_RUNNING, job_id

JOB = job_id(1)

OWNER_SILENCE_S = 60
"""So long that no test waits for the leases of an owner that is gone."""

OBSERVATION_S = 3.0
"""Time in which a new owner hears several times which workers have ended."""


class LostOwnerCase(unittest.IsolatedAsyncioTestCase):
    """A job of two long-running tasks, and three nodes of which one owns its pool."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = World()
        await self.world.open()
        self.addAsyncCleanup(self.world.close)
        for number in range(3):
            await self.world.add_worker(f"m-{number}", f"r1-{number}")
        nodes = [self.start_node(f"node-{number}") for number in range(3)]
        for node in nodes:
            await self.world.wait_ready(node)
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        self.owner = next(node for node in nodes if node.name == self.world.owner())
        self.other = next(node for node in nodes if node is not self.owner)
        step = {**LONG_RUNNING, "antiAffinity": 1}
        self.assertEqual(200, await self.world.submit(self.other, JOB, [step], payload="lasts"))
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")

    def start_node(self, name: str) -> Node:
        node = self.world.nodes.prepare(name, self.world.addresses)
        settings = node.settings.read_text()
        silence = f"owner_silence_s = {OWNER_SILENCE_S}"
        node.settings.write_text(settings.replace("owner_silence_s = 1.5", silence))
        self.world.nodes.launch(node)
        return node

    async def lose_owner(self) -> None:
        """Kill the owner and wait for its successor."""
        self.owner.process.kill()
        await self.world.wait_for(
            lambda: self.world.owner() != self.owner.name, "another node owns the pool"
        )

    def busy_instance(self) -> str:
        return next(name for name, worker in self.world.workers.items() if worker.running)

    def is_running_again(self) -> bool:
        running = {run.task for run in self.world.history if run.ended_at is None}
        return running == {f"{JOB}.0.0.0", f"{JOB}.0.0.1"}


class EndedWorkerTest(LostOwnerCase):
    """A worker ends with the owner, so its task does not wait for leases that nobody renews."""

    async def test_task_runs_again_if_its_worker_ends_before_the_takeover(self) -> None:
        await self.world.crash_worker(self.busy_instance())
        await self.lose_owner()
        await self.world.wait_for(self.is_running_again, "both tasks run again")
        self.assertEqual([], self.world.overlaps())

    async def test_task_runs_again_if_its_worker_is_still_listed_at_the_takeover(self) -> None:
        instance = self.busy_instance()
        entry = self.world.workers[instance].encode_entry()
        worker = self.world.workers[instance].id
        await self.world.crash_worker(instance)
        self.world.store.put(("servers", "", worker), entry)
        await self.lose_owner()
        await self.world.wait_for(self.is_running_again, "both tasks run again")
        self.assertEqual([], self.world.overlaps())


class UnreachableWorkerTest(LostOwnerCase):
    """A worker that nobody reaches runs on, so its task must not start elsewhere."""

    async def test_task_of_a_running_worker_is_not_started_a_second_time(self) -> None:
        silent = self.world.workers[self.busy_instance()]
        task = next(iter(silent.running))
        silent.faults.silent = True
        silent.deadline_ms = silent.clock_ms() + OWNER_SILENCE_S * 1000
        self.world.store.remove(("servers", "", silent.id))
        await self.lose_owner()
        await asyncio.sleep(OBSERVATION_S)
        self.assertEqual(1, sum(run.task == task for run in self.world.history))
        self.assertEqual([], self.world.overlaps())

"""Tests of the clock by which leases and time-outs are counted.

What users would see: a machine is suspended for some seconds; when it goes on, its process orders
tasks for a pool that another one has taken meanwhile, since by its own clock no time has passed.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import unittest
from pathlib import Path

from pumicespur.utils import monotonic
from standins.hosted import SUSPENDABLE_MODULE
from tests.test_node import STEP, NodeCase, job_id

SUSPENDED_S = 0.5
CHILD = """
import sys
from pathlib import Path
from standins import suspendable
suspendable.install(Path(sys.argv[1]))
import time
import anyio
from pumicespur.utils import monotonic, run_process

async def tell():
    before = time.monotonic(), monotonic(), anyio.current_time()
    print("ready", flush=True)
    sys.stdin.readline()
    after = time.monotonic(), monotonic(), anyio.current_time()
    print(*(late - early for early, late in zip(before, after)), flush=True)

run_process(tell)
"""


class SuspensionTest(unittest.IsolatedAsyncioTestCase):
    """What a suspension does to each clock."""

    async def test_leases_and_time_outs_count_it_although_the_steady_clock_does_not(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            mark = Path(folder) / "mark"
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                CHILD,
                str(mark),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
            )
            assert child.stdin is not None
            assert child.stdout is not None
            await child.stdout.readline()
            mark.write_text(str(monotonic()))
            child.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SUSPENDED_S)
            child.send_signal(signal.SIGCONT)
            while mark.exists():
                await asyncio.sleep(0.01)
            child.stdin.write(b"\n")
            told = (await child.stdout.readline()).split()
            await child.wait()
        steady, ours, loop = map(float, told)
        self.assertGreater(ours, SUSPENDED_S)
        self.assertGreater(loop, SUSPENDED_S)
        self.assertLess(steady, ours - 0.9 * SUSPENDED_S)


class SuspendedOwnerTest(NodeCase):
    """The owner of a pool is suspended until another process has taken it."""

    nodes = 3
    module = SUSPENDABLE_MODULE

    async def test_it_wakes_beside_its_successor(self) -> None:
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        owner = next(node for node in self.started if node.name == self.world.owner())
        other = next(node for node in self.started if node is not owner)
        for worker in self.world.workers.values():
            worker.task_s = 0.3
        jobs = [job_id(number) for number in range(700, 706)]
        for job in jobs:
            self.assertEqual(200, await self.world.submit(other, job, [STEP]))
        owner.suspend()
        await self.world.wait_for(
            lambda: self.world.owner() != owner.name, "another node owns the pool"
        )
        owner.resume()
        for job in jobs:
            await self.world.wait_state(other, job, "completed")
        self.assertEqual([], self.world.overlaps())

"""Tests of the clock that leases and timeouts use.

The failure: a machine is suspended for some seconds. After it resumes, its process orders tasks for
a pool that another process has taken over in the meantime, since no time has passed by its clock.
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

async def report_elapsed():
    before = time.monotonic(), monotonic(), anyio.current_time()
    print("ready", flush=True)
    sys.stdin.readline()
    after = time.monotonic(), monotonic(), anyio.current_time()
    print(*(end - start for start, end in zip(before, after)), flush=True)

run_process(report_elapsed)
"""


class SuspensionTest(unittest.IsolatedAsyncioTestCase):
    """Effect of a suspension on each clock."""

    async def test_durations_and_timeouts_include_it_although_the_system_monotonic_clock_does_not(
        self,
    ) -> None:
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
            output = (await child.stdout.readline()).split()
            await child.wait()
        system_s, process_s, loop_s = map(float, output)
        self.assertGreater(process_s, SUSPENDED_S)
        self.assertGreater(loop_s, SUSPENDED_S)
        self.assertLess(system_s, process_s - 0.9 * SUSPENDED_S)


class SuspendedOwnerTest(NodeCase):
    """The owner of a pool is suspended until another process has taken the pool over."""

    nodes = 3
    module = SUSPENDABLE_MODULE

    async def test_no_runs_of_a_task_overlap_after_it_resumes(self) -> None:
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

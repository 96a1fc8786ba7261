"""Workers that start again under the id that they had.

What users saw: tasks that had ended well were done once more when their pool got its next owner,
and tasks that are to last were gone for good, with half of the pool idle.

In order: a worker crashes and is back within a second, under its id and at its address; its owner
takes it for the same worker whose connection broke. Runs that went with it stay counted as
running. The ends of the runs that it is given next are numbered from one on, which its owner
counts as known and acknowledges unread.
"""

from __future__ import annotations

import asyncio
from typing import Any

from tests.test_node import STEP, NodeCase, job_id

LONE = {**STEP, "count": 1}
LASTING: dict[str, Any] = {**LONE, "longRunning": True}

BEFORE = 4
"""Jobs that end on a worker before it starts again; its next life lists fewer ends at first."""


class RestartTest(NodeCase):
    """One worker, which crashes and starts again while its owner lives."""

    workers = 1

    async def test_a_lasting_task_runs_on_the_next_life(self) -> None:
        await self.world.submit(self.node, job_id(700), [LASTING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 1, "the task runs")
        await asyncio.sleep(0.3)
        await self.world.restart_worker("m-0", down_s=0.2)
        await self.world.wait_for(lambda: len(self.world.history) == 2, "it runs once more")
        self.assertEqual("gone", self.world.history[0].how)
        self.assertEqual([], self.world.overlaps())


class RestartedEndTest(NodeCase):
    """The ends of the next life are taken in before they are acknowledged."""

    workers = 1

    async def test_a_task_that_ended_well_on_the_next_life_is_not_done_again(self) -> None:
        for number in range(BEFORE):
            await self.world.submit(self.node, job_id(710 + number), [LONE])
            await self.world.wait_state(self.node, job_id(710 + number), "completed")
        await self.world.restart_worker("m-0", down_s=0.2)
        await asyncio.sleep(0.5)
        await self.world.submit(self.node, job_id(720), [LONE])
        await self.world.wait_for(
            lambda: any(r.task.startswith(job_id(720)) and r.ended_at for r in self.world.history),
            "the task ends on the next life",
        )
        await asyncio.sleep(0.5)
        self.node.process.kill()
        self.node.process.wait()
        self.started.append(self.world.start_node("node-next"))
        await self.world.wait_state(self.started[-1], job_id(720), "completed")
        self.assertEqual([], self.world.overlaps())

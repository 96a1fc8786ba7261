"""A task that brings down each worker that starts it.

What users saw: two jobs of one pool brought down 39 workers in 18 seconds and were still being
tried when the day ended; a fifth of the pool's other callers was served late or given up.

In order: a worker starts a dozen tasks; it ends without a word some milliseconds later; its lease
runs out; the tasks start again, together, on the next worker, which ends too. No run has ended as
failed, so that no attempt was counted and nothing bounded the starts: one task got 28.

The evidence: the log's lines of lost runs name the same task on each worker that was lost within
milliseconds of a start, and other tasks beside it that ran well wherever it wasn't.
"""

from __future__ import annotations

from typing import Any

from standins.hosted import CRASHING_PAYLOAD, Run
from tests.test_node import STEP, NodeCase, job_id

CRASHER = job_id(500)
CRASHING_TASK = f"{CRASHER}.0.0.0"

MOST_STARTS = 5
"""Three workers may be brought down, and two starts may follow before the job is given up."""

NEIGHBOURS = 6
NEIGHBOUR_S = 0.3
"""How long a task of the others takes: they are at work when their worker is brought down."""


class CrashCase(NodeCase):
    """A pool with jobs at work into which a job comes that brings workers down."""

    workers = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.world.task_s = NEIGHBOUR_S
        for worker in self.world.workers.values():
            worker.task_s = NEIGHBOUR_S
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        names = {node.name: node for node in self.started}
        self.owner = names[self.world.owner()]
        self.other = next((n for n in self.started if n is not self.owner), self.owner)

    async def submit_all(self) -> list[str]:
        """Hand the crashing job in between others; return the others."""
        others = [job_id(600 + number) for number in range(NEIGHBOURS)]
        steps: list[dict[str, Any]] = [STEP, {**STEP, "dependsOn": [0]}]
        for job in others[: NEIGHBOURS // 2]:
            await self.world.submit(self.other, job, steps)
        await self.world.submit(self.other, CRASHER, [STEP], payload=CRASHING_PAYLOAD)
        for job in others[NEIGHBOURS // 2 :]:
            await self.world.submit(self.other, job, steps)
        return others

    def crashing_runs(self) -> list[Run]:
        return [run for run in self.world.history if run.task == CRASHING_TASK]

    async def check_outcome(self, others: list[str]) -> None:
        """Check that the job is given up within its bound, and no other for it."""
        await self.world.wait_state(self.other, CRASHER, "failed")
        self.assertLessEqual(len(self.crashing_runs()), MOST_STARTS)
        for job in others:
            await self.world.wait_state(self.other, job, "completed")


class CrashingTaskTest(CrashCase):
    """The owner of the pool is there all along."""

    async def test_it_is_given_up_and_its_neighbours_are_not(self) -> None:
        await self.check_outcome(await self.submit_all())


class CrashingTaskTakeoverTest(CrashCase):
    """The pool gets a new owner between two crashes."""

    nodes = 2

    async def test_the_count_outlives_its_owner(self) -> None:
        others = await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        self.owner.process.kill()
        await self.check_outcome(others)

    async def test_the_count_outlives_lost_answers_of_the_store(self) -> None:
        self.world.store.faults.lose_share = 0.3
        others = await self.submit_all()
        await self.check_outcome(others)


class CrashingTaskSightTest(CrashCase):
    """What the owner's log tells of a lost run."""

    async def test_lost_runs_are_told_with_their_neighbours(self) -> None:
        await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        lines = [
            line
            for line in self.owner.log.read_text().splitlines()
            if '"run lost"' in line and CRASHING_TASK in line
        ]
        self.assertTrue(lines)
        for field in ("worker", "instance", "ran_s", "beside"):
            self.assertIn(f'"{field}"', lines[0])

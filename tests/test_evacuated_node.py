"""Tests of evacuated data halls with real processes against a stand-in of the users' platform."""

from __future__ import annotations

import json
from typing import Any

import anyio

from pumicespur.utils import monotonic
from tests.test_commands import run
from tests.test_node import LONG_RUNNING, STEP, NodeCase, job_id

EVACUATE_S = 1.5
"""Time after which no task may start in an evacuated hall, as in the nodes' settings."""

ROW = ("op", "", "evacuate/hall")
"""The row that evacuates the hall of all workers of the stand-in."""

ONE_TASK = {**STEP, "count": 1}


class EvacuationCase(NodeCase):
    """Tests of nodes with a bound for evacuations."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.evacuated_at = 0.0

    async def evacuate(self) -> None:
        """Evacuate the hall and wait until the nodes' bound has passed."""
        self.world.store.put(ROW, b"anything")
        self.evacuated_at = monotonic()
        await self.until_logged("evacuation in force")
        await anyio.sleep(self.evacuated_at + EVACUATE_S - monotonic())

    async def until_logged(self, event: str) -> None:
        await self.world.wait_for(
            lambda: any(f'"{event}"' in node.log.read_text() for node in self.started), event
        )

    def late_starts(self, until: float) -> list[str]:
        """Return the tasks that started in the hall while that was evacuated and not allowed."""
        allowed_until = self.evacuated_at + EVACUATE_S
        return [r.task for r in self.world.history if allowed_until < r.started_at < until]


class EvacuatedHallTest(EvacuationCase):
    """One node and one hall, from its evacuation to the end of that."""

    async def fetch(self, path: str) -> str:
        assert self.world.session is not None
        url = f"http://{self.node.address('metrics')}{path}"
        async with self.world.session.get(url) as response:
            self.assertEqual(200, response.status)
            return await response.text()

    async def test_nothing_starts_there_and_what_runs_goes_on(self) -> None:
        await self.world.submit(self.node, job_id(1), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "the tasks run")
        await self.evacuate()
        await self.world.submit(self.node, job_id(2), [ONE_TASK])
        await self.check_what_operators_see()
        ended_at = monotonic()
        self.world.store.remove(ROW)
        await self.until_logged("evacuation over")
        await self.world.wait_state(self.node, job_id(2), "completed")
        self.assertEqual([], self.late_starts(ended_at))
        self.assertIsNone(self.world.history[0].ended_at)
        explained = await run("explain", job_id(2), str(self.node.log))
        self.assertIn("evacuation in force", explained.stdout)
        self.assertIn("evacuation over", explained.stdout)

    async def check_what_operators_see(self) -> None:
        described: dict[str, Any] = {}
        while "waits_for_another_hall" not in described:
            described = json.loads(await self.fetch(f"/jobs/{job_id(2)}"))
        expected = {"tasks": 1, "evacuated_halls": ["hall"]}
        self.assertEqual(expected, described["waits_for_another_hall"])
        evacuations = json.loads(await self.fetch("/state"))["evacuations"]
        self.assertGreater(evacuations["halls"]["hall"]["since_version"], 0)
        left = {"tasks": 2, "long_running_tasks": 2, "last_end_in_s": None}
        self.assertEqual(left, evacuations["halls"]["hall"]["pools"]["main"])
        page = ""
        while 'pumicespur_evacuated_hall_tasks{pool="main"} 2' not in page:
            page = await self.fetch("/metrics")
        self.assertIn("pumicespur_evacuated_halls 1", page)
        shown = await run("status", "--node", f"http://{self.node.address('metrics')}")
        self.assertEqual(0, shown.returncode, shown.stderr)
        self.assertRegex(shown.stdout, r"hall +\d+ +main +2 +2 +-")

    async def test_a_store_that_does_not_show_the_table_suspends_starts(self) -> None:
        # Guards against an owner that reaches the store, but cannot read the operators' table.
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        await self.world.submit(self.node, job_id(1), [ONE_TASK])
        await self.world.wait_state(self.node, job_id(1), "completed")
        self.world.store.faults.refused_tables.add("op")
        await self.until_logged("starts suspended")
        self.assertIn("evacuations may be unheard", self.node.log.read_text())
        self.world.store.faults.refused_tables.clear()
        await self.until_logged("starts resumed")
        await self.world.submit(self.node, job_id(2), [ONE_TASK])
        await self.world.wait_state(self.node, job_id(2), "completed")


class EvacuationTakeoverTest(EvacuationCase):
    """A takeover while a hall is evacuated."""

    nodes = 2

    async def test_the_new_owner_starts_nothing_there(self) -> None:
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        await self.evacuate()
        first = next(node for node in self.started if node.name == self.world.owner())
        other = next(node for node in self.started if node is not first)
        await self.world.submit(other, job_id(1), [ONE_TASK])
        first.process.kill()
        await self.world.wait_for(lambda: self.world.owner() == other.name, "a takeover")
        self.world.store.forget_history()
        await self.world.wait_for(
            lambda: '"evacuation in force"' in other.log.read_text(), "the new owner knows"
        )
        await anyio.sleep(0.3)
        ended_at = monotonic()
        self.world.store.remove(ROW)
        await self.world.wait_state(other, job_id(1), "completed")
        self.assertEqual([], self.late_starts(ended_at))

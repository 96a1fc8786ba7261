"""Tests of the stand-in platform's data halls, evacuations and cold workers."""

from __future__ import annotations

import base64
import json
import unittest
from typing import Any

from standins.hosted import World
from standins.hosted._workers import COLD_SLOWDOWN
from tests.base import quiet_loop

START_ORDER = {"task": "t.0", "run": 1, "taskSpec": "quick", "fencingToken": 1, "deadlineMs": 1e9}


class HostedHallsTest(unittest.IsolatedAsyncioTestCase):
    """Data halls in what the stand-ins list, record and delay."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = World()
        self.world.halls = {"r1-0": "north", "r1-1": "south"}
        await self.world.open()
        await self.world.add_worker("m-0", "r1-0")
        await self.world.add_worker("m-1", "r1-1")

    async def asyncTearDown(self) -> None:
        await self.world.close()

    async def get(self, service: str, path: str) -> dict[str, Any]:
        assert self.world.session is not None
        url = f"http://{self.world.addresses[service]}/pumicespur/{path}"
        async with self.world.session.get(url) as response:
            return dict(await response.json())

    async def start_task(self, instance: str) -> None:
        assert self.world.session is not None
        worker = self.world.workers[instance]
        async with self.world.session.post(
            f"http://{worker.address}/pumicespur/run-start",
            json=START_ORDER,
            headers={"X-Pumicespur-Expect-Instance": worker.id},
        ) as response:
            self.assertEqual(200, response.status)

    async def test_list_of_instances_names_the_hall_of_each_rack(self) -> None:
        """Guards against a list in which all instances are in one hall."""
        listed = await self.get("fleet", "machines")
        self.assertEqual(
            {"m-0": "north", "m-1": "south"}, {m["machine"]: m["zone"] for m in listed["machines"]}
        )

    async def test_worker_entry_names_the_hall_after_a_restart(self) -> None:
        """Guards against a next incarnation that is shown in the default hall."""
        await self.world.restart_worker("m-1", late_s=-0.01)
        self.assertEqual("south", json.loads(self.world.workers["m-1"].encode_entry())["zone"])

    async def test_range_of_rows_ends_before_the_target_key(self) -> None:
        """Guards against a range that contains its end or rows behind it."""
        for key in ("evacuate/a", "evacuate/b", "evacuate0", "wave/1"):
            self.world.store.put(("op", "", key), b"{}")
        path = "rows-get?table=op&part=&from=evacuate/&targetVersion="
        found = await self.get("store", f"{path}evacuate0")
        self.assertEqual(["evacuate/a", "evacuate/b"], [row["privateKey"] for row in found["rows"]])

    async def test_run_records_the_age_of_an_evacuation(self) -> None:
        """Guards against starts in an evacuated hall that leave no trace for a checker."""
        self.world.evacuations.begin("north")
        await self.start_task("m-0")
        await self.start_task("m-1")
        evacuated, other = self.world.history
        self.assertIsNotNone(evacuated.since_evacuation_s)
        self.assertIsNone(other.since_evacuation_s)
        self.assertEqual([evacuated], self.world.starts_in_evacuated_halls(0.0))

    async def test_evacuation_that_is_asked_for_twice_keeps_its_time(self) -> None:
        """Guards against a bound that begins anew with each write of the same row."""
        self.world.evacuations.begin("north")
        period = self.world.evacuations.current("north")
        self.world.evacuations.begin("north")
        self.assertIs(period, self.world.evacuations.current("north"))
        self.assertEqual(1, len(self.world.evacuations.periods))

    async def test_hall_is_open_after_the_end_of_its_evacuation(self) -> None:
        """Guards against evacuations that stay in force in the records but not in the store."""
        self.world.evacuations.begin("north")
        self.world.end_evacuation("north")
        await self.start_task("m-0")
        self.assertIsNone(self.world.history[0].since_evacuation_s)
        self.assertIsNone(self.world.store.value(("op", "", "evacuate/north")))

    async def test_workers_are_cold_after_an_evacuation(self) -> None:
        """Guards against a cold worker that is as fast as a warm one, or whose entry omits it."""
        self.world.cold_s = 60.0
        self.world.evacuations.begin("north")
        self.world.end_evacuation("north")
        worker = self.world.workers["m-0"]
        row = self.world.store.value(("servers", "", worker.id))
        assert row is not None
        self.assertGreater(json.loads(row)["coldRemainingMs"], 50_000)
        await self.start_task("m-0")
        await self.world.wait_for(lambda: self.world.history[0].ended_at is not None, "run ended")
        run = self.world.history[0]
        assert run.ended_at is not None
        self.assertGreaterEqual(run.ended_at - run.started_at, worker.task_s * COLD_SLOWDOWN)

    async def test_entry_of_a_warm_worker_says_nothing_of_cold(self) -> None:
        """Guards against deployments without cold workers that are told of some."""
        entry = base64.b64decode(self.world.store.rows["servers", "", "w-1"].value)
        self.assertNotIn("coldRemainingMs", json.loads(entry))

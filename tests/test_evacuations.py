"""Tests of following the evacuated data halls, against a table with scripted responses."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast
from unittest.mock import patch

import anyio
from expression import Error, Ok, Result

from pumicespur.jobs import evacuations_max_age_s
from pumicespur.model import DataHall, WorkerName
from pumicespur.node import _evacuations
from pumicespur.node._evacuations import EvacuationFollower
from pumicespur.platform import EVACUATION_PREFIX
from pumicespur.store import AnswerLost, Page, ResponseTimes, Row, TableProgress
from pumicespur.utils import monotonic
from pumicespur.view import FleetView
from tests.base import default_settings, quiet_loop
from tests.test_jobs import make_worker

if TYPE_CHECKING:
    from pumicespur.store import Fault

HALL = DataHall("hall")


def row(hall: str, version: int = 1) -> Row:
    """Make the row that evacuates a hall; version 0 if it was removed."""
    return Row(EVACUATION_PREFIX + hall, b"", version)


class FakeController:
    """The roles of a process, and how often they were told of a change."""

    def __init__(self) -> None:
        self.owning = anyio.Event()
        self.roles = SimpleNamespace(owned={}, fleet_leader=None)
        self.changes = 0

    def own(self) -> None:
        """Take a pool."""
        self.roles.owned["main"] = object()
        self.owning.set()

    def apply_evacuated_halls(self) -> None:
        """Count the change."""
        self.changes += 1


class RangeTable:
    """A table that returns the rows of a range, after what the test lets it wait for."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.version = 1
        self.reads = 0
        self.response_times = ResponseTimes(0.4, 3.0)
        self.faults: list[Fault] = []
        self.gates: list[anyio.Event] = []
        """What the next readings wait for, in order."""

    async def scan_range(self, *arguments: Any) -> Result[Page, Fault]:
        """Return the rows as they were when the request arrived."""
        self.reads += 1
        found = Page(list(self.rows), self.version)
        if self.faults:
            return Error(self.faults.pop(0))
        if self.gates:
            await self.gates.pop(0).wait()
        return Ok(found)

    def change(self, *rows: Row) -> None:
        """Replace the rows under a new version."""
        self.rows = list(rows)
        self.version += 1


class FollowerCase(unittest.IsolatedAsyncioTestCase):
    """Tests with a follower of a fake table."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.settings = default_settings()
        self.settings.workers.evacuate_ms = 5000
        self.view = FleetView()
        self.view.workers[WorkerName("w")] = make_worker("w")
        self.controller = FakeController()
        self.table = RangeTable()
        self.follower = EvacuationFollower(
            self.settings, self.view, cast("Any", self.table), cast("Any", self.controller)
        )

    async def until(self, condition: Any) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(20):
            while not condition():
                await anyio.sleep(0.002)


class AnswerTest(FollowerCase):
    """What an answer with all rows changes."""

    def apply(self, version: int, asked_at: float, *halls: str) -> None:
        rows = [row(hall, version) for hall in halls]
        self.follower.apply_rows(rows, TableProgress(version, asked_at))

    async def test_it_replaces_what_was_known(self) -> None:
        # Guards against a hall that stays evacuated for good.
        self.apply(2, 1.0, "hall")
        self.apply(3, 2.0)
        self.assertEqual({}, self.view.evacuated_halls)
        self.assertEqual(2, self.controller.changes)

    async def test_an_older_answer_that_comes_late_changes_nothing(self) -> None:
        # Guards against a hall closed again by an answer to an earlier reading.
        self.apply(3, 2.0)
        self.apply(2, 1.0, "hall")
        self.assertEqual({}, self.view.evacuated_halls)
        self.assertEqual(TableProgress(3, 2.0), self.view.evacuations_progress)

    async def test_the_age_counts_from_the_later_request(self) -> None:
        self.apply(2, 2.0)
        self.apply(3, 1.0)
        self.assertEqual(TableProgress(3, 2.0), self.view.evacuations_progress)

    async def test_roles_are_told_only_of_changes(self) -> None:
        self.apply(2, 1.0, "hall")
        self.apply(3, 2.0, "hall")
        self.assertEqual(1, self.controller.changes)

    async def test_a_hall_that_is_not_known_yet_is_evacuated_too(self) -> None:
        # Guards against a start on a worker that appears between two readings.
        self.apply(2, 1.0, "other")
        self.assertIn(DataHall("other"), self.view.evacuated_halls)


class UnusableRowTest(FollowerCase):
    """Rows that are malformed or name no known hall."""

    def errors(self, *rows: Row, version: int = 2) -> list[str]:
        """Apply rows and return the keys of the error lines."""
        with patch.object(_evacuations, "log") as log:
            self.follower.apply_rows(rows, TableProgress(version, 1.0))
        return [call.kwargs["key"] for call in log.error.call_args_list]

    async def test_each_is_reported_once_and_no_other_row_is_affected(self) -> None:
        rows = [row("", 2), row("Hall", 3), row("hall", 4), row("nowhere", 5)]
        keys = sorted([rows[0].key, rows[1].key, rows[3].key])
        self.assertEqual(keys, sorted(self.errors(*rows)))
        self.assertEqual([], self.errors(*rows, version=3))
        self.assertEqual(4, self.view.evacuated_halls[HALL].version)

    async def test_one_that_returns_is_reported_again(self) -> None:
        self.errors(row("nowhere"))
        self.errors(version=3)
        self.assertEqual(1, len(self.errors(row("nowhere"), version=4)))

    async def test_halls_are_not_judged_before_any_is_known(self) -> None:
        # Guards against an error line for each hall right after a takeover.
        self.view.workers.clear()
        self.assertEqual([], self.errors(row("hall")))

    async def test_a_hall_of_instances_alone_is_known_to_the_leader(self) -> None:
        instance = SimpleNamespace(data_hall=DataHall("dark"))
        self.controller.roles.fleet_leader = SimpleNamespace(instances={"m": instance})
        self.assertEqual([], self.errors(row("dark")))


class ReadingTest(FollowerCase):
    """When the rows are read."""

    async def follow(self, check: Any) -> None:
        """Run the follower while the coroutine checks it."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            await check()
            tasks.cancel_scope.cancel()

    async def test_nothing_is_read_without_a_role_or_a_bound(self) -> None:
        # Guards against extra store calls in deployments that evacuate no halls.
        async def check() -> None:
            await anyio.sleep(0.05)
            self.settings.workers.evacuate_ms = 0
            self.controller.own()
            self.follower.note_operators_rows([row("hall")], False)
            await anyio.sleep(0.05)

        await self.follow(check)
        self.assertEqual(0, self.table.reads)

    async def test_a_row_of_the_operators_table_makes_it_read_at_once(self) -> None:
        # Guards against an evacuation, or its end, that is heard only at the next reading.
        self.settings.workers.evacuate_ms = 1_000_000

        async def check() -> None:
            self.controller.own()
            await self.until(lambda: self.view.evacuations_progress.version == 1)
            self.table.change(row("hall", 2))
            self.follower.note_operators_rows([row("hall", 2)], False)
            await self.until(lambda: HALL in self.view.evacuated_halls)
            self.table.change()
            self.follower.note_operators_rows([row("hall", 0)], False)
            await self.until(lambda: not self.view.evacuated_halls)

        await self.follow(check)
        self.assertEqual(3, self.table.reads)

    async def test_rows_known_already_make_it_read_nothing(self) -> None:
        self.follower.note_operators_rows([row("hall", 2)], True)
        self.assertTrue(self.follower.read_requested.is_set())
        self.follower.read_requested = anyio.Event()
        self.follower.note_operators_rows([row("hall", 2), Row("op//config", b"", 9)], True)
        self.assertFalse(self.follower.read_requested.is_set())
        self.follower.note_operators_rows([], True)
        self.assertTrue(self.follower.read_requested.is_set())

    async def test_a_reading_that_hangs_delays_no_other(self) -> None:
        # Guards against starts that stop at the bound because one connection is dead.
        self.settings.workers.evacuate_ms = 1_000_000
        gate = anyio.Event()
        self.table.gates.append(gate)

        async def check() -> None:
            self.controller.own()
            await self.until(lambda: self.table.reads == 1)
            self.table.change(row("hall", 2))
            self.follower.note_operators_rows([row("hall", 2)], False)
            await self.until(lambda: HALL in self.view.evacuated_halls)
            gate.set()
            await anyio.sleep(0.02)
            self.assertIn(HALL, self.view.evacuated_halls)

        await self.follow(check)

    async def test_a_failed_reading_is_repeated(self) -> None:
        self.settings.workers.evacuate_ms = 1_000_000
        self.table.faults.append(AnswerLost("nothing came"))

        async def check() -> None:
            self.controller.own()
            await self.until(lambda: self.view.evacuations_progress.version == 1)

        await self.follow(check)

    async def test_rows_are_read_again_without_any_change(self) -> None:
        # Guards against starts that stop at the bound while nobody evacuates anything.
        self.settings.workers.evacuate_ms = 800

        async def check() -> None:
            self.controller.own()
            await self.until(lambda: self.table.reads == 4)

        await self.follow(check)

    async def test_the_age_stays_below_a_quarter_of_what_is_allowed(self) -> None:
        quarter_s = evacuations_max_age_s(self.settings.workers) / 4
        for answer_s in (0.005, 0.3, 0.8):
            self.table.response_times.note_response(monotonic(), answer_s)
            self.assertLess(self.follower._pause_s() + answer_s, quarter_s)

    async def test_a_very_slow_store_is_not_asked_all_the_time(self) -> None:
        self.table.response_times.note_response(monotonic(), 30.0)
        self.assertGreater(self.follower._pause_s(), 0.25)

    async def test_what_is_known_is_cleared_without_a_role(self) -> None:
        # Guards against starts by what an earlier ownership knew.
        self.table.change(row("hall", 2))

        async def check() -> None:
            self.controller.own()
            await self.until(lambda: self.view.evacuated_halls)
            self.controller.roles.owned.clear()
            self.controller.owning = anyio.Event()
            await self.until(lambda: not self.view.evacuated_halls)

        await self.follow(check)
        self.assertEqual(TableProgress(), self.view.evacuations_progress)

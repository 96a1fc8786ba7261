"""Tests that a pool's owner starts nothing in an evacuated data hall."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any, cast
from unittest.mock import patch

from pumicespur.config import load_node_settings
from pumicespur.jobs import Ownership, PoolOwner, evacuations_max_age_s, workers_max_age_s
from pumicespur.jobs import _owner as owner_module
from pumicespur.jobs._job import TaskState
from pumicespur.jobs._known_state import KnownState, start_timeout_s
from pumicespur.jobs.placement import assign
from pumicespur.jobs.sessions import _starts as starts_module
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._session import WorkerSession
from pumicespur.model import DataHall, HallEvacuation, PoolSettings, WorkerName
from pumicespur.schema.jobs_pb import StepRecord
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.store import TableProgress
from pumicespur.utils import monotonic
from pumicespur.view import FleetView
from tests.base import default_settings, quiet_loop
from tests.test_jobs import CONFIGURATION, POOL, make_record, make_worker, submit
from tests.test_worker_session import ScriptedOwner

HALL = DataHall("hall")
EVACUATED = {HALL: HallEvacuation(HALL, 1)}
EVACUATE_S = 1.5

ONE_TASK = StepRecord(count=1, cpu_millis=1)


SETTINGS = """
[process]
id = n
data_hall = h
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
[store]
address = 127.0.0.1:1
[workers]
evacuate_ms = {bound}
"""


class SettingTest(unittest.TestCase):
    """The bound as a deployment's settings give it."""

    def test_a_deployment_without_a_bound_has_none(self) -> None:
        # The platform fills in nothing where it evacuates no halls.
        for bound, expected in (("", 0), ("0", 0), ("5000", 5000)):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "node.ini"
                path.write_text(SETTINGS.format(bound=bound))
                self.assertEqual(expected, load_node_settings(path).workers.evacuate_ms)


class EvacuationAgeTest(unittest.TestCase):
    """How old the known evacuations may be that a start depends on."""

    def setUp(self) -> None:
        self.settings = WorkerSettings(
            call_timeout_s=0.5, drain_ms=3000, cancel_ms=4000, evacuate_ms=5000
        )
        self.fresh = TableProgress(1, 10.0)

    def known(self, asked_at: float) -> KnownState:
        return KnownState(self.fresh, self.fresh, 1, TableProgress(1, asked_at))

    def test_age_and_call_fit_into_the_time_allowed(self) -> None:
        for evacuate_ms in (200, 1000, 5000, 60_000):
            self.settings.evacuate_ms = evacuate_ms
            total_s = evacuations_max_age_s(self.settings) + start_timeout_s(self.settings)
            self.assertAlmostEqual(evacuate_ms / 1000, total_s)
            self.assertGreater(evacuations_max_age_s(self.settings), 0)
            self.assertGreater(workers_max_age_s(self.settings), 0)

    def test_too_old_evacuations_suspend_starts(self) -> None:
        self.assertEqual("", self.known(5.6).staleness_reason(self.settings, 10.0))
        reason = self.known(5.4).staleness_reason(self.settings, 10.0)
        self.assertEqual("evacuations may be unheard", reason)

    def test_evacuations_that_were_never_read_suspend_starts(self) -> None:
        # Guards against starts of a new owner before its first reading.
        known = KnownState(self.fresh, self.fresh, 1, TableProgress())
        self.assertTrue(known.staleness_reason(self.settings, 10.0))

    def test_they_bound_the_validity_of_an_order(self) -> None:
        self.assertAlmostEqual(1.0, self.known(6.0).valid_for_s(self.settings, 10.0))
        self.assertAlmostEqual(3.0, self.known(10.0).valid_for_s(self.settings, 10.0))

    def test_a_platform_that_evacuates_no_halls_depends_on_none(self) -> None:
        self.settings.evacuate_ms = 0
        known = KnownState(self.fresh, self.fresh, 1)
        self.assertEqual("", known.staleness_reason(self.settings, 10.0))
        self.assertAlmostEqual(3.0, known.valid_for_s(self.settings, 10.0))
        self.assertEqual(0.5, start_timeout_s(self.settings))
        self.assertNotIn("evacuations_age_s", known.describe(10.0))


class EvacuatingOwner(ScriptedOwner):
    """A scripted owner that follows the evacuations."""

    def __init__(self) -> None:
        super().__init__()
        self.settings.workers.evacuate_ms = int(EVACUATE_S * 1000)
        self.evacuations_age_s = 0.0

    def known_state(self) -> KnownState:
        """Return fresh state, but evacuations of the age that the test sets."""
        asked_at = monotonic() - self.evacuations_age_s
        return replace(super().known_state(), evacuations=TableProgress(1, asked_at))


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """A start whose hall is evacuated between placement and order."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.owner = EvacuatingOwner()
        self.session = WorkerSession(self.owner, make_worker("w"), EarlierLeases(0.0))
        self.session.load.reachable = True
        self.session.lease.note_clock(0.0, monotonic())
        self.task = submit(self.owner.pool, make_record(ONE_TASK)).tasks[0]
        assign(self.task, self.session.load)

    async def order(self) -> list[str]:
        """Order the start; return the reasons of withheld starts, as logged."""
        with patch.object(starts_module, "log") as log:
            await self.session.starts.order(self.task, 1)
        lines = [call for call in log.info.call_args_list if call.args == ("start undone",)]
        return [call.kwargs["reason"] for call in lines]

    async def test_it_is_withheld_and_the_log_tells_why(self) -> None:
        self.session.load.hall_evacuated = True
        self.assertEqual(["its data hall is evacuated"], await self.order())
        self.assertEqual(0, self.owner.orders.starts)
        self.assertIs(TaskState.WAITING, self.task.state)

    async def test_it_is_withheld_while_evacuations_may_be_unheard(self) -> None:
        max_age_s = evacuations_max_age_s(self.owner.settings.workers)
        self.owner.evacuations_age_s = max_age_s + 0.01
        self.assertEqual(["evacuations may be unheard"], await self.order())
        self.assertEqual(0, self.owner.orders.starts)

    async def test_its_deadline_is_bounded_by_their_age(self) -> None:
        # Guards against an order that travels for long and starts its task after the bound.
        self.owner.evacuations_age_s = 1.0
        sent_at = monotonic()
        self.assertEqual([], await self.order())
        clock_ms = (sent_at - self.session.lease.last_seen_at) * 1000
        left_ms = self.owner.orders.orders[0].deadline_ms - clock_ms
        self.assertLess(left_ms, (EVACUATE_S - 1.0) * 1000)
        self.assertGreater(left_ms, (EVACUATE_S - 1.0) * 900)


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """What the owner of a pool knows of evacuated halls."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.settings = default_settings()
        self.settings.workers.evacuate_ms = 5000
        pools = {POOL: PoolSettings(POOL, False, False)}
        self.view = FleetView(replace(CONFIGURATION, pools=pools))
        self.view.workers[WorkerName("w")] = make_worker("w")
        self.view.workers_progress = TableProgress(1, monotonic())
        nobody: Any = None
        self.owner = PoolOwner(
            self.settings,
            self.view,
            nobody,
            nobody,
            Ownership(POOL, 1, "incarnation", monotonic()),
            EarlierLeases(0.0),
            lambda: None,
        )
        self.owner.submissions.table_progress = TableProgress(1, monotonic())
        # Sessions are opened but not run, so that the workers need not respond.
        self.owner.tasks = cast("Any", type("Tasks", (), {"start_soon": lambda *_: None})())
        self.owner.sync_workers()

    def evacuate(self, evacuated: dict[DataHall, HallEvacuation]) -> None:
        self.view.evacuated_halls = evacuated
        self.view.evacuations_progress = TableProgress(1, monotonic())

    def marked(self) -> list[bool]:
        return [load.hall_evacuated for load in self.owner.pool.loads.values()]

    async def test_a_change_is_applied_before_any_order_can_rely_on_its_version(self) -> None:
        # Guards against an order with the age of the new reading and the halls of the one before.
        self.evacuate(EVACUATED)
        self.owner.apply_evacuated_halls()
        self.assertEqual([True], self.marked())
        self.evacuate({})
        self.owner.apply_evacuated_halls()
        self.assertEqual([False], self.marked())

    async def test_a_worker_that_appears_in_an_evacuated_hall_is_marked(self) -> None:
        self.evacuate(EVACUATED)
        self.view.workers[WorkerName("v")] = make_worker("v")
        self.owner.sync_workers()
        self.assertEqual([True, True], self.marked())

    async def test_starts_are_suspended_until_the_first_reading(self) -> None:
        # Guards against starts of a new owner that does not know the evacuations.
        with patch.object(owner_module, "log") as log:
            self.assertFalse(self.owner._may_start(monotonic()))
            self.evacuate({})
            self.assertTrue(self.owner._may_start(monotonic()))
        first, second = log.warning.call_args_list
        self.assertEqual(("starts suspended",), first.args)
        self.assertEqual("evacuations may be unheard", first.kwargs["reason"])
        self.assertEqual(("starts resumed",), second.args)

    async def test_nothing_depends_on_evacuations_without_a_bound(self) -> None:
        self.settings.workers.evacuate_ms = 0
        self.assertIsNone(self.owner.known_state().evacuations)
        self.assertTrue(self.owner._may_start(monotonic()))

    async def test_what_runs_in_the_hall_is_neither_moved_nor_stopped(self) -> None:
        (load,) = self.owner.pool.loads.values()
        load.reachable = True
        spec = StepRecord(count=1, cpu_millis=1, long_running=True, may_miss=1)
        job = submit(self.owner.pool, make_record(spec))
        (task,) = self.owner.pool.place(monotonic(), 0.0)
        task.state = TaskState.RUNNING
        self.view.workers[WorkerName("v")] = replace(make_worker("v"), data_hall=DataHall("b"))
        self.owner.sync_workers()
        for other in self.owner.pool.loads.values():
            other.reachable = True
        self.evacuate(EVACUATED)
        self.owner.apply_evacuated_halls()
        with (
            patch.object(owner_module, "MOVE_DELAY_S", 0.0),
            patch.object(self.owner, "spawn") as spawn,
        ):
            self.owner._evacuate()
        spawn.assert_not_called()
        self.assertFalse(job.ended)
        self.assertIs(TaskState.RUNNING, task.state)

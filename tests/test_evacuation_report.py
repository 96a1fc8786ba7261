"""Tests of what operators are told of evacuated data halls."""

from __future__ import annotations

import contextlib
import io
import unittest
from typing import Any
from unittest.mock import AsyncMock, patch

from pumicespur.commands import status as status_command
from pumicespur.commands.explain import LogLine, select_lines
from pumicespur.jobs import describe_evacuated_hall, describe_hall_block
from pumicespur.schema.jobs_pb import StepRecord
from tests.test_evacuated_placement import A, B, evacuate, worker
from tests.test_jobs import make_pool, make_record, run_all, submit


class EvacuatedHallReportTest(unittest.TestCase):
    """What still runs in a hall."""

    def setUp(self) -> None:
        self.pool = make_pool(worker("a", A), worker("b", B))

    def test_the_last_expected_end_is_told(self) -> None:
        submit(self.pool, make_record(StepRecord(count=4, cpu_millis=500, estimated_ms=800)))
        for number, task in enumerate(run_all(self.pool)):
            task.started_at = 10.0 + number
        # The workers are filled one after the other, so hall A has the first two tasks.
        told = describe_evacuated_hall(self.pool, A, 10.3)
        self.assertEqual({"tasks": 2, "long_running_tasks": 0, "last_end_in_s": 1.5}, told)

    def test_a_task_that_is_late_may_end_at_any_time(self) -> None:
        submit(self.pool, make_record(StepRecord(count=1, cpu_millis=500, estimated_ms=800)))
        run_all(self.pool)[0].started_at = 10.0
        self.assertEqual(0.0, describe_evacuated_hall(self.pool, A, 20.0)["last_end_in_s"])

    def test_an_empty_hall_has_nothing_left(self) -> None:
        self.assertEqual({}, describe_evacuated_hall(self.pool, A, 10.0))


class HallBlockTest(unittest.TestCase):
    """Whether a job's tasks wait for another hall."""

    def setUp(self) -> None:
        self.pool = make_pool(worker("a", A), worker("b", B))
        self.job = submit(self.pool, make_record(StepRecord(count=3, cpu_millis=1000)))

    def told(self) -> dict[str, object]:
        return describe_hall_block(self.pool, self.job, 0.0, 0.0)

    def test_tasks_that_only_evacuated_workers_could_take_are_counted(self) -> None:
        evacuate(self.pool, A)
        run_all(self.pool)
        expected = {"tasks": 2, "evacuated_halls": [A]}
        self.assertEqual({"waits_for_another_hall": expected}, self.told())

    def test_tasks_that_can_start_elsewhere_do_not_wait_for_it(self) -> None:
        evacuate(self.pool, A)
        self.assertEqual({}, self.told())

    def test_tasks_for_which_the_hall_has_no_capacity_do_not_wait_for_it(self) -> None:
        run_all(self.pool)
        evacuate(self.pool, A)
        self.assertEqual({}, self.told())

    def test_nothing_is_told_without_an_evacuation(self) -> None:
        run_all(self.pool)
        self.assertEqual({}, self.told())


class StatusTest(unittest.IsolatedAsyncioTestCase):
    """What `pumicespur status --node` prints."""

    async def printed(self, state: dict[str, Any]) -> list[str]:
        output = io.StringIO()
        with (
            patch.object(status_command, "_fetch", AsyncMock(return_value=state)),
            contextlib.redirect_stdout(output),
        ):
            await status_command.node_status("http://node", as_json=False)
        return output.getvalue().splitlines()

    async def test_a_node_that_follows_none_does_not_claim_that_there_are_none(self) -> None:
        states: list[dict[str, Any]] = [{}, {"evacuations": {"age_s": None, "halls": {}}}]
        for state in states:
            (line,) = await self.printed(state)
            self.assertIn("does not follow evacuations", line)

    async def test_a_hall_without_tasks_is_shown(self) -> None:
        halls = {"a": {"since_version": 7, "pools": {"main": {}}}}
        lines = await self.printed({"evacuations": {"age_s": 0.2, "halls": halls}})
        self.assertEqual(["a", "7", "-", "0", "0", "-"], lines[-1].split())


class ExplainEvacuationTest(unittest.TestCase):
    """Evacuations among the log lines about a job."""

    def lines(self, *events: tuple[float, str, str]) -> list[LogLine]:
        return [
            LogLine(time, "node-1", event, {"hall": hall, "event": event})
            for time, event, hall in events
        ]

    def test_those_in_force_during_the_job_are_shown(self) -> None:
        job = [
            LogLine(time, "node-1", event, {"job": "j", "pool": "main"})
            for time, event in ((10.0, "job accepted"), (20.0, "job ended"))
        ]
        others = self.lines(
            (1.0, "evacuation in force", "a"),
            (2.0, "evacuation over", "a"),
            (3.0, "evacuation in force", "b"),
            (12.0, "evacuation over", "b"),
            (13.0, "evacuation in force", "c"),
            (21.0, "evacuation over", "c"),
        )
        found = select_lines("j", [*job, *others])
        self.assertEqual([3.0, 10.0, 12.0, 13.0, 20.0], [line.time for line in found])

"""Tests of the soak itself, and its seeds that once failed, played again."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import unittest
from pathlib import Path
from typing import cast

from soak._callers import Caller, Exchange, JobKind, SentJob
from soak._checker import CAPACITY_UPDATE_TIMEOUT_S, MAX_CRASHING_STARTS, Checker
from soak._faults import Injector
from soak._plan import Deployment, Plan, draw_plan, load_plan, save_plan
from soak._run import run_plan
from soak._world import SoakWorld
from standins.hosted import NODE_MODULE, WORKER_CPU, Link, Passage, Run
from tests.base import quiet_loop

REGRESSIONS = Path(__file__).parent.parent / "soak" / "regressions"
CI_SEEDS = (2, 3)
CI_LENGTH_S = 4.0
JOB = "0" * 16
TASK = f"{JOB}.0.0.0"


class PlanTest(unittest.TestCase):
    """Plans can be drawn, kept and played again."""

    def test_seed_gives_the_same_plan_again(self) -> None:
        self.assertEqual(draw_plan(7, 10, Deployment()), draw_plan(7, 10, Deployment()))

    def test_kept_plan_is_read_unchanged(self) -> None:
        plan = draw_plan(8, 10, Deployment())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "plan.json"
            save_plan(plan, path)
            self.assertEqual(plan, load_plan(path))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """The loopback proxy."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.link = Link(lambda: f"{host}:{port}")
        await self.link.listen()
        host, _, link_port = self.link.address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(link_port))

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.link.close()
        await self.echoed
        self.server.close()

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.echoed = asyncio.create_task(self.echo(reader, writer))

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.received = asyncio.Event()
        # A link that is reset breaks this connection as well.
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(100):
                self.received.set()
                writer.write(data)
                await writer.drain()
        writer.close()

    async def test_held_bytes_arrive_once_the_link_is_whole(self) -> None:
        self.link.let_pass(Passage.NOTHING)
        self.writer.write(b"held")
        self.link.let_pass(Passage.BOTH_WAYS)
        self.assertEqual(b"held", await self.reader.readexactly(4))

    async def test_one_way_carries_requests_and_no_answers(self) -> None:
        self.writer.write(b"first")
        await self.reader.readexactly(5)
        self.link.let_pass(Passage.REQUESTS_ONLY)
        self.received.clear()
        self.writer.write(b"second")
        await self.received.wait()
        self.link.let_pass(Passage.BOTH_WAYS)
        self.assertEqual(b"second", await self.reader.readexactly(6))

    async def test_reset_breaks_connections(self) -> None:
        self.writer.write(b"first")
        await self.reader.readexactly(5)
        self.link.reset()
        with self.assertRaises(ConnectionError):
            if await self.reader.read(1) == b"":
                raise ConnectionResetError


class CheckerTest(unittest.IsolatedAsyncioTestCase):
    """Histories that break a promise are found."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = SoakWorld(NODE_MODULE)
        self.job = SentJob(JOB, JobKind.SHORT, [{"count": 1}])
        for number in range(100):
            self.world.rooms[f"w-{number}"] = [(0.0, WORKER_CPU)]
        self.see("POST", 200)
        caller = cast(
            "Caller",
            type("OneJob", (), {"jobs": [self.job], "route_probes": [], "key_probes": []})(),
        )
        self.checker = Checker(self.world, [caller], Injector(self.world))

    async def asyncTearDown(self) -> None:
        self.world.nodes.close()

    def see(self, method: str, status: int, state: str = "") -> None:
        now = float(len(self.job.exchanges) + 1)
        path = f"/quick/{JOB}"
        self.job.exchanges.append(Exchange(method, path, "node", 1, now, now, status, state))

    def ran(self, number: int, started_at: float, ended_at: float | None, how: str) -> Run:
        run = Run(TASK, number, f"w-{number}", "short", "", 1, started_at, ended_at, how)
        self.world.history.append(run)
        return run

    def found(self) -> set[str]:
        self.checker.check()
        return {finding.promise for finding in self.checker.findings}

    def test_sound_history(self) -> None:
        self.ran(1, 1.0, 2.0, "failed")
        self.ran(2, 3.0, 4.0, "done").acknowledged_at = 4.1
        self.see("GET", 200, "completed")
        self.assertEqual(set(), self.found())

    def test_two_runs_at_once(self) -> None:
        self.ran(1, 1.0, None, "")
        self.ran(2, 3.0, None, "")
        self.assertIn("no task runs twice at once", self.found())

    def test_run_after_a_confirmed_end(self) -> None:
        self.ran(1, 1.0, 2.0, "done").acknowledged_at = 5.0
        self.ran(2, 3.0, 4.0, "done")
        self.assertIn("a task that is done does not run again", self.found())

    def test_refused_job_that_runs(self) -> None:
        self.job.exchanges.clear()
        self.see("POST", 503)
        self.ran(1, 1.0, 2.0, "done")
        self.assertIn("a refused job does not run", self.found())

    def test_completed_without_an_end(self) -> None:
        self.see("GET", 200, "completed")
        self.assertIn("a completed job has ended", self.found())

    def test_accepted_job_that_is_not_known(self) -> None:
        self.see("GET", 410)
        self.assertIn("an accepted job is known", self.found())

    def test_start_on_a_worker_whose_room_has_shrunk(self) -> None:
        self.world.rooms["w-1"] = [(0.0, 4000), (10.0, 500)]
        self.ran(1, 9.0, 20.0, "done")
        beside = Run(
            f"{JOB}.0.0.1",
            1,
            "w-1",
            "short",
            "",
            1,
            10.0 + CAPACITY_UPDATE_TIMEOUT_S / 2,
            20.0,
            "done",
        )
        self.world.history.append(beside)
        self.assertNotIn("no start brings a worker over its room", self.found())
        beside.started_at = 10.0 + 2 * CAPACITY_UPDATE_TIMEOUT_S
        self.assertIn("no start brings a worker over its room", self.found())

    def test_crashing_task_that_is_started_on_and_on(self) -> None:
        self.job.kind = JobKind.CRASHING
        for number in range(MAX_CRASHING_STARTS):
            self.ran(number, float(number), number + 0.1, "gone")
        self.assertNotIn("a task that brings workers down is given up", self.found())
        self.ran(99, 99.0, 99.1, "gone")
        self.assertIn("a task that brings workers down is given up", self.found())

    def test_job_that_is_given_up_for_its_neighbour(self) -> None:
        self.ran(1, 1.0, 1.1, "gone")
        self.see("GET", 200, "failed")
        self.assertIn("a failed job has used its attempts", self.found())


class PlayTest(unittest.IsolatedAsyncioTestCase):
    """Real processes under faults."""

    async def asyncSetUp(self) -> None:
        quiet_loop()

    async def hold(self, plans: list[Plan]) -> None:
        with tempfile.TemporaryDirectory() as keep:
            outcomes = await asyncio.gather(*(run_plan(plan, Path(keep)) for plan in plans))
        for outcome in outcomes:
            self.assertEqual([], outcome.findings, f"seed {outcome.plan.seed}")
            self.assertGreater(outcome.runs, 0)

    async def test_seeds_that_once_failed(self) -> None:
        await self.hold([load_plan(path) for path in sorted(REGRESSIONS.glob("*.json"))])

    async def test_short_seeded_runs(self) -> None:
        await self.hold([draw_plan(seed, CI_LENGTH_S, Deployment()) for seed in CI_SEEDS])

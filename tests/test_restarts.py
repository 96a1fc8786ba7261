"""Workers that restart under the same name.

These tests guard against completed tasks that run a second time after a takeover, and long-running
tasks that are lost for good while half of the pool is idle.

A worker crashes and is back within a second under its name and address. If its owner identifies
workers by name alone, it assumes that only a connection broke: lost runs stay counted as running,
and the ends of the next runs, which are numbered from one again, are acknowledged unread. The log
then shows `worker reachable` with a clock that went back by more than an hour, an end with a number
that had been acknowledged, no `task ended`, and stops of the task as stalled for as long as the
owner lives.
"""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from pumicespur.jobs import PoolOwner
from pumicespur.jobs._worker_load import WorkerLoad
from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._restarts import Restarts
from pumicespur.model import Configuration, PoolSettings, WorkerName, worker_id
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.utils import now_ms
from pumicespur.view import FleetView
from tests.test_jobs import POOL, make_worker
from tests.test_node import STEP, NodeCase, job_id

LONE = {**STEP, "count": 1}
LONG_RUNNING: dict[str, Any] = {**LONE, "longRunning": True}

JOBS_BEFORE_RESTART = 4
"""Jobs that end before the restart; the next incarnation lists fewer ends at first."""

ENTRY_DELAY_S = 0.6
"""By how much the entry of a new incarnation comes late or, negated, early."""


class RestartCase(NodeCase):
    """Long-running tasks, one on each worker."""

    async def run_long_tasks(self, count: int) -> str:
        """Start long-running tasks; return their job."""
        step = {**LONG_RUNNING, "count": count, "antiAffinity": 1}
        await self.world.submit(self.node, job_id(700), [step], payload="lasts")
        await self.world.wait_for(lambda: self.count_running() == count, "the tasks run")
        await asyncio.sleep(0.3)
        return job_id(700)

    def count_running(self) -> int:
        return sum(1 for run in self.world.history if run.ended_at is None)

    async def check_running_again(self, count: int) -> None:
        """Check that all tasks run again, without two concurrent runs of a task."""
        await self.world.wait_for(lambda: self.count_running() == count, "the tasks run again")
        await asyncio.sleep(1.0)
        self.assertEqual(count, self.count_running())
        self.assertEqual([], self.world.overlaps())


class RestartTest(RestartCase):
    """One worker, which crashes and restarts while its owner lives."""

    workers = 1

    async def test_a_long_running_task_runs_on_the_next_incarnation(self) -> None:
        await self.run_long_tasks(1)
        await self.world.restart_worker("m-0", down_s=0.2)
        await self.world.wait_for(lambda: len(self.world.history) == 2, "it runs once more")
        self.assertEqual("gone", self.world.history[0].how)
        await self.check_running_again(1)

    async def test_the_entry_may_show_the_next_incarnation_before_its_status(self) -> None:
        await self.run_long_tasks(1)
        await self.world.restart_worker("m-0", late_s=-ENTRY_DELAY_S)
        await self.check_running_again(1)

    async def test_the_entry_may_show_the_next_incarnation_after_its_status(self) -> None:
        await self.run_long_tasks(1)
        await self.world.restart_worker("m-0", late_s=ENTRY_DELAY_S)
        await self.check_running_again(1)

    async def test_restarts_may_follow_each_other_faster_than_entries(self) -> None:
        await self.run_long_tasks(1)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(3):
                tasks.create_task(self.world.restart_worker("m-0", late_s=ENTRY_DELAY_S))
                await asyncio.sleep(ENTRY_DELAY_S / 2)
        await self.check_running_again(1)

    async def test_a_start_that_the_next_incarnation_executes_late_is_not_repeated(self) -> None:
        worker = self.world.workers["m-0"]
        worker.faults.late_starts_s = 0.5
        await self.world.submit(self.node, job_id(701), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(
            lambda: "start ordered" in self.log() or self.has_progress(), "a start"
        )
        await asyncio.sleep(0.1)
        await self.world.restart_worker("m-0")
        await self.check_running_again(1)

    def has_progress(self) -> bool:
        return bool(self.world.store.value(("progress", "main", job_id(701))))

    def log(self) -> str:
        return self.node.log.read_text()


class LateOrderTest(RestartCase):
    """A start is revoked on one incarnation and arrives late at the next one."""

    workers = 1

    async def test_the_next_incarnation_refuses_it_too(self) -> None:
        worker = self.world.workers["m-0"]
        worker.faults.late_starts_s = 3.0
        worker.faults.late_starts_ignore_stops = True
        await self.world.submit(self.node, job_id(702), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: bool(worker.final_runs), "the start is revoked")
        self.world.resize_worker("m-0", LONE["cpu"] // 2)
        await self.world.add_worker("m-1")
        await self.world.wait_for(lambda: self.count_running() == 1, "it runs elsewhere")
        await self.world.restart_worker("m-0")
        await asyncio.sleep(3.0)
        await self.check_running_again(1)


class RackRestartTest(RestartCase):
    """Workers of one rack, which restart at the same time."""

    workers = 4

    async def test_tasks_of_the_rack_run_again(self) -> None:
        await self.run_long_tasks(4)
        async with asyncio.TaskGroup() as tasks:
            for name in ("m-0", "m-2"):
                tasks.create_task(self.world.restart_worker(name, down_s=0.1))
        await self.check_running_again(4)


class RestartAndTakeoverTest(RestartCase):
    """Workers restart during a takeover or while no process runs."""

    workers = 2
    nodes = 2

    async def test_with_the_owner_killed(self) -> None:
        await self.run_long_tasks(2)
        owner = next(n for n in self.started if n.name == self.world.owner())
        owner.process.kill()
        await self.world.restart_worker("m-0", down_s=0.1)
        await self.check_running_again(2)

    async def test_with_all_processes_killed(self) -> None:
        await self.run_long_tasks(2)
        for node in self.started:
            node.process.kill()
        for name in ("m-0", "m-1"):
            await self.world.restart_worker(name)
        self.started += [self.world.start_node(f"again-{n}") for n in range(2)]
        await self.check_running_again(2)


class UnreachableRestartTest(RestartCase):
    """A worker restarts while it is unreachable."""

    workers = 2

    async def test_tasks_run_again(self) -> None:
        await self.run_long_tasks(2)
        self.world.workers["m-0"].faults.silent = True
        await asyncio.sleep(0.2)
        await self.world.restart_worker("m-0", late_s=ENTRY_DELAY_S)
        await self.check_running_again(2)


class RestartedEndTest(NodeCase):
    """The ends of the next incarnation are processed before they are acknowledged."""

    workers = 1

    async def test_a_task_completed_on_the_next_incarnation_is_not_run_again(self) -> None:
        for number in range(JOBS_BEFORE_RESTART):
            await self.world.submit(self.node, job_id(710 + number), [LONE])
            await self.world.wait_state(self.node, job_id(710 + number), "completed")
        await self.world.restart_worker("m-0", down_s=0.2)
        await asyncio.sleep(0.5)
        await self.world.submit(self.node, job_id(720), [LONE])
        await self.world.wait_for(
            lambda: any(r.task.startswith(job_id(720)) and r.ended_at for r in self.world.history),
            "the task ends on the next incarnation",
        )
        await asyncio.sleep(0.5)
        self.node.process.kill()
        self.node.process.wait()
        self.started.append(self.world.start_node("node-next"))
        await self.world.wait_state(self.started[-1], job_id(720), "completed")
        self.assertEqual([], self.world.overlaps())


class EndedIncarnationsTest(unittest.TestCase):
    """Which incarnations have ended, and for how long their orders may take effect."""

    def setUp(self) -> None:
        self.settings = WorkerSettings(longest_lease_ms=10_000, clock_drift=0.0, call_timeout_s=0.5)
        self.restarts = Restarts(self.settings, EarlierLeases(100.0))
        self.incarnations = [
            make_worker(worker_id(WorkerName("w"), started_ms)) for started_ms in (1, now_ms())
        ]

    def test_entries_of_ended_incarnations_are_ignored(self) -> None:
        previous, current = self.incarnations
        self.restarts.note_ended(previous.id, 200.0, leased=True)
        listed = {worker.id: worker for worker in self.incarnations}
        self.assertEqual([current], self.restarts.current_incarnations(listed))

    def test_an_old_entry_does_not_end_the_current_incarnation(self) -> None:
        previous, current = self.incarnations
        self.restarts.note_ended(previous.id, 200.0, leased=True)
        pools = {POOL: PoolSettings(POOL, True, False)}
        view = FleetView(Configuration(1, {}, pools), workers={previous.name: previous})
        owner: Any = SimpleNamespace(view=view, restarts=self.restarts)
        watch: Any = SimpleNamespace(id=current.id, load=WorkerLoad(current))
        self.assertFalse(PoolOwner._has_next_incarnation(owner, watch))
        newer = make_worker(worker_id(previous.name, 10**13))
        view.workers = {newer.name: newer}
        self.assertTrue(PoolOwner._has_next_incarnation(owner, watch))

    def test_a_next_incarnation_may_hold_a_lease_of_maximum_length(self) -> None:
        previous, current = self.incarnations
        self.assertEqual(100.0, self.restarts.unknown_leases(current, 200.0).until)
        self.restarts.note_ended(previous.id, 200.0, leased=True)
        self.assertEqual(210.5, self.restarts.unknown_leases(current, 200.0).until)

    def test_a_next_incarnation_that_no_deadline_reached_holds_no_lease(self) -> None:
        previous, current = self.incarnations
        self.restarts.note_ended(previous.id, 200.0, leased=False)
        self.assertEqual(100.0, self.restarts.unknown_leases(current, 200.0).until)

    def test_a_recent_incarnation_may_hold_a_lease_of_an_earlier_owner(self) -> None:
        previous, current = self.incarnations
        self.assertEqual(100.0, self.restarts.unknown_leases(previous, 50.0).until)
        self.assertEqual(100.0, self.restarts.unknown_leases(current, 50.0).until)
        self.assertEqual(105.5, self.restarts.unknown_leases(current, 95.0).until)

    def test_unconfirmed_starts_of_a_worker_that_does_not_return_expire(self) -> None:
        previous, _ = self.incarnations
        self.restarts.note_ended(previous.id, 200.0, leased=True)
        self.assertEqual(set(), self.restarts.take_expired(209.0))
        self.assertEqual({previous.id}, self.restarts.take_expired(210.5))
        self.assertEqual(set(), self.restarts.take_expired(230.0))

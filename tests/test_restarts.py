"""Workers that start again under the id that they had.

What users saw: tasks that had ended well were done once more when their pool got its next owner,
and tasks that are to last were gone for good, with half of the pool idle.

In order: a worker crashes and is back within a second, under its id and at its address; its owner
takes it for the same worker whose connection broke. Runs that went with it stay counted as
running. The ends of the runs that it is given next are numbered from one on, which its owner
counts as known and acknowledges unread.

The cause: everything kept of a worker was kept by its name alone, so that the facts of one life
went on for the next one.

The evidence: after `worker answers` the worker's clock was set back by more than an hour, its next
end came under a number that had been acknowledged, no `task ended` followed, and the task was
stopped as standing still for as long as its owner lived.
"""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from pumicespur.jobs import PoolOwner
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._load import WorkerLoad
from pumicespur.jobs._restarts import Restarts
from pumicespur.model import Configuration, PoolSettings, WorkerName, worker_id
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.utils import now_ms
from pumicespur.view import NodeView
from tests.test_jobs import POOL, make_worker
from tests.test_node import STEP, NodeCase, job_id

LONE = {**STEP, "count": 1}
LASTING: dict[str, Any] = {**LONE, "longRunning": True}

BEFORE = 4
"""Jobs that end on a worker before it starts again; its next life lists fewer ends at first."""

LATE_S = 0.6
"""By how much the entry of a new life comes late or early."""


class RestartCase(NodeCase):
    """Lasting tasks, one on each worker, and what callers and workers see of them."""

    async def lasting(self, count: int) -> str:
        """Let tasks that are to last run; return their job."""
        step = {**LASTING, "count": count, "antiAffinity": 1}
        await self.world.submit(self.node, job_id(700), [step], payload="lasts")
        await self.world.wait_for(lambda: self.at_work() == count, "the tasks run")
        await asyncio.sleep(0.3)
        return job_id(700)

    def at_work(self) -> int:
        return sum(1 for run in self.world.history if run.ended_at is None)

    async def check_back(self, count: int) -> None:
        """Check that all tasks run again, each once at a time."""
        await self.world.wait_for(lambda: self.at_work() == count, "the tasks run again")
        await asyncio.sleep(1.0)
        self.assertEqual(count, self.at_work())
        self.assertEqual([], self.world.overlaps())


class RestartTest(RestartCase):
    """One worker, which crashes and starts again while its owner lives."""

    workers = 1

    async def test_a_lasting_task_runs_on_the_next_life(self) -> None:
        await self.lasting(1)
        await self.world.restart_worker("m-0", down_s=0.2)
        await self.world.wait_for(lambda: len(self.world.history) == 2, "it runs once more")
        self.assertEqual("gone", self.world.history[0].how)
        await self.check_back(1)

    async def test_the_entry_may_tell_of_the_next_life_before_its_account(self) -> None:
        await self.lasting(1)
        await self.world.restart_worker("m-0", late_s=-LATE_S)
        await self.check_back(1)

    async def test_the_entry_may_tell_of_the_next_life_after_its_account(self) -> None:
        await self.lasting(1)
        await self.world.restart_worker("m-0", late_s=LATE_S)
        await self.check_back(1)

    async def test_lives_may_follow_each_other_faster_than_their_entries(self) -> None:
        await self.lasting(1)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(3):
                tasks.create_task(self.world.restart_worker("m-0", late_s=LATE_S))
                await asyncio.sleep(LATE_S / 2)
        await self.check_back(1)

    async def test_a_start_that_the_next_life_takes_late_is_not_ordered_twice(self) -> None:
        worker = self.world.workers["m-0"]
        worker.faults.late_starts_s = 0.5
        await self.world.submit(self.node, job_id(701), [LASTING], payload="lasts")
        await self.world.wait_for(lambda: "start ordered" in self.log() or self.asked(), "a start")
        await asyncio.sleep(0.1)
        await self.world.restart_worker("m-0")
        await self.check_back(1)

    def asked(self) -> bool:
        return bool(self.world.store.value(("progress", "main", job_id(701))))

    def log(self) -> str:
        return self.node.log.read_text()


class LateOrderTest(RestartCase):
    """A start that a stop has kept from one life is done late, by the next one."""

    workers = 1

    async def test_the_next_life_is_kept_from_it_too(self) -> None:
        worker = self.world.workers["m-0"]
        worker.faults.late_starts_s = 3.0
        worker.faults.late_starts_ignore_stops = True
        await self.world.submit(self.node, job_id(702), [LASTING], payload="lasts")
        await self.world.wait_for(lambda: bool(worker.refused), "the start is barred")
        self.world.resize_worker("m-0", LONE["cpu"] // 2)
        await self.world.add_worker("m-1")
        await self.world.wait_for(lambda: self.at_work() == 1, "it runs elsewhere")
        await self.world.restart_worker("m-0")
        await asyncio.sleep(3.0)
        await self.check_back(1)


class RackRestartTest(RestartCase):
    """Workers of one rack, which start again at one time."""

    workers = 4

    async def test_what_ran_on_the_rack_runs_again(self) -> None:
        await self.lasting(4)
        async with asyncio.TaskGroup() as tasks:
            for name in ("m-0", "m-2"):
                tasks.create_task(self.world.restart_worker(name, down_s=0.1))
        await self.check_back(4)


class RestartAndTakeoverTest(RestartCase):
    """Workers start again while their pool gets another owner, or every process is gone."""

    workers = 2
    nodes = 2

    async def test_with_the_owner_killed(self) -> None:
        await self.lasting(2)
        owner = next(n for n in self.started if n.name == self.world.owner())
        owner.process.kill()
        await self.world.restart_worker("m-0", down_s=0.1)
        await self.check_back(2)

    async def test_with_all_processes_killed(self) -> None:
        await self.lasting(2)
        for node in self.started:
            node.process.kill()
        for name in ("m-0", "m-1"):
            await self.world.restart_worker(name)
        self.started += [self.world.start_node(f"again-{n}") for n in range(2)]
        await self.check_back(2)


class RestartUnheardTest(RestartCase):
    """A worker that nobody reaches starts again."""

    workers = 2

    async def test_behind_a_cut(self) -> None:
        await self.lasting(2)
        self.world.workers["m-0"].faults.silent = True
        await asyncio.sleep(0.2)
        await self.world.restart_worker("m-0", late_s=LATE_S)
        await self.check_back(2)


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


class LivesOverTest(unittest.TestCase):
    """Which lives an owner takes for over, and for how long it reckons with orders for them."""

    def setUp(self) -> None:
        self.settings = WorkerSettings(longest_lease_ms=10_000, clock_drift=0.0, call_timeout_s=0.5)
        self.restarts = Restarts(self.settings, EarlierLeases(100.0))
        self.lives = [make_worker(worker_id(WorkerName("w"), born)) for born in (1, now_ms())]

    def test_an_entry_of_a_life_that_is_over_is_out_of_date(self) -> None:
        before, after = self.lives
        self.restarts.note(before.id, 200.0, leased=True)
        listed = {worker.id: worker for worker in self.lives}
        self.assertEqual([after], self.restarts.living(listed))

    def test_an_entry_of_before_ends_no_life(self) -> None:
        before, after = self.lives
        self.restarts.note(before.id, 200.0, leased=True)
        pools = {POOL: PoolSettings(POOL, True, False)}
        view = NodeView(Configuration(1, {}, pools), workers={before.name: before})
        owner: Any = SimpleNamespace(view=view, restarts=self.restarts)
        watch: Any = SimpleNamespace(id=after.id, load=WorkerLoad(after))
        self.assertFalse(PoolOwner._has_next_life(owner, watch))
        newer = make_worker(worker_id(before.name, 10**13))
        view.workers = {newer.name: newer}
        self.assertTrue(PoolOwner._has_next_life(owner, watch))

    def test_a_next_life_may_hold_a_lease_as_long_as_any(self) -> None:
        before, after = self.lives
        self.assertEqual(100.0, self.restarts.leases_of(after, 200.0).until)
        self.restarts.note(before.id, 200.0, leased=True)
        self.assertEqual(210.5, self.restarts.leases_of(after, 200.0).until)

    def test_a_next_life_that_no_deadline_reached_holds_none(self) -> None:
        before, after = self.lives
        self.restarts.note(before.id, 200.0, leased=False)
        self.assertEqual(100.0, self.restarts.leases_of(after, 200.0).until)

    def test_a_young_life_may_too_where_an_earlier_owner_dealt_with_the_worker(self) -> None:
        before, after = self.lives
        self.assertEqual(100.0, self.restarts.leases_of(before, 50.0).until)
        self.assertEqual(100.0, self.restarts.leases_of(after, 50.0).until)
        self.assertEqual(105.5, self.restarts.leases_of(after, 95.0).until)

    def test_open_starts_of_a_worker_that_does_not_come_back_are_outwaited(self) -> None:
        before, _ = self.lives
        self.restarts.note(before.id, 200.0, leased=True)
        self.assertEqual(set(), self.restarts.take_outwaited(209.0))
        self.assertEqual({before.id}, self.restarts.take_outwaited(210.5))
        self.assertEqual(set(), self.restarts.take_outwaited(230.0))

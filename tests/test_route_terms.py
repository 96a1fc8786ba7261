"""What a route promised a job holds for every later owner of the pool."""

from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from pumicespur.jobs.submissions import terms_of
from pumicespur.model import (
    AdviceSettings,
    Configuration,
    EndedRun,
    PoolSettings,
    Route,
    RunEnd,
    WorkerId,
)
from pumicespur.schema.jobs_pb import JobPhase, ProgressRecord, StepRecord
from standins.hosted import FAILS_TWICE_PAYLOAD, MAX_ATTEMPTS
from tests.test_jobs import POOL, ROUTE, make_pool, make_record, make_worker
from tests.test_node import LONG_RUNNING, STEP, NodeCase, job_id

if TYPE_CHECKING:
    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState

KEY = "key-of-a"
SEEDS = (1, 2, 3)
MAX_PAUSE_S = 0.6
TASK_S = 0.4
"""Longer than a process takes to notice a configuration, so that runs end under the next owner."""

OBSERVED_S = 2.5
"""Time for a takeover and the rounds that follow."""


def make_configuration(*routes: Route) -> Configuration:
    """Make a configuration with the given routes."""
    pool = PoolSettings(POOL, has_admission_check=True, spare=False)
    return Configuration(2, {route.name: route for route in routes}, {POOL: pool})


class OtherConfigurationTest(unittest.TestCase):
    """An owner takes a job in under a configuration that lacks its route, or declares another."""

    def setUp(self) -> None:
        self.record = make_record(StepRecord(count=1, cpu_millis=1, estimated_ms=1000))
        self.record.terms = terms_of(replace(ROUTE, max_attempts=3, stretch=2.0, priority=1))

    def take_in(self, configuration: Configuration, before: Job | None = None) -> PoolState:
        pool = make_pool(make_worker("w-1"), make_worker("w-2"), make_worker("w-3"))
        stored = b"" if before is None else before.progress(0).to_binary()
        progress = ProgressRecord.from_binary(stored) if stored else None
        pool.add_job(self.record, configuration, progress)
        return pool

    def fail_once(self, pool: PoolState) -> Job:
        """Let the job's only task run and fail."""
        (task,) = pool.place(0.0, 0.0)
        worker = WorkerId(str(task.worker))
        pool.note_end(worker, EndedRun(1, task.name, task.run, RunEnd.FAILED, ""), 0.0)
        return task.job

    def test_attempts_are_those_of_the_route_at_acceptance_over_takeovers(self) -> None:
        # A job was shown as failed after one failed run of three.
        away = make_configuration()
        fewer = make_configuration(replace(ROUTE, max_attempts=1))
        for configurations in ((away, away, away), (fewer, fewer, fewer), (away, fewer, away)):
            job = None
            phases = []
            for configuration in configurations:
                job = self.fail_once(self.take_in(configuration, job))
                phases.append(job.phase)
            expected = [JobPhase.RUNNING, JobPhase.RUNNING, JobPhase.FAILED]
            self.assertEqual(expected, phases)

    def test_deadline_and_priority_are_those_at_acceptance(self) -> None:
        known = self.take_in(make_configuration(ROUTE)).jobs.values()
        unknown = self.take_in(make_configuration()).jobs.values()
        for job in (*known, *unknown):
            deadline_ms = ROUTE.latency_objective_s * 1000 + 2.0 * 1000
            self.assertEqual((deadline_ms, 1), (job.deadline_ms, job.priority))

    def test_tickets_are_needed_as_the_operators_declare_at_present(self) -> None:
        # Workers refuse starts without a ticket from then on.
        pool = self.take_in(make_configuration(ROUTE))
        (job,) = pool.jobs.values()
        advised = make_configuration(replace(ROUTE, advice=AdviceSettings(valid_s=1.0)))
        pool.apply_configuration(replace(advised, version=3))
        self.assertTrue(job.needs_tickets)
        pool.apply_configuration(replace(make_configuration(), version=4))
        self.assertTrue(job.needs_tickets)
        pool.apply_configuration(replace(make_configuration(ROUTE), version=5))
        self.assertFalse(job.needs_tickets)


class RouteAwayTest(NodeCase):
    """A route is taken out and comes back with other values while the pool's owner changes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for worker in self.world.workers.values():
            worker.task_s = TASK_S

    async def test_a_job_keeps_the_attempts_that_it_was_accepted_with(self) -> None:
        # An owner that took the job in without its route gave it up after one failed run of three.
        for seed in SEEDS:
            await self.play(seed)

    async def play(self, seed: int) -> None:
        source = random.Random(seed)
        job = job_id(seed)
        self.assertEqual(200, await self.world.submit(self.node, job, [STEP], FAILS_TWICE_PAYLOAD))
        self.world.configure(self.world.version + 1, ("other",))
        await asyncio.sleep(source.uniform(0.1, MAX_PAUSE_S))
        self.node.process.kill()
        self.node.process.wait()
        name = source.choice([self.node.name, f"fresh-{seed}"])
        self.node = self.world.start_node(name)
        self.started.append(self.node)
        await self.world.wait_ready(self.node)
        await asyncio.sleep(source.uniform(0.0, MAX_PAUSE_S))
        attempts = source.choice([1, MAX_ATTEMPTS])
        self.world.configure(self.world.version + 1, ("quick", "other"), maxAttempts=attempts)
        await self.world.wait_state(self.node, job, "completed")
        failed = [r for r in self.world.history if r.task.startswith(job) and r.how == "failed"]
        self.assertGreaterEqual(len(failed), STEP["count"], f"seed {seed}")


class AccountRemovedTest(NodeCase):
    """An account with open jobs is removed from the configuration, then the owner changes."""

    async def test_its_last_limit_holds_at_a_process_that_never_saw_it(self) -> None:
        # All waiting tasks of the account started at once.
        self.world.set_account("a", KEY, cpu=2 * LONG_RUNNING["cpu"])
        self.world.set_account("b", f"{KEY}-of-b")
        self.world.configure(2)
        job = {"taskSpec": "lasts", "steps": [{**LONG_RUNNING, "count": 6}]}
        status = 0
        while status != 200:
            status, _ = await self.world.call(self.node, "POST", f"/quick/{job_id(1)}", job, KEY)
        await self.world.wait_for(lambda: len(self.world.history) == 2, "two tasks run")
        self.world.accounts = [a for a in self.world.accounts if a["name"] != "a"]
        self.world.configure(3)
        self.node.process.kill()
        self.node.process.wait()
        self.node = self.world.start_node("fresh")
        self.started.append(self.node)
        await self.world.wait_ready(self.node)
        await asyncio.sleep(OBSERVED_S)
        running = [run for run in self.world.history if run.ended_at is None]
        self.assertEqual(2, len(running))

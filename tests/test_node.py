"""Tests of the role `node` with real processes against a stand-in of the users' platform."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import unittest
from typing import Any

from pumicespur.schema.jobs_pb import HeartbeatRecord
from standins.hosted import NODE_MODULE, TICKET_VALIDITY_MS, World
from tests.base import quiet_loop

STEP = {"count": 3, "cpu": 500, "memMb": 100, "estimatedMs": 50}
LONG_RUNNING = {"count": 2, "cpu": 500, "memMb": 100, "longRunning": True, "may_miss": 1}


def job_id(number: int) -> str:
    """Make a job id."""
    return f"{number:016x}"


LATE_WRITE_S = 5.0
"""Delay of a late write, longer than a submission's caller waits."""

REFUSAL_TIMEOUT_S = 20.0
"""Time limit for a node to refuse requests at once while the store is silent."""


class NodeCase(unittest.IsolatedAsyncioTestCase):
    """Tests that each run in a platform stand-in of their own."""

    nodes = 1
    workers = 3
    module = NODE_MODULE

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = World()
        self.world.node_module = self.module
        await self.world.open()
        self.addAsyncCleanup(self.world.close)
        for number in range(self.workers):
            await self.world.add_worker(f"m-{number}", f"r1-{number % 2}")
        self.started = [self.world.start_node(f"node-{n}") for n in range(self.nodes)]
        for node in self.started:
            await self.world.wait_ready(node)
        self.node = self.started[0]

    async def asyncTearDown(self) -> None:
        for node in self.started:
            text = node.log.read_text()
            self.assertFalse("Traceback" in text, text[-2500:])


class JobPathTest(NodeCase):
    """A job from submission to end, by one node."""

    async def test_steps_run_in_order_and_once(self) -> None:
        steps: list[dict[str, Any]] = [STEP, {**STEP, "dependsOn": [0]}]
        self.assertEqual(200, await self.world.submit(self.node, job_id(1), steps))
        await self.world.wait_state(self.node, job_id(1), "completed")
        runs = self.world.history
        self.assertEqual(6, len(runs))
        self.assertEqual([], self.world.overlaps())
        first = [r.ended_at for r in runs if r.task.split(".")[2] == "0"]
        second = [r.started_at for r in runs if r.task.split(".")[2] == "1"]
        self.assertLess(max(at or 0 for at in first), min(second))

    async def test_repeated_id_stays_one_job(self) -> None:
        for _ in range(2):
            self.assertEqual(200, await self.world.submit(self.node, job_id(2), [STEP]))
        await self.world.wait_state(self.node, job_id(2), "completed")
        self.assertEqual(200, await self.world.submit(self.node, job_id(2), [STEP]))
        await asyncio.sleep(0.3)
        self.assertEqual(3, len(self.world.history))

    async def test_unknown_job_and_route(self) -> None:
        self.assertEqual("410", await self.world.state(self.node, job_id(3)))
        status, _ = await self.world.call(self.node, "GET", "/nowhere/")
        self.assertEqual(404, status)

    async def test_refusal_of_a_bad_job_names_the_field(self) -> None:
        steps = [STEP, {**STEP, "dependsOn": [4]}]
        body = {"taskSpec": "", "steps": steps}
        status, response = await self.world.call(self.node, "POST", f"/quick/{job_id(4)}", body)
        self.assertEqual(400, status)
        self.assertIn("steps[1].dependsOn", response["error"])

    async def test_job_that_always_fails_is_shown_as_failed(self) -> None:
        await self.world.submit(self.node, job_id(5), [{**STEP, "count": 1}], payload="fails")
        await self.world.wait_state(self.node, job_id(5), "failed")
        self.assertEqual(3, len(self.world.history))

    async def test_cancelled_job_is_stopped(self) -> None:
        await self.world.submit(self.node, job_id(6), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        status, _ = await self.world.call(self.node, "DELETE", f"/quick/{job_id(6)}")
        self.assertEqual(200, status)
        await self.world.wait_for(
            lambda: all(run.ended_at for run in self.world.history), "both tasks are stopped"
        )
        self.assertEqual("cancelled", await self.world.state(self.node, job_id(6)))

    async def test_waiting_jobs_are_counted(self) -> None:
        huge = {**STEP, "count": 1, "cpu": 100_000}
        await self.world.submit(self.node, job_id(7), [huge])
        counted = 0
        while counted != 1:
            _, body = await self.world.call(self.node, "GET", "/quick/")
            counted = body.get("pending", 0)
            await asyncio.sleep(0.02)


class ConfigurationTest(NodeCase):
    """Routes are added and removed while a node serves."""

    async def test_new_route_is_served_and_old_one_refused(self) -> None:
        self.world.configure(2, ("other",))
        status = 404
        while status != 200:
            status, _ = await self.world.call(self.node, "GET", "/other/")
        status, _ = await self.world.call(self.node, "GET", "/quick/")
        self.assertEqual(404, status)

    async def test_table_is_scanned_after_the_store_dropped_its_history(self) -> None:
        self.world.store.forget_history()
        self.world.configure(2, ("quick", "other"))
        self.world.store.forget_history()
        status = 404
        while status != 200:
            status, _ = await self.world.call(self.node, "GET", "/other/")


class OutdatedConfigurationTest(NodeCase):
    """A process knows that there is a newer configuration but cannot read it."""

    async def asyncSetUp(self) -> None:
        # Two processes refused new routes with 404 for seconds, although heartbeats of others
        # reported forty newer versions.
        await super().asyncSetUp()
        self.world.store.faults.refused_tables.add("op")
        self.world.configure(2, ("quick", "other"))
        heartbeat = HeartbeatRecord(process="far", incarnation="life", configuration_version=2)
        self.world.store.put(("heartbeats", "far", "newest"), heartbeat.to_binary())

    async def wait_status(self, path: str, wanted: int) -> None:
        """Request a path until the response has a status."""
        status = 0
        while status != wanted:
            status, _ = await self.world.call(self.node, "GET", path)

    async def test_requests_get_503_until_the_configuration_arrives(self) -> None:
        await self.wait_status("/other/", 503)
        self.assertEqual(503, await self.world.submit(self.node, job_id(1), [STEP]))
        self.world.store.faults.refused_tables.clear()
        await self.wait_status("/other/", 200)
        self.assertEqual("410", await self.world.state(self.node, job_id(1)))


class StoreFailureTest(NodeCase):
    """The store is unavailable, loses responses, or applies writes late."""

    async def test_store_that_refuses_calls_gives_503(self) -> None:
        self.world.store.faults.refuse_with = 503
        self.assertEqual(503, await self.world.submit(self.node, job_id(1), [STEP]))
        self.world.store.faults.refuse_with = 0
        await asyncio.sleep(0.5)
        self.assertEqual([], self.world.history)
        self.assertEqual("410", await self.world.state(self.node, job_id(1)))

    async def test_store_without_response_gives_504(self) -> None:
        self.world.store.faults.silent = True
        self.assertEqual(504, await self.world.submit(self.node, job_id(2), [STEP]))

    async def test_a_submission_is_accepted_when_the_store_returns_in_its_time(self) -> None:
        # The second write was sent into the silence, and hung until the caller's time was up: 504.
        self.world.store.faults.silent = True
        submission = asyncio.ensure_future(self.world.submit(self.node, job_id(5), [STEP]))
        await asyncio.sleep(0.8)
        self.world.store.faults.silent = False
        self.assertEqual(200, await submission)

    async def test_requests_are_refused_at_once_while_the_store_is_known_to_be_silent(self) -> None:
        # Requests were held for more than half of their callers' timeout.
        self.world.store.faults.silent = True
        status, body = 0, {"error": ""}
        until_refused = {"error": "the store does not answer; nothing was done"}
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            while body != until_refused:
                status, body = await self.world.call(self.node, "GET", f"/quick/{job_id(3)}")
        self.assertEqual(503, status)
        self.assertEqual(503, await self.world.submit(self.node, job_id(4), [STEP]))
        self.world.store.faults.silent = False
        while await self.world.state(self.node, job_id(4)) != "410":
            await asyncio.sleep(0.05)

    async def test_a_late_submission_starts_nothing_after_its_cancelling_was_answered(self) -> None:
        # The job started seconds after its caller had been told that there was no such job.
        self.world.store.faults.late_share, self.world.store.faults.late_s = 1.0, LATE_WRITE_S
        self.assertEqual(504, await self.world.submit(self.node, job_id(6), [STEP]))
        self.world.store.faults.late_share = 0.0
        status, _ = await self.world.call(self.node, "DELETE", f"/quick/{job_id(6)}")
        self.assertIn(status, (200, 410))
        await asyncio.sleep(LATE_WRITE_S)
        self.assertEqual("410", await self.world.state(self.node, job_id(6)))
        self.assertEqual(409, await self.world.submit(self.node, job_id(6), [STEP]))
        self.assertEqual(200, await self.world.submit(self.node, job_id(7), [STEP]))
        await self.world.wait_state(self.node, job_id(7), "completed")
        self.assertEqual("410", await self.world.state(self.node, job_id(6)))
        self.assertEqual({job_id(7)}, {run.task.partition(".")[0] for run in self.world.history})

    async def test_lost_responses_run_nothing_twice(self) -> None:
        self.world.store.faults.lose_share = 0.3
        accepted = [
            number
            for number in range(10, 16)
            if await self.world.submit(self.node, job_id(number), [STEP]) == 200
        ]
        self.world.store.faults.lose_share = 0.0
        for number in accepted:
            await self.world.wait_state(self.node, job_id(number), "completed")
        self.assertEqual([], self.world.overlaps())

    async def test_late_writes_run_nothing_twice(self) -> None:
        self.world.store.faults.late_share = 0.3
        accepted = [
            number
            for number in range(20, 26)
            if await self.world.submit(self.node, job_id(number), [STEP]) == 200
        ]
        self.world.store.faults.late_share = 0.0
        for number in accepted:
            await self.world.wait_state(self.node, job_id(number), "completed")
        await asyncio.sleep(1.0)
        self.assertEqual([], self.world.overlaps())

    async def test_long_running_tasks_outlive_an_outage(self) -> None:
        await self.world.submit(self.node, job_id(30), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        self.world.store.faults.refuse_with = 503
        await asyncio.sleep(1.4)
        self.world.store.faults.refuse_with = 0
        await asyncio.sleep(0.5)
        self.assertEqual([None, None], [run.ended_at for run in self.world.history])


class SilentWorkerCase(NodeCase):
    """Tests of workers that stop responding."""

    async def silence(self, name: str) -> None:
        """Silence a worker and check that exactly its tasks run once elsewhere."""
        silent = self.world.workers[name]
        lost = sorted(silent.running)
        before = len(self.world.history)
        silent.faults.silent = True
        await self.world.wait_for(
            lambda: sorted(run.task for run in self.world.history[before:]) == lost,
            "exactly its tasks run elsewhere",
        )
        self.assertNotIn(silent.id, [run.worker for run in self.world.history[before:]])
        self.assertEqual([], self.world.overlaps())


class WorkerFailureTest(SilentWorkerCase):
    """Workers crash, fall silent, and carry out orders late."""

    async def test_tasks_of_a_crashed_worker_run_elsewhere(self) -> None:
        for worker in self.world.workers.values():
            worker.task_s = 0.4
        await self.world.submit(self.node, job_id(1), [{**STEP, "count": 6}])
        await self.world.wait_for(lambda: len(self.world.history) == 6, "all tasks run")
        await self.world.crash_worker("m-0")
        await self.world.wait_state(self.node, job_id(1), "completed")
        self.assertEqual([], self.world.overlaps())

    async def test_tasks_of_a_silent_worker_run_elsewhere(self) -> None:
        await self.world.submit(self.node, job_id(2), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        await self.silence(next(n for n, w in self.world.workers.items() if w.running))

    async def test_delayed_starts_run_nothing_twice(self) -> None:
        for worker in self.world.workers.values():
            worker.faults.late_starts_s = 0.8
        await self.world.submit(self.node, job_id(3), [STEP])
        await asyncio.sleep(0.5)
        for worker in self.world.workers.values():
            worker.faults.late_starts_s = 0.0
        await self.world.wait_state(self.node, job_id(3), "completed")
        await asyncio.sleep(1.0)
        self.assertEqual([], self.world.overlaps())

    async def test_draining_worker_gets_nothing_new(self) -> None:
        worker = self.world.workers["m-0"]
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        await self.world.wait_for(
            lambda: '"worker reachable"' in self.node.log.read_text(), "workers are watched"
        )
        self.world.drain_worker("m-0")
        await self.world.wait_for(
            lambda: '"worker drains"' in self.node.log.read_text(), "the owner knows of the drain"
        )
        await self.world.submit(self.node, job_id(4), [{**STEP, "count": 6}])
        await self.world.wait_state(self.node, job_id(4), "completed")
        self.assertNotIn(worker.id, {run.worker for run in self.world.history})


class SilentOnlyWorkerTest(SilentWorkerCase):
    """All tasks are on a worker that falls silent; a worker that joins takes them over."""

    workers = 1

    async def test_tasks_of_a_silent_worker_run_elsewhere(self) -> None:
        await self.world.submit(self.node, job_id(2), [LONG_RUNNING], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        await self.world.add_worker("m-8")
        await self.silence("m-0")


class TakeoverTest(NodeCase):
    """Owners are killed, paused, stopped or refused by the store while they work."""

    nodes = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        names = {node.name: node for node in self.started}
        self.owner = names[self.world.owner()]
        self.other = next(node for node in self.started if node is not self.owner)
        for worker in self.world.workers.values():
            worker.task_s = 0.3

    async def submit_several(self) -> list[str]:
        jobs = [job_id(number) for number in range(100, 106)]
        for job in jobs:
            self.assertEqual(200, await self.world.submit(self.other, job, [STEP]))
        return jobs

    async def finish(self, jobs: list[str]) -> None:
        for job in jobs:
            await self.world.wait_state(self.other, job, "completed")
        await asyncio.sleep(0.5)
        self.assertEqual([], self.world.overlaps())

    async def test_killed_owner(self) -> None:
        jobs = await self.submit_several()
        self.owner.process.kill()
        await self.finish(jobs)
        self.assertNotEqual(self.owner.name, self.world.owner())

    async def test_paused_owner_resumes_beside_its_successor(self) -> None:
        jobs = await self.submit_several()
        self.owner.send_signal(signal.SIGSTOP)
        await self.world.wait_for(
            lambda: self.world.owner() != self.owner.name, "another node owns the pool"
        )
        self.owner.send_signal(signal.SIGCONT)
        await self.finish(jobs)

    async def test_stopped_owner_hands_over(self) -> None:
        long_running = job_id(200)
        await self.world.submit(self.other, long_running, [LONG_RUNNING], payload="lasts")
        jobs = await self.submit_several()
        self.owner.send_signal(signal.SIGTERM)
        await self.finish(jobs)
        self.assertEqual(0, await asyncio.to_thread(self.owner.process.wait, 10))
        long_runs = [run for run in self.world.history if run.payload == "lasts"]
        self.assertEqual([None, None], [run.ended_at for run in long_runs])

    async def test_owner_whose_calls_the_store_refuses(self) -> None:
        jobs = await self.submit_several()
        self.world.store.faults.refused_texts.add(self.owner.name)
        await self.world.wait_for(
            lambda: self.world.owner() != self.owner.name, "another node owns the pool"
        )
        await self.finish(jobs)

    async def test_all_nodes_killed_at_once(self) -> None:
        jobs = await self.submit_several()
        cancelled = job_id(300)
        await self.world.submit(self.other, cancelled, [LONG_RUNNING], payload="lasts")
        await self.world.call(self.other, "DELETE", f"/quick/{cancelled}")
        for node in self.started:
            node.process.kill()
        for node in self.started:
            node.process.wait(10)
        self.other = self.world.start_node("node-9")
        await self.world.wait_ready(self.other)
        await self.finish(jobs)
        self.assertEqual("cancelled", await self.world.state(self.other, cancelled))
        self.assertTrue(all(run.ended_at for run in self.world.history))


class WaveTest(NodeCase):
    """Maintenance waves and the availability budget of long-running tasks."""

    workers = 4

    async def test_every_instance_goes_down_once_and_budgets_hold(self) -> None:
        spread = {**LONG_RUNNING, "count": 3, "antiAffinity": 1}
        await self.world.submit(self.node, job_id(1), [spread], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 3, "all tasks run")
        names = [f"m-{number}" for number in range(4)]
        wave = {"wave": 1, "machines": names, "durationS": 20, "upperLimit": 2}
        self.world.store.put(("op", "", "wave/1"), json.dumps(wave).encode())

        def is_reported() -> bool:
            value = self.world.store.value(("status", "", "wave/1")) or b""
            return b"completed" in value

        await self.world.wait_for(is_reported, "the wave is reported as completed")
        down = [order.instance for order in self.world.fleet.orders if order.kind == "maintain"]
        self.assertEqual(sorted(names), sorted(down))
        self.assertNotIn("gone", [run.how for run in self.world.history])


class LogTest(NodeCase):
    """Log lines that a program can parse."""

    async def test_lines_are_json_and_name_the_job(self) -> None:
        await self.world.submit(self.node, job_id(1), [STEP])
        await self.world.wait_state(self.node, job_id(1), "completed")
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(0, await asyncio.to_thread(self.node.process.wait, 10))
        lines = [json.loads(line) for line in self.node.log.read_text().splitlines()]
        about = {line["event"] for line in lines if line.get("job") == job_id(1)}
        self.assertLessEqual({"job accepted", "job received", "task ended", "job ended"}, about)
        events = {line["event"] for line in lines}
        self.assertLessEqual({"process started", "stop requested", "process stopped"}, events)


class GangTest(NodeCase):
    """Tasks that can only run together."""

    async def test_members_start_together_and_share_their_run(self) -> None:
        gang = {**STEP, "gang": True}
        await self.world.submit(self.node, job_id(1), [gang])
        await self.world.wait_state(self.node, job_id(1), "completed")
        self.assertEqual({1}, {run.number for run in self.world.history})


class PlacementAdviceTest(NodeCase):
    """A route whose steps run only where the placement advice permits it."""

    async def test_each_start_carries_a_ticket_for_its_step_and_worker(self) -> None:
        advice = {"decide_ms": 1, "each_ms": 0, "valid_ms": TICKET_VALIDITY_MS}
        ruled_out = self.world.workers["m-0"].id
        self.world.advice.ruled_out.add(ruled_out)
        self.world.configure(2, advice=advice)
        await self.world.wait_for(
            lambda: '"version":2' in self.node.log.read_text(), "the change is in force"
        )
        steps: list[dict[str, Any]] = [STEP, {**STEP, "dependsOn": [0]}]
        await self.world.submit(self.node, job_id(1), steps)
        await self.world.wait_state(self.node, job_id(1), "completed")
        for run in self.world.history:
            step = run.task.rpartition(".")[0]
            self.assertEqual((step, run.worker), self.world.advice.tickets[run.ticket])
            self.assertNotEqual(ruled_out, run.worker)


class ThrottleTest(NodeCase):
    """A best-effort task beside one that serves users."""

    workers = 1

    async def test_best_effort_task_is_throttled_while_the_other_misses_its_target(self) -> None:
        serving = {**LONG_RUNNING, "count": 1, "target_ms": 100}
        best_effort = {**LONG_RUNNING, "count": 1, "fills": True}
        await self.world.submit(self.node, job_id(1), [serving], payload="lasts")
        await self.world.submit(self.node, job_id(2), [best_effort], payload="lasts")
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        runs = {run.task.partition(".")[0]: run for run in self.world.history}
        runs[job_id(1)].measurement = 300.0
        await self.world.wait_for(
            lambda: runs[job_id(2)].speed_percent == 0, "it is throttled to zero"
        )
        runs[job_id(1)].measurement = 10.0
        await self.world.wait_for(
            lambda: runs[job_id(2)].speed_percent == 100, "it runs at full speed"
        )


class LoadingTest(unittest.IsolatedAsyncioTestCase):
    """A node that is still starting."""

    async def test_sighup_before_the_settings_are_read_does_not_end_the_process(self) -> None:
        # Found by the soak (seed 134): a node that had just restarted received SIGHUP.
        quiet_loop()
        world = World()
        await world.open()
        self.addAsyncCleanup(world.close)
        node = world.nodes.prepare("node-0", world.addresses)
        path = node.settings
        content = path.read_text()
        path.unlink()
        os.mkfifo(path)
        world.nodes.launch(node)
        pipe = await asyncio.to_thread(path.open, "w")
        node.send_signal(signal.SIGHUP)
        fresh = path.with_suffix(".new")
        fresh.write_text(content)
        os.replace(fresh, path)
        pipe.write(content)
        pipe.close()
        await world.wait_ready(node)


class InspectionTest(NodeCase):
    """Metrics, the state dump and reloaded settings of a running node."""

    async def fetch(self, path: str) -> str:
        assert self.world.session is not None
        url = f"http://{self.node.address('metrics')}{path}"
        async with self.world.session.get(url) as response:
            self.assertEqual(200, response.status)
            return await response.text()

    async def test_metrics_count_what_was_done(self) -> None:
        await self.world.submit(self.node, job_id(1), [STEP])
        await self.world.wait_state(self.node, job_id(1), "completed")
        page = await self.fetch("/metrics")
        self.assertIn('pumicespur_jobs_total{outcome="accepted"} 1', page)
        self.assertIn('pumicespur_task_ends_total{how="done",pool="main"} 3', page)
        self.assertIn("pumicespur_commit_seconds_bucket", page)

    async def test_state_names_what_is_owned(self) -> None:
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        owned: dict[str, Any] = {}
        while "main" not in owned:
            owned = json.loads(await self.fetch("/state"))["owned"]
        self.assertEqual(0, owned["main"]["jobs"])
        self.assertEqual(0, owned["main"]["waiting"]["overdue_tasks"])

    async def test_settings_are_reloaded_on_sighup(self) -> None:
        path = self.node.log.with_suffix(".ini")
        path.write_text(path.read_text().replace("lease_s = 1.2", "lease_s = 1.4"))
        self.node.send_signal(signal.SIGHUP)
        await self.world.wait_for(
            lambda: '"changed":["workers.lease_s"]' in self.node.log.read_text(), "new settings"
        )

    async def test_settings_with_errors_change_nothing(self) -> None:
        path = self.node.log.with_suffix(".ini")
        path.write_text(path.read_text().replace("lease_s = 1.2", "lease_s = soon"))
        self.node.send_signal(signal.SIGHUP)
        await self.world.wait_for(
            lambda: "[workers] lease_s: error: takes a number" in self.node.log.read_text(),
            "the refusal names its place",
        )

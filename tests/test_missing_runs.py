"""Tests of what operators see of long-running tasks without a run: since when, and why."""

from __future__ import annotations

import contextlib
import io
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast
from unittest.mock import AsyncMock, patch

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from logbook import TestHandler

from pumicespur.commands import status as status_command
from pumicespur.commands.explain import LogLine, select_lines
from pumicespur.jobs import EarlierLeases, Ownership, PoolOwner
from pumicespur.jobs._job import StepGroup, Task, TaskState, WorkerLoss
from pumicespur.jobs.placement import assign
from pumicespur.jobs.reports import describe_inherited_runs
from pumicespur.jobs.reports._missing_run_reasons import (
    COMMIT_OVERDUE_S,
    MissingRunReason,
    find_cause,
    find_placement_block,
)
from pumicespur.jobs.reports._missing_runs import (
    LOG_AFTER_S,
    MAX_EXAMINED_STEPS,
    MAX_LOGGED_TASKS,
    MAX_NAMED_TASKS,
)
from pumicespur.model import (
    AccountId,
    Capacity,
    ClientAccount,
    Rack,
    WorkerId,
    WorkerName,
    WorkerState,
)
from pumicespur.schema.jobs_pb import JobPhase, ProgressRecord, StepRecord, TaskRecord
from pumicespur.store import ConnectionBroken
from pumicespur.utils import METRICS, monotonic
from pumicespur.view import FleetView
from tests.base import default_settings, quiet_loop
from tests.test_commands import run
from tests.test_evacuated_placement import A, B, evacuate, worker
from tests.test_jobs import (
    CONFIGURATION,
    POOL,
    make_pool,
    make_record,
    make_worker,
    run_all,
    submit,
)
from tests.test_node import LONG_RUNNING, NodeCase, job_id

if TYPE_CHECKING:
    from collections.abc import Sequence

    from logbook import LogRecord

    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import Worker

LASTING = StepRecord(count=1, cpu_millis=1000, long_running=True)

OTHER = WorkerId("other")
"""A worker that no store lists."""


def lasting(**changes: Any) -> StepRecord:
    """Make a long-running step of one task."""
    return StepRecord(**{"count": 1, "cpu_millis": 1000, "long_running": True} | changes)


def submit_step(pool: PoolState, step: StepRecord, **changes: Any) -> StepGroup:
    """Submit a job of one step and place what can be placed; return the step."""
    record = make_record(step)
    for name, value in changes.items():
        setattr(record, name, value)
    group = submit(pool, record).groups[0]
    run_all(pool)
    return group


class PlacementBlockTest(unittest.TestCase):
    """Why no worker is given a waiting task."""

    def assert_blocked(self, reason: MissingRunReason, group: StepGroup, pool: PoolState) -> None:
        task = group.waiting()[-1]
        self.assertIs(reason, find_placement_block(pool, task, 0.0))

    def test_what_no_worker_of_the_pool_offers(self) -> None:
        ready = make_worker("w", cpu=1000)
        draining = replace(ready, state=WorkerState.DRAINING)
        limit = {"max_per_worker": 1}
        cases: tuple[tuple[MissingRunReason, list[Worker], StepRecord], ...] = (
            (MissingRunReason.NO_WORKERS, [], LASTING),
            (MissingRunReason.NO_OPEN_WORKER, [draining], LASTING),
            (MissingRunReason.LABEL, [ready], lasting(required_label="gpu")),
            (MissingRunReason.TOO_LARGE, [ready], lasting(cpu_millis=9000)),
            (MissingRunReason.ROOM, [ready], lasting(count=2)),
            (MissingRunReason.ROOM, [ready], lasting(count=2, gang=True)),
            (MissingRunReason.WORKER_LIMIT, [ready], lasting(count=2, cpu_millis=100, **limit)),
        )
        for reason, workers, step in cases:
            with self.subTest(reason):
                pool = make_pool(*workers)
                self.assert_blocked(reason, submit_step(pool, step), pool)

    def test_rack(self) -> None:
        pool = make_pool(make_worker("w", "r1-1"))
        group = submit_step(pool, lasting(count=2, cpu_millis=3000, same_rack=True))
        group.rack, group.spans_racks = Rack("r2-2"), False
        self.assert_blocked(MissingRunReason.RACK, group, pool)

    def test_quarantine(self) -> None:
        pool = make_pool(make_worker("w"))
        submit_step(pool, StepRecord(count=1, cpu_millis=100), id="1" * 16)
        group = submit(pool, make_record(LASTING)).groups[0]
        loss = WorkerLoss(OTHER, make_worker("other").instance, sole_suspect=False)
        group.tasks[0].losses = [loss, loss]
        pool.place(0.0, 0.0)
        self.assert_blocked(MissingRunReason.QUARANTINE, group, pool)

    def test_ticket(self) -> None:
        pool = make_pool(make_worker("w"))
        job = submit(pool, make_record(LASTING))
        job.needs_tickets = True
        pool.place(0.0, 0.0)
        self.assert_blocked(MissingRunReason.TICKET, job.groups[0], pool)

    def test_account_limit(self) -> None:
        pool = make_pool(make_worker("w"))
        account = AccountId("a")
        pool.limits.set_accounts({account: ClientAccount(account, 1.0, Capacity(1000, 0))})
        group = submit_step(pool, lasting(count=2), account=account)
        self.assert_blocked(MissingRunReason.ACCOUNT_LIMIT, group, pool)

    def test_data_hall(self) -> None:
        pool = make_pool(worker("a", A), worker("b", B))
        evacuate(pool, A)
        self.assert_blocked(MissingRunReason.DATA_HALL, submit_step(pool, lasting(count=2)), pool)

    def test_gang_with_a_member_that_has_not_ended(self) -> None:
        pool = make_pool(make_worker("w"))
        group = submit_step(pool, lasting(count=2, gang=True))
        pool.requeue(group.tasks[0])
        self.assert_blocked(MissingRunReason.GANG, group, pool)


DECIDED_WHILE_PLACING = frozenset(
    {MissingRunReason.RACK, MissingRunReason.QUARANTINE, MissingRunReason.ACCOUNT_LIMIT}
)
"""Reasons that rest on what a round decides before it places."""


class PlacementAgreementTest(unittest.TestCase):
    """The reason agrees with what placement does, for a step that nothing else competes with."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.builds(
                lambda rack, cpu, state: (rack, cpu, state),
                st.sampled_from(["r1-1", "r1-2"]),
                st.sampled_from([500, 2500, 2500]),
                st.sampled_from([WorkerState.READY, WorkerState.READY, WorkerState.DRAINING]),
            ),
            min_size=1,
            max_size=4,
        ),
        st.builds(
            lasting,
            count=st.integers(1, 3),
            gang=st.booleans(),
            same_rack=st.booleans(),
            max_per_worker=st.integers(0, 1),
            required_label=st.sampled_from(["", "", "r1-1"]),
        ),
        st.integers(0, 3),
        st.booleans(),
    )
    def test_a_task_is_placed_if_and_only_if_nothing_is_named(
        self,
        workers: Sequence[tuple[str, int, WorkerState]],
        step: StepRecord,
        losses: int,
        cold: bool,
    ) -> None:
        pool = make_pool(
            *(
                replace(make_worker(f"w-{number}", rack, cpu), state=state)
                for number, (rack, cpu, state) in enumerate(workers)
            )
        )
        for load in pool.loads.values():
            load.cold_until = 1.0 if cold else 0.0
        group = submit(pool, make_record(step)).groups[0]
        loss = WorkerLoss(OTHER, make_worker("other").instance, sole_suspect=False)
        group.tasks[0].losses = [loss] * losses
        before = {task: find_placement_block(pool, task, 0.0) for task in group.tasks}
        placed = pool.place(0.0, 0.0)
        for task in placed:
            allowed = {MissingRunReason.TURN} | DECIDED_WHILE_PLACING
            if step.gang:
                allowed.add(MissingRunReason.ROOM)
            self.assertIn(before[task], allowed)
        for task in group.waiting():
            self.assertIsNot(MissingRunReason.TURN, find_placement_block(pool, task, 0.0))


class OwnerCase(unittest.IsolatedAsyncioTestCase):
    """An owner of a pool whose sessions don't run, and one long-running task."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.taken_at = monotonic()
        self.view = FleetView(CONFIGURATION)
        self.view.workers[WorkerName("w")] = make_worker("w")
        nobody: Any = None
        self.owner = PoolOwner(
            default_settings(),
            self.view,
            nobody,
            nobody,
            Ownership(POOL, 1, "incarnation", self.taken_at),
            EarlierLeases(0.0),
            lambda: None,
        )
        self.pool = self.owner.pool
        self.watch = self.owner.missing_runs
        self.owner.tasks = cast("Any", type("Tasks", (), {"start_soon": lambda *_: None})())
        self.owner.sync_workers()
        self.owner.ready = True
        self.load = self.pool.loads[WorkerId("w")]
        self.load.reachable = True
        self.task = submit(self.pool, make_record(LASTING)).tasks[0]

    def start(self, task: Task, confirmed_at: float) -> None:
        """Let the worker confirm a run of a task."""
        assign(task, self.load)
        task.state = TaskState.RUNNING
        task.first_seen_at = confirmed_at

    def lose_worker(self, at: float) -> None:
        """Let the worker fall silent."""
        self.load.reachable, self.load.unresponsive_since = False, at
        self.owner.sessions[WorkerId("w")].failures = 1

    def update(self, after_s: float) -> list[LogRecord]:
        """Look for tasks without a run some time after the takeover; return the log lines."""
        with TestHandler() as handler:
            self.owner.journal.confirmed_at = self.taken_at + after_s
            self.watch.update(self.taken_at + after_s, 0.0)
        return list(handler.records)


class CauseTest(OwnerCase):
    """Why a task has no run, by what the owner knows of its worker and of the store."""

    def assert_cause(self, reason: MissingRunReason, leased_until: float | None = None) -> None:
        found = find_cause(self.owner, self.task, self.taken_at)
        self.assertEqual((reason, leased_until), (found.reason, found.leased_until))

    def inherit(self, name: WorkerId) -> None:
        self.task.worker, self.task.run, self.task.state = name, 1, TaskState.STARTING

    async def test_owner_that_starts_nothing(self) -> None:
        overdue = SimpleNamespace(confirmed_at=self.taken_at - COMMIT_OVERDUE_S - 0.1)
        cases = (
            ("ready", False, MissingRunReason.TAKEOVER),
            ("stopping", True, MissingRunReason.RELEASE),
            ("journal", overdue, MissingRunReason.COMMIT),
            ("start_block_reason", "too old", MissingRunReason.STARTS_SUSPENDED),
        )
        for name, value, reason in cases:
            with self.subTest(reason), patch.object(self.owner, name, value):
                self.assert_cause(reason)

    async def test_start_that_is_not_recorded(self) -> None:
        assign(self.task, self.load)
        self.assert_cause(MissingRunReason.START_UNRECORDED)

    async def test_start_that_is_not_confirmed(self) -> None:
        self.inherit(WorkerId("w"))
        self.assert_cause(MissingRunReason.START_UNCONFIRMED)

    async def test_worker_that_has_not_answered_yet(self) -> None:
        self.inherit(WorkerId("w"))
        self.load.reachable = False
        self.assert_cause(MissingRunReason.NOT_POLLED, leased_until=0.0)

    async def test_unreachable_worker_with_its_lease(self) -> None:
        self.inherit(WorkerId("w"))
        session = self.owner.sessions[WorkerId("w")]
        session.note_failure(ConnectionBroken("closed"))
        session.lease.clock_ms, session.lease.last_seen_at = 0.0, self.taken_at + 1.0
        self.assert_cause(MissingRunReason.UNREACHABLE, leased_until=self.taken_at + 1.0)

    async def test_unlisted_worker_with_leases_of_earlier_owners(self) -> None:
        self.inherit(OTHER)
        self.owner.earlier_leases.last_until = self.taken_at + 12.0
        self.assert_cause(MissingRunReason.EARLIER_LEASES, leased_until=self.taken_at + 12.0)

    async def test_unlisted_worker_without_a_lease(self) -> None:
        self.inherit(OTHER)
        self.assert_cause(MissingRunReason.NOT_LISTED)

    async def test_worker_that_restarted_and_was_not_seen_since(self) -> None:
        self.inherit(OTHER)
        self.owner.note_restart(OTHER, leased=True)
        ended_at = self.owner.restarts.ended[OTHER]
        until = ended_at + self.owner.restarts.max_lease_s()
        self.assert_cause(MissingRunReason.RESTARTED, leased_until=until)


class TimeWithoutRunTest(OwnerCase):
    """Since when a task has had no run."""

    def told(self, after_s: float) -> list[tuple[float, bool]]:
        """Return the times without a run, and whether each is a lower bound."""
        described = self.watch.describe(self.taken_at + after_s)
        tasks = cast("list[dict[str, Any]]", described["tasks"])
        return [(task["for_s"], task["at_least"]) for task in tasks]

    async def test_inherited_task_has_had_none_since_the_takeover_at_least(self) -> None:
        self.task.worker, self.task.run, self.task.state = OTHER, 1, TaskState.STARTING
        self.watch.note_takeover(0.0)
        self.update(1.0)
        self.assertEqual([(2.0, True)], self.told(2.0))

    async def test_task_of_an_unreachable_worker_has_had_none_since_that_fell_silent(self) -> None:
        self.start(self.task, self.taken_at)
        self.update(1.0)
        self.lose_worker(self.taken_at + 1.5)
        self.update(2.0)
        self.assertEqual([(1.5, False)], self.told(3.0))

    async def test_it_goes_on_counting_when_the_task_is_requeued(self) -> None:
        self.start(self.task, self.taken_at)
        self.update(1.0)
        self.lose_worker(self.taken_at + 1.5)
        self.update(2.0)
        self.pool.requeue(self.task)
        self.update(6.0)
        self.assertEqual([(4.5, False)], self.told(6.0))

    async def test_a_run_between_two_looks_begins_a_new_time(self) -> None:
        # A task that had run meanwhile was shown as without a run for minutes.
        self.update(1.0)
        self.start(self.task, self.taken_at + 60.2)
        self.lose_worker(self.taken_at + 60.7)
        self.update(61.0)
        self.assertAlmostEqual(0.3, self.told(61.0)[0][0])

    async def test_a_time_from_before_the_last_run_is_not_used(self) -> None:
        self.task.unavailable_since = self.taken_at
        self.start(self.task, self.taken_at + 0.5)
        self.update(60.0)
        self.pool.requeue(self.task)
        self.update(61.0)
        self.assertEqual([(0.0, False)], self.told(61.0))

    async def test_a_running_task_is_not_shown(self) -> None:
        self.update(1.0)
        self.start(self.task, self.taken_at + 1.5)
        self.assertEqual([], self.told(2.0))

    async def test_a_task_that_may_not_start_yet_is_not_shown(self) -> None:
        steps = (StepRecord(count=1, cpu_millis=100), lasting(depends_on=[0]))
        submit(self.pool, make_record(*steps, job="1" * 16))
        self.update(1.0)
        self.assertEqual(1, len(self.told(1.0)))

    async def test_the_named_tasks_are_bounded_and_the_rest_is_counted(self) -> None:
        submit(self.pool, make_record(lasting(count=200), job="1" * 16))
        self.update(1.0)
        self.assertEqual(MAX_NAMED_TASKS, len(self.told(1.0)))
        self.assertEqual(201, self.watch.describe(self.taken_at + 1.0)["count"])


class LogTest(OwnerCase):
    """Log lines about tasks without a run."""

    async def test_a_long_time_is_logged_once_with_its_reason(self) -> None:
        self.load.worker = replace(self.load.worker, state=WorkerState.DRAINING)
        self.update(1.0)
        self.assertEqual([], self.update(0.9 + LOG_AFTER_S))
        (line,) = self.update(1.0 + LOG_AFTER_S)
        self.assertEqual("long-running task without a run", line.message)
        expected = {"job": self.task.job.id, "task": self.task.name, "pool": POOL}
        expected |= {"reason": MissingRunReason.NO_OPEN_WORKER.value}
        self.assertEqual(expected, {name: line.kwargs[name] for name in expected})
        self.assertEqual([], self.update(2.0 + LOG_AFTER_S))

    async def test_another_reason_is_logged_as_well(self) -> None:
        self.start(self.task, self.taken_at)
        self.update(0.0)
        self.lose_worker(self.taken_at)
        self.update(LOG_AFTER_S)
        self.pool.requeue(self.task)
        (line,) = self.update(LOG_AFTER_S + 1.0)
        self.assertEqual("long-running task still without a run", line.message)
        self.assertEqual("w", line.kwargs["worker"])

    async def test_the_next_run_is_logged_with_all_reasons(self) -> None:
        self.update(0.0)
        self.update(LOG_AFTER_S)
        self.start(self.task, self.taken_at + LOG_AFTER_S + 0.5)
        (line,) = self.update(LOG_AFTER_S + 1.0)
        self.assertEqual("long-running task runs again", line.message)
        self.assertEqual(LOG_AFTER_S + 0.5, line.kwargs["for_s"])
        self.assertEqual([MissingRunReason.TURN.value], line.kwargs["reasons"])

    async def test_lines_are_bounded_and_the_rest_is_counted(self) -> None:
        submit(self.pool, make_record(lasting(count=200), job="1" * 16))
        self.update(0.0)
        lines = self.update(LOG_AFTER_S)
        self.assertEqual(MAX_LOGGED_TASKS + 1, len(lines))
        self.assertEqual(201 - MAX_LOGGED_TASKS, lines[-1].kwargs["count"])

    async def test_few_steps_are_examined_at_a_time(self) -> None:
        # Each look through a large pool's workers delays its owner.
        for number in range(1, 3 * MAX_EXAMINED_STEPS):
            submit(self.pool, make_record(LASTING, job=f"{number:016x}"))
        self.update(0.0)
        lines = self.update(LOG_AFTER_S)
        self.assertEqual(MAX_EXAMINED_STEPS + 1, len(lines))

    async def test_tasks_left_out_are_logged_later(self) -> None:
        submit(self.pool, make_record(lasting(count=MAX_LOGGED_TASKS), job="1" * 16))
        self.update(0.0)
        self.update(LOG_AFTER_S)
        (line,) = self.update(LOG_AFTER_S + 1.0)
        self.assertEqual("long-running task without a run", line.message)

    async def test_a_task_of_an_ended_job_is_not_logged(self) -> None:
        self.update(0.0)
        self.pool.cancel(self.task.job)
        self.assertEqual([], self.update(LOG_AFTER_S))


class MetricsTest(OwnerCase):
    """Gauges of tasks without a run."""

    async def test_number_and_longest_time(self) -> None:
        self.update(1.0)
        self.update(3.5)
        labels = {"pool": str(POOL)}
        self.assertEqual(1, METRICS.tasks_without_run.get(labels))
        self.assertEqual(2.5, METRICS.longest_time_without_run.get(labels))

    async def test_those_of_a_pool_that_is_no_longer_owned_are_dropped(self) -> None:
        self.update(1.0)
        METRICS.clear_pools()
        self.assertEqual(0, len(METRICS.tasks_without_run.values))
        self.assertEqual(0, len(METRICS.longest_time_without_run.values))


class InheritedRunsTest(unittest.TestCase):
    """What the log line of a takeover tells of the runs that an earlier owner has left."""

    def setUp(self) -> None:
        self.pool = make_pool()
        tasks = [TaskRecord(index=0, run=1, worker="w"), TaskRecord(index=1, run=1, worker="w@7")]
        progress = ProgressRecord(phase=JobPhase.RUNNING, tasks=tasks)
        self.pool.add_job(make_record(lasting(count=3)), CONFIGURATION, progress)

    def test_runs_on_incarnations_that_are_not_listed_are_counted(self) -> None:
        listed = {WorkerName("w"): make_worker("w")}
        expected = {"inherited_runs": 2, "unlisted_runs": 1}
        self.assertEqual(expected, describe_inherited_runs(self.pool, listed))

    def test_nothing_is_claimed_before_the_list_is_known(self) -> None:
        expected = {"inherited_runs": 2, "unlisted_runs": None}
        self.assertEqual(expected, describe_inherited_runs(self.pool, None))


class TakeoverTest(OwnerCase):
    """What an owner logs and notes when it takes its pool."""

    async def test_the_time_until_earlier_leases_are_over_is_logged(self) -> None:
        self.owner.earlier_leases.last_until = monotonic() + 3600.0
        with TestHandler() as handler:
            self.owner._log_takeover()
        (line,) = [record for record in handler.records if record.message == "pool taken"]
        self.assertAlmostEqual(3600.0, line.kwargs["earlier_leases_s"], delta=600.0)

    async def test_runs_on_unlisted_workers_are_told_once_the_list_is_known(self) -> None:
        self.task.worker, self.task.run, self.task.state = OTHER, 1, TaskState.STARTING
        with TestHandler() as handler:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.owner._wait_for_workers)
                await anyio.wait_all_tasks_blocked()
                self.view.workers_known = True
        (line,) = handler.records
        self.assertEqual(("workers known", 1), (line.message, line.kwargs["unlisted_runs"]))

    async def test_tasks_that_an_earlier_owner_left_without_a_run_are_noted(self) -> None:
        self.owner._log_takeover()
        self.assertTrue(self.watch.missing[self.task].at_least)


class CommandsTest(NodeCase):
    """What operators see of a node whose worker has ended with its task."""

    workers = 1

    async def fetch(self, path: str) -> dict[str, Any]:
        assert self.world.session is not None
        url = f"http://{self.node.address('metrics')}{path}"
        async with self.world.session.get(url) as response:
            return dict(await response.json())

    async def test_a_task_without_a_run_is_found_from_its_job(self) -> None:
        await self.world.submit(
            self.node, job_id(1), [{**LONG_RUNNING, "count": 1}], payload="lasts"
        )
        await self.world.wait_for(lambda: len(self.world.history) == 1, "the task runs")
        await self.world.crash_worker("m-0")
        event = '"long-running task without a run"'
        await self.world.wait_for(lambda: event in self.node.log.read_text(), event)
        described = await self.fetch(f"/jobs/{job_id(1)}")
        self.assertEqual("node-0", described["owner"])
        (task,) = described["without_run"]["tasks"]
        self.assertEqual(f"{job_id(1)}.0.0.0", task["task"])
        self.assertGreaterEqual(task["for_s"], LOG_AFTER_S)
        shown = await run("status", "--node", f"http://{self.node.address('metrics')}")
        self.assertRegex(shown.stdout, rf"main +{job_id(1)}\.0\.0\.0 ")
        explained = await run("explain", job_id(1), str(self.node.log))
        self.assertIn("long-running task without a run", explained.stdout)


class StatusOutputTest(unittest.IsolatedAsyncioTestCase):
    """What `pumicespur status` prints of tasks without a run."""

    async def printed(self, fields: dict[str, Any], job: str = "") -> str:
        output = io.StringIO()
        with (
            patch.object(status_command, "_fetch", AsyncMock(return_value=fields)),
            contextlib.redirect_stdout(output),
        ):
            if job:
                await status_command.job_status("http://node", job, as_json=False)
            else:
                await status_command.node_status("http://node", as_json=False)
        return output.getvalue()

    def owned(self, *tasks: dict[str, Any]) -> dict[str, Any]:
        return {"owned": {"main": {"without_run": {"count": len(tasks), "tasks": tasks}}}}

    async def test_a_lower_bound_is_marked(self) -> None:
        task = {"task": "j.0.0.0", "for_s": 4.2, "at_least": True, "reason": "no worker has room"}
        lines = (await self.printed(self.owned(task))).splitlines()
        self.assertRegex(lines[-1], r"^main +j\.0\.0\.0 +>4\.2 +- +- +no worker has room$")

    async def test_a_node_whose_tasks_all_run_says_so(self) -> None:
        printed = await self.printed(self.owned())
        self.assertIn("every long-running task of this node's pools runs", printed)

    async def test_a_job_names_its_tasks(self) -> None:
        fields = {"without_run": {"count": 1, "tasks": [{"task": "j.0.0.0", "for_s": 4.2}]}}
        self.assertIn("task: j.0.0.0; for_s: 4.2", await self.printed(fields, job="j"))


class ExplainTest(unittest.TestCase):
    """Lines about tasks without a run among the log lines about a job."""

    def test_lines_that_were_left_out_are_shown_for_a_job_of_the_pool(self) -> None:
        lines = [
            LogLine(time, "node-1", event, {"pool": "main"} | fields)
            for time, event, fields in (
                (1.0, "job received", {"job": "j"}),
                (2.0, "long-running tasks without a run left out", {"count": 3}),
                (3.0, "job ended", {"job": "j"}),
            )
        ]
        self.assertEqual(lines, select_lines("j", lines))


if __name__ == "__main__":
    unittest.main()

"""A task that crashes every worker that starts it.

These tests guard against such a task crashing one worker after the other: two jobs of one pool once
crashed 39 workers in 18 seconds, and a fifth of the pool's other callers got late or no service.

A worker starts a dozen tasks and crashes some milliseconds later. Its lease expires, and the tasks
start again together on the next worker, which crashes too. No run ends as failed, so without
attribution no attempt counts and the starts are unlimited; one task got 28. The log's lines of lost
runs name that task on each worker that crashed within milliseconds of a start, while the other
tasks ran well elsewhere.
"""

from __future__ import annotations

import json
import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hypothesis import example, given
from hypothesis import strategies as st

from pumicespur.jobs._crash_attribution import (
    LOSS_LIMIT,
    MAX_QUARANTINE_WAIT_S,
    PROVEN_AFTER_S,
    SOLE_CAUSE_LIMIT,
    STABLE_AFTER_S,
    is_quarantined,
    note_run_time,
)
from pumicespur.jobs._job import RunStability, Task, TaskState, WorkerLoss, make_job
from pumicespur.jobs._worker_load import WorkerLoad
from pumicespur.model import InstanceId, WorkerId
from pumicespur.schema.jobs_pb import JobPhase, ProgressRecord, StepRecord
from standins.hosted import CRASHING_PAYLOAD, Run
from tests.test_commands import run
from tests.test_jobs import make_pool, make_record, make_worker, run_all, submit
from tests.test_node import STEP, NodeCase, job_id

if TYPE_CHECKING:
    from collections.abc import Collection

    from pumicespur.jobs._pool import PoolState

CRASHER = job_id(500)
CRASHING_TASK = f"{CRASHER}.0.0.0"

MAX_STARTS = 5
"""Three workers may crash, and two starts may follow before the job fails."""

NEIGHBOURS = 6
NEIGHBOUR_S = 0.3
"""Duration of the other jobs' tasks, which are running when their worker crashes."""


class CrashCase(NodeCase):
    """A pool with running jobs that gets a job that crashes workers."""

    workers = 4

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.world.task_s = NEIGHBOUR_S
        for worker in self.world.workers.values():
            worker.task_s = NEIGHBOUR_S
        await self.world.wait_for(lambda: bool(self.world.owner()), "the pool has an owner")
        names = {node.name: node for node in self.started}
        self.owner = names[self.world.owner()]
        self.other = next((n for n in self.started if n is not self.owner), self.owner)

    async def submit_all(self) -> list[str]:
        """Submit the crashing job between others; return the others."""
        others = [job_id(600 + number) for number in range(NEIGHBOURS)]
        steps: list[dict[str, Any]] = [STEP, {**STEP, "dependsOn": [0]}]
        for job in others[: NEIGHBOURS // 2]:
            await self.world.submit(self.other, job, steps)
        await self.world.submit(self.other, CRASHER, [STEP], payload=CRASHING_PAYLOAD)
        for job in others[NEIGHBOURS // 2 :]:
            await self.world.submit(self.other, job, steps)
        return others

    def crashing_runs(self) -> list[Run]:
        return [run for run in self.world.history if run.task == CRASHING_TASK]

    async def check_outcome(self, others: list[str]) -> None:
        """Check that the crashing job fails within its limit of starts and the others complete."""
        await self.world.wait_state(self.other, CRASHER, "failed")
        self.assertLessEqual(len(self.crashing_runs()), MAX_STARTS)
        for job in others:
            await self.world.wait_state(self.other, job, "completed")


class CrashingTaskTest(CrashCase):
    """The pool keeps its owner."""

    async def test_its_job_fails_and_other_jobs_complete(self) -> None:
        await self.check_outcome(await self.submit_all())


class CrashingTaskSameNamesTest(CrashCase):
    """The crashed workers restart under their names."""

    async def test_its_job_fails_and_other_jobs_complete(self) -> None:
        self.world.crashed_workers_keep_ids = True
        await self.check_outcome(await self.submit_all())


class CrashingTaskReasonTest(CrashCase):
    """Operators see why the job failed, in the logs and from any node."""

    async def test_status_and_explain_name_the_task_and_its_workers(self) -> None:
        await self.check_outcome(await self.submit_all())
        url = f"http://{self.other.address('metrics')}"
        shown = await run("status", "--job", CRASHER, "--node", url)
        self.assertEqual(0, shown.returncode, shown.stderr)
        self.assertIn(f"task {CRASHING_TASK} brought down", shown.stdout)
        printed = await run("status", "--json", "--job", CRASHER, "--node", url)
        lost = json.loads(printed.stdout)["lost_workers"]
        self.assertEqual([r.worker for r in self.crashing_runs()], lost)
        explained = await run("explain", CRASHER, str(self.owner.log))
        self.assertIn("job given up", explained.stdout)
        for worker in lost:
            self.assertIn(worker, explained.stdout)

    async def test_status_reports_an_unknown_job(self) -> None:
        url = f"http://{self.other.address('metrics')}"
        shown = await run("status", "--job", job_id(1), "--node", url)
        self.assertEqual(1, shown.returncode)
        self.assertIn("no job", shown.stderr)
        alone = await run("status", "--job", job_id(1))
        self.assertIn("--node", alone.stderr)


class CrashingTaskTakeoverTest(CrashCase):
    """The counted crashes survive a takeover and faults of the store."""

    nodes = 2

    async def test_the_count_survives_a_takeover(self) -> None:
        others = await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        self.owner.process.kill()
        await self.check_outcome(others)

    async def test_the_count_survives_lost_responses_of_the_store(self) -> None:
        self.world.store.faults.lose_share = 0.3
        others = await self.submit_all()
        await self.check_outcome(others)


class CrashingTaskLogTest(CrashCase):
    """The owner's log lines of lost runs."""

    async def test_lost_runs_are_logged_with_the_number_of_others(self) -> None:
        await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        lines = [
            line
            for line in self.owner.log.read_text().splitlines()
            if '"run lost"' in line and CRASHING_TASK in line
        ]
        self.assertTrue(lines)
        for field in ("worker", "instance", "ran_s", "others_lost"):
            self.assertIn(f'"{field}"', lines[0])


def lose(pool: PoolState, worker: WorkerId | None, *, silent: bool = False) -> None:
    """Let a worker crash with all its runs, or go silent and be gone."""
    assert worker is not None
    load = pool.loads[worker]
    pool.note_unresponsive(load, 0.0, silent=silent)
    pool.note_lost_runs(load)
    pool.drop_worker(worker)


def prove(*tasks: Task, ran_s: float = PROVEN_AFTER_S) -> None:
    """Let runs continue until they are proven by default."""
    for task in tasks:
        note_run_time(WorkerLoad(make_worker("any")), task, ran_s)


class AttributionTest(unittest.TestCase):
    """To which tasks the loss of a worker is attributed."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w-1"))
        self.job = submit(self.pool, make_record(StepRecord(count=3, cpu_millis=100)))
        self.old, self.new, self.newer = run_all(self.pool)
        self.worker = self.old.worker

    def losses(self) -> list[int]:
        return [len(task.losses) for task in (self.old, self.new, self.newer)]

    def test_tasks_that_had_just_started_are_suspected(self) -> None:
        prove(self.old)
        lose(self.pool, self.worker)
        self.assertEqual([0, 1, 1], self.losses())
        self.assertFalse(self.new.losses[0].sole_suspect)

    def test_the_only_new_task_is_the_only_possible_cause(self) -> None:
        prove(self.old, self.new)
        lose(self.pool, self.worker)
        self.assertEqual([0, 0, 1], self.losses())
        self.assertTrue(self.newer.losses[0].sole_suspect)

    def test_all_are_suspected_if_none_is_new(self) -> None:
        prove(self.old, self.new, self.newer)
        lose(self.pool, self.worker)
        self.assertEqual([1, 1, 1], self.losses())

    def test_a_stable_run_is_not_suspected(self) -> None:
        prove(self.new, self.newer)
        prove(self.old, ran_s=STABLE_AFTER_S)
        lose(self.pool, self.worker)
        self.assertEqual([0, 1, 1], self.losses())

    def test_a_planned_end_is_attributed_to_no_task(self) -> None:
        prove(self.old, self.new, self.newer)
        self.pool.loads[WorkerId("w-1")].evacuating = True
        lose(self.pool, self.worker)
        self.assertEqual([0, 0, 0], self.losses())

    def test_a_start_that_was_not_ordered_is_not_suspected(self) -> None:
        self.newer.state = TaskState.PLACED
        lose(self.pool, self.worker)
        self.assertEqual([1, 1, 0], self.losses())

    def test_silence_alone_leaves_no_sole_suspect(self) -> None:
        prove(self.old, self.new)
        load = self.pool.loads[WorkerId("w-1")]
        self.pool.note_unresponsive(load, 0.0)
        self.pool.note_lost_runs(load, ended=False)
        self.assertFalse(self.newer.losses[0].sole_suspect)

    def test_a_worker_that_falls_silent_and_is_gone_leaves_no_sole_suspect(self) -> None:
        prove(self.old, self.new)
        lose(self.pool, self.worker, silent=True)
        self.assertEqual([0, 0, 1], self.losses())
        self.assertFalse(self.newer.losses[0].sole_suspect)

    def test_a_start_without_a_response_is_no_sole_suspect(self) -> None:
        prove(self.old, self.new)
        self.newer.state = TaskState.STARTING
        lose(self.pool, self.worker)
        self.assertEqual([0, 0, 1], self.losses())
        self.assertFalse(self.newer.losses[0].sole_suspect)

    def test_a_run_of_an_earlier_owner_is_no_sole_suspect(self) -> None:
        prove(self.old, self.new)
        self.newer.inherited = True
        lose(self.pool, self.worker)
        self.assertFalse(self.newer.losses[0].sole_suspect)

    def test_the_loss_of_a_rack_leaves_no_sole_suspect(self) -> None:
        self.pool.add_worker(make_worker("w-2")).reachable = True
        prove(self.old, self.new)
        self.pool.note_unresponsive(self.pool.loads[WorkerId("w-2")], 0.5)
        lose(self.pool, self.worker)
        self.assertFalse(self.newer.losses[0].sole_suspect)

    def test_two_crashing_tasks_explain_two_losses_at_once(self) -> None:
        other = self.pool.add_worker(make_worker("w-2"))
        other.reachable = True
        other_job = submit(
            self.pool, make_record(StepRecord(count=1, cpu_millis=3900), job="1" * 16)
        )
        run_all(self.pool)
        self.assertIn(other_job.tasks[0], other.tasks)
        prove(self.old, self.new)
        self.pool.note_unresponsive(other, 0.5)
        lose(self.pool, self.worker)
        self.assertTrue(self.newer.losses[0].sole_suspect)

    def test_losses_are_retracted_if_the_worker_responds_again(self) -> None:
        load = self.pool.loads[WorkerId("w-1")]
        self.pool.note_lost_runs(load)
        self.assertEqual([1, 1, 1], self.losses())
        self.pool.retract_losses(load)
        self.assertEqual([0, 0, 0], self.losses())

    def test_losses_survive_a_round_trip_through_the_store(self) -> None:
        lose(self.pool, self.worker)
        again = make_job(self.job.record, self.pool.estimates)
        again.restore(ProgressRecord.from_binary(self.job.progress(7).to_binary()))
        self.assertEqual(self.job.tasks[0].losses, again.tasks[0].losses)


def suspect_again(*tasks: Task) -> None:
    """Add an earlier loss to tasks, each of which may have been the cause."""
    for task in tasks:
        task.losses.append(
            WorkerLoss(WorkerId("earlier"), InstanceId("earlier"), sole_suspect=False)
        )


class SpreadTest(unittest.TestCase):
    """After a first loss the suspected tasks are spread and delay no other tasks."""

    def setUp(self) -> None:
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(5)))
        submit(self.pool, make_record(StepRecord(count=4, cpu_millis=100)))
        (worker,) = {task.worker for task in run_all(self.pool)}
        lose(self.pool, worker)

    def test_each_starts_on_another_worker(self) -> None:
        self.assertEqual(4, len({task.worker for task in run_all(self.pool)}))

    def test_other_tasks_join_them(self) -> None:
        run_all(self.pool)
        submit(self.pool, make_record(StepRecord(count=100, cpu_millis=150), job="1" * 16))
        self.assertEqual(100, len(run_all(self.pool)))


class QuarantineTest(unittest.TestCase):
    """After a second loss suspected tasks are quarantined while other tasks continue."""

    def setUp(self) -> None:
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(5)))
        submit(self.pool, make_record(StepRecord(count=6, cpu_millis=100)))
        self.suspected_tasks = run_all(self.pool)
        (worker,) = {task.worker for task in self.suspected_tasks}
        lose(self.pool, worker)
        suspect_again(*self.suspected_tasks)

    def test_each_gets_a_reserved_worker_and_half_of_the_workers_serve_others(self) -> None:
        quarantined = run_all(self.pool)
        self.assertEqual(2, len({task.worker for task in quarantined}))
        self.assertEqual(2, len(quarantined))
        submit(self.pool, make_record(StepRecord(count=8, cpu_millis=100), job="1" * 16))
        others = run_all(self.pool)
        self.assertEqual(8, len(others))
        self.assertFalse({t.worker for t in quarantined} & {t.worker for t in others})

    def test_the_wait_for_a_reserved_worker_is_limited(self) -> None:
        # Fifty tasks were suspected, although their workers crashed for another reason, in a pool
        # that then shrank to four workers. Without the limit their quarantine took half a minute,
        # with most of the capacity free.
        now = 100.0
        self.assertEqual(2, len(self.pool.place(now, 0.0)))
        self.assertEqual(0, len(self.pool.place(now + MAX_QUARANTINE_WAIT_S / 2, 0.0)))
        self.assertEqual(4, len(self.pool.place(now + MAX_QUARANTINE_WAIT_S, 0.0)))

    def test_a_proven_task_makes_way_for_the_next(self) -> None:
        for task in run_all(self.pool):
            prove(task)
            self.assertFalse(is_quarantined(task))
        self.assertEqual(2, len(run_all(self.pool)))

    def test_the_losses_of_a_stable_task_are_cleared(self) -> None:
        task, *_ = run_all(self.pool)
        prove(task, ran_s=STABLE_AFTER_S)
        self.assertEqual([], task.losses)

    def test_a_worker_is_reserved_until_its_new_tasks_are_proven(self) -> None:
        pool = make_pool(make_worker("w-1"))
        submit(pool, make_record(StepRecord(count=1, cpu_millis=100)))
        (suspect,) = run_all(pool)
        lose(pool, suspect.worker)
        suspect_again(suspect)
        pool.add_worker(make_worker("w-2")).reachable = True
        other_job = submit(pool, make_record(StepRecord(count=1, cpu_millis=100), job="1" * 16))
        other_job.tasks[0].state = TaskState.RUNNING
        pool.loads[WorkerId("w-2")].add(other_job.tasks[0])
        later_job = submit(pool, make_record(StepRecord(count=1, cpu_millis=100), job="2" * 16))
        self.assertEqual([], run_all(pool))
        prove(other_job.tasks[0])
        self.assertEqual([suspect], run_all(pool))
        self.assertIs(TaskState.WAITING, later_job.tasks[0].state)


class LossLimitTest(unittest.TestCase):
    """When the job of a task that crashes workers fails."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w-0"))
        self.job = submit(self.pool, make_record(StepRecord(count=1, cpu_millis=100)))

    def crash(self, instance: str, *, alone: bool = True) -> None:
        loss = WorkerLoss(WorkerId(f"worker on {instance}"), InstanceId(instance), alone)
        self.pool.note_lost_run(self.job.tasks[0], loss)

    def test_it_fails_with_the_second_instance_that_only_it_can_have_crashed(self) -> None:
        self.crash("m-1")
        self.assertFalse(self.job.ended)
        self.crash("m-2")
        self.assertIs(JobPhase.FAILED, self.job.phase)
        assert self.job.failure is not None
        self.assertEqual(SOLE_CAUSE_LIMIT, len(self.job.failure.lost_workers))

    def test_it_does_not_fail_by_one_instance_that_crashes_repeatedly(self) -> None:
        for _ in range(LOSS_LIMIT - 1):
            self.crash("m-1")
        self.assertFalse(self.job.ended)

    def test_losses_with_other_suspects_count_up_to_the_promised_limit(self) -> None:
        for number in range(LOSS_LIMIT - 1):
            self.crash(f"m-{number}", alone=False)
        self.assertFalse(self.job.ended)
        self.crash("m-9", alone=False)
        self.assertIs(JobPhase.FAILED, self.job.phase)

    def test_the_reason_is_recorded(self) -> None:
        self.crash("m-1")
        self.crash("m-2")
        kept = ProgressRecord.from_binary(self.job.progress(1).to_binary())
        assert kept.failure is not None
        self.assertEqual(self.job.tasks[0].name, kept.failure.task)


class CrashModelTest(unittest.TestCase):
    """A simulated pool in which some tasks crash their workers."""

    @given(
        workers=st.integers(1, 8),
        jobs=st.lists(st.integers(1, 12), min_size=1, max_size=6),
        crashing=st.sets(st.integers(0, 11), min_size=1, max_size=3),
        round_s=st.sampled_from([0.0, 0.4, 1.0]),
        takeover_rounds=st.sets(st.integers(1, 12), max_size=3),
        silent=st.booleans(),
    )
    @example(workers=1, jobs=[3, 1], crashing={2}, round_s=1.0, takeover_rounds=set(), silent=False)
    @example(
        workers=1,
        jobs=[1, 1, 4, 2, 1],
        crashing={8, 5},
        round_s=1.0,
        takeover_rounds=set(),
        silent=False,
    )
    def test_only_crashing_jobs_fail_and_within_their_limit_of_starts(
        self,
        workers: int,
        jobs: list[int],
        crashing: set[int],
        round_s: float,
        takeover_rounds: set[int],
        silent: bool,
    ) -> None:
        model = CrashModel(workers, jobs, crashing, round_s, takeover_rounds, silent)
        model.play()
        for task in model.tasks:
            if task in model.crashing:
                self.assertIs(JobPhase.FAILED, task.job.phase)
                self.assertLessEqual(model.starts[task], MAX_STARTS)
            elif not any(other in model.crashing for other in task.job.tasks):
                self.assertIs(JobPhase.COMPLETED, task.job.phase)


class CrashModel:
    """Workers that take three rounds for a task and are replaced at once after a crash.

    In the rounds of a takeover a new owner inherits every run just after it was ordered.
    """

    ROUNDS = 400
    TASK_ROUNDS = 3

    def __init__(
        self,
        workers: int,
        jobs: list[int],
        crashing: set[int],
        round_s: float,
        takeover_rounds: Collection[int] = (),
        silent: bool = False,
    ) -> None:
        self.round_s = round_s
        self.takeover_rounds = takeover_rounds
        self.silent = silent
        """Whether a crash takes the instance down with its connections open."""
        self.round_number = 0
        self.now = 0.0
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(workers)))
        self.tasks: list[Task] = []
        for number, count in enumerate(jobs):
            record = make_record(StepRecord(count=count, cpu_millis=500), job=f"{number:016x}")
            self.tasks += submit(self.pool, record).tasks
        self.crashing = {self.tasks[place % len(self.tasks)] for place in crashing}
        self.starts: Counter[Task] = Counter()
        self.age: Counter[Task] = Counter()
        self.restarts = 0

    def play(self) -> None:
        """Run rounds until every job has ended, or up to the limit."""
        for _ in range(self.ROUNDS):
            if all(task.job.ended for task in self.tasks):
                return
            self.round()

    def round(self) -> None:
        """Start placed tasks, crash workers with crashing tasks, and age or end the rest."""
        self.now += self.round_s
        self.round_number += 1
        for task in run_all(self.pool, self.now):
            self.starts[task] += 1
            self.age[task] = 0
        if self.round_number in self.takeover_rounds:
            self._take_over()
        for load in list(self.pool.loads.values()):
            if any(t in self.crashing and t.worker == load.worker.id for t in load.tasks):
                self._crash(load)
        for task in self.tasks:
            if task.state is not TaskState.RUNNING or task.job.ended:
                continue
            self.age[task] += 1
            prove(task)
            if self.age[task] == self.TASK_ROUNDS:
                self.pool._finish(task, task.worker or WorkerId(""))
        for load in self.pool.loads.values():
            for task in [task for task in load.tasks if task.job.ended]:
                load.remove(task)

    def _take_over(self) -> None:
        """Forget what only the previous owner of the pool knew."""
        for task in self.tasks:
            if task.worker and not task.job.ended:
                task.inherited, task.stability = True, RunStability.NEW
            task.quarantined, task.quarantine_requested_at = False, None

    def _crash(self, load: WorkerLoad) -> None:
        lose(self.pool, load.worker.id, silent=self.silent)
        self.restarts += 1
        worker = replace(load.worker, id=WorkerId(f"restart-{self.restarts}"))
        self.pool.add_worker(worker).reachable = True


class RunStabilityTest(unittest.TestCase):
    """A run's stability is reset at each start."""

    def test_new_on_each_worker(self) -> None:
        pool = make_pool(make_worker("w-1"))
        submit(pool, make_record(StepRecord(count=1, cpu_millis=100)))
        (task,) = run_all(pool)
        prove(task)
        pool.requeue(task)
        run_all(pool)
        self.assertIs(RunStability.NEW, task.stability)

"""A task that brings down each worker that starts it.

What users saw: two jobs of one pool brought down 39 workers in 18 seconds and were still being
tried when the day ended; a fifth of the pool's other callers was served late or given up.

In order: a worker starts a dozen tasks; it ends without a word some milliseconds later; its lease
runs out; the tasks start again, together, on the next worker, which ends too. No run has ended as
failed, so that no attempt was counted and nothing bounded the starts: one task got 28.

The evidence: the log's lines of lost runs name the same task on each worker that was lost within
milliseconds of a start, and other tasks beside it that ran well wherever it wasn't.
"""

from __future__ import annotations

import json
import unittest
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from hypothesis import example, given
from hypothesis import strategies as st

from pumicespur.jobs._crashes import (
    ALONE_LIMIT,
    LOSS_LIMIT,
    PROVEN_S,
    SETTLED_S,
    TRIAL_WAIT_S,
    is_on_trial,
    note_running,
)
from pumicespur.jobs._job import Loss, Standing, Task, TaskState, make_job
from pumicespur.jobs._load import WorkerLoad
from pumicespur.model import InstanceId, WorkerId
from pumicespur.schema.jobs_pb import JobPhase, ProgressRecord, StepRecord
from standins.hosted import CRASHING_PAYLOAD, Run
from tests.test_commands import run
from tests.test_jobs import ROUTE, make_pool, make_record, make_worker, run_all, submit
from tests.test_node import STEP, NodeCase, job_id

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState

CRASHER = job_id(500)
CRASHING_TASK = f"{CRASHER}.0.0.0"

MOST_STARTS = 5
"""Three workers may be brought down, and two starts may follow before the job is given up."""

NEIGHBOURS = 6
NEIGHBOUR_S = 0.3
"""How long a task of the others takes: they are at work when their worker is brought down."""


class CrashCase(NodeCase):
    """A pool with jobs at work into which a job comes that brings workers down."""

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
        """Hand the crashing job in between others; return the others."""
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
        """Check that the job is given up within its bound, and no other for it."""
        await self.world.wait_state(self.other, CRASHER, "failed")
        self.assertLessEqual(len(self.crashing_runs()), MOST_STARTS)
        for job in others:
            await self.world.wait_state(self.other, job, "completed")


class CrashingTaskTest(CrashCase):
    """The owner of the pool is there all along."""

    async def test_it_is_given_up_and_its_neighbours_are_not(self) -> None:
        await self.check_outcome(await self.submit_all())


class CrashingTaskSameNamesTest(CrashCase):
    """The workers that it brings down start again under their names."""

    async def test_it_is_given_up_and_its_neighbours_are_not(self) -> None:
        self.world.crashed_workers_keep_ids = True
        await self.check_outcome(await self.submit_all())


class CrashingTaskReasonTest(CrashCase):
    """Operators are told why the job failed, by the logs and by any node."""

    async def test_status_and_explain_name_the_task_and_its_workers(self) -> None:
        await self.check_outcome(await self.submit_all())
        url = f"http://{self.other.address('metrics')}"
        shown = await run("status", "--job", CRASHER, "--node", url)
        self.assertEqual(0, shown.returncode, shown.stderr)
        self.assertIn(f"task {CRASHING_TASK} brought down", shown.stdout)
        told = await run("status", "--json", "--job", CRASHER, "--node", url)
        lost = json.loads(told.stdout)["lost_workers"]
        self.assertEqual([r.worker for r in self.crashing_runs()], lost)
        explained = await run("explain", CRASHER, str(self.owner.log))
        self.assertIn("job given up", explained.stdout)
        for worker in lost:
            self.assertIn(worker, explained.stdout)

    async def test_status_tells_of_a_job_that_is_not_there(self) -> None:
        url = f"http://{self.other.address('metrics')}"
        shown = await run("status", "--job", job_id(1), "--node", url)
        self.assertEqual(1, shown.returncode)
        self.assertIn("no job", shown.stderr)
        alone = await run("status", "--job", job_id(1))
        self.assertIn("--node", alone.stderr)


class CrashingTaskTakeoverTest(CrashCase):
    """The pool gets a new owner between two crashes."""

    nodes = 2

    async def test_the_count_outlives_its_owner(self) -> None:
        others = await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        self.owner.process.kill()
        await self.check_outcome(others)

    async def test_the_count_outlives_lost_answers_of_the_store(self) -> None:
        self.world.store.faults.lose_share = 0.3
        others = await self.submit_all()
        await self.check_outcome(others)


class CrashingTaskSightTest(CrashCase):
    """What the owner's log tells of a lost run."""

    async def test_lost_runs_are_told_with_their_neighbours(self) -> None:
        await self.submit_all()
        await self.world.wait_for(lambda: len(self.crashing_runs()) == 2, "two starts")
        lines = [
            line
            for line in self.owner.log.read_text().splitlines()
            if '"run lost"' in line and CRASHING_TASK in line
        ]
        self.assertTrue(lines)
        for field in ("worker", "instance", "ran_s", "beside"):
            self.assertIn(f'"{field}"', lines[0])


def lose(pool: PoolState, worker: WorkerId | None) -> None:
    """Let a worker end without a word, with all that it runs."""
    assert worker is not None
    load = pool.loads[worker]
    pool.note_silence(load, 0.0)
    pool.lose_runs(load)
    pool.drop_worker(worker)


def prove(*tasks: Task, ran_s: float = PROVEN_S) -> None:
    """Let runs go on, by default for longer than a program takes to start."""
    for task in tasks:
        note_running(WorkerLoad(make_worker("any")), task, ran_s)


class BlameTest(unittest.TestCase):
    """Whom the loss of a worker is blamed on."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w-1"))
        self.job = submit(self.pool, make_record(StepRecord(count=3, cpu_millis=100)))
        self.old, self.new, self.newer = run_all(self.pool)
        self.worker = self.old.worker

    def losses(self) -> list[int]:
        return [len(task.losses) for task in (self.old, self.new, self.newer)]

    def test_tasks_that_had_just_begun_are_suspected(self) -> None:
        prove(self.old)
        lose(self.pool, self.worker)
        self.assertEqual([0, 1, 1], self.losses())
        self.assertFalse(self.new.losses[0].alone)

    def test_the_only_new_task_is_the_only_possible_cause(self) -> None:
        prove(self.old, self.new)
        lose(self.pool, self.worker)
        self.assertEqual([0, 0, 1], self.losses())
        self.assertTrue(self.newer.losses[0].alone)

    def test_all_are_suspected_where_none_is_new(self) -> None:
        prove(self.old, self.new, self.newer)
        lose(self.pool, self.worker)
        self.assertEqual([1, 1, 1], self.losses())

    def test_a_run_that_has_gone_on_for_long_is_not_the_cause(self) -> None:
        prove(self.new, self.newer)
        prove(self.old, ran_s=SETTLED_S)
        lose(self.pool, self.worker)
        self.assertEqual([0, 1, 1], self.losses())

    def test_a_planned_end_is_nobodys_doing(self) -> None:
        prove(self.old, self.new, self.newer)
        self.pool.loads[WorkerId("w-1")].evacuating = True
        lose(self.pool, self.worker)
        self.assertEqual([0, 0, 0], self.losses())

    def test_a_start_that_was_not_ordered_is_not_the_cause(self) -> None:
        self.newer.state = TaskState.PLACED
        lose(self.pool, self.worker)
        self.assertEqual([1, 1, 0], self.losses())

    def test_silence_alone_proves_nothing(self) -> None:
        prove(self.old, self.new)
        load = self.pool.loads[WorkerId("w-1")]
        self.pool.note_silence(load, 0.0)
        self.pool.lose_runs(load, ended=False)
        self.assertFalse(self.newer.losses[0].alone)

    def test_a_rack_that_is_lost_has_a_cause_of_its_own(self) -> None:
        self.pool.add_worker(make_worker("w-2")).reachable = True
        prove(self.old, self.new)
        self.pool.note_silence(self.pool.loads[WorkerId("w-2")], 0.5)
        lose(self.pool, self.worker)
        self.assertFalse(self.newer.losses[0].alone)

    def test_two_crashing_tasks_explain_two_losses_at_once(self) -> None:
        other = self.pool.add_worker(make_worker("w-2"))
        other.reachable = True
        beside = submit(self.pool, make_record(StepRecord(count=1, cpu_millis=3900), job="1" * 16))
        run_all(self.pool)
        self.assertIn(beside.tasks[0], other.tasks)
        prove(self.old, self.new)
        self.pool.note_silence(other, 0.5)
        lose(self.pool, self.worker)
        self.assertTrue(self.newer.losses[0].alone)

    def test_a_worker_that_answers_again_was_not_brought_down(self) -> None:
        load = self.pool.loads[WorkerId("w-1")]
        self.pool.lose_runs(load)
        self.assertEqual([1, 1, 1], self.losses())
        self.pool.forgive_loss(load)
        self.assertEqual([0, 0, 0], self.losses())

    def test_losses_survive_being_written_and_read(self) -> None:
        lose(self.pool, self.worker)
        again = make_job(self.job.record, ROUTE, self.pool.estimates)
        again.restore(ProgressRecord.from_binary(self.job.progress(7).to_binary()))
        self.assertEqual(self.job.tasks[0].losses, again.tasks[0].losses)


def suspect_again(*tasks: Task) -> None:
    """Let another worker be lost under tasks, each of which may have been the cause."""
    for task in tasks:
        task.losses.append(Loss(WorkerId("earlier"), InstanceId("earlier"), alone=False))


class SpreadTest(unittest.TestCase):
    """After the first loss its suspects part ways and nobody else waits for them."""

    def setUp(self) -> None:
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(5)))
        submit(self.pool, make_record(StepRecord(count=4, cpu_millis=100)))
        (worker,) = {task.worker for task in run_all(self.pool)}
        lose(self.pool, worker)

    def test_each_starts_on_another_worker(self) -> None:
        self.assertEqual(4, len({task.worker for task in run_all(self.pool)}))

    def test_others_join_them(self) -> None:
        run_all(self.pool)
        submit(self.pool, make_record(StepRecord(count=100, cpu_millis=150), job="1" * 16))
        self.assertEqual(100, len(run_all(self.pool)))


class TrialTest(unittest.TestCase):
    """After the second loss suspects are tried alone while the others go on."""

    def setUp(self) -> None:
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(5)))
        submit(self.pool, make_record(StepRecord(count=6, cpu_millis=100)))
        self.suspects = run_all(self.pool)
        (worker,) = {task.worker for task in self.suspects}
        lose(self.pool, worker)
        suspect_again(*self.suspects)

    def test_each_has_a_worker_to_itself_and_half_of_them_serve_the_others(self) -> None:
        tried = run_all(self.pool)
        self.assertEqual(2, len({task.worker for task in tried}))
        self.assertEqual(2, len(tried))
        submit(self.pool, make_record(StepRecord(count=8, cpu_millis=100), job="1" * 16))
        others = run_all(self.pool)
        self.assertEqual(8, len(others))
        self.assertFalse({t.worker for t in tried} & {t.worker for t in others})

    def test_none_waits_for_long_for_its_trial(self) -> None:
        # Workers crashed by themselves under fifty tasks of a pool that then shrank to four: the
        # trials took half a minute, with most of the room free.
        now = 100.0
        self.assertEqual(2, len(self.pool.place(now, 0.0)))
        self.assertEqual(0, len(self.pool.place(now + TRIAL_WAIT_S / 2, 0.0)))
        self.assertEqual(4, len(self.pool.place(now + TRIAL_WAIT_S, 0.0)))

    def test_one_that_runs_makes_way_for_the_next(self) -> None:
        for task in run_all(self.pool):
            prove(task)
            self.assertFalse(is_on_trial(task))
        self.assertEqual(2, len(run_all(self.pool)))

    def test_one_that_runs_for_long_is_cleared(self) -> None:
        task, *_ = run_all(self.pool)
        prove(task, ran_s=SETTLED_S)
        self.assertEqual([], task.losses)

    def test_a_worker_is_kept_until_its_new_tasks_have_shown_that_they_run(self) -> None:
        pool = make_pool(make_worker("w-1"))
        submit(pool, make_record(StepRecord(count=1, cpu_millis=100)))
        (suspect,) = run_all(pool)
        lose(pool, suspect.worker)
        suspect_again(suspect)
        pool.add_worker(make_worker("w-2")).reachable = True
        beside = submit(pool, make_record(StepRecord(count=1, cpu_millis=100), job="1" * 16))
        beside.tasks[0].state = TaskState.RUNNING
        pool.loads[WorkerId("w-2")].add(beside.tasks[0])
        late = submit(pool, make_record(StepRecord(count=1, cpu_millis=100), job="2" * 16))
        self.assertEqual([], run_all(pool))
        prove(beside.tasks[0])
        self.assertEqual([suspect], run_all(pool))
        self.assertIs(TaskState.WAITING, late.tasks[0].state)


class GiveUpTest(unittest.TestCase):
    """When the job of a task that brings workers down is given up."""

    def setUp(self) -> None:
        self.pool = make_pool(make_worker("w-0"))
        self.job = submit(self.pool, make_record(StepRecord(count=1, cpu_millis=100)))

    def crash(self, instance: str, *, alone: bool = True) -> None:
        loss = Loss(WorkerId(f"life of {instance}"), InstanceId(instance), alone)
        self.pool.lose_run(self.job.tasks[0], loss)

    def test_with_the_second_instance_that_it_alone_brought_down(self) -> None:
        self.crash("m-1")
        self.assertFalse(self.job.ended)
        self.crash("m-2")
        self.assertIs(JobPhase.FAILED, self.job.phase)
        assert self.job.failure is not None
        self.assertEqual(ALONE_LIMIT, len(self.job.failure.lost_workers))

    def test_not_by_an_instance_that_ends_again_and_again(self) -> None:
        for _ in range(LOSS_LIMIT - 1):
            self.crash("m-1")
        self.assertFalse(self.job.ended)

    def test_not_by_what_others_can_have_caused_until_the_callers_bound(self) -> None:
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
    """A pool in which some tasks bring their workers down, round by round."""

    @given(
        workers=st.integers(1, 8),
        jobs=st.lists(st.integers(1, 12), min_size=1, max_size=6),
        crashing=st.sets(st.integers(0, 11), min_size=1, max_size=3),
        round_s=st.sampled_from([0.0, 0.4, 1.0]),
    )
    @example(workers=1, jobs=[3, 1], crashing={2}, round_s=1.0)
    @example(workers=1, jobs=[1, 1, 4, 2, 1], crashing={8, 5}, round_s=1.0)
    def test_only_what_crashes_is_given_up_and_within_its_bound(
        self, workers: int, jobs: list[int], crashing: set[int], round_s: float
    ) -> None:
        model = CrashModel(workers, jobs, crashing, round_s)
        model.play()
        for task in model.tasks:
            if task in model.crashing:
                self.assertIs(JobPhase.FAILED, task.job.phase)
                self.assertLessEqual(model.starts[task], MOST_STARTS)
            elif not any(other in model.crashing for other in task.job.tasks):
                self.assertIs(JobPhase.COMPLETED, task.job.phase)


class CrashModel:
    """Workers that take three rounds for a task, and are back at once after a crash."""

    ROUNDS = 400
    TASK_ROUNDS = 3

    def __init__(self, workers: int, jobs: list[int], crashing: set[int], round_s: float) -> None:
        self.round_s = round_s
        self.now = 0.0
        self.pool = make_pool(*(make_worker(f"w-{number}") for number in range(workers)))
        self.tasks: list[Task] = []
        for number, count in enumerate(jobs):
            record = make_record(StepRecord(count=count, cpu_millis=500), job=f"{number:016x}")
            self.tasks += submit(self.pool, record).tasks
        self.crashing = {self.tasks[place % len(self.tasks)] for place in crashing}
        self.starts: Counter[Task] = Counter()
        self.age: Counter[Task] = Counter()
        self.lives = 0

    def play(self) -> None:
        """Play until every job has ended, or for as long as allowed."""
        for _ in range(self.ROUNDS):
            if all(task.job.ended for task in self.tasks):
                return
            self.round()

    def round(self) -> None:
        """Start what is placed, crash what crashes, age and end the rest."""
        self.now += self.round_s
        for task in run_all(self.pool, self.now):
            self.starts[task] += 1
            self.age[task] = 0
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

    def _crash(self, load: WorkerLoad) -> None:
        lose(self.pool, load.worker.id)
        self.lives += 1
        worker = replace(load.worker, id=WorkerId(f"life-{self.lives}"))
        self.pool.add_worker(worker).reachable = True


class StandingTest(unittest.TestCase):
    """A run's standing begins anew with each start."""

    def test_new_on_each_worker(self) -> None:
        pool = make_pool(make_worker("w-1"))
        submit(pool, make_record(StepRecord(count=1, cpu_millis=100)))
        (task,) = run_all(pool)
        prove(task)
        pool.free(task)
        run_all(pool)
        self.assertIs(Standing.NEW, task.standing)

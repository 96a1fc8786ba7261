"""In-memory state of a pool at its owner: jobs, workers, and unrecorded changes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from logbook import Logger

from pumicespur.jobs._crash_attribution import (
    COMMON_CAUSE_WINDOW_S,
    attribute_crash,
    exceeds_loss_limit,
    has_unproven_tasks,
    reserve_quarantine_workers,
    retract_worker_loss,
)
from pumicespur.jobs._estimates import ColdSlowdown, DurationEstimates
from pumicespur.jobs._fair_share import FairShareMeter
from pumicespur.jobs._job import TaskState, explain_failure, make_job, update_ticket_need
from pumicespur.jobs._limits import PoolLimits
from pumicespur.jobs._worker_load import WorkerLoad
from pumicespur.jobs.placement import (
    GangReservations,
    has_lost_runs,
    order_groups,
    place_groups,
    review_racks,
)
from pumicespur.model import JobId, RouteName, RunEnd, TaskName, WorkerId, worker_name
from pumicespur.schema.jobs_pb import FailureRecord, JobPhase
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Collection, Container, Sequence

    from pumicespur.jobs._job import Job, Task, WorkerLoss
    from pumicespur.model import (
        AccountId,
        Capacity,
        Configuration,
        EndedRun,
        PoolId,
        Rack,
        Worker,
        WorkerName,
    )
    from pumicespur.schema.jobs_pb import JobRecord, LeftRun, ProgressRecord, StepRecord

log = Logger(__name__)

RunKey: TypeAlias = tuple[TaskName, int]
"""A task and the number of its run."""

UNRESPONSIVE_RETENTION_S = 30.0
"""Time for which an unresponsive worker is remembered, to find a common cause; longer than the
lease of another worker that stopped responding at the same time."""


@dataclass(frozen=True)
class UnresponsiveWorker:
    """A worker that stopped responding without a newly started task that could have crashed it.

    `at` is in monotonic seconds.
    """

    worker: WorkerId
    rack: Rack
    at: float


@dataclass(frozen=True)
class InheritedRun:
    """A run started by an earlier owner of the pool, with its account."""

    account: AccountId
    record: LeftRun

    @property
    def key(self) -> RunKey:
        """Return the key that identifies the run."""
        return TaskName(self.record.task), self.record.run


@dataclass(eq=False)
class PoolState:
    """Jobs and workers of a pool; `dirty` holds the jobs with unrecorded progress."""

    pool: PoolId
    jobs: dict[JobId, Job] = field(default_factory=dict)
    loads: dict[WorkerId, WorkerLoad] = field(default_factory=dict)
    dirty: set[Job] = field(default_factory=set)
    newly_placed: list[Task] = field(default_factory=list)
    """Tasks placed since the last commit."""
    unresponsive_workers: list[UnresponsiveWorker] = field(default_factory=list)
    estimates: DurationEstimates = field(default_factory=DurationEstimates)
    limits: PoolLimits = field(init=False)
    inherited: dict[WorkerId, list[InheritedRun]] = field(default_factory=dict)
    """Runs of earlier owners that are not yet counted on their workers."""
    fair_share: FairShareMeter = field(default_factory=FairShareMeter)
    distinguishes_cold_workers: bool = False
    """Whether cold workers come last, get one start at a time and are left out of the learnt task
    durations."""
    cold_slowdown: ColdSlowdown = field(default_factory=ColdSlowdown)
    capacities: set[Capacity] | None = None
    """Cached set of the workers' distinct capacities; None if it must be recomputed."""
    configuration_version: int = -1
    """Version of the configuration that was last applied to the known jobs."""
    reservations: GangReservations = field(default_factory=GangReservations)
    spread_halls: bool = False
    """Whether long-running tasks are spread over data halls, because a hall may be lost."""

    def __post_init__(self) -> None:
        """Start with the whole limit of every account, until other pools are known."""
        self.limits = PoolLimits(self.pool)

    def add_job(
        self, record: JobRecord, configuration: Configuration, progress: ProgressRecord | None
    ) -> Job | None:
        """Add a submitted job; return None if it is already known."""
        known = self.jobs.get(JobId(record.id))
        if known is not None:
            return None
        job = make_job(record, self.estimates)
        update_ticket_need(job, configuration)
        if progress is not None:
            job.restore(progress)
            for run in job.outstanding_runs():
                self.add_inherited_run(job.account, run)
        account = configuration.accounts.get(job.account)
        if account is not None:
            job.exceeds_share = self.fair_share.note_job(
                job.account, account.weight, record.accepted_ms
            )
        if job.account and record.terms is not None:
            self.limits.note_accepted(job.account, record.terms.account_limit)
        self.jobs[job.id] = job
        return job

    def add_inherited_run(self, account: AccountId, run: LeftRun) -> None:
        """Count a run of an earlier owner against its account's limit."""
        if account:
            inherited = InheritedRun(account, run)
            self.inherited.setdefault(WorkerId(run.worker), []).append(inherited)
            self.limits.usage.add(account, run, 1)

    def adopt_inherited(self, load: WorkerLoad) -> None:
        """Drop the inherited runs that are now counted as tasks of their worker."""
        counted = {(task.name, task.run) for task in load.tasks}
        keys = [run.key for run in self.inherited.get(load.worker.id, ())]
        self.resolve_inherited(load.worker.id, {key for key in keys if key not in counted})

    def resolve_inherited(self, worker: WorkerId, keep: Container[RunKey] = ()) -> None:
        """Stop counting a worker's inherited runs, except for those in `keep`, which still run."""
        runs = self.inherited.pop(worker, [])
        remaining = [run for run in runs if run.key in keep]
        for run in runs:
            if run not in remaining:
                self.limits.usage.add(run.account, run.record, -1)
        if remaining:
            self.inherited[worker] = remaining

    def resolve_earlier_incarnations(self, load: WorkerLoad, running: Container[RunKey]) -> None:
        """Stop counting inherited runs of incarnations before the one that has responded.

        Runs that this incarnation lists, as it executed their starts late, count as its own.
        """
        name, current = load.worker.name, load.worker.id
        for earlier in [w for w in self.inherited if w != current and worker_name(w) == name]:
            counted = {(task.name, task.run) for task in load.tasks}
            keys = [run.key for run in self.inherited[earlier]]
            listed = {key for key in keys if key in running and key not in counted}
            self.resolve_inherited(earlier, listed)
            if listed:
                self.inherited.setdefault(current, []).extend(self.inherited.pop(earlier))

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that is in force to the jobs that are known."""
        if configuration.version == self.configuration_version:
            return
        self.configuration_version = configuration.version
        for job in self.jobs.values():
            update_ticket_need(job, configuration)

    def cancel(self, job: Job) -> None:
        """Cancel a job at its caller's request."""
        if not job.ended:
            job.phase = JobPhase.CANCELLED
            self.dirty.add(job)

    def find_task(self, name: TaskName) -> Task | None:
        """Find a task of a job that has not ended."""
        job = self.jobs.get(JobId(name.partition(".")[0]))
        return None if job is None else job.by_name.get(name)

    def add_worker(self, worker: Worker) -> WorkerLoad:
        """Add a worker, or update its description."""
        load = self.loads.get(worker.id)
        is_new = load is None
        if load is None:
            load = WorkerLoad(worker, self.limits.usage)
            self.loads[worker.id] = load
            self.capacities = None
        if load.worker.capacity != worker.capacity:
            self.capacities = None
        if self.distinguishes_cold_workers:
            load.note_cold(worker, monotonic(), is_new=is_new)
        load.worker = worker
        load.listed = True
        if worker.leaves_in_s is not None and load.leaves_at is None:
            load.leaves_at = monotonic() + worker.leaves_in_s
        return load

    def load_of(self, task: Task) -> WorkerLoad | None:
        """Return the load of the worker that a task was last assigned to, if that is known."""
        return self.loads.get(task.worker) if task.worker else None

    def drop_worker(self, worker: WorkerId, keep: Container[Task] = ()) -> None:
        """Remove a worker whose runs are known to be over, and requeue its tasks.

        Tasks in `keep` stay assigned: the worker's next incarnation may have started them.
        """
        load = self.loads.pop(worker, None)
        self.capacities = None
        for job in self.jobs.values():
            lost = [task for task in job.tasks if task.worker == worker and task not in keep]
            if not lost or job.ended:
                continue
            for task in lost:
                task.mark_waiting()
            self.dirty.add(job)
        if load is not None:
            for task in list(load.tasks):
                load.remove(task)
        self.resolve_inherited(worker)

    def note_unresponsive(self, load: WorkerLoad, now: float, *, silent: bool = False) -> None:
        """Note that a worker stopped responding, in silence or by closing its connections."""
        load.unresponsive_since = now
        load.connection_broken = not silent
        self.unresponsive_workers = [
            w for w in self.unresponsive_workers if now - w.at < UNRESPONSIVE_RETENTION_S
        ]
        if not has_unproven_tasks(load) and not load.leaving:
            self.unresponsive_workers.append(
                UnresponsiveWorker(load.worker.id, load.worker.rack, now)
            )

    def note_lost_runs(
        self, load: WorkerLoad, pending: Collection[Task] = (), *, ended: bool = True
    ) -> list[Task]:
        """Attribute the loss of a worker with its runs; return the suspected tasks.

        `ended` says that the incarnation has certainly ended; otherwise it was only unresponsive
        until its lease expired. One that closed no connection may have lost its power or network.
        Other workers of the rack that stopped responding at the same time suggest a common cause.
        """
        common_cause = any(
            other.worker != load.worker.id
            and other.rack == load.worker.rack
            and abs(other.at - load.unresponsive_since) <= COMMON_CAUSE_WINDOW_S
            for other in self.unresponsive_workers
        )
        crashed = ended and load.connection_broken
        suspected = attribute_crash(load, pending, may_be_sole_cause=crashed and not common_cause)
        for task in suspected:
            self._check_losses(task)
        return suspected

    def retract_loss(self, task: Task, worker: WorkerId) -> None:
        """Remove a worker loss from a task that turned out to run elsewhere."""
        retract_worker_loss([task], worker)
        self.dirty.add(task.job)

    def assigned_tasks(self) -> dict[WorkerName, list[Task]]:
        """Return the tasks of unfinished jobs by the worker that they were last assigned to."""
        assigned: dict[WorkerName, list[Task]] = {}
        for job in self.jobs.values():
            if job.ended:
                continue
            for task in job.tasks:
                if task.worker:
                    assigned.setdefault(worker_name(task.worker), []).append(task)
        return assigned

    def lost_workers(self) -> set[WorkerId]:
        """Return the workers whose loss is attributed to any task."""
        tasks = (task for job in self.jobs.values() for task in job.tasks)
        return {loss.worker for task in tasks for loss in task.losses}

    def note_lost_run(self, task: Task, loss: WorkerLoss) -> None:
        """Attribute a worker loss to a task that may not have started there."""
        if task.job.ended or task.state is TaskState.DONE:
            return
        task.losses.append(loss)
        self._check_losses(task)

    def _check_losses(self, task: Task) -> None:
        """Mark a task's losses as unrecorded; fail its job if there are too many."""
        self.dirty.add(task.job)
        if exceeds_loss_limit(task) and not task.job.ended:
            self._fail_job(task, [loss.worker for loss in task.losses])

    def retract_losses(self, load: WorkerLoad) -> None:
        """Remove the loss of a worker that responds again from all tasks."""
        tasks = (task for job in self.jobs.values() if not job.ended for task in job.tasks)
        self.dirty.update(task.job for task in retract_worker_loss(tasks, load.worker.id))

    def _fail_job(self, task: Task, lost_workers: Sequence[WorkerId] = ()) -> None:
        failure = FailureRecord(
            task=task.name, attempts=task.failures, lost_workers=list(lost_workers)
        )
        task.job.fail(failure)
        log.warning(
            "job given up",
            job=task.job.id,
            pool=self.pool,
            task=task.name,
            reason=explain_failure(failure),
            workers=list(lost_workers),
        )

    def requeue(self, task: Task, checkpoint: str = "") -> None:
        """Requeue a task whose run is known to be over."""
        load = self.load_of(task)
        if load is not None:
            load.remove(task)
        task.mark_waiting(checkpoint)
        if task.spec.long_running and task.unavailable_since is None:
            task.unavailable_since = monotonic()
        if not task.job.ended:
            self.dirty.add(task.job)

    def note_end(self, worker: WorkerId, end: EndedRun, now: float) -> None:
        """Apply the end of a run as reported by its worker."""
        task = self.find_task(end.task)
        if task is None or task.job.ended or task.state is TaskState.DONE:
            return
        newest = task.run == end.run and task.worker == worker
        if end.outcome is RunEnd.DONE:
            if newest and task.state is TaskState.RUNNING and task.started_at:
                self._learn_duration(task, (now - task.started_at) * 1000)
            self._finish(task, worker)
        elif newest:
            self._fail(task, end)
        load = self.loads.get(worker)
        if load is None or end.outcome not in (RunEnd.DONE, RunEnd.FAILED):
            return
        if load.note_result(end.outcome is RunEnd.DONE, now):
            log.warning("worker ejected", pool=self.pool, worker=worker, reason="failures")

    def _learn_duration(self, task: Task, actual_ms: float) -> None:
        """Learn from a completed task; one that began on a cold worker tells how slow these are."""
        route, declared_ms = task.job.route, task.spec.estimated_ms
        load = self.load_of(task)
        if load is not None and load.is_cold(task.started_at):
            self.cold_slowdown.add_task(self.estimates.expected_ms(route, declared_ms), actual_ms)
        else:
            self.estimates.add_task(route, declared_ms, actual_ms)

    def _finish(self, task: Task, worker: WorkerId) -> None:
        """Finish a task, with its gang; runs on other workers count until they are not listed."""
        members = task.group.tasks if task.spec.gang else [task]
        for member in members:
            load = self.load_of(member)
            if load is not None and load.worker.id == worker:
                load.remove(member)
            member.job.finish_task(member)
        self.dirty.add(task.job)

    def _fail(self, task: Task, end: EndedRun) -> None:
        if end.outcome is RunEnd.FAILED and not task.spec.long_running:
            self._count_failure(task, end.run)
        if task.spec.gang and end.checkpoint:
            task.group.gang_checkpoint = end.checkpoint
        self.requeue(task, end.checkpoint)

    def _count_failure(self, task: Task, run: int) -> None:
        """Count a failed attempt; fail the job after the last one."""
        if not task.spec.gang:
            task.failures += 1
        elif task.group.failed_run != run:
            task.group.failed_run = run
            for member in task.group.tasks:
                member.failures += 1
        self.dirty.add(task.job)
        if task.failures >= task.job.max_attempts:
            self._fail_job(task)

    def place(self, now: float, now_ms: float) -> list[Task]:
        """Choose workers for the waiting tasks that are ready to start."""
        loads = list(self.loads.values())
        groups = order_groups(self.jobs.values(), now_ms, loads)
        review_racks(groups, self.loads, now)
        lost_first = sorted(groups, key=lambda group: not has_lost_runs(group))
        reserve_quarantine_workers(lost_first, loads, now)
        self.limits.begin_round()
        placed = place_groups(groups, loads, self.limits, now, self.spread_halls, self.reservations)
        for task in placed:
            self.dirty.add(task.job)
            if task.job.phase is JobPhase.QUEUED:
                task.job.phase = JobPhase.RUNNING
        self.newly_placed += placed
        return placed

    def waiting_by_route(self) -> Counter[RouteName]:
        """Count the jobs without any started task, by route."""
        return Counter(j.route for j in self.jobs.values() if not j.has_started and not j.ended)

    def fits_anywhere(self, spec: StepRecord) -> bool:
        """Whether an empty worker could fit a task; true while no worker is known."""
        if self.capacities is None:
            self.capacities = {load.worker.capacity for load in self.loads.values()}
        return not self.capacities or any(
            spec.cpu_millis <= capacity.cpu_millis and spec.memory_mb <= capacity.memory_mb
            for capacity in self.capacities
        )

"""A submitted job in its owner's memory: its steps, its tasks and how far they are."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from pumicespur.model import (
    ANYONE,
    AccountId,
    InstanceId,
    JobId,
    RouteName,
    TaskName,
    WorkerId,
    task_name,
)
from pumicespur.schema.jobs_pb import (
    FailureRecord,
    JobPhase,
    LeftRun,
    LossRecord,
    ProgressRecord,
    TaskRecord,
)

if TYPE_CHECKING:
    from pumicespur.jobs._estimates import DurationEstimates
    from pumicespur.model import Rack, Route
    from pumicespur.schema.jobs_pb import JobRecord, StepRecord

MIN_TICKET_VALIDITY_S = 0.2
"""Time that a ticket must still hold when it is used: a commit and a call."""

ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class TaskState(Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    """A worker is chosen; the choice is not recorded yet."""
    STARTING = "starting"
    """The order to start may have reached the worker."""
    RUNNING = "running"
    DONE = "done"


class RunStability(Enum):
    """How far a task's present run has shown that it does not bring its worker down."""

    NEW = "new"
    PROVEN = "proven"
    """It has gone on for longer than a program takes to start."""
    STABLE = "settled"
    """It has gone on for so long that the worker's end has another cause."""


@dataclass(frozen=True)
class WorkerLoss:
    """A worker that was lost with a task on it that may have been the cause."""

    worker: WorkerId
    instance: InstanceId
    sole_suspect: bool
    """Nothing else can have been the cause."""


@dataclass(eq=False)
class Task:
    """One task; `index` is its place among all tasks of the job."""

    group: StepGroup
    index: int
    name: TaskName
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    losses: list[WorkerLoss] = field(default_factory=list)
    """Workers lost under the task since it last ran well for a while, oldest first."""
    stability: RunStability = RunStability.NEW
    quarantined: bool = False
    """It was placed on a worker to itself, as one that may bring it down."""
    quarantine_requested_at: float | None = None
    """Monotonic time since which it waits for such a worker, in seconds."""
    first_seen_at: float = 0.0
    """Monotonic time at which the present run was first known to be there, in seconds."""
    checkpoint: str = ""
    worker: WorkerId | None = None
    placed_at: float = 0.0
    """Monotonic time at which that worker was chosen, in seconds."""
    percent: int = 0
    started_at: float = 0.0
    """Monotonic time at which the present run was ordered to start, in seconds; 0 if another
    process ordered it, or if the order got no answer."""
    progressed_at: float = 0.0
    """Monotonic time at which the percent last changed, in seconds."""
    stop_sent_at: float = float("-inf")
    """Monotonic time of the last order to stop the present run."""
    stopping_run: int = 0
    """The run that was ordered to stop last; it may look at work for a little longer."""
    speed_percent: int = 100
    ticket: str = ""
    """Permission of the advising service for the present worker."""
    measurement: float = 0.0
    """Measured latency (ms) or processor use, see `Running`."""
    unavailable_since: float | None = None
    """Monotonic time since which a long-running task has not been at work."""

    @property
    def job(self) -> Job:
        """Return the job that the task belongs to."""
        return self.group.job

    @property
    def spec(self) -> StepRecord:
        """Return the step that the task belongs to."""
        return self.group.spec

    def is_current_run(self, worker: WorkerId, run: int) -> bool:
        """Whether a run on a worker may go on, which only the newest one may."""
        return not self.job.ended and (self.worker, self.run) == (worker, run)

    def mark_waiting(self, checkpoint: str = "") -> None:
        """Let the task wait for its next start."""
        self.state = TaskState.WAITING
        self.worker = None
        self.percent = 0
        self.speed_percent = 100
        if checkpoint:
            self.checkpoint = checkpoint


@dataclass(eq=False)
class StepGroup:
    """The tasks of one step in one repeat."""

    job: Job
    repeat: int
    number: int
    spec: StepRecord
    due_ms: int
    """Time of day before which no task may start, in milliseconds since 1970; 0 for none."""
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    gang_checkpoint: str = ""
    """The newest checkpoint of any member; every member of a gang starts from the same one."""
    failed_run: int = 0
    """The newest run of a gang that failed; it counts once for all members."""
    tickets: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    """Permissions to run the step, by worker, and their ends in monotonic seconds."""
    rack: Rack | None = None
    """The rack of the first placed task, for steps that stay in one rack."""

    @property
    def name(self) -> str:
        """Return the step's name as the advising service knows it."""
        return f"{self.job.id}.{self.repeat}.{self.number}"

    def ticket(self, worker: WorkerId, now: float) -> str:
        """Return a worker's ticket, empty if it has none that holds long enough."""
        ticket, until = self.tickets.get(worker, ("", 0.0))
        return ticket if until - now > MIN_TICKET_VALIDITY_S else ""

    def has_tickets(self, now: float) -> bool:
        """Whether any ticket still holds."""
        return any(self.ticket(worker, now) for worker in self.tickets)

    @property
    def complete(self) -> bool:
        """Whether every task has ended well."""
        return self.done == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait for a start."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]


@dataclass(eq=False)
class Job:
    """A job with all its repeats."""

    id: JobId
    record: JobRecord
    route: RouteName
    priority: int
    max_attempts: int
    deadline_ms: float
    """Time of day by which the job ought to be completed, in milliseconds since 1970."""
    critical_paths_ms: list[float] = field(default_factory=list)
    """For each step the longest chain from its start to the job's end, in milliseconds."""
    account: AccountId = ANYONE
    """Whose it is, whatever becomes of the key that it came with."""
    exceeds_share: bool = False
    """Its account had handed in more than its weight when it came."""
    advised: bool = False
    """Its tasks need tickets of the advising service."""
    phase: JobPhase = JobPhase.QUEUED
    failure: FailureRecord | None = None
    begun: bool = False
    groups: list[StepGroup] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)
    by_name: dict[TaskName, Task] = field(default_factory=dict)

    @property
    def ended(self) -> bool:
        """Whether nothing more is to be done for the job."""
        return self.phase in ENDED_PHASES

    def group(self, repeat: int, step: int) -> StepGroup:
        """Return the group of a step in a repeat."""
        return self.groups[repeat * len(self.record.steps) + step]

    def ready_groups(self, now_ms: float) -> list[StepGroup]:
        """Return the groups that have waiting tasks whose turn has come."""
        return [group for group in self.groups if self._is_ready(group, now_ms)]

    def _is_ready(self, group: StepGroup, now_ms: float) -> bool:
        if group.complete or group.due_ms > now_ms:
            return False
        return all(self.group(group.repeat, number).complete for number in group.spec.depends_on)

    def finish_task(self, task: Task) -> None:
        """Note that a task ended well; the job is completed with its last one."""
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        task.worker = None
        task.group.done += 1
        if all(group.complete for group in self.groups):
            self.phase = JobPhase.COMPLETED

    def fail(self, failure: FailureRecord) -> None:
        """Give the job up for a reason that is kept with it."""
        self.phase = JobPhase.FAILED
        self.failure = failure

    def progress(self, now_ms: int) -> ProgressRecord:
        """Write how far the job is."""
        record = ProgressRecord(
            phase=self.phase,
            changed_ms=now_ms,
            route=self.route,
            account=self.account,
            failure=self.failure,
        )
        if self.ended:
            record.left = self.outstanding_runs()
            return record
        done = 0
        for task in self.tasks:
            if task.state is TaskState.DONE:
                done |= 1 << task.index
            elif task.run:
                record.tasks.append(_task_record(task))
        record.done = done.to_bytes((done.bit_length() + 7) // 8, "little")
        return record

    def outstanding_runs(self) -> list[LeftRun]:
        """Return the runs that were ordered and are not known to be over."""
        return [
            LeftRun(
                task=task.name,
                run=task.run,
                worker=task.worker,
                cpu_millis=task.spec.cpu_millis,
                memory_mb=task.spec.memory_mb,
                accelerators=task.spec.accelerators,
            )
            for task in self.tasks
            if task.worker
        ]

    def restore(self, progress: ProgressRecord) -> None:
        """Take over what an earlier owner recorded."""
        self.phase = progress.phase or JobPhase.QUEUED
        done = int.from_bytes(progress.done, "little")
        for task in self.tasks:
            if done >> task.index & 1:
                self.finish_task(task)
        for kept in progress.tasks:
            task = self.tasks[kept.index]
            task.run = kept.run
            task.failures = kept.failures
            task.losses = [
                WorkerLoss(WorkerId(loss.worker), InstanceId(loss.instance), loss.alone)
                for loss in kept.losses
            ]
            task.checkpoint = kept.checkpoint
            if task.spec.gang and kept.checkpoint:
                task.group.gang_checkpoint = kept.checkpoint
            if kept.worker and task.state is not TaskState.DONE:
                task.worker = WorkerId(kept.worker)
                task.state = TaskState.STARTING
        self.begun = bool(done or progress.tasks)


def _task_record(task: Task) -> TaskRecord:
    return TaskRecord(
        index=task.index,
        run=task.run,
        worker=task.worker or "",
        failures=task.failures,
        checkpoint=task.checkpoint,
        losses=[
            LossRecord(worker=loss.worker, instance=loss.instance, alone=loss.sole_suspect)
            for loss in task.losses
        ],
    )


def make_job(record: JobRecord, route: Route | None, estimates: DurationEstimates) -> Job:
    """Lay out a job's tasks; without its route it can't be started but can be kept."""
    critical_paths_ms = compute_critical_paths_ms(record, estimates)
    stretch = route.stretch if route else 1.0
    objective_ms = route.latency_objective_s * 1000 if route else 0.0
    job = Job(
        id=JobId(record.id),
        record=record,
        route=RouteName(record.route),
        priority=route.priority if route else 0,
        max_attempts=route.max_attempts if route else 1,
        deadline_ms=record.accepted_ms
        + objective_ms
        + stretch * max(critical_paths_ms, default=0.0),
        critical_paths_ms=critical_paths_ms,
        account=AccountId(record.account),
        advised=route is not None and route.advice is not None,
    )
    for repeat in range(max(1, record.repeats)):
        due_ms = record.first_due_ms + repeat * record.interval_ms if record.repeats else 0
        for number, spec in enumerate(record.steps):
            _add_group(job, StepGroup(job, repeat, number, spec, due_ms))
    return job


def _add_group(job: Job, group: StepGroup) -> None:
    job.groups.append(group)
    for place in range(group.spec.count):
        name = task_name(job.id, group.repeat, group.number, place)
        task = Task(group, len(job.tasks), name)
        group.tasks.append(task)
        job.tasks.append(task)
        job.by_name[name] = task


def compute_critical_paths_ms(record: JobRecord, estimates: DurationEstimates) -> list[float]:
    """Return for each step the longest chain from its start to the job's end, in milliseconds."""
    route = RouteName(record.route)
    rest = [estimates.corrected_ms(route, step.estimated_ms) for step in record.steps]
    after = [0.0] * len(rest)
    for number in reversed(range(len(rest))):
        rest[number] += after[number]
        for earlier in record.steps[number].depends_on:
            after[earlier] = max(after[earlier], rest[number])
    return rest

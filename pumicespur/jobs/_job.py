"""In-memory state of a submitted job at its owner: steps, tasks and their progress."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from pumicespur.model import (
    ANONYMOUS_ACCOUNT,
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
    JobTerms,
    LeftRun,
    LossRecord,
    ProgressRecord,
    StepDemand,
    TaskRecord,
)

if TYPE_CHECKING:
    from pumicespur.jobs._estimates import DurationEstimates
    from pumicespur.model import Configuration, Rack
    from pumicespur.schema.jobs_pb import JobRecord, StepRecord

MIN_TICKET_VALIDITY_S = 0.2
"""Remaining validity that a ticket needs to be used: a commit and a call."""

MAX_CHECKPOINT_LENGTH = 2000
"""Longest checkpoint that is recorded. The next owner starts a task with a longer one from its
beginning; otherwise the task's row could exceed what the store accepts."""

DEFAULT_TERMS = JobTerms(max_attempts=1, stretch=1.0)
"""Terms of a record that states none: those of a route that declares none."""

ENDED_PHASES = frozenset({JobPhase.COMPLETED, JobPhase.FAILED, JobPhase.CANCELLED})


class TaskState(Enum):
    """State of a task."""

    WAITING = "waiting"
    PLACED = "placed"
    """Assigned to a worker; the assignment is not recorded yet."""
    STARTING = "starting"
    """The start may have reached the worker."""
    RUNNING = "running"
    DONE = "done"


class RunStability(Enum):
    """Evidence that a task's current run does not crash its worker."""

    NEW = "new"
    PROVEN = "proven"
    """It has run for longer than a program takes to start."""
    STABLE = "settled"
    """It has run for so long that it can no longer be the cause of a crash."""


@dataclass(frozen=True)
class WorkerLoss:
    """The loss of a worker that a task may have caused."""

    worker: WorkerId
    instance: InstanceId
    sole_suspect: bool
    """No other task can have been the cause."""


@dataclass(eq=False)
class Task:
    """One task; `index` is its position among all tasks of the job."""

    group: StepGroup
    index: int
    name: TaskName
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    losses: list[WorkerLoss] = field(default_factory=list)
    """Workers lost with the task since its last stable run, oldest first."""
    stability: RunStability = RunStability.NEW
    inherited: bool = False
    """The current run was ordered by an earlier owner or on an earlier incarnation of its worker,
    so it may have run for any time."""
    quarantined: bool = False
    """The current run is a quarantined start: a suspected task on a reserved worker."""
    quarantine_requested_at: float | None = None
    """Monotonic time since which it waits for a reserved worker, in seconds."""
    first_seen_at: float = 0.0
    """Monotonic time at which the current run was first confirmed, in seconds."""
    checkpoint: str = ""
    worker: WorkerId | None = None
    placed_at: float = 0.0
    """Monotonic time of the assignment to that worker, in seconds."""
    percent: int = 0
    started_at: float = 0.0
    """Monotonic time at which the start of the current run was sent, in seconds; 0 if another
    process sent it, or if it got no response."""
    progressed_at: float = 0.0
    """Monotonic time at which the percent last changed, in seconds."""
    stop_sent_at: float = float("-inf")
    """Monotonic time of the last stop sent for the current run, in seconds."""
    stopping_run: int = 0
    """The last run that was sent a stop; it may be reported as running for a little longer."""
    speed_percent: int = 100
    """Share of full speed at which a best-effort task may run."""
    ticket: str = ""
    """Admission ticket of the advice service for the current worker."""
    measurement: float = 0.0
    """Measured latency (ms) or processor use, see `ActiveRun`."""
    unavailable_since: float | None = None
    """Monotonic time since which a long-running task has not been available, in seconds."""

    @property
    def job(self) -> Job:
        """Return the job that the task belongs to."""
        return self.group.job

    @property
    def spec(self) -> StepRecord:
        """Return the step that the task belongs to."""
        return self.group.spec

    def is_current_run(self, worker: WorkerId, run: int) -> bool:
        """Whether a run is the task's newest and its job goes on; other runs are to be stopped."""
        return not self.job.ended and (self.worker, self.run) == (worker, run)

    def mark_waiting(self, checkpoint: str = "") -> None:
        """Reset the task to wait for its next start."""
        self.state = TaskState.WAITING
        self.worker = None
        self.percent = 0
        self.speed_percent = 100
        if checkpoint:
            self.checkpoint = checkpoint


@dataclass(eq=False)
class StepGroup:
    """The tasks of one step in one repeat of a job; `step` is the index of the step."""

    job: Job
    repeat: int
    step: int
    spec: StepRecord
    due_ms: int
    """Time of day before which no task may start, in milliseconds since 1970; 0 for none."""
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    gang_checkpoint: str = ""
    """The newest checkpoint of any member; every member of a gang starts from the same one."""
    failed_run: int = 0
    """The newest failed run of a gang; it counts once for all members."""
    tickets: dict[WorkerId, tuple[str, float]] = field(default_factory=dict)
    """Admission tickets for the step by worker, with their expiry in monotonic seconds."""
    rack: Rack | None = None
    """The rack of the first placed task, for steps that stay in one rack."""
    spans_racks: bool = False
    """Whether such a step uses several racks, since none can serve it alone."""
    rack_full_since: float | None = None
    """Monotonic time since which such a step waits in its rack beside room elsewhere, in seconds;
    None if it doesn't."""

    @property
    def name(self) -> str:
        """Return the name of the step in calls to the advice service."""
        return f"{self.job.id}.{self.repeat}.{self.step}"

    def ticket(self, worker: WorkerId, now: float) -> str:
        """Return a worker's ticket, or an empty string if none is valid for long enough."""
        ticket, until = self.tickets.get(worker, ("", 0.0))
        return ticket if until - now > MIN_TICKET_VALIDITY_S else ""

    def permits_rack(self, rack: Rack) -> bool:
        """Whether a step that stays in one rack may have tasks in a rack."""
        return self.rack is None or self.spans_racks or rack == self.rack

    def has_tickets(self, now: float) -> bool:
        """Whether any ticket is still valid."""
        return any(self.ticket(worker, now) for worker in self.tickets)

    @property
    def complete(self) -> bool:
        """Whether every task has completed."""
        return self.done == len(self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be started."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]


@dataclass(eq=False)
class Job:
    """A job with all its repeats."""

    id: JobId
    record: JobRecord
    route: RouteName
    priority: int
    max_attempts: int
    """Failed runs of one task after which the job fails."""
    deadline_ms: float
    """Time of day by which the job should be completed, in milliseconds since 1970."""
    critical_paths_ms: list[float] = field(default_factory=list)
    """Critical path from the start of each step to the end of the job, in milliseconds."""
    account: AccountId = ANONYMOUS_ACCOUNT
    """The submitting account; it stays the same if the key of the submission is revoked."""
    exceeds_share: bool = False
    """Its account was beyond its fair share when the job was submitted."""
    needs_tickets: bool = False
    """Whether its tasks need admission tickets of the advice service: by its route's present
    declaration, or as it was accepted while the configuration lacks the route."""
    phase: JobPhase = JobPhase.QUEUED
    failure: FailureRecord | None = None
    has_started: bool = False
    groups: list[StepGroup] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)
    by_name: dict[TaskName, Task] = field(default_factory=dict)

    @property
    def ended(self) -> bool:
        """Whether the job is completed, failed or cancelled."""
        return self.phase in ENDED_PHASES

    def group(self, repeat: int, step: int) -> StepGroup:
        """Return the group of a step in a repeat."""
        return self.groups[repeat * len(self.record.steps) + step]

    def ready_groups(self, now_ms: float) -> list[StepGroup]:
        """Return the incomplete groups whose start time and dependencies allow them to start."""
        return [group for group in self.groups if self._is_ready(group, now_ms)]

    def _is_ready(self, group: StepGroup, now_ms: float) -> bool:
        if group.complete or group.due_ms > now_ms:
            return False
        return all(self.group(group.repeat, step).complete for step in group.spec.depends_on)

    def finish_task(self, task: Task) -> None:
        """Mark a task as completed, and the job with its last one."""
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.DONE
        task.worker = None
        task.group.done += 1
        if all(group.complete for group in self.groups):
            self.phase = JobPhase.COMPLETED

    def fail(self, failure: FailureRecord) -> None:
        """Mark the job as failed and keep the reason."""
        self.phase = JobPhase.FAILED
        self.failure = failure

    def summary(self, now_ms: int) -> ProgressRecord:
        """Return the job's progress as a record without its tasks."""
        return ProgressRecord(
            phase=self.phase,
            changed_ms=now_ms,
            route=self.route,
            account=self.account,
            failure=self.failure,
            withdrawn=self.record.withdrawn,
        )

    def progress(self, now_ms: int) -> ProgressRecord:
        """Return the job's progress as one record."""
        record = self.summary(now_ms)
        if self.ended:
            record.left = self.outstanding_runs()
            return record
        done = 0
        for task in self.tasks:
            if task.state is TaskState.DONE:
                done |= 1 << task.index
            elif task.run:
                record.tasks.append(record_task(task))
        record.done = done.to_bytes((done.bit_length() + 7) // 8, "little")
        return record

    def demands(self) -> list[StepDemand]:
        """Return what each task of each step asks for."""
        return [
            StepDemand(
                count=step.count,
                cpu_millis=step.cpu_millis,
                memory_mb=step.memory_mb,
                accelerators=step.accelerators,
            )
            for step in self.record.steps
        ]

    def outstanding_runs(self) -> list[LeftRun]:
        """Return the runs that may have been started and are not known to be over."""
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
        """Restore the progress recorded by an earlier owner."""
        self.phase = progress.phase or JobPhase.QUEUED
        done = int.from_bytes(progress.done, "little")
        for task in self.tasks:
            if done >> task.index & 1:
                self.finish_task(task)
        for saved in progress.tasks:
            task = self.tasks[saved.index]
            task.run = saved.run
            task.failures = saved.failures
            task.losses = [
                WorkerLoss(WorkerId(loss.worker), InstanceId(loss.instance), loss.alone)
                for loss in saved.losses
            ]
            task.checkpoint = saved.checkpoint
            if task.spec.gang and saved.checkpoint:
                task.group.gang_checkpoint = saved.checkpoint
            if saved.worker and task.state is not TaskState.DONE:
                task.worker = WorkerId(saved.worker)
                task.state = TaskState.STARTING
        self.has_started = bool(done or progress.tasks)


def explain_failure(failure: FailureRecord) -> str:
    """Return in words why a job failed."""
    if failure.lost_workers:
        return f"task {failure.task} brought down {len(failure.lost_workers)} workers"
    return f"task {failure.task} failed {failure.attempts} times"


def record_task(task: Task) -> TaskRecord:
    """Return the record of a task that has been started; it is shorter than a row may be."""
    return TaskRecord(
        index=task.index,
        run=task.run,
        worker=task.worker or "",
        failures=task.failures,
        checkpoint=task.checkpoint if len(task.checkpoint) <= MAX_CHECKPOINT_LENGTH else "",
        losses=[
            LossRecord(worker=loss.worker, instance=loss.instance, alone=loss.sole_suspect)
            for loss in task.losses
        ],
    )


def make_job(record: JobRecord, estimates: DurationEstimates) -> Job:
    """Create a job with its groups and tasks, on the terms on which it was accepted."""
    critical_paths_ms = compute_critical_paths_ms(record, estimates)
    terms = record.terms or DEFAULT_TERMS
    job = Job(
        id=JobId(record.id),
        record=record,
        route=RouteName(record.route),
        priority=terms.priority,
        max_attempts=terms.max_attempts,
        deadline_ms=record.accepted_ms
        + terms.latency_objective_ms
        + terms.stretch * max(critical_paths_ms, default=0.0),
        critical_paths_ms=critical_paths_ms,
        account=AccountId(record.account),
        needs_tickets=terms.needs_tickets,
    )
    for repeat in range(max(1, record.repeats)):
        due_ms = record.first_due_ms + repeat * record.interval_ms if record.repeats else 0
        for step, spec in enumerate(record.steps):
            _add_group(job, StepGroup(job, repeat, step, spec, due_ms))
    return job


def update_ticket_need(job: Job, configuration: Configuration) -> None:
    """Follow the configuration on whether a job's starts need tickets, if it has the job's route.

    Workers refuse a start without one from when the operators require it.
    """
    route = configuration.routes.get(job.route)
    if route is not None:
        job.needs_tickets = route.advice is not None


def _add_group(job: Job, group: StepGroup) -> None:
    job.groups.append(group)
    for position in range(group.spec.count):
        name = task_name(job.id, group.repeat, group.step, position)
        task = Task(group, len(job.tasks), name)
        group.tasks.append(task)
        job.tasks.append(task)
        job.by_name[name] = task


def compute_critical_paths_ms(record: JobRecord, estimates: DurationEstimates) -> list[float]:
    """Return the critical path from the start of each step to the job's end, in milliseconds."""
    route = RouteName(record.route)
    path_ms = [estimates.expected_ms(route, step.estimated_ms) for step in record.steps]
    after_ms = [0.0] * len(path_ms)
    for step in reversed(range(len(path_ms))):
        path_ms[step] += after_ms[step]
        for earlier in record.steps[step].depends_on:
            after_ms[earlier] = max(after_ms[earlier], path_ms[step])
    return path_ms

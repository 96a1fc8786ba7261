"""The load of each worker of a pool, and whether it can be given more tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._account_usage import AccountUsage
from pumicespur.jobs._job import TaskState
from pumicespur.model import Capacity, InstanceId, WorkerState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.model import Worker
    from pumicespur.schema.jobs_pb import StepRecord

MIN_EJECT_FAILURES = 3
"""Consecutive failures before a worker is ejected; single failures are mostly the tasks' fault."""

MIN_EJECT_S = 2.0
"""Length of a worker's first ejection; it doubles with each further one."""

REPORT_VALIDITY_S = 6.0
"""Time for which the fleet leader may act on a report: the maximum age of the report, the maximum
age of the leader's proof of its role, the timeout of its order, and a heartbeat."""

MAX_EJECT_S = 16.0
"""Bounds an ejection so that a recovered worker is used again."""


@dataclass(eq=False)
class WorkerLoad:
    """The load of one worker as counted by the owner of its pool."""

    worker: Worker
    usage: AccountUsage = field(default_factory=AccountUsage)
    """Usage by account, shared by all workers of the pool."""
    tasks: set[Task] = field(default_factory=set)
    suspected_tasks: set[Task] = field(default_factory=set)
    """Its tasks that may have crashed another worker before."""
    has_unknown_runs: bool = False
    """It has runs that take capacity but are not counted here; they are being stopped."""
    reserved: bool = False
    """Whether it is reserved for the quarantined start of one suspected task, see
    `_crash_attribution`."""
    unresponsive_since: float = 0.0
    """Monotonic time at which it last stopped responding, in seconds."""
    connection_broken: bool = False
    """Whether it stopped responding by closing its connections, as when its process crashes. An
    instance that is cut off or without power is silent."""
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    listed: bool = True
    """Whether the store lists the worker."""
    reachable: bool = False
    """Whether it responded to the last call."""
    evacuating: bool = False
    """Whether it is being evacuated for the fleet leader; it then gets no new tasks."""
    hall_evacuated: bool = False
    """Whether operators evacuate its data hall; it then gets no new tasks, but its tasks go on."""
    evacuation_requested: bool = False
    """The latest, still fresh request of the fleet leader is to evacuate it."""
    evacuation_reported_at: float = float("-inf")
    """Monotonic time of the last report that confirmed the evacuation, in seconds."""
    reported_tasks: int = 0
    """Number of tasks in the last report."""
    throttled_at: float = 0.0
    """Monotonic time at which its best-effort tasks were last throttled or sped up, in seconds."""
    leaves_at: float | None = None
    """Monotonic time at which the worker may be gone, if it announced that, in seconds."""
    cold_until: float = 0.0
    """Monotonic time until which the worker is slow after its start, in seconds."""
    paused_until: float = 0.0
    """Monotonic time until which it gets no new tasks after a start that it did not take, in
    seconds."""
    ejected_until: float = 0.0
    """Monotonic time until which it is left out after failures of its tasks, in seconds."""
    failures: int = 0
    ejections: int = 0

    def add(self, task: Task) -> None:
        """Add a task to the load."""
        if task in self.tasks:
            return
        self.tasks.add(task)
        if task.losses:
            self.suspected_tasks.add(task)
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Remove a task from the load."""
        if task not in self.tasks:
            return
        self.tasks.remove(task)
        self.suspected_tasks.discard(task)
        self._count(task, -1)

    def _count(self, task: Task, sign: int) -> None:
        spec = task.spec
        self.usage.add(task.job.account, spec, sign)
        if not spec.fills:
            self.cpu_millis += sign * spec.cpu_millis
        self.memory_mb += sign * spec.memory_mb
        self.accelerators += sign * spec.accelerators

    @property
    def instance(self) -> InstanceId:
        """Return the worker's instance, or its own id if it reports none."""
        return self.worker.instance or InstanceId(self.worker.id)

    def update_evacuation(self, requested: bool | None, now: float) -> bool:
        """Apply the fleet leader's request, None if it has none fresh; return whether that changes.

        Without a fresh request, a reported evacuation stays in force for a while, because the
        leader may still act on that report.
        """
        self.evacuation_requested = bool(requested)
        still_valid = requested is None and now - self.evacuation_reported_at < REPORT_VALIDITY_S
        evacuating = self.evacuation_requested or (self.evacuating and still_valid)
        changed = evacuating != self.evacuating
        self.evacuating = evacuating
        return changed

    @property
    def leaving(self) -> bool:
        """Whether the worker is being evacuated or drained."""
        return self.evacuating or self.worker.state is WorkerState.DRAINING

    @property
    def is_open(self) -> bool:
        """Whether the worker is there to be given tasks, though perhaps not at this moment."""
        ready = self.listed and self.worker.state is WorkerState.READY
        wanted = not self.evacuating and not self.hall_evacuated
        return ready and self.reachable and wanted

    def can_accept_tasks(self, now: float) -> bool:
        """Whether the worker can be given tasks now."""
        return self.is_usable(now) and now >= self.ejected_until

    def is_usable(self, now: float) -> bool:
        """Whether the worker can be given tasks now, or could if its tasks had not failed."""
        return self.is_open and not self.has_unknown_runs and now >= self.paused_until

    def note_cold(self, worker: Worker, now: float, *, is_new: bool) -> None:
        """Apply for how long an entry says that the worker is cold.

        The same entry is seen again and again, so its time counts from the first time. A worker may
        turn cold again without a restart, after an evacuation of its data hall.
        """
        if not is_new and worker.cold_for_s == self.worker.cold_for_s:
            return
        if worker.cold_for_s:
            self.cold_until = now + worker.cold_for_s
        else:
            self.cold_until = min(self.cold_until, now)

    def is_cold(self, now: float) -> bool:
        """Whether the worker is still slow after its start."""
        return now < self.cold_until

    def may_start_another(self, now: float) -> bool:
        """Whether a start may be added to those under way; a cold worker gets one at a time.

        Platforms limit the rate of starts on cold workers, and one at a time keeps below it.
        """
        if not self.is_cold(now):
            return True
        return all(task.state not in (TaskState.PLACED, TaskState.STARTING) for task in self.tasks)

    def is_overcommitted(self) -> bool:
        """Whether the load exceeds the capacity, which may have shrunk since assignments."""
        capacity = self.worker.capacity
        return (
            self.cpu_millis > capacity.cpu_millis
            or self.memory_mb > capacity.memory_mb
            or self.accelerators > capacity.accelerators
        )

    def fits(self, spec: StepRecord) -> bool:
        """Whether one more task of a step fits in the free capacity."""
        capacity = self.worker.capacity
        cpu = 0 if spec.fills else spec.cpu_millis
        return (
            self.cpu_millis + cpu <= capacity.cpu_millis
            and self.memory_mb + spec.memory_mb <= capacity.memory_mb
            and self.accelerators + spec.accelerators <= capacity.accelerators
        )

    def slots(self, group: StepGroup) -> int:
        """Return how many tasks of a step fit on the worker, with those that are there already.

        Only long-running tasks of other steps count as staying there.
        """
        return count_fitting(group, self._free_beside(self._staying(group)))

    def free_slots(self, group: StepGroup) -> int:
        """Return how many more tasks of a step fit on the worker."""
        total = self.worker.capacity
        free = Capacity(
            total.cpu_millis - self.cpu_millis,
            total.memory_mb - self.memory_mb,
            total.accelerators - self.accelerators,
        )
        return count_fitting(group, free, self._count_assigned(group))

    def ending_tasks(self) -> list[Task]:
        """Return the tasks that end by themselves, or because their job has ended."""
        return [task for task in self.tasks if not task.spec.long_running or task.job.ended]

    def slots_beside_long_running(self, group: StepGroup) -> int:
        """Return how many more tasks of a step fit on the worker once all tasks that end have."""
        own = [task for task in self.tasks if task.group is group and task.spec.long_running]
        free = self._free_beside([*self._staying(group), *own])
        return count_fitting(group, free, len(own))

    def _staying(self, group: StepGroup) -> list[Task]:
        """Return the tasks of other steps that don't end by themselves."""
        return [
            task
            for task in self.tasks
            if task.spec.long_running and not task.job.ended and task.group is not group
        ]

    def _free_beside(self, staying: Iterable[Task]) -> Capacity:
        free = self.worker.capacity
        for task in staying:
            free = add_demand(free, task.spec, -1)
        return free

    def has_label(self, spec: StepRecord) -> bool:
        """Whether the worker has the label that a step requires, if any."""
        return not spec.required_label or spec.required_label in self.worker.labels

    def meets_constraints(self, group: StepGroup) -> bool:
        """Whether the step's required label and maximum per worker permit one more of its tasks."""
        spec = group.spec
        if not self.has_label(spec):
            return False
        if not spec.max_per_worker:
            return True
        return self._count_assigned(group) < spec.max_per_worker

    def _count_assigned(self, group: StepGroup) -> int:
        return sum(1 for task in self.tasks if task.group is group)

    def can_take(self, group: StepGroup, now: float) -> bool:
        """Whether one more task of a step can be given to the worker now."""
        return (
            self.can_accept_tasks(now)
            and self.may_start_another(now)
            and self.fits(group.spec)
            and self.meets_constraints(group)
        )

    def utilization(self) -> float:
        """Return the utilization of the worker's scarcest resource, processor or memory."""
        capacity = self.worker.capacity
        return max(
            self.cpu_millis / max(1, capacity.cpu_millis),
            self.memory_mb / max(1, capacity.memory_mb),
        )

    def note_result(self, well: bool, now: float) -> bool:
        """Count the end of a task; return whether the worker is ejected now."""
        if well:
            self.failures = 0
            self.ejections = 0
            return False
        self.failures += 1
        if self.failures < MIN_EJECT_FAILURES:
            return False
        self.failures = 0
        self.ejected_until = now + min(MAX_EJECT_S, MIN_EJECT_S * 2**self.ejections)
        self.ejections += 1
        return True


def add_demand(capacity: Capacity, spec: StepRecord, sign: int = 1) -> Capacity:
    """Return a capacity with what a task takes added to it, or taken from it with sign -1."""
    return Capacity(
        capacity.cpu_millis + (0 if spec.fills else sign * spec.cpu_millis),
        capacity.memory_mb + sign * spec.memory_mb,
        capacity.accelerators + sign * spec.accelerators,
    )


def count_fitting(group: StepGroup, free: Capacity, assigned: int = 0) -> int:
    """Return how many more tasks of a step fit in a worker's free resources.

    `assigned` tasks of the step are on the worker already.
    """
    spec = group.spec
    most = (spec.max_per_worker or len(group.tasks)) - assigned
    cpu_millis = 0 if spec.fills else spec.cpu_millis
    resources = (
        (free.cpu_millis, cpu_millis),
        (free.memory_mb, spec.memory_mb),
        (free.accelerators, spec.accelerators),
    )
    counts = (available // needed for available, needed in resources if needed)
    return min(most, max(0, min(counts, default=most)))

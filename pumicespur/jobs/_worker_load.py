"""What each worker of a pool carries and whether it may be given more."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._account_usage import AccountUsage
from pumicespur.model import InstanceId, WorkerState

if TYPE_CHECKING:
    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.model import Worker
    from pumicespur.schema.jobs_pb import StepRecord

MIN_EJECT_FAILURES = 3
"""Failures in a row before a worker is left out; single failures are the tasks' own."""

MIN_EJECT_S = 2.0
"""First time for which a failing worker is left out; it doubles with each further time."""

REPORT_VALIDITY_S = 6.0
"""Time for which the fleet's holder may act on a report: the report's age, the holder's proof of
its duty, the time-out of its order, and a heartbeat."""

MAX_EJECT_S = 16.0
"""Longest time for which a failing worker is left out, so that it is tried again."""


@dataclass(eq=False)
class WorkerLoad:
    """One worker as its pool's owner counts it."""

    worker: Worker
    usage: AccountUsage = field(default_factory=AccountUsage)
    """What accounts have running in the pool."""
    tasks: set[Task] = field(default_factory=set)
    suspected_tasks: set[Task] = field(default_factory=set)
    """Those of its tasks that may have brought an earlier worker down."""
    has_unknown_runs: bool = False
    """It carries runs that take room and are not counted here; they are being stopped."""
    reserved: bool = False
    """It gets no new tasks but one suspect, see `_crash_attribution`."""
    silent_at: float = 0.0
    """Monotonic time at which it last stopped answering, in seconds."""
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    listed: bool = True
    """Whether the store lists the worker."""
    reachable: bool = False
    """Whether it answered the last call."""
    evacuating: bool = False
    """It is kept empty for the fleet's holder."""
    evacuation_requested: bool = False
    """The holder was heard of lately, and wants it emptied."""
    evacuation_reported_at: float = float("-inf")
    """Monotonic time at which a report last told the holder so."""
    reported_tasks: int = 0
    """Tasks that the last report told of."""
    throttled_at: float = 0.0
    """Monotonic time of the last change of pace of its filling tasks."""
    leaves_at: float | None = None
    """Monotonic time at which the worker may be gone, if it said so."""
    paused_until: float = 0.0
    """Monotonic time until which it gets no new tasks, in seconds."""
    failures: int = 0
    ejections: int = 0

    def add(self, task: Task) -> None:
        """Count a task."""
        if task in self.tasks:
            return
        self.tasks.add(task)
        if task.losses:
            self.suspected_tasks.add(task)
        self._count(task, 1)

    def remove(self, task: Task) -> None:
        """Count a task no longer."""
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
        """Return what the worker runs on; its own id where it names no instance."""
        return self.worker.instance or InstanceId(self.worker.id)

    def update_evacuation(self, wanted: bool | None, now: float) -> bool:
        """Take the holder's word, None if it is silent; return whether anything changes.

        What a report told is acted on for a while, also by a holder that is not heard of any more.
        """
        self.evacuation_requested = bool(wanted)
        kept = wanted is None and now - self.evacuation_reported_at < REPORT_VALIDITY_S
        evacuating = self.evacuation_requested or (self.evacuating and kept)
        changed = evacuating != self.evacuating
        self.evacuating = evacuating
        return changed

    @property
    def leaving(self) -> bool:
        """Whether the worker's end is planned."""
        return self.evacuating or self.worker.state is WorkerState.DRAINING

    def accepts_tasks(self, now: float) -> bool:
        """Whether the worker may be given tasks now."""
        ready = self.listed and self.worker.state is WorkerState.READY
        answers = self.reachable and not self.has_unknown_runs
        return ready and answers and not self.evacuating and now >= self.paused_until

    def is_overcommitted(self) -> bool:
        """Whether what is counted here exceeds the room, which may have shrunk since."""
        room = self.worker.capacity
        return (
            self.cpu_millis > room.cpu_millis
            or self.memory_mb > room.memory_mb
            or self.accelerators > room.accelerators
        )

    def fits(self, spec: StepRecord) -> bool:
        """Whether one more task of a step has room."""
        room = self.worker.capacity
        cpu = 0 if spec.fills else spec.cpu_millis
        return (
            self.cpu_millis + cpu <= room.cpu_millis
            and self.memory_mb + spec.memory_mb <= room.memory_mb
            and self.accelerators + spec.accelerators <= room.accelerators
        )

    def has_label(self, spec: StepRecord) -> bool:
        """Whether the worker has the label that a step requires, if it requires one."""
        return not spec.required_label or spec.required_label in self.worker.labels

    def meets_constraints(self, group: StepGroup) -> bool:
        """Whether the step's label and spread permit one more of its tasks here."""
        spec = group.spec
        if not self.has_label(spec):
            return False
        if not spec.max_per_worker:
            return True
        held = sum(1 for task in self.tasks if task.group is group)
        return held < spec.max_per_worker

    def can_take(self, group: StepGroup, now: float) -> bool:
        """Whether one more task of a step may be given to the worker now."""
        return self.accepts_tasks(now) and self.fits(group.spec) and self.meets_constraints(group)

    def utilization(self) -> float:
        """Return how full the worker is, by its scarcest resource."""
        room = self.worker.capacity
        return max(
            self.cpu_millis / max(1, room.cpu_millis), self.memory_mb / max(1, room.memory_mb)
        )

    def note_result(self, well: bool, now: float) -> bool:
        """Count how a task ended; return whether the worker is left out from now on."""
        if well:
            self.failures = 0
            self.ejections = 0
            return False
        self.failures += 1
        if self.failures < MIN_EJECT_FAILURES:
            return False
        self.failures = 0
        self.paused_until = now + min(MAX_EJECT_S, MIN_EJECT_S * 2**self.ejections)
        self.ejections += 1
        return True

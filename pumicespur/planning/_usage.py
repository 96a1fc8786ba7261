"""Resource usage and failures of tasks, from the platform's reports, which lag behind.

Declared sizes can be far off, and some instances fail every task they start. A job's tasks are
therefore placed by the larger of the declared and the reported usage, a failed task is placed on
another instance, and an instance on which several tasks failed and none runs gets no new tasks.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Job, Resources
from pumicespur.structure import InstanceId, JobId, TaskId
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.schema.platform_pb import TaskUsage

TASK_PREFIX = "pumicespur/"
"""Prefix of this system's tasks in the platform's task names. Other tasks must not be stopped."""

MIN_FAILURES_TO_AVOID = 3
"""Number of tasks that must have failed on an instance before it gets no new ones."""


def platform_task_name(task: str) -> str:
    """Return the name of a task on the platform."""
    return TASK_PREFIX + task


def own_tasks(reported: Iterable[TaskUsage]) -> list[TaskUsage]:
    """Return the reports on this system's tasks, with the platform's prefix removed."""
    return [
        replace_fields(usage, task=usage.task.removeprefix(TASK_PREFIX))
        for usage in reported
        if usage.task.startswith(TASK_PREFIX)
    ]


@dataclass
class UsageTracker:
    """Max reported usage of each job, and failed tasks by instance."""

    max_used: dict[JobId, Resources] = field(default_factory=dict)
    failures: defaultdict[InstanceId, set[TaskId]] = field(default_factory=lambda: defaultdict(set))
    newly_failed: frozenset[tuple[TaskId, InstanceId]] = frozenset()

    def observe(self, tasks: Iterable[TaskUsage]) -> None:
        """Apply one report."""
        failed = set()
        for usage in tasks:
            task, instance = TaskId(usage.task), InstanceId(usage.instance)
            if usage.failed:
                failed.add((task, instance))
                self.failures[instance].add(task)
            else:
                # A running task shows that the instance works.
                self.failures.pop(instance, None)
            if usage.used is not None:
                self._note_usage(JobId(task.rpartition("/")[0]), usage.used)
        self.newly_failed = frozenset(failed)

    def _note_usage(self, job: JobId, used: Resources) -> None:
        self.max_used[job] = _max_resources(self.max_used.get(job, Resources()), used)

    def needs(self, job: Job) -> Resources:
        """Return the resources for each task of a job: declared, or more if more was used."""
        declared = job.needs or Resources()
        return _max_resources(declared, self.max_used.get(JobId(job.id), Resources()))

    def has_failed(self, task: TaskId, instance: str) -> bool:
        """Return whether the newest report names a task as failed on an instance."""
        return (task, InstanceId(instance)) in self.newly_failed

    def is_avoided(self, instance: str) -> bool:
        """Return whether an instance gets no new tasks because tasks fail on it."""
        return len(self.failures.get(InstanceId(instance), ())) >= MIN_FAILURES_TO_AVOID


def _max_resources(one: Resources, other: Resources) -> Resources:
    return Resources(
        millicores=max(one.millicores, other.millicores),
        memory_mb=max(one.memory_mb, other.memory_mb),
        accelerators=max(one.accelerators, other.accelerators),
    )

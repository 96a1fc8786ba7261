"""What tasks were seen to use and how they ended, from the platform's lagging reports.

Declared sizes are far off, and some instances fail everything they start (the brief). So
a job's tasks are placed by the larger of what is declared and what was seen; a failed
task is placed again elsewhere; and an instance on which several tasks failed and none
runs gets no new ones.
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
"""Starts the platform's name of every task of this system. Others are not ours to stop."""

FAILURES_TO_AVOID = 3
"""Tasks that must have failed on an instance before it is avoided."""


def platform_name(task: str) -> str:
    """Return the name by which the platform knows a task."""
    return TASK_PREFIX + task


def own_tasks(reported: Iterable[TaskUsage]) -> list[TaskUsage]:
    """Return the reports of this system's tasks, by their own names."""
    return [
        replace_fields(usage, task=usage.task.removeprefix(TASK_PREFIX))
        for usage in reported
        if usage.task.startswith(TASK_PREFIX)
    ]


@dataclass
class UsageBook:
    """Keeps the largest use seen of each job, and failures by instance."""

    largest: dict[JobId, Resources] = field(default_factory=dict)
    failures: defaultdict[InstanceId, set[TaskId]] = field(default_factory=lambda: defaultdict(set))
    failed_now: frozenset[tuple[TaskId, InstanceId]] = frozenset()

    def observe(self, tasks: Iterable[TaskUsage]) -> None:
        """Take in one report."""
        failed = set()
        for usage in tasks:
            task, instance = TaskId(usage.task), InstanceId(usage.instance)
            if usage.failed:
                failed.add((task, instance))
                self.failures[instance].add(task)
            else:
                # One that runs shows that the instance can.
                self.failures.pop(instance, None)
            if usage.used is not None:
                self._note_use(JobId(task.rpartition("/")[0]), usage.used)
        self.failed_now = frozenset(failed)

    def _note_use(self, job: JobId, used: Resources) -> None:
        self.largest[job] = _larger(self.largest.get(job, Resources()), used)

    def needs(self, job: Job) -> Resources:
        """Return what each task of a job needs: what is declared, or more if more was seen."""
        declared = job.needs or Resources()
        return _larger(declared, self.largest.get(JobId(job.id), Resources()))

    def has_failed(self, task: TaskId, instance: str) -> bool:
        """Tell whether the newest report names a task as failed on an instance."""
        return (task, InstanceId(instance)) in self.failed_now

    def is_avoided(self, instance: str) -> bool:
        """Tell whether an instance gets no new tasks."""
        return len(self.failures.get(InstanceId(instance), ())) >= FAILURES_TO_AVOID


def _larger(one: Resources, other: Resources) -> Resources:
    return Resources(
        millicores=max(one.millicores, other.millicores),
        memory_mb=max(one.memory_mb, other.memory_mb),
        accelerators=max(one.accelerators, other.accelerators),
    )

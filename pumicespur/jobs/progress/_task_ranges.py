"""Rows of consecutive tasks, for jobs whose progress one row can't hold."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from pumicespur.jobs._job import TaskState, record_task
from pumicespur.schema.jobs_pb import TaskRangeRecord

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.jobs._job import Task, WorkerLoss
    from pumicespur.model import WorkerId

RANGE_TASKS = 256
"""Tasks of one row; with short ids and checkpoints, about 10 KB."""

TaskSnapshot: TypeAlias = tuple[bool, int, "WorkerId | None", int, str, tuple["WorkerLoss", ...]]
"""What is recorded of a task: done, run, worker, failures, checkpoint and losses."""


@dataclass(eq=False)
class TaskRange:
    """Consecutive tasks of a job that are recorded in one row."""

    first: int
    end: int
    recorded: tuple[TaskSnapshot, ...] | None = None
    """The tasks as recorded last; None if the row was not written by this owner."""

    def contains(self, task: Task) -> bool:
        """Whether a task is one of these."""
        return self.first <= task.index < self.end


def snapshot(tasks: Sequence[Task]) -> tuple[TaskSnapshot, ...]:
    """Return what is to be recorded of tasks."""
    return tuple(
        (
            task.state is TaskState.DONE,
            task.run,
            task.worker,
            task.failures,
            task.checkpoint,
            tuple(task.losses),
        )
        for task in tasks
    )


def encode_range(tasks: Sequence[Task]) -> bytes:
    """Return the row of consecutive tasks."""
    record = TaskRangeRecord(first=tasks[0].index)
    done = 0
    for position, task in enumerate(tasks):
        if task.state is TaskState.DONE:
            done |= 1 << position
        elif task.run:
            record.tasks.append(record_task(task))
    record.done = done.to_bytes((done.bit_length() + 7) // 8, "little")
    return record.to_binary()


def initial_ranges(tasks: int, firsts: Collection[int]) -> list[TaskRange]:
    """Divide the tasks of a job into ranges; one begins at each first task of a recorded range.

    A recorded range that began within a new one would go on to count for its tasks.
    """
    starts = sorted({*range(0, tasks, RANGE_TASKS), *firsts})
    ends = [*starts[1:], tasks]
    return [TaskRange(first, end) for first, end in zip(starts, ends, strict=True)]

"""Reads recorded progress back: the rows of jobs and those of the tasks of split jobs."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._job import ENDED_PHASES
from pumicespur.model import JobId, task_name
from pumicespur.schema.jobs_pb import LeftRun, ProgressRecord, StepDemand, TaskRangeRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from pumicespur.schema.jobs_pb import TaskRecord
    from pumicespur.store import Row


@dataclass
class RecordedProgress:
    """Progress of a pool's jobs as earlier owners recorded it."""

    jobs: dict[JobId, ProgressRecord] = field(default_factory=dict)
    """Progress with the tasks of split jobs; of ended jobs, with the runs that they left."""
    firsts: dict[JobId, list[int]] = field(default_factory=dict)
    """First tasks of the ranges that have rows, by job."""


def read_progress(rows: Iterable[Row]) -> RecordedProgress:
    """Read the rows of jobs and those of their tasks."""
    recorded = RecordedProgress()
    ranges: defaultdict[JobId, list[TaskRangeRecord]] = defaultdict(list)
    for row in rows:
        _, _, name, *first = row.key.split("/")
        if first:
            ranges[JobId(name)].append(TaskRangeRecord.from_binary(row.value))
        else:
            recorded.jobs[JobId(name)] = ProgressRecord.from_binary(row.value)
    for job, records in ranges.items():
        records.sort(key=lambda record: record.first)
        recorded.firsts[job] = [record.first for record in records]
        _add_ranges(job, recorded.jobs.setdefault(job, ProgressRecord()), records)
    return recorded


def _add_ranges(job: JobId, progress: ProgressRecord, ranges: Iterable[TaskRangeRecord]) -> None:
    """Add the tasks of ranges to a job's progress; a later range counts before an earlier one."""
    tasks: dict[int, TaskRecord] = {task.index: task for task in progress.tasks}
    done = int.from_bytes(progress.done, "little")
    for record in ranges:
        done |= int.from_bytes(record.done, "little") << record.first
        tasks.update({task.index: task for task in record.tasks})
    unfinished = [task for index, task in tasks.items() if not done >> index & 1]
    if progress.phase in ENDED_PHASES:
        progress.left = [*progress.left, *_left_runs(job, progress.demands, unfinished)]
        return
    progress.done = done.to_bytes((done.bit_length() + 7) // 8, "little")
    progress.tasks = unfinished


def _left_runs(
    job: JobId, demands: list[StepDemand], tasks: Iterable[TaskRecord]
) -> Iterator[LeftRun]:
    """Return the runs of an ended job that may still be there."""
    ends = list(itertools.accumulate(demand.count for demand in demands))
    if not ends:
        return
    for task in tasks:
        if not task.worker:
            continue
        repeat, position = divmod(task.index, ends[-1])
        step = next(step for step, end in enumerate(ends) if position < end)
        demand = demands[step]
        yield LeftRun(
            task=task_name(job, repeat, step, position - (ends[step] - demand.count)),
            run=task.run,
            worker=task.worker,
            cpu_millis=demand.cpu_millis,
            memory_mb=demand.memory_mb,
            accelerators=demand.accelerators,
        )

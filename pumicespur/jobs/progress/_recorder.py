"""Records the progress of a pool's jobs in rows of bounded size.

A job of few tasks has one row. One whose progress doesn't fit there is split: its row tells the
phase, and its tasks are in rows of their own, of which only changed ones are written. A job whose
changes don't fit into a commit goes on with the next one, behind the other jobs.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.jobs._keys import progress_key, task_range_key
from pumicespur.jobs.progress._task_ranges import (
    TaskRange,
    encode_range,
    initial_ranges,
    snapshot,
)
from pumicespur.store import Write

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Job, Task
    from pumicespur.jobs.progress._restore import RecordedProgress
    from pumicespur.jobs.progress._write_batch import WriteBatch
    from pumicespur.model import JobId, PoolId
    from pumicespur.schema.jobs_pb import JobPhase

MAX_ROW_RATIO = 0.75
"""Share of the store's limit that a row may take: its value grows by a third in base64, and the
cancellation of a submission must still fit."""

REFUSED_RETRY_MS = 5_000
"""Pause before a job is recorded again of which the store has refused a row for good; its record
may have become smaller by then."""

MAX_UNSPLIT_TASKS = 512
"""Number of tasks from which a job is split without trying whether it fits into one row."""


@dataclass(eq=False)
class SplitProgress:
    """What is recorded of a split job."""

    ranges: list[TaskRange]
    header: tuple[JobPhase, str] | None = None
    """Phase and failed task of the job's own row as written last; None if it was not."""


class ProgressRecorder:
    """Turns changed jobs of one pool into writes."""

    def __init__(self, pool: PoolId, row_bytes: int) -> None:
        self.pool = pool
        self.max_value_bytes = int(MAX_ROW_RATIO * row_bytes)
        self.waiting: dict[Job, None] = {}
        """Jobs with unrecorded changes, in the order in which they take their turns."""
        self.split: dict[JobId, SplitProgress] = {}
        self.postponed: dict[Job, list[TaskRange]] = {}
        """Jobs of which the last commit holds a part, with the ranges that it has no room for."""
        self.firsts: dict[JobId, set[int]] = {}
        """First tasks of the ranges of split jobs that have rows, until these are removed."""
        self.refused: dict[Job, int] = {}
        """Jobs of which the store has refused a row for good, with the time of day from which they
        are recorded again, in milliseconds since 1970."""
        self.removals: deque[str] = deque()
        """Keys of rows to be removed, those of a job's tasks before its own."""

    def note_recorded(self, recorded: RecordedProgress) -> None:
        """Note the rows of tasks that earlier owners have written."""
        self.firsts = {job: set(firsts) for job, firsts in recorded.firsts.items()}

    def collect(self, dirty: set[Job], now_ms: int, batch: WriteBatch) -> list[Job]:
        """Add the changes of dirty jobs to a commit, as far as there is room.

        Return the jobs whose changes it holds completely; they are not dirty any more.
        """
        self._retry_refused(dirty, now_ms)
        for job in sorted(dirty - self.waiting.keys(), key=lambda job: job.id):
            self.waiting[job] = None
        self.postponed = {}
        recorded: list[Job] = []
        for job in list(self.waiting):
            if job in dirty and not self._collect_job(job, now_ms, batch):
                break
            del self.waiting[job]
            if job in dirty:
                dirty.discard(job)
                recorded.append(job)
            if job.ended:
                self.split.pop(job.id, None)
        for job in self.postponed:
            # Others take their turns before the rest of this job.
            del self.waiting[job]
            self.waiting[job] = None
        return recorded

    def is_recorded(self, task: Task, dirty: set[Job]) -> bool:
        """Whether a task is recorded as it is, once the collected writes are."""
        if task.job not in dirty:
            return task.job not in self.refused
        postponed = self.postponed.get(task.job)
        return postponed is not None and not any(r.contains(task) for r in postponed)

    def note_refused(self, rows: Iterable[Write], jobs: Iterable[Job], now_ms: int) -> set[Job]:
        """Note rows that the store has refused for good; return which of the jobs they are of.

        These jobs are recorded again after a while. Others are not held back by them.
        """
        names = {row.key.split("/")[2] for row in rows}
        refused = {job for job in jobs if job.id in names}
        for job in refused:
            self.split.pop(job.id, None)
            self.refused[job] = now_ms + REFUSED_RETRY_MS
        return refused

    def _retry_refused(self, dirty: set[Job], now_ms: int) -> None:
        for job, retry_ms in list(self.refused.items()):
            if now_ms >= retry_ms:
                del self.refused[job]
                dirty.add(job)
            else:
                dirty.discard(job)

    def remove(self, job: JobId) -> None:
        """Remove all rows of a job with the next commits that have room."""
        self.split.pop(job, None)
        for first in sorted(self.firsts.pop(job, ())):
            self.removals.append(task_range_key(self.pool, job, first))
        self.removals.append(progress_key(self.pool, job))

    def collect_removals(self, batch: WriteBatch) -> None:
        """Add the removal of rows to a commit, as far as there is room."""
        while self.removals and batch.add(Write(self.removals[0], None)):
            self.removals.popleft()

    def _collect_job(self, job: Job, now_ms: int, batch: WriteBatch) -> bool:
        """Add a job's changes to a commit; return whether there was room for all of them."""
        if not self._is_split(job):
            value = job.progress(now_ms).to_binary()
            if len(value) <= self.max_value_bytes:
                return batch.add(Write(progress_key(self.pool, job.id), value))
        split = self.split.get(job.id)
        if split is None:
            ranges = initial_ranges(len(job.tasks), self.firsts.get(job.id, ()))
            split = self.split[job.id] = SplitProgress(ranges)
        postponed = self._collect_ranges(job, split, batch) if _needs_ranges(job) else []
        if not postponed and self._collect_header(job, split, now_ms, batch):
            return True
        self.postponed[job] = postponed
        return False

    def _is_split(self, job: Job) -> bool:
        known = job.id in self.split or job.id in self.firsts
        return known or len(job.tasks) > MAX_UNSPLIT_TASKS

    def _collect_header(
        self, job: Job, split: SplitProgress, now_ms: int, batch: WriteBatch
    ) -> bool:
        header = (job.phase, job.failure.task if job.failure else "")
        if header == split.header:
            return True
        record = job.summary(now_ms)
        if job.ended and job.account:
            record.demands = job.demands()
        if not batch.add(Write(progress_key(self.pool, job.id), record.to_binary())):
            return False
        split.header = header
        return True

    def _collect_ranges(self, job: Job, split: SplitProgress, batch: WriteBatch) -> list[TaskRange]:
        """Add the changed ranges to a commit; return those that it has no room for.

        The last ranges come first: where a range was divided, its second half then is never
        recorded later than its first one, which tells no more of the second.
        """
        changed = [r for r in split.ranges if snapshot(job.tasks[r.first : r.end]) != r.recorded]
        while changed:
            task_range = changed[-1]
            tasks = job.tasks[task_range.first : task_range.end]
            value = encode_range(tasks)
            if len(value) > self.max_value_bytes and len(tasks) > 1:
                changed.append(_divide(task_range, split))
                continue
            key = task_range_key(self.pool, job.id, task_range.first)
            if not batch.add(Write(key, value)):
                break
            self.firsts.setdefault(job.id, set()).add(task_range.first)
            task_range.recorded = snapshot(tasks)
            changed.pop()
        return changed


def _needs_ranges(job: Job) -> bool:
    """Whether anybody will read what is recorded of a job's tasks.

    Of an ended job only its runs matter, and only if they count against an account's limit.
    """
    return not job.ended or bool(job.account)


def _divide(task_range: TaskRange, split: SplitProgress) -> TaskRange:
    """Divide a range that one row can't hold; return its second half."""
    middle = (task_range.first + task_range.end) // 2
    second = TaskRange(middle, task_range.end)
    task_range.end = middle
    split.ranges.insert(split.ranges.index(task_range) + 1, second)
    return second

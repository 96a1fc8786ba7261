"""Cleanup of ended jobs' submission rows, in batches and only while the store responds fast."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._keys import job_id_key, submission_key
from pumicespur.schema.jobs_pb import JobRecord
from pumicespur.store import NeverDone, Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.model import AccountId, JobId, PoolId, RouteName
    from pumicespur.platform import PlatformTable

log = Logger(__name__)

CLEANUP_INTERVAL_S = 3.0
"""Pause between cleanups. Nothing waits for them: a successor reads the ends of jobs from the
progress rows."""

MAX_JOBS_PER_CALL = 45
"""Maximum jobs in one call; the store accepts 100 rows, and each job has up to two."""

MAX_RESPONSE_TIME_S = 0.1
"""Response time of the store above which cleanup is put off. The store serves the writes of one
partition in sequence, so cleanup delays callers: with a store 50 times slower than usual, callers
gave up more jobs."""


class SubmissionCleanup:
    """Collects submission rows to shrink or delete and writes them by partition."""

    def __init__(self, pool: PoolId, table: PlatformTable) -> None:
        self.pool = pool
        self.table = table
        self.pending: dict[JobId, tuple[Write, ...]] = {}
        """Writes of the next cleanup."""
        self.removing: set[JobId] = set()
        """Jobs to delete, until the owner deletes their progress rows too."""
        self.removed: list[JobId] = []
        """Jobs to delete whose submission row is known to be deleted. Only then may the progress
        row be deleted, which alone shows a successor that the job has ended."""

    def compact(self, job: JobId, route: RouteName, account: AccountId) -> None:
        """Reduce the submission row of a job whose end is recorded; its id stays in use.

        The account is kept, so that no other account can use the id. A pending deletion has
        precedence.
        """
        record = JobRecord(id=job, route=route, account=account, ended=True)
        write = Write(submission_key(self.pool, job), record.to_binary())
        self.pending.setdefault(job, (write,))

    def remove(self, job: JobId) -> None:
        """Delete the submission row of a job past its retention, which frees its id."""
        self.removing.add(job)
        keys = (submission_key(self.pool, job), job_id_key(job))
        self.pending[job] = tuple(Write(key, None) for key in keys)

    def take_removed(self) -> list[JobId]:
        """Remove and return jobs whose progress rows may be deleted now."""
        removed, self.removed = self.removed[:MAX_JOBS_PER_CALL], self.removed[MAX_JOBS_PER_CALL:]
        self.removing.difference_update(removed)
        return removed

    async def run(self) -> None:
        """Clean up periodically until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            if self.table.response_times.max_recent_s(monotonic()) < MAX_RESPONSE_TIME_S:
                await self.clean_up()

    async def clean_up(self) -> None:
        """Write the pending rows; unconfirmed ones stay for the next cleanup."""
        partitions: defaultdict[str, list[tuple[JobId, tuple[Write, ...]]]] = defaultdict(list)
        for job, writes in self.pending.items():
            partitions[writes[0].key.rpartition("/")[0]].append((job, writes))
        for partition, entries in partitions.items():
            chosen = entries[:MAX_JOBS_PER_CALL]
            response = await self.table.transact(
                Transaction([], [write for _, writes in chosen for write in writes])
            )
            match response:
                case Result(tag="ok"):
                    for job, writes in chosen:
                        self._confirm(job, writes)
                case Result(error=NeverDone(reason=reason)):
                    # The other partitions are not held up. These rows stay until the next owner.
                    log.error("submissions not cleaned up", partition=partition, reason=reason)
                    for job, _ in chosen:
                        del self.pending[job]
                case Result(error=error):
                    log.info("submissions not cleaned up", partition=partition, reason=str(error))
                    return

    def _confirm(self, job: JobId, writes: tuple[Write, ...]) -> None:
        if self.pending.get(job) is writes:
            del self.pending[job]
        if writes[0].value is None:
            self.removed.append(job)

"""Reads and follows a pool's submissions and cancellations, and loads recorded progress."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._job import ENDED_PHASES
from pumicespur.jobs._keys import (
    PROGRESS_TABLE,
    submission_partitions,
    submissions_table,
)
from pumicespur.jobs._known_state import submissions_max_age_s
from pumicespur.jobs.progress import read_progress
from pumicespur.jobs.submissions._cleanup import SubmissionCleanup
from pumicespur.model import AccountId, JobId, RouteName
from pumicespur.schema.jobs_pb import JobRecord
from pumicespur.store import AnswerLost, HistoryGone, Page, Row, TableProgress
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from pumicespur.config import NodeSettings
    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs.progress import ProgressRecorder
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.jobs_pb import ProgressRecord
    from pumicespur.view import FleetView

log = Logger(__name__)

RETRY_DELAY_S = 0.2
"""Pause after an error of the store outside commits."""

MAX_WATCH_S = 0.25
"""Longest wait for new submissions in one request. If the response is lost, new jobs are noticed
only after the timeout; that time counts against the callers' latency objective. All submissions are
then read, since unnoticed jobs also delay those behind them."""


class SubmissionFollower:
    """Adds submitted jobs to a pool's state and applies cancellations."""

    def __init__(
        self,
        pool: PoolState,
        table: PlatformTable,
        view: FleetView,
        settings: NodeSettings,
        wake: Callable[[], None],
        note_arrival: Callable[[Job], None],
        recorder: ProgressRecorder,
    ) -> None:
        self.recorder = recorder
        self.pool = pool
        self.table = table
        self.view = view
        self.watch_s = min(settings.store.watch_s, MAX_WATCH_S)
        """Longest wait for changes in one request, in seconds."""
        self.max_age_s = submissions_max_age_s(settings.workers)
        """Maximum age of the submissions for starts, in seconds."""
        self.wake = wake
        """Requests a round of the owner."""
        self.note_arrival = note_arrival
        self.ended: dict[JobId, int] = {}
        """Ended jobs with the time of their end, in milliseconds since 1970."""
        self.cleanup = SubmissionCleanup(pool.pool, table)
        self.table_progress = TableProgress()
        """Version and age of the known submissions."""

    async def load(self) -> None:
        """Read what earlier owners recorded; since the takeover they can't change it."""
        kept = await self._retry(lambda: self.table.scan(PROGRESS_TABLE, self.pool.pool))
        recorded = read_progress(kept.rows)
        self.recorder.note_recorded(recorded)
        for job, progress in recorded.jobs.items():
            if progress.phase in ENDED_PHASES:
                self.ended[job] = progress.changed_ms
                for run in progress.left:
                    self.pool.add_inherited_run(AccountId(progress.account), run)
        for submitted, version in self._parse_submissions(await self._read_all()):
            self._apply(submitted, version, recorded.jobs)

    async def _read_all(self) -> list[Row]:
        """Read all submissions; changes are followed from the oldest page's version on."""
        pool = self.pool.pool
        pages: list[Page] = []
        asked_at = monotonic()

        async def read(partition: str) -> None:
            scan = functools.partial(
                self.table.scan, submissions_table(pool), partition, self.max_age_s
            )
            pages.append(await self._retry(scan))

        async with anyio.create_task_group() as readers:
            for partition in submission_partitions():
                readers.start_soon(read, partition)
        self.table_progress = TableProgress(min(page.version for page in pages), asked_at)
        return [row for page in pages for row in page.rows]

    async def _retry(self, call: Callable[[], Awaitable[Result[Any, Any]]]) -> Any:
        while True:
            response = await call()
            match response:
                case Result(tag="ok", ok=value):
                    return value
                case Result(error=error):
                    log.warning("store not read", pool=self.pool.pool, reason=str(error))
                    await anyio.sleep(RETRY_DELAY_S)

    def _parse_submissions(self, rows: list[Row]) -> list[tuple[JobRecord, int]]:
        """Return jobs with the versions of their rows, in order of submission."""
        found = [(JobRecord.from_binary(row.value), row.version) for row in rows if row.version]
        return sorted(found, key=lambda entry: entry[0].accepted_ms)

    def _apply(
        self, record: JobRecord, version: int, progress: Mapping[JobId, ProgressRecord]
    ) -> None:
        if record.ended:
            return
        if JobId(record.id) in self.ended:
            self.cleanup.compact(
                JobId(record.id), RouteName(record.route), AccountId(record.account)
            )
            return
        job = self.pool.add_job(record, self.view.configuration, progress.get(JobId(record.id)))
        if job is not None:
            self.note_arrival(job)
            log.info(
                "job received",
                job=job.id,
                route=job.route,
                pool=self.pool.pool,
                steps=len(record.steps),
                tasks=len(job.tasks),
                row_version=version,
            )
        known = self.pool.jobs.get(JobId(record.id))
        if record.cancelled and known is not None and not known.ended:
            log.info("job cancelled", job=known.id, pool=self.pool.pool, row_version=version)
            self.pool.cancel(known)
        self.wake()

    async def follow(self) -> None:
        """Apply jobs and cancellations as the entry processes write them."""
        pool = self.pool.pool
        table = submissions_table(pool)
        while True:
            asked_at = monotonic()
            max_timeout_s = max(0.0, self.max_age_s - self.watch_s)
            timeout_s = min(self.table.response_times.fallback_timeout_s(asked_at), max_timeout_s)
            response = await self.table.changes(
                table, self.table_progress.version, self.watch_s, timeout_s
            )
            match response:
                case Result(tag="ok", ok=page):
                    current_as_of = asked_at if page.complete else self.table_progress.asked_at
                    self.table_progress = TableProgress(page.version, current_as_of)
                    rows = page.rows
                case Result(error=HistoryGone()):
                    log.warning(
                        "submissions read in full",
                        pool=pool,
                        reason="the store has dropped the changes",
                    )
                    rows = await self._read_all()
                case Result(error=AnswerLost()) if self.table.is_responding():
                    log.info(
                        "submissions read in full",
                        pool=pool,
                        reason="changes not received",
                    )
                    rows = await self._read_all()
                case Result(error=error):
                    log.warning("submissions not followed", pool=pool, reason=str(error))
                    await anyio.sleep(RETRY_DELAY_S)
                    continue
            for record, version in self._parse_submissions(rows):
                self._apply(record, version, {})

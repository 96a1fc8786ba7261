"""Follows a table of the store: scans it once, then reads its changes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.store import AnswerLost, HistoryGone, TableProgress
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from pumicespur.platform import PlatformTable
    from pumicespur.schema.node_pb import StoreSettings
    from pumicespur.store import Fault, Page, Row

log = Logger(__name__)

RETRY_DELAY_S = 0.2
"""Pause after a failed call to the store."""

SLOW_RESPONSE_S = 0.1
"""Transfer time above which a response may be out of date on arrival."""


@dataclass(frozen=True)
class RescanPolicy:
    """The conditions for scanning a table again instead of replaying the changes missed.

    A process that was cut off for some seconds would otherwise stay out of date for as long
    again, replaying large configurations one by one over a slow link.
    """

    after_s: float
    """Time without a response, in seconds, after which a scan is smaller than the changes; infinite
    to replay them in any case."""
    when_outdated: bool = False
    """Whether to scan also when newer rows may exist by now; for tables of few large rows."""


@dataclass(frozen=True)
class FallbackRead:
    """A read of the rows for when requests for changes hang while other calls succeed.

    A store that drops its history may leave requests for changes without a response for a second
    or more while it accepts every write. Owners' requests and new workers would go unnoticed.
    """

    read: Callable[[], Awaitable[Result[Page, Fault]]]
    whole: bool
    """Whether the response holds all rows of the table."""
    max_age_s: float = math.inf
    """Age, in seconds, from which the known rows are of no use; a later response is not waited for.
    If it is finite, the rows are taken to change all the time, so a response without changes does
    not show that they are known up to its version."""


class TableFollower:
    """A follower that calls `on_rows` with all rows (`whole` true), then with changed ones."""

    def __init__(
        self,
        table: PlatformTable,
        settings: StoreSettings,
        name: str,
        on_rows: Callable[[Sequence[Row], bool], None],
        rescan_policy: RescanPolicy,
        pause_s: Callable[[], float] = lambda: 0.0,
        wait_s: float | None = None,
        first_version: int | None = None,
        fallback: FallbackRead | None = None,
    ) -> None:
        self.table = table
        self.settings = settings
        self.name = name
        self.on_rows = on_rows
        self.rescan_policy = rescan_policy
        self.pause_s = pause_s
        """Returns the pause after each response, for tables that change often, in seconds."""
        self.wait_s = settings.watch_s if wait_s is None else wait_s
        """Longest wait for changes in one request, in seconds."""
        self.first_version = first_version
        """Version from which changes are followed without an initial scan, if any."""
        self.fallback = fallback
        self.failing_since: float | None = None
        """When reads began to fail (monotonic seconds); None while the table is followed."""
        self.responded_at = monotonic()
        self.progress = TableProgress()
        """The version up to which the table is known, and as of when."""
        self.newest_row = 0
        """Version of the newest row that was read."""

    async def run(self) -> None:
        """Follow until cancelled, resuming after a short outage where it left off."""
        version = self.first_version
        while True:
            asked_at = monotonic()
            if version is None:
                response = await self._scan()
            else:
                response = await self._changes(version)
            match response:
                case Result(tag="ok", ok=page):
                    self._note_connected(True, "")
                    self.responded_at = monotonic()
                    self._note_progress(page, asked_at, version is None)
                    self.on_rows(page.rows, version is None)
                    if self.fallback and self._is_refresh_due():
                        await self._read_fallback(self.fallback)
                    version = None if self._should_rescan(page) else page.version
                    await anyio.sleep(self.pause_s())
                case Result(error=HistoryGone()):
                    log.warning(
                        "table read anew",
                        table=self.name,
                        reason="the store has dropped the changes",
                    )
                    version = None
                case Result(error=AnswerLost()) if self.fallback and self.table.is_responding():
                    await self._read_fallback(self.fallback)
                case Result(error=error):
                    self._note_connected(False, str(error))
                    await anyio.sleep(RETRY_DELAY_S)
                    if monotonic() - self.responded_at > self.rescan_policy.after_s:
                        version = None

    async def run_while(self, needed: Callable[[], object], check_interval_s: float) -> None:
        """Follow while `needed` returns true, checked every `check_interval_s` seconds."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run)
            while needed():
                await anyio.sleep(check_interval_s)
            tasks.cancel_scope.cancel()

    async def _changes(self, version: int) -> Result[Page, Fault]:
        if self.fallback is None:
            return await self.table.changes(self.name, version, self.wait_s)
        useful_s = max(0.0, self._max_age_s() - self.wait_s - self.pause_s())
        timeout_s = min(self.table.response_times.fallback_timeout_s(monotonic()), useful_s)
        return await self.table.changes(self.name, version, self.wait_s, timeout_s)

    async def _read_fallback(self, fallback: FallbackRead) -> None:
        """Read the rows by the fallback; their changes are requested again after that."""
        log.info("table read anew", table=self.name, reason="no response to requests for changes")
        asked_at = monotonic()
        response = await fallback.read()
        match response:
            case Result(tag="ok", ok=page):
                self.responded_at = monotonic()
                self._note_progress(page, asked_at, whole=True)
                self.on_rows(page.rows, fallback.whole)
            case Result(error=error):
                self._note_connected(False, str(error))
                await anyio.sleep(RETRY_DELAY_S)

    async def _scan(self) -> Result[Page, Fault]:
        return await self.table.scan(self.name, "", self._max_age_s())

    def _max_age_s(self) -> float:
        return self.fallback.max_age_s if self.fallback else math.inf

    def _is_refresh_due(self) -> bool:
        """Return whether to read the rows by the fallback, before they reach their maximum age."""
        return self.progress.age_s(monotonic()) > self._max_age_s() / 2

    def _note_progress(self, page: Page, asked_at: float, whole: bool) -> None:
        """Note the version known, and as of when, if the response is complete and conclusive."""
        is_inconclusive = not page.rows and not whole and self._max_age_s() < math.inf
        if page.complete and not is_inconclusive:
            self.progress = TableProgress(page.version, asked_at)

    def _should_rescan(self, page: Page) -> bool:
        """Return whether to scan the table at once, which is repeated until nothing is new."""
        newest_row = max((row.version for row in page.rows), default=0)
        has_newer_rows = newest_row > self.newest_row
        self.newest_row = max(self.newest_row, newest_row)
        may_be_outdated = page.superseded > 0 or page.receiving_s > SLOW_RESPONSE_S
        return self.rescan_policy.when_outdated and has_newer_rows and may_be_outdated

    def _note_connected(self, connected: bool, reason: str) -> None:
        if connected == (self.failing_since is None):
            return
        if connected:
            self.failing_since = None
            log.info("table followed again", table=self.name)
        else:
            self.failing_since = monotonic()
            log.warning("table not followed", table=self.name, reason=reason)

    def failing_for_s(self, now: float) -> float:
        """Return for how long reads of the table have failed, in seconds."""
        return 0.0 if self.failing_since is None else now - self.failing_since

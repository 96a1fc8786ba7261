"""Follow a table of the store: read it whole once, then its changes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.store import AnswerLost, HistoryGone, Reading
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from pumicespur.platform import PlatformTable
    from pumicespur.schema.node_pb import StoreSettings
    from pumicespur.store import Fault, Page, Row

log = Logger(__name__)

RETRY_S = 0.2
"""Pause after a fault of the store."""

SLOW_S = 0.1
"""An answer that was on its way for longer may be out of date when it is here."""


@dataclass(frozen=True)
class CatchUp:
    """When a follower reads its table whole instead of every change that it missed.

    Large configurations in quick succession, replayed one by one over a thin link, would keep a
    process that was cut off for some seconds out of date for as long again.
    """

    after_s: float
    """Time without an answer after which the table is smaller than its changes."""
    when_late: bool = False
    """Also when an answer tells that newer rows may be there by now; for few and large rows."""


@dataclass(frozen=True)
class Reread:
    """How a table is read when its changes stay silent although the store answers other calls.

    A store that drops its history may answer no request for changes for a second or more while it
    takes every write: what owners ask for, and workers that come, would not be heard of.
    """

    read: Callable[[], Awaitable[Result[Page, Fault]]]
    whole: bool
    """Whether the answer holds all rows of the table."""
    max_age_s: float = math.inf
    """Age of what is known at which it is of no use any more; an answer that would come later is
    not waited for. An answer without rows counts as none, where rows change all the time."""


class TableFollower:
    """Calls `on_rows` with all rows first (`whole` true), then with those that change."""

    def __init__(
        self,
        table: PlatformTable,
        settings: StoreSettings,
        name: str,
        on_rows: Callable[[Sequence[Row], bool], None],
        catch_up: CatchUp,
        pause_s: Callable[[], float] = lambda: 0.0,
        wait_s: float | None = None,
        first_version: int | None = None,
        reread: Reread | None = None,
    ) -> None:
        self.table = table
        self.settings = settings
        self.name = name
        self.on_rows = on_rows
        self.catch_up = catch_up
        self.pause_s = pause_s
        """Returns the pause after each answer, for tables that change often, in seconds."""
        self.wait_s = settings.watch_s if wait_s is None else wait_s
        """Longest wait for changes in one request, in seconds."""
        self.first_version = first_version
        """Version from which changes are followed instead of a whole reading first, if any."""
        self.reread = reread
        self.failing_since: float | None = None
        """When a reading first failed; None while the table is followed (monotonic seconds)."""
        self.hurried = anyio.Event()
        self.answered_at = monotonic()
        self.reading = Reading()
        """How far the table is known."""
        self.newest_row = 0
        """Version of the newest row that was read."""

    def hurry(self) -> None:
        """End the present pause, since somebody waits for the newest rows."""
        self.hurried.set()

    async def run(self) -> None:
        """Follow for ever; after a short outage go on where it left off."""
        version = self.first_version
        while True:
            asked_at = monotonic()
            if version is None:
                answer = await self._scan()
            else:
                answer = await self._changes(version)
            match answer:
                case Result(tag="ok", ok=page):
                    self._note_connected(True, "")
                    self.answered_at = monotonic()
                    self._note_reading(page, asked_at, version is None)
                    self.on_rows(page.rows, version is None)
                    if self.reread and self._is_half_useless():
                        await self._read_again(self.reread)
                    version = None if self._is_late(page) else page.version
                    self.hurried = anyio.Event()
                    with anyio.move_on_after(self.pause_s()):
                        await self.hurried.wait()
                case Result(error=HistoryGone()):
                    log.warning("table read anew", table=self.name, reason="history gone")
                    version = None
                case Result(error=AnswerLost()) if self.reread and self.table.answers():
                    await self._read_again(self.reread)
                case Result(error=fault):
                    self._note_connected(False, str(fault))
                    await anyio.sleep(RETRY_S)
                    if monotonic() - self.answered_at > self.catch_up.after_s:
                        version = None

    async def run_while(self, needed: Callable[[], object], look_s: float) -> None:
        """Follow until what needs the table is gone, which is looked at each `look_s` seconds."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run)
            while needed():
                await anyio.sleep(look_s)
            tasks.cancel_scope.cancel()

    async def _changes(self, version: int) -> Result[Page, Fault]:
        if self.reread is None:
            return await self.table.changes(self.name, version, self.wait_s)
        useful_s = max(0.0, self._max_age_s() - self.wait_s - self.pause_s())
        patience_s = min(self.table.times.patience_s(monotonic()), useful_s)
        return await self.table.changes(self.name, version, self.wait_s, patience_s)

    async def _read_again(self, reread: Reread) -> None:
        """Read the rows themselves; their changes are waited for again after that."""
        log.info("table read anew", table=self.name, reason="no word of changes")
        asked_at = monotonic()
        answer = await reread.read()
        match answer:
            case Result(tag="ok", ok=page):
                self.answered_at = monotonic()
                self._note_reading(page, asked_at, whole=True)
                self.on_rows(page.rows, reread.whole)
            case Result(error=fault):
                self._note_connected(False, str(fault))
                await anyio.sleep(RETRY_S)

    async def _scan(self) -> Result[Page, Fault]:
        return await self.table.scan(self.name, "", self._max_age_s())

    def _max_age_s(self) -> float:
        return self.reread.max_age_s if self.reread else math.inf

    def _is_half_useless(self) -> bool:
        """Whether it is time to read the rows themselves, so that what is known stays of use."""
        return self.reading.age_s(monotonic()) > self._max_age_s() / 2

    def _note_reading(self, page: Page, asked_at: float, whole: bool) -> None:
        """Note how far the table is known; an answer that was cut off proves nothing newer."""
        quiet = not page.rows and not whole and self._max_age_s() < math.inf
        if page.complete and not quiet:
            self.reading = Reading(page.version, asked_at)

    def _is_late(self, page: Page) -> bool:
        """Whether to read the table whole at once, until that brings nothing new."""
        newest_row = max((row.version for row in page.rows), default=0)
        has_news = newest_row > self.newest_row
        self.newest_row = max(self.newest_row, newest_row)
        late = page.superseded > 0 or page.receiving_s > SLOW_S
        return self.catch_up.when_late and has_news and late

    def _note_connected(self, connected: bool, reason: str) -> None:
        if connected == (self.failing_since is None):
            return
        if connected:
            self.failing_since = None
            log.info("table followed again", table=self.name)
        else:
            self.failing_since = monotonic()
            log.warning("table not followed", table=self.name, reason=reason)

    def failing_s(self, now: float) -> float:
        """Return for how long the table has not been read."""
        return 0.0 if self.failing_since is None else now - self.failing_since

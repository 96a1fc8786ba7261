"""Follow a table of the store: read it whole once, then its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.store import HistoryGone

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.platform import PlatformTable
    from pumicespur.schema.node_pb import StoreSettings
    from pumicespur.store import Row

log = Logger(__name__)

RETRY_S = 0.2
"""Pause after a fault of the store."""


class TableFollower:
    """Calls `on_rows` with all rows first (`whole` true), then with those that change."""

    def __init__(
        self,
        table: PlatformTable,
        settings: StoreSettings,
        name: str,
        on_rows: Callable[[Sequence[Row], bool], None],
        pause_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.table = table
        self.settings = settings
        self.name = name
        self.on_rows = on_rows
        self.pause_s = pause_s
        """Returns the pause after each answer, for tables that change often, in seconds."""
        self.connected = True
        self.hurried = anyio.Event()

    def hurry(self) -> None:
        """End the present pause, since somebody waits for the newest rows."""
        self.hurried.set()

    async def run(self) -> None:
        """Follow for ever; after an outage go on where it left off."""
        version: int | None = None
        while True:
            if version is None:
                answer = await self.table.scan(self.name, "")
            else:
                answer = await self.table.changes(self.name, version, self.settings.watch_s)
            match answer:
                case Result(tag="ok", ok=page):
                    self._note_connected(True, "")
                    self.on_rows(page.rows, version is None)
                    version = page.version
                    self.hurried = anyio.Event()
                    with anyio.move_on_after(self.pause_s()):
                        await self.hurried.wait()
                case Result(error=HistoryGone()):
                    log.warning("table read anew", table=self.name, reason="history gone")
                    version = None
                case Result(error=fault):
                    self._note_connected(False, str(fault))
                    await anyio.sleep(RETRY_S)

    def _note_connected(self, connected: bool, reason: str) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        if connected:
            log.info("table followed again", table=self.name)
        else:
            log.warning("table not followed", table=self.name, reason=reason)

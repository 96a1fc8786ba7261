"""What a process writes about itself: heartbeats, and reports of what it owns.

Who owns something is heard by all at each heartbeat. The others are many, and nobody needs to
know of them until a pool lacks an owner; so their heartbeats stand in a table that is read only
then. With all in one table, each of 97 processes read 50 KB a second of them.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

from pumicespur.model import ProcessId
from pumicespur.node._tables import (
    HEARTBEATS_TABLE,
    PRESENCE_TABLE,
    REPORTS_TABLE,
    newest_key,
)
from pumicespur.schema.jobs_pb import DutyReport, GivenUp, HeartbeatRecord
from pumicespur.store import Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.config import NodeSettings
    from pumicespur.model import PoolId
    from pumicespur.node._duties import Duties
    from pumicespur.platform import PlatformTable
    from pumicespur.view import NodeView

log = Logger(__name__)

LEAST_PAUSE_S = 0.1
"""Least pause between two writes, however much there is to tell."""

IDLE_BEATS = 3.0
"""Intervals of owners' heartbeats between two of a process that owns nothing."""

PRESENCE_BEATS = 1.4
"""Such pauses after which a process that owns nothing counts as gone: one, and a late timer. The
store hands out 500 rows at once, so that 300 processes fit into one answer."""


class HeartbeatWriter:
    """Tells the other processes that this one is alive, and what it owns."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        duties: Duties,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.duties = duties
        self.incarnation = incarnation
        self.me = ProcessId(settings.process.id)
        self.number = 0
        self.told: tuple[bool, dict[PoolId, int]] | None = None
        """What all processes were last told of this one's end and of what it gave up."""
        self.versions: deque[tuple[float, int]] = deque()
        """Versions of this process's own heartbeats, by monotonic time, oldest first."""
        self.failing = False
        """Whether the last heartbeat failed."""
        self.beat_due = anyio.Event()
        self.report_due = anyio.Event()

    def hurry(self) -> None:
        """Ask for a heartbeat at once, since others wait for what it tells."""
        self.beat_due.set()

    def hurry_report(self) -> None:
        """Ask for a report at once, since other owners wait for what it tells."""
        self.report_due.set()

    def idle_pause_s(self) -> float:
        """Return the pause between heartbeats of a process that owns nothing."""
        return IDLE_BEATS * self.settings.store.heartbeat_s

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            self.beat_due = anyio.Event()
            await self._beat()
            await anyio.sleep(LEAST_PAUSE_S)
            often = self.duties.owned or self.failing
            pause_s = self.settings.store.heartbeat_s if often else self.idle_pause_s()
            with anyio.move_on_after(pause_s - LEAST_PAUSE_S):
                await self.beat_due.wait()

    async def _beat(self) -> None:
        self.number += 1
        news = (self.duties.stopping, dict(self.duties.given_up))
        for_all = bool(self.duties.owned) or news != self.told
        record = HeartbeatRecord(
            process=self.me,
            incarnation=self.incarnation,
            data_hall=self.settings.process.data_hall,
            capacity=self.settings.capacity,
            number=self.number,
            unfit=self.duties.stopping,
            configuration_version=max(0, self.view.configuration.version),
            given_up=[GivenUp(pool=p, fencing_token=t) for p, t in self.duties.given_up.items()],
        )
        key = newest_key(HEARTBEATS_TABLE if for_all else PRESENCE_TABLE, self.me)
        written = await self.table.transact(Transaction([], [Write(key, record.to_binary())]))
        if written.is_ok():
            self._note_answer(monotonic(), written.ok)
            self.told = news if for_all else self.told
        else:
            self.failing = True
            log.warning("heartbeat failed", reason=str(written.error))

    def _note_answer(self, now: float, version: int) -> None:
        self.versions.append((now, version))
        while now - self.versions[0][0] > 2 * self.presence_s():
            self.versions.popleft()
        if self.failing:
            self.failing = False
            log.info("store answers again")
            self.table.renew_readings()

    def presence_s(self) -> float:
        """Return the time after which a process that owns nothing counts as gone."""
        return PRESENCE_BEATS * self.idle_pause_s()

    def version_before(self, since: float) -> int | None:
        """Return a version that the store had at a monotonic time, or the oldest one known after.

        Changes since then are asked for by it; None before the first heartbeat was taken.
        """
        before = [version for at, version in self.versions if at <= since]
        if before:
            return before[-1]
        return self.versions[0][1] if self.versions else None

    async def run_reports(self) -> None:
        """Write reports while something is owned, until cancelled."""
        while True:
            self.report_due = anyio.Event()
            if self.duties.owned:
                await self._report()
            await anyio.sleep(LEAST_PAUSE_S)
            with anyio.move_on_after(self.settings.store.heartbeat_s - LEAST_PAUSE_S):
                await self.report_due.wait()

    async def _report(self) -> None:
        fleet = self.duties.fleet
        now = monotonic()
        clock = self.table.clock
        record = DutyReport(
            process=self.me,
            pools=[owner.report() for owner in self.duties.pool_owners() if owner.ready],
            evacuations=[] if fleet is None else list(fleet.evacuations()),
            fleet_token=0 if fleet is None else fleet.ownership.token,
            told_ms=clock.at_least_ms(now) if clock.known else 0,
        )
        write = Write(newest_key(REPORTS_TABLE, self.me), record.to_binary())
        written = await self.table.transact(Transaction([], [write]))
        if written.is_error():
            log.warning("report failed", reason=str(written.error))

"""What a process hears of the others: heartbeats, reports and the owners of pools."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.jobs import OWNERS_TABLE
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._follow import CatchUp, Reread, TableFollower
from pumicespur.node._tables import (
    HEARTBEATS_TABLE,
    PRESENCE_TABLE,
    REPORTS_TABLE,
    newest_key,
)
from pumicespur.schema.jobs_pb import DutyReport, HeartbeatRecord, OwnerRecord
from pumicespur.store import Page
from pumicespur.utils import monotonic
from pumicespur.view import SeenOwner, SeenProcess, SeenReport

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.config import NodeSettings
    from pumicespur.model import Route
    from pumicespur.node._beats import HeartbeatWriter
    from pumicespur.node._duties import Duties
    from pumicespur.node._predecessors import Predecessors
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Fault, Row, StoreClock
    from pumicespur.view import NodeView

log = Logger(__name__)

IDLE_HEARING_BEATS = 1.2
"""Heartbeats that pass between two looks at them in processes that own nothing. It adds to the time
in which a dead owner is missed, and each look costs a call of the store."""

OWNER_HEARING_S = 0.1
"""The same pause in processes that own something: pools that grow wait for what they tell."""

OWNER_WAIT_S = 0.25
"""Longest wait for reports in one request: a pool's onset is a matter of tenths of a second."""

HEARTBEATS_REPLAYED = 2.0
"""Heartbeats that are replayed after a silence; who lives repeats all that it tells."""

LATE_S = 0.3
"""Time that a look may be late by timers and a repeated call."""

RENEW_AGAIN_S = 1.0
"""Pause before silent readings are given up again for the same configuration: twice the usual time
for the first bytes of an answer."""

PRESENCE_AGAIN_S = 0.5
"""Pause between two readings of who lives while a pool lacks an owner."""


class Hearing:
    """Keeps the view's processes, reports and owners."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        duties: Duties,
        beats: HeartbeatWriter,
        predecessors: Predecessors,
        look: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.duties = duties
        self.beats = beats
        self.predecessors = predecessors
        self.look = look
        """Asks for a look at who owns what."""
        self.heard_at = monotonic()
        """When the store last told of heartbeats (monotonic seconds)."""
        self.presence_at = float("-inf")
        """When it was last read who lives and owns nothing (monotonic seconds)."""
        self.renewed_version = 0
        """Newest configuration for which readings were given up."""
        self.renewed_at = float("-inf")

    def owners_follower(self) -> TableFollower:
        """Return what follows takeovers and releases.

        Rows lie in a part for each pool or process, so a whole reading holds none of them.
        """
        return TableFollower(
            self.table, self.settings.store, OWNERS_TABLE, self._see_owners, CatchUp(math.inf)
        )

    def heartbeats_follower(self) -> TableFollower:
        """Return what follows the heartbeats; without any, an answer still comes in time."""
        store = self.settings.store
        return TableFollower(
            self.table,
            store,
            HEARTBEATS_TABLE,
            self.hear,
            CatchUp(HEARTBEATS_REPLAYED * store.heartbeat_s),
            self._hearing_pause_s,
            wait_s=self._wait_s(),
        )

    def reports_follower(self) -> TableFollower:
        """Return what follows the reports, from the last ones of all owners on."""
        store = self.settings.store
        since = monotonic() - HEARTBEATS_REPLAYED * store.heartbeat_s
        return TableFollower(
            self.table,
            store,
            REPORTS_TABLE,
            self.take_reports,
            CatchUp(HEARTBEATS_REPLAYED * store.heartbeat_s),
            lambda: OWNER_HEARING_S,
            wait_s=OWNER_WAIT_S,
            first_version=self.beats.version_before(since),
            reread=Reread(self._read_reports, whole=False),
        )

    async def _read_reports(self) -> Result[Page, Fault]:
        """Read the reports of all owners, one by one."""
        owners = {ProcessId(owner.record.process) for owner in self.view.owners.values()}
        rows: list[Row] = []
        faults: list[Fault] = []

        async def read(process: ProcessId) -> None:
            answer = await self.table.read(newest_key(REPORTS_TABLE, process))
            match answer:
                case Result(tag="ok", ok=row):
                    rows.append(row)
                case Result(error=fault):
                    faults.append(fault)

        async with anyio.create_task_group() as tasks:
            for process in owners:
                tasks.start_soon(read, process)
        return Error(faults[0]) if faults else Ok(Page(rows, 0))

    def _hearing_pause_s(self) -> float:
        if self.duties.owned:
            return OWNER_HEARING_S
        return IDLE_HEARING_BEATS * self.settings.store.heartbeat_s

    def _wait_s(self) -> float:
        """Return how long one request waits for heartbeats; its answer shows that none came."""
        return min(self.settings.store.watch_s, self.settings.store.heartbeat_s)

    def hears(self, now: float) -> bool:
        """Whether heartbeats were heard of within one usual look at them.

        Nobody can be judged by those that do not come here: an outage of two seconds, with one
        answer in its midst, made all owners look silent for longer than a dead one is waited for.
        """
        usual_s = self._hearing_pause_s() + self._wait_s() + LATE_S
        return now - self.heard_at <= usual_s + self.table.times.patience_s(now)

    def hear(self, rows: Sequence[Row], whole: bool) -> None:
        """Hear of the other processes; a pause gathers many heartbeats into one answer."""
        now = monotonic()
        if not self.hears(now):
            self.view.steady_since = now
        self.heard_at = now
        for row in rows:
            self.see(row, now)
        self.look()

    def see(self, row: Row, now: float) -> None:
        """Take in one heartbeat, unless a newer one of that process is known."""
        if not row.version:
            return
        heartbeat = HeartbeatRecord.from_binary(row.value)
        process = ProcessId(heartbeat.process)
        self._note_version(heartbeat.configuration_version, now)
        known = self.view.processes.get(process)
        if known is not None and row.version <= known.version:
            return
        self.view.processes[process] = SeenProcess(heartbeat, now, row.version)
        self.predecessors.hear(self.view.processes[process], now)

    def _note_version(self, newest: int, now: float) -> None:
        """Watch anew if another process has heard of a change that this one has not.

        The connection may be dead. Watches are given up once for each version, and again only
        after a while; one that is receiving goes on in any case.
        """
        if newest <= max(0, self.view.configuration.version):
            return
        self.view.note_newer(newest, now)
        if newest <= self.renewed_version and now - self.renewed_at < RENEW_AGAIN_S:
            return
        self.renewed_version, self.renewed_at = newest, now
        log.info("configuration behind", newest=newest)
        self.table.renew_readings()

    async def read_presence(self) -> None:
        """Hear of the processes that own nothing, since a pool has to find a successor."""
        now = monotonic()
        if now - self.presence_at < PRESENCE_AGAIN_S:
            return
        since = self.beats.version_before(now - self.beats.presence_s())
        if since is None:
            return
        self.presence_at = now
        answer = await self.table.changes(PRESENCE_TABLE, since, 0.0)
        match answer:
            case Result(tag="ok", ok=page):
                for row in page.rows:
                    self.see(row, monotonic())
            case Result(error=fault):
                log.info("presence not read", reason=str(fault))

    def take_reports(self, rows: Sequence[Row], whole: bool) -> None:
        """Take in what owners tell."""
        now = monotonic()
        for row in rows:
            if row.version:
                self._take_report(row, now)
        if self.duties.fleet is not None:
            self.duties.fleet.wake()
        for owner in self.duties.pool_owners():
            owner.hear_parts()

    def _take_report(self, row: Row, now: float) -> None:
        report = DutyReport.from_binary(row.value)
        process = ProcessId(report.process)
        known = self.view.reports.get(process)
        if known is None or row.version > known.version:
            told_at = now - self._told_before_s(report, now)
            self.view.reports[process] = SeenReport(report, told_at, row.version)

    def _told_before_s(self, report: DutyReport, now: float) -> float:
        """Return how long ago a report was told at most, which may be long before it is read.

        The last word of a process that the store turns away since then is no news.
        """
        clock = self.table.clock
        if not report.told_ms or not clock.known:
            return 0.0
        return max(0.0, clock.at_most_ms(now) - report.told_ms) / 1000

    def _see_owners(self, rows: Sequence[Row], whole: bool) -> None:
        """Hear of takeovers and releases as they happen.

        After a whole reading, which holds no rows, each owner is read by itself.
        """
        if whole:
            self.view.owners.clear()
        for row in rows:
            self.see_owner(row)

    def see_owner(self, row: Row) -> None:
        """Take in who owns a pool, unless that is known."""
        pool = PoolId(row.key.split("/", 2)[1])
        record = OwnerRecord.from_binary(row.value)
        known = self.view.owners.get(pool)
        if known is None or row.version > known.token:
            self.view.owners[pool] = SeenOwner(record, row.version, monotonic())
            self.look()


def count_waiting(row: Row, route: Route, clock: StoreClock, max_age_s: float) -> int | None:
    """Return how many jobs wait on a route by an owner's report, None if it is missing or old."""
    if not row.version or not clock.known:
        return None
    report = DutyReport.from_binary(row.value)
    if clock.at_most_ms(monotonic()) - report.told_ms > max_age_s * 1000:
        return None
    pools = [pool for pool in report.pools if pool.pool == route.pool]
    if not pools:
        return None
    newest = max(pools, key=lambda pool: pool.fencing_token)
    return sum(count.jobs for count in newest.waiting if count.route == route.name)

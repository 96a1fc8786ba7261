"""Writes what a process publishes about itself: heartbeats, and reports on what it owns.

All processes follow the heartbeats of those that own something. The others are many, and their
heartbeats matter only while a pool lacks an owner, so they are in a table that is read only then.
With a single table, each of 97 processes read 50 KB of heartbeats per second.
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
    process_row_key,
)
from pumicespur.schema.jobs_pb import DutyReport, GivenUp, HeartbeatRecord
from pumicespur.store import Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.config import NodeSettings
    from pumicespur.maintenance import FleetLeader
    from pumicespur.model import PoolId
    from pumicespur.node._owned_roles import OwnedRoles
    from pumicespur.platform import PlatformTable
    from pumicespur.view import FleetView

log = Logger(__name__)

MIN_WRITE_INTERVAL_S = 0.1
"""Shortest pause between two writes, however often they are expedited."""

IDLE_HEARTBEAT_FACTOR = 3.0
"""Heartbeat interval of a process that owns nothing, as a multiple of an owner's."""

PRESENCE_TIMEOUT_FACTOR = 1.4
"""Time after which a process that owns nothing counts as gone, as a multiple of its heartbeat
interval: one interval and a late timer. The store returns up to 500 rows at once, so that the
heartbeats of 300 processes fit into one response."""


class HeartbeatWriter:
    """A writer of heartbeats and of reports on what this process owns."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        table: PlatformTable,
        roles: OwnedRoles,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.roles = roles
        self.incarnation = incarnation
        self.process_id = ProcessId(settings.process.id)
        self.number = 0
        self.announced: tuple[bool, dict[PoolId, int]] | None = None
        """The stop and the given-up pools that were last announced to all processes."""
        self.versions: deque[tuple[float, int]] = deque()
        """Versions of this process's heartbeats with their monotonic times, oldest first."""
        self.failing = False
        """Whether the last heartbeat failed."""
        self.heartbeat_due = anyio.Event()
        self.report_due = anyio.Event()

    def expedite(self) -> None:
        """Request a heartbeat at once, since other processes wait for its content."""
        self.heartbeat_due.set()

    def expedite_report(self) -> None:
        """Request a report at once, since other owners wait for its content."""
        self.report_due.set()

    def idle_interval_s(self) -> float:
        """Return the heartbeat interval of a process that owns nothing, in seconds."""
        return IDLE_HEARTBEAT_FACTOR * self.settings.store.heartbeat_s

    async def run(self) -> None:
        """Write heartbeats until cancelled."""
        while True:
            self.heartbeat_due = anyio.Event()
            await self._write_heartbeat()
            await anyio.sleep(MIN_WRITE_INTERVAL_S)
            is_frequent = self.roles.owned or self.failing
            pause_s = self.settings.store.heartbeat_s if is_frequent else self.idle_interval_s()
            with anyio.move_on_after(pause_s - MIN_WRITE_INTERVAL_S):
                await self.heartbeat_due.wait()

    async def _write_heartbeat(self) -> None:
        self.number += 1
        announcement = (self.roles.stopping, dict(self.roles.given_up))
        is_for_all = bool(self.roles.owned) or announcement != self.announced
        record = HeartbeatRecord(
            process=self.process_id,
            incarnation=self.incarnation,
            data_hall=self.settings.process.data_hall,
            capacity=self.settings.cpu_capacity,
            number=self.number,
            unfit=self.roles.stopping,
            configuration_version=max(0, self.view.configuration.version),
            given_up=[GivenUp(pool=p, fencing_token=t) for p, t in self.roles.given_up.items()],
        )
        key = process_row_key(HEARTBEATS_TABLE if is_for_all else PRESENCE_TABLE, self.process_id)
        written = await self.table.transact(Transaction([], [Write(key, record.to_binary())]))
        if written.is_ok():
            self._note_written(monotonic(), written.ok)
            self.announced = announcement if is_for_all else self.announced
        else:
            self.failing = True
            log.warning("heartbeat failed", reason=str(written.error))

    def _note_written(self, now: float, version: int) -> None:
        self.versions.append((now, version))
        while now - self.versions[0][0] > 2 * self.presence_timeout_s():
            self.versions.popleft()
        if self.failing:
            self.failing = False
            log.info("store answers again")
            self.table.renew_pending_reads()

    def presence_timeout_s(self) -> float:
        """Return the time after which a process that owns nothing counts as gone, in seconds."""
        return PRESENCE_TIMEOUT_FACTOR * self.idle_interval_s()

    def version_before(self, since: float) -> int | None:
        """Return a store version from before a monotonic time, to request the changes since then.

        If none is that old, return the oldest known one; before the first heartbeat, return None.
        """
        before = [version for at, version in self.versions if at <= since]
        if before:
            return before[-1]
        return self.versions[0][1] if self.versions else None

    async def run_reports(self) -> None:
        """Write reports while this process holds a role, until cancelled."""
        while True:
            self.report_due = anyio.Event()
            if self.roles.owned:
                await self._write_report()
            await anyio.sleep(MIN_WRITE_INTERVAL_S)
            with anyio.move_on_after(self.settings.store.heartbeat_s - MIN_WRITE_INTERVAL_S):
                await self.report_due.wait()

    async def _write_report(self) -> None:
        now = monotonic()
        clock = self.table.clock
        record = DutyReport(
            process=self.process_id,
            pools=[owner.report() for owner in self.roles.pool_owners() if owner.ready],
            told_ms=clock.at_least_ms(now) if clock.known else 0,
        )
        if self.roles.fleet_leader is not None:
            self._add_leader_report(record, self.roles.fleet_leader)
        write = Write(process_row_key(REPORTS_TABLE, self.process_id), record.to_binary())
        written = await self.table.transact(Transaction([], [write]))
        if written.is_error():
            log.warning("report failed", reason=str(written.error))

    def _add_leader_report(self, record: DutyReport, leader: FleetLeader) -> None:
        record.fleet_token = leader.ownership.token
        record.evacuations = list(leader.workers_to_evacuate())
        as_of = leader.listed_workers.as_of
        if self.table.clock.known and as_of is not None:
            record.ended_workers = list(leader.ended_workers)
            record.ended_as_of_ms = self.table.clock.at_least_ms(as_of)

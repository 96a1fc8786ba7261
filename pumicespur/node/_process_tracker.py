"""Tracks the other processes by their heartbeats, their reports and the pools they own."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.jobs import OWNERS_TABLE
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._table_follower import FallbackRead, RescanPolicy, TableFollower
from pumicespur.node._tables import (
    HEARTBEATS_TABLE,
    PRESENCE_TABLE,
    REPORTS_TABLE,
    process_row_key,
)
from pumicespur.schema.jobs_pb import DutyReport, HeartbeatRecord, OwnerRecord
from pumicespur.store import Page
from pumicespur.utils import monotonic
from pumicespur.view import SeenOwner, SeenProcess, SeenReport

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.config import NodeSettings
    from pumicespur.node._heartbeats import HeartbeatWriter
    from pumicespur.node._owned_roles import OwnedRoles
    from pumicespur.node._predecessors import Predecessors
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Fault, Row
    from pumicespur.view import FleetView

log = Logger(__name__)

IDLE_POLL_FACTOR = 1.2
"""Pause between polls for heartbeats in processes that own nothing, in heartbeat intervals. It adds
to the time until a dead owner is noticed, and each poll costs a call to the store."""

OWNER_POLL_INTERVAL_S = 0.1
"""The same pause in processes that own something, since growing pools wait for the reports."""

MAX_REPORTS_WAIT_S = 0.25
"""Longest wait for reports in one request; a load peak builds up in tenths of a second."""

MAX_REPLAY_FACTOR = 2.0
"""Longest silence, in heartbeat intervals, after which missed heartbeats are replayed. Live
processes repeat their state in each heartbeat, so older ones add nothing."""

POLL_SLACK_S = 0.3
"""Delay of a poll that timers and a repeated call may cause."""

RENEWAL_INTERVAL_S = 1.0
"""Pause before reads without any response yet are renewed again for the same configuration: twice
the usual time to the first bytes of a response."""

PRESENCE_READ_INTERVAL_S = 0.5
"""Pause between reads of the idle processes' heartbeats while a pool lacks an owner."""


class ProcessTracker:
    """Keeps the processes, reports and owners of the view up to date."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        table: PlatformTable,
        roles: OwnedRoles,
        heartbeats: HeartbeatWriter,
        predecessors: Predecessors,
        request_check: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.roles = roles
        self.heartbeats = heartbeats
        self.predecessors = predecessors
        self.request_check = request_check
        """Requests a check of the pools' owners."""
        self.heartbeats_received_at = monotonic()
        """When the store last responded to a poll for heartbeats (monotonic seconds)."""
        self.presence_read_at = float("-inf")
        """When the heartbeats of idle processes were last read (monotonic seconds)."""
        self.renewed_version = 0
        """Newest configuration version for which reads were renewed."""
        self.renewed_at = float("-inf")

    def make_owners_follower(self) -> TableFollower:
        """Return a follower of takeovers and releases.

        Each pool or process has a partition of its own, so a scan, which reads the empty one,
        returns no rows.
        """
        return TableFollower(
            self.table,
            self.settings.store,
            OWNERS_TABLE,
            self._apply_owners,
            RescanPolicy(math.inf),
        )

    def make_heartbeats_follower(self) -> TableFollower:
        """Return a follower of heartbeats, whose requests return in time even if there are none."""
        store = self.settings.store
        return TableFollower(
            self.table,
            store,
            HEARTBEATS_TABLE,
            self.apply_heartbeats,
            RescanPolicy(MAX_REPLAY_FACTOR * store.heartbeat_s),
            self._poll_interval_s,
            wait_s=self._wait_s(),
        )

    def make_reports_follower(self) -> TableFollower:
        """Return a follower of reports, starting with the latest one of each owner."""
        store = self.settings.store
        since = monotonic() - MAX_REPLAY_FACTOR * store.heartbeat_s
        return TableFollower(
            self.table,
            store,
            REPORTS_TABLE,
            self.apply_reports,
            RescanPolicy(MAX_REPLAY_FACTOR * store.heartbeat_s),
            lambda: OWNER_POLL_INTERVAL_S,
            wait_s=MAX_REPORTS_WAIT_S,
            first_version=self.heartbeats.version_before(since),
            fallback=FallbackRead(self._read_reports, whole=False),
        )

    async def _read_reports(self) -> Result[Page, Fault]:
        """Read the reports of all owners, one by one."""
        owners = {ProcessId(owner.record.process) for owner in self.view.owners.values()}
        rows: list[Row] = []
        errors: list[Fault] = []

        async def read(process: ProcessId) -> None:
            response = await self.table.read(process_row_key(REPORTS_TABLE, process))
            match response:
                case Result(tag="ok", ok=row):
                    rows.append(row)
                case Result(error=error):
                    errors.append(error)

        async with anyio.create_task_group() as tasks:
            for process in owners:
                tasks.start_soon(read, process)
        return Error(errors[0]) if errors else Ok(Page(rows, 0))

    def _poll_interval_s(self) -> float:
        if self.roles.owned:
            return OWNER_POLL_INTERVAL_S
        return IDLE_POLL_FACTOR * self.settings.store.heartbeat_s

    def _wait_s(self) -> float:
        """Return how long one request waits for heartbeats; a response shows whether any came."""
        return min(self.settings.store.watch_s, self.settings.store.heartbeat_s)

    def is_receiving(self, now: float) -> bool:
        """Return whether the last poll for heartbeats succeeded within the usual time.

        Missing heartbeats prove nothing while polls fail: in an outage of two seconds, a single
        response in the middle would make all owners seem silent for longer than the failure
        timeout.
        """
        usual_s = self._poll_interval_s() + self._wait_s() + POLL_SLACK_S
        return (
            now - self.heartbeats_received_at
            <= usual_s + self.table.response_times.fallback_timeout_s(now)
        )

    def apply_heartbeats(self, rows: Sequence[Row], whole: bool) -> None:
        """Apply the heartbeats of one response; the pause between polls batches many of them."""
        now = monotonic()
        if not self.is_receiving(now):
            self.view.gapless_since = now
        self.heartbeats_received_at = now
        for row in rows:
            self.apply_heartbeat(row, now)
        self.request_check()

    def apply_heartbeat(self, row: Row, now: float) -> None:
        """Apply one heartbeat, unless a newer one of that process is known."""
        if not row.version:
            return
        heartbeat = HeartbeatRecord.from_binary(row.value)
        process = ProcessId(heartbeat.process)
        self._check_configuration_version(heartbeat.configuration_version, now)
        known = self.view.processes.get(process)
        if known is not None and row.version <= known.version:
            return
        self.view.processes[process] = SeenProcess(heartbeat, now, row.version)
        self.predecessors.apply_heartbeat(self.view.processes[process], now)

    def _check_configuration_version(self, newest: int, now: float) -> None:
        """Renew pending reads if another process has a configuration that this one lacks.

        The connection may be dead. Reads are renewed once for each version, and again only after
        a while; a read that is receiving data goes on in any case.
        """
        if newest <= max(0, self.view.configuration.version):
            return
        self.view.note_newer_configuration(newest, now)
        if newest <= self.renewed_version and now - self.renewed_at < RENEWAL_INTERVAL_S:
            return
        self.renewed_version, self.renewed_at = newest, now
        log.info("configuration behind", newest=newest)
        self.table.renew_pending_reads()

    async def read_presence(self) -> None:
        """Read the heartbeats of processes that own nothing, as candidates for a takeover."""
        now = monotonic()
        if now - self.presence_read_at < PRESENCE_READ_INTERVAL_S:
            return
        since = self.heartbeats.version_before(now - self.heartbeats.presence_timeout_s())
        if since is None:
            return
        self.presence_read_at = now
        response = await self.table.changes(PRESENCE_TABLE, since, 0.0)
        match response:
            case Result(tag="ok", ok=page):
                for row in page.rows:
                    self.apply_heartbeat(row, monotonic())
            case Result(error=error):
                log.info("presence not read", reason=str(error))

    def apply_reports(self, rows: Sequence[Row], whole: bool) -> None:
        """Apply the reports of owners."""
        now = monotonic()
        for row in rows:
            if row.version:
                self._apply_report(row, now)
        if self.roles.fleet_leader is not None:
            self.roles.fleet_leader.wake()
        for owner in self.roles.pool_owners():
            owner.apply_allotment_reports()

    def _apply_report(self, row: Row, now: float) -> None:
        report = DutyReport.from_binary(row.value)
        process = ProcessId(report.process)
        known = self.view.reports.get(process)
        if known is None or row.version > known.version:
            reported_at = now - self._report_age_s(report, now)
            self.view.reports[process] = SeenReport(report, reported_at, row.version)

    def _report_age_s(self, report: DutyReport, now: float) -> float:
        """Return the greatest possible age of a report, in seconds.

        It may be read long after it was written: the last report of a process whose calls the
        store has refused since then stays in place.
        """
        clock = self.table.clock
        if not report.told_ms or not clock.known:
            return 0.0
        return max(0.0, clock.at_most_ms(now) - report.told_ms) / 1000

    def _apply_owners(self, rows: Sequence[Row], whole: bool) -> None:
        """Apply takeovers and releases.

        A scan returns no rows of this table; after one, each owner is read by itself. The known
        ones stay until then, since they are used across calls to the store.
        """
        if whole:
            self.view.owners_to_read.update(self.view.owners)
            self.request_check()
        for row in rows:
            self.apply_owner(row)

    def apply_owner(self, row: Row) -> None:
        """Apply a row that names a pool's owner, unless it is known."""
        pool = PoolId(row.key.split("/", 2)[1])
        record = OwnerRecord.from_binary(row.value)
        known = self.view.owners.get(pool)
        if known is None or row.version > known.token:
            self.view.owners[pool] = SeenOwner(record, row.version, monotonic())
            self.request_check()

"""Exchange of allotments of account limits with the store and the owners of other pools."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._keys import ALLOTMENTS_TABLE, FOUNDERS_KEY, allotment_key
from pumicespur.jobs._limit_transfers import PeerAllotment
from pumicespur.model import AccountId, PoolId
from pumicespur.schema.jobs_pb import FoundersRecord, PartRecord
from pumicespur.store import Condition, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.jobs_pb import PartReport
    from pumicespur.view import FleetView

log = Logger(__name__)

RETRY_DELAY_S = 0.2
"""Pause after an error of the store."""

MAX_ALLOTMENT_REPORT_AGE_S = 3.0
"""Oldest report that is applied: a few heartbeats. Transfers are reported until they are known to
be taken, so that none is missed."""


class AllotmentExchange:
    """Reads, records and exchanges the allotments of one pool."""

    def __init__(
        self,
        limits: PoolLimits,
        table: PlatformTable,
        view: FleetView,
        request_report: Callable[[], None],
    ) -> None:
        self.limits = limits
        self.table = table
        self.view = view
        self.request_report = request_report
        """Requests a report at once."""
        self.reported_accounts: set[AccountId] = set()
        """Accounts in the last report."""

    async def load(self) -> None:
        """Read the ledgers of earlier owners, which can no longer record anything."""
        self.limits.set_accounts(self.view.configuration.accounts)
        self.limits.set_founders(await self._read_founders())
        while True:
            scanned = await self.table.scan(ALLOTMENTS_TABLE, self.limits.pool)
            match scanned:
                case Result(tag="ok", ok=page):
                    records = [PartRecord.from_binary(row.value) for row in page.rows]
                    self.limits.restore(records)
                    return
                case Result(error=error):
                    await self._wait_to_retry(str(error))

    async def _read_founders(self) -> list[PoolId]:
        """Return the pools that initially hold equal allotments.

        The first owner that finds no record of them writes one.
        """
        while True:
            found = await self.table.read(FOUNDERS_KEY)
            match found:
                case Result(tag="ok", ok=row) if row.version:
                    record = FoundersRecord.from_binary(row.value)
                    return [PoolId(pool) for pool in record.pools]
                case Result(tag="ok"):
                    await self._write_founders()
                case Result(error=error):
                    await self._wait_to_retry(str(error))

    async def _write_founders(self) -> None:
        """Write the founders unless another owner has; the caller reads the row again."""
        write = Write(FOUNDERS_KEY, FoundersRecord(pools=sorted(self.view.pools())).to_binary())
        written = await self.table.transact(Transaction([Condition(FOUNDERS_KEY, 0)], [write]))
        if written.is_error():
            log.info(
                "initial allotments not written", pool=self.limits.pool, reason=str(written.error)
            )

    async def _wait_to_retry(self, reason: str) -> None:
        log.warning("allotments not read", pool=self.limits.pool, reason=reason)
        await anyio.sleep(RETRY_DELAY_S)

    def apply_reports(self, now: float) -> bool:
        """Apply the other owners' reports and the newest accounts; return if allotments changed."""
        self.limits.set_accounts(self.view.configuration.accounts)
        peers: defaultdict[AccountId, list[PeerAllotment]] = defaultdict(list)
        for pool, report in self.view.fresh_reports(MAX_ALLOTMENT_REPORT_AGE_S).items():
            if pool == self.limits.pool:
                continue
            for part in report.parts:
                peers[AccountId(part.account)].append(PeerAllotment(pool, part))
        return self.limits.apply_reports(peers, now)

    def report_new_shortfalls(self) -> None:
        """Request a report at once if the last one lacks an account that needs to be in it.

        Such an account is blocked here, or another pool waits for its report.
        """
        if (
            not self.limits.blocked_accounts | self.limits.awaited_accounts
            <= self.reported_accounts
        ):
            self.request_report()

    def report(self) -> list[PartReport]:
        """Return the reports to the other owners."""
        reports = self.limits.reports()
        self.reported_accounts = {AccountId(report.account) for report in reports}
        return reports

    def write(self, record: PartRecord) -> Write:
        """Return the write that records a ledger, fenced by the owner's commit."""
        key = allotment_key(self.limits.pool, AccountId(record.account))
        return Write(key, record.to_binary())

    def note_recorded(self, records: Sequence[PartRecord]) -> None:
        """Note that ledgers are recorded; request a report of new transfers at once."""
        for record in records:
            log.info(
                "allotment recorded",
                pool=self.limits.pool,
                account=record.account,
                held=self.limits.allotment_of(AccountId(record.account)).ledger.allotment,
            )
        if self.limits.note_recorded(records):
            self.request_report()

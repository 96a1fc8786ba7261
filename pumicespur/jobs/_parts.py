"""How the parts of accounts' limits reach the store and the owners of other pools."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._gifts import OtherPart
from pumicespur.jobs._keys import FOUNDERS_KEY, PARTS_TABLE, part_key
from pumicespur.model import AccountId, PoolId
from pumicespur.schema.jobs_pb import FoundersRecord, PartRecord
from pumicespur.store import Condition, Transaction, Write

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.jobs_pb import PartReport
    from pumicespur.view import NodeView

log = Logger(__name__)

RETRY_S = 0.2
"""Pause after a fault of the store."""

PARTS_MAX_AGE_S = 3.0
"""Oldest report that counts: some heartbeats. A gift is told until it is known to be taken."""


class PartKeeper:
    """Reads, records and exchanges the parts that one pool holds."""

    def __init__(
        self,
        limits: PoolLimits,
        table: PlatformTable,
        view: NodeView,
        tell: Callable[[], None],
    ) -> None:
        self.limits = limits
        self.table = table
        self.view = view
        self.tell = tell
        """Asks for a report at once."""
        self.told: set[AccountId] = set()
        """Accounts that the last report told of."""

    async def load(self) -> None:
        """Read what earlier owners recorded; nothing of theirs can follow any more."""
        self.limits.set_accounts(self.view.configuration.accounts)
        self.limits.set_founders(await self._founders())
        while True:
            kept = await self.table.scan(PARTS_TABLE, self.limits.pool)
            match kept:
                case Result(tag="ok", ok=page):
                    records = [PartRecord.from_binary(row.value) for row in page.rows]
                    self.limits.restore(records)
                    return
                case Result(error=fault):
                    await self._wait(str(fault))

    async def _founders(self) -> list[PoolId]:
        """Return which pools held equal parts at first; whoever asks first decides that."""
        while True:
            found = await self.table.read(FOUNDERS_KEY)
            match found:
                case Result(tag="ok", ok=row) if row.version:
                    record = FoundersRecord.from_binary(row.value)
                    return [PoolId(pool) for pool in record.pools]
                case Result(tag="ok"):
                    await self._found()
                case Result(error=fault):
                    await self._wait(str(fault))

    async def _found(self) -> None:
        """Write the founders unless another owner has; the row is read again in any case."""
        write = Write(FOUNDERS_KEY, FoundersRecord(pools=sorted(self.view.pools())).to_binary())
        written = await self.table.transact(Transaction([Condition(FOUNDERS_KEY, 0)], [write]))
        if written.is_error():
            log.info("founders not written", pool=self.limits.pool, reason=str(written.error))

    async def _wait(self, reason: str) -> None:
        log.warning("parts not read", pool=self.limits.pool, reason=reason)
        await anyio.sleep(RETRY_S)

    def hear(self, now: float) -> bool:
        """Take in what other pools' owners told, and the newest accounts; return if parts moved."""
        self.limits.set_accounts(self.view.configuration.accounts)
        others: defaultdict[AccountId, list[OtherPart]] = defaultdict(list)
        for pool, report in self.view.fresh_reports(PARTS_MAX_AGE_S).items():
            if pool == self.limits.pool:
                continue
            for part in report.parts:
                others[AccountId(part.account)].append(OtherPart(pool, part))
        return self.limits.hear(others, now)

    def tell_news(self) -> None:
        """Tell the other owners at once of an account that lacks a part, here or there."""
        if not self.limits.lacking | self.limits.asked <= self.told:
            self.tell()

    def report(self) -> list[PartReport]:
        """Return what the other owners are to hear."""
        reports = self.limits.reports()
        self.told = {AccountId(report.account) for report in reports}
        return reports

    def write(self, record: PartRecord) -> Write:
        """Return how a ledger is recorded, under the fence of the owner's commit."""
        key = part_key(self.limits.pool, AccountId(record.account))
        return Write(key, record.to_binary())

    def note_recorded(self, records: Sequence[PartRecord]) -> None:
        """Note that ledgers are in the store; gifts are told at once."""
        for record in records:
            log.info(
                "part recorded",
                pool=self.limits.pool,
                account=record.account,
                held=self.limits.part_of(AccountId(record.account)).ledger.part,
            )
        if self.limits.note_recorded(records):
            self.tell()

"""Delete rows that nobody needs any more: old claims, and records under a snapshot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.schema.claims_pb import Claim
from pumicespur.state._keys import CLAIM_PREFIX, record_key
from pumicespur.store import Condition, Row, Transaction, Write
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from pumicespur.connect import PlatformClient
    from pumicespur.schema.settings_pb import ManagerSettings
    from pumicespur.state._lease import Lease

log = Logger(__name__)

PAGE_ROWS = 100
PAGE_PAUSE_S = 1.0
HOUR_MS = 3_600_000
RECORDS_KEPT = 1000
"""Records kept under the snapshot, so that a process a little behind needs no snapshot."""


class Retention:
    """Sweeps through old rows, a page a second, while this process holds the lease."""

    def __init__(self, settings: ManagerSettings, platform: PlatformClient, lease: Lease) -> None:
        self.settings = settings
        self.platform = platform
        self.lease = lease
        self.deleted = 0
        self._after = ""
        self._first_record = 0

    async def run(self) -> None:
        """Sweep for ever."""
        while True:
            await anyio.sleep(PAGE_PAUSE_S)
            if self.lease.held:
                await self.sweep_claims()

    async def sweep_claims(self) -> None:
        """Delete the old claims of one page."""
        match await self.platform.scan(CLAIM_PREFIX, after=self._after, limit=PAGE_ROWS):
            case Result(tag="ok", ok=rows):
                pass
            case _:
                return
        self._after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        oldest = now_ms() - self.settings.claim_retention_h * HOUR_MS
        await self._delete([row for row in rows if Claim.from_binary(row.value).at_ms < oldest])

    async def sweep_records(self, snapshot_revision: int) -> None:
        """Delete records that a stored snapshot covers, well under its revision."""
        last = snapshot_revision - RECORDS_KEPT
        if last <= self._first_record:
            return
        match await self.platform.scan("log/0", limit=PAGE_ROWS):
            case Result(tag="ok", ok=rows):
                await self._delete([row for row in rows if row.key <= record_key(last)])
                self._first_record = last if len(rows) < PAGE_ROWS else 0

    async def _delete(self, rows: list[Row]) -> None:
        if not rows:
            return
        # The conditions keep a row that was written anew meanwhile.
        conditions = [Condition(row.key, row.version) for row in rows]
        writes = [Write(row.key, None) for row in rows]
        fenced = Transaction([*conditions, self.lease.fence()], writes)
        match await self.platform.transact(fenced):
            case Result(tag="ok"):
                self.deleted += len(rows)
            case Result(error=fault):
                log.info("old rows not deleted", fault=str(fault))

"""Deletion of rows that are no longer needed: old claims, and records covered by a snapshot."""

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
PAGE_INTERVAL_S = 1.0
MS_PER_HOUR = 3_600_000
MIN_RETAINED_RECORDS = 1000
"""Records kept before the snapshot, so that a process slightly behind needs no snapshot."""


class Retention:
    """Deletes old rows while this process holds the planner's lease, one page per second."""

    def __init__(self, settings: ManagerSettings, platform: PlatformClient, lease: Lease) -> None:
        self.settings = settings
        self.platform = platform
        self.lease = lease
        self.deleted = 0
        self._scan_after = ""
        self._deleted_up_to = 0

    async def run(self) -> None:
        """Delete old claims page by page, until cancelled."""
        while True:
            await anyio.sleep(PAGE_INTERVAL_S)
            if self.lease.is_held:
                await self.delete_old_claims()

    async def delete_old_claims(self) -> None:
        """Delete the old claims of the next page."""
        match await self.platform.scan(CLAIM_PREFIX, after=self._scan_after, limit=PAGE_ROWS):
            case Result(tag="ok", ok=rows):
                pass
            case _:
                return
        self._scan_after = rows[-1].key if len(rows) == PAGE_ROWS else ""
        oldest_ms = now_ms() - self.settings.claim_retention_h * MS_PER_HOUR
        await self._delete([row for row in rows if Claim.from_binary(row.value).at_ms < oldest_ms])

    async def delete_old_records(self, snapshot_revision: int) -> None:
        """Delete records covered by a stored snapshot, except the newest `MIN_RETAINED_RECORDS`."""
        last = snapshot_revision - MIN_RETAINED_RECORDS
        if last <= self._deleted_up_to:
            return
        match await self.platform.scan("log/0", limit=PAGE_ROWS):
            case Result(tag="ok", ok=rows):
                await self._delete([row for row in rows if row.key <= record_key(last)])
                self._deleted_up_to = last if len(rows) < PAGE_ROWS else 0

    async def _delete(self, rows: list[Row]) -> None:
        if not rows:
            return
        # The conditions keep rows that have been rewritten in the meantime.
        conditions = [Condition(row.key, row.version) for row in rows]
        writes = [Write(row.key, None) for row in rows]
        fenced = Transaction([*conditions, self.lease.fence()], writes)
        match await self.platform.transact(fenced):
            case Result(tag="ok"):
                self.deleted += len(rows)
            case Result(error=error):
                log.info("old rows not deleted", fault=str(error))

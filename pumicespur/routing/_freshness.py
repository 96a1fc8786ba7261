"""Wait briefly for an update when the routing table may be stale.

A process that was paused resumes with an old routing table, and an instance may have changed
pool meanwhile. After a time without updates, requests therefore wait briefly for a response of
the table service or of any peer. If none arrives, this process is assumed to be cut off from all
of them, and it continues with the table it has rather than refuse all requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.state import Replica

CHECK_INTERVAL_S = 0.01


class Freshness:
    """Delays requests briefly while the routing table may be stale."""

    def __init__(self, settings: EntrySettings, replica: Replica) -> None:
        self.settings = settings
        self.replica = replica
        self.found_stale_at = float("-inf")

    def is_stale(self) -> bool:
        """Return whether the replica was last confirmed longer than `doubt_after_s` ago."""
        return monotonic() - self.replica.confirmed_at > self.settings.doubt_after_s

    async def wait_until_fresh(self) -> None:
        """Wait while the table is stale, but no longer than `doubt_wait_s` in each stale period."""
        if not self.is_stale():
            return
        if self.found_stale_at < self.replica.confirmed_at:
            self.found_stale_at = monotonic()
        while self.is_stale():
            if monotonic() - self.found_stale_at >= self.settings.doubt_wait_s:
                return
            await anyio.sleep(CHECK_INTERVAL_S)

"""A short wait for an update when the routing table may be stale.

A process that was paused resumes with an old routing table, and an instance may have changed
pool meanwhile. So after a time without updates, requests wait briefly for a response of the
table service or any peer. If none arrives, this process is disconnected rather than late, and
continues with the table it has, since refusing requests would help nobody.
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
        """Tell whether the replica was last confirmed longer than `doubt_after_s` ago."""
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

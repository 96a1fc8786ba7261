"""Whether the routing table can be trusted after a silence.

A process that was paused wakes up with an old table and would use it at once; an
instance may have changed pool meanwhile. So after a silence, requests wait a moment for
word from the table service or any peer. When none comes, this process is cut off rather
than late, and it goes on with what it has: nobody is served better by refusing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.state import Replica

CHECK_S = 0.01


class Freshness:
    """Holds requests back for a moment while the routing table is in doubt."""

    def __init__(self, settings: EntrySettings, replica: Replica) -> None:
        self.settings = settings
        self.replica = replica
        self.doubted_at = float("-inf")

    def in_doubt(self) -> bool:
        """Tell whether nothing was heard for too long."""
        return monotonic() - self.replica.confirmed_at > self.settings.doubt_after_s

    async def wait(self) -> None:
        """Return at once in ordinary times; wait for word, or the limit, while in doubt."""
        if not self.in_doubt():
            return
        if self.doubted_at < self.replica.confirmed_at:
            self.doubted_at = monotonic()
        while self.in_doubt():
            if monotonic() - self.doubted_at >= self.settings.doubt_wait_s:
                return
            await anyio.sleep(CHECK_S)

"""Detects the return of the store soon after an outage."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from pumicespur.platform._table import PlatformTable

PROBE_INTERVAL_S = 0.2
"""Pause between probes. Other calls wait up to 3 s for a response after some were lost, and a
process that owns nothing makes one each 1.5 s, so callers were refused after the store's return."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe, four response times of a store that is sixty times slower than usual. It
bounds the concurrent probes to five."""


class StoreProbe:
    """Reads one small row repeatedly while calls to the store fail."""

    def __init__(self, table: PlatformTable, key: str) -> None:
        self.table = table
        self.key = key

    async def run(self) -> None:
        """Probe in every outage until cancelled."""
        while True:
            await self.table.outage.began.wait()
            async with anyio.create_task_group() as reads:
                while self.table.outage.began_at is not None:
                    reads.start_soon(self._read)
                    with anyio.move_on_after(PROBE_INTERVAL_S):
                        await self.table.outage.wait_until_over()
                reads.cancel_scope.cancel()

    async def _read(self) -> None:
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            await self.table.read(self.key)

"""Detects the return of the store soon after an outage."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from pumicespur.platform._table import MIN_OUTAGE_S
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.platform._table import PlatformTable

PROBE_INTERVAL_S = 0.2
"""Pause between probes. Other calls notice the store's return later: they wait up to 3 s for a
response after some were lost, and a process that owns nothing makes one each 1.5 s."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe; long enough for the responses of a slow store. With `PROBE_INTERVAL_S` it
bounds the concurrent probes to five."""


class StoreProbe:
    """Reads one small row repeatedly while calls to the store fail.

    It has connections of its own: those of an owner are all taken by the hanging reads of its
    pool's submissions.
    """

    def __init__(self, table: PlatformTable, probed: PlatformTable, key: str) -> None:
        self.table = table
        """The table that is told of the store's return."""
        self.probed = probed
        """The same service, over connections of the probe's own."""
        self.key = key

    async def run(self) -> None:
        """Probe in every outage until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.table.outage.began.wait()
                began_at = anyio.current_time()
                await self._probe()
                if anyio.current_time() - began_at > MIN_OUTAGE_S:
                    tasks.start_soon(self._renew_reads)
                await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> None:
        async with anyio.create_task_group() as reads:
            while self.table.outage.began_at is not None:
                reads.start_soon(self._read)
                with anyio.move_on_after(PROBE_INTERVAL_S):
                    await self.table.outage.wait_until_over()
            reads.cancel_scope.cancel()

    async def _renew_reads(self) -> None:
        """Give up reads that were sent too late in the outage to count as dead at its end.

        Such a read may hang for seconds. While it is one of the configuration, callers are refused.
        """
        ended_at = anyio.current_time()
        await anyio.sleep(self.table.response_times.usual_timeout_s())
        self.table.renew_pending_reads(sent_before=ended_at)

    async def _read(self) -> None:
        with anyio.move_on_after(PROBE_TIMEOUT_S):
            found = await self.probed.read(self.key)
            if found.is_ok():
                self.table.note_success(monotonic())

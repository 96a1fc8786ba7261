"""Measure claims: keys per second, writes per key and latency, by load and store delay."""

from __future__ import annotations

import random

import anyio

from benchmarks._report import percentile, print_section, print_table
from pumicespur.connect import PlatformClient
from pumicespur.routing import ClaimWriter
from pumicespur.schema.claims_pb import ClaimState
from pumicespur.schema.settings_pb import PlatformSettings
from pumicespur.utils import monotonic
from standins.launcher import Launcher, PlatformOrders
from standins.schema.standins_pb import PlatformFault

SECONDS = 4.0
ENTRIES = 8
WRITES_PER_S = 6
LOADS = (8, 40, 200)
DELAYS_MS = (0, 20)


async def measure(delay_ms: int, rate: float) -> tuple[object, ...]:
    """Claim keys at `rate` per second through the claim writers of `ENTRIES` entries."""
    launcher = Launcher()
    try:
        platform = launcher.start_platform()
        await PlatformOrders(platform).fail(PlatformFault.UNSPECIFIED, delay_ms=delay_ms)
        settings = PlatformSettings(url=platform.url, timeout_s=2, writes_per_s=WRITES_PER_S)
        writers = [ClaimWriter(PlatformClient(settings), f"entry-{n}") for n in range(ENTRIES)]
        latencies: list[float] = []

        async def claim(writer: ClaimWriter, key: str) -> None:
            started = monotonic()
            await writer.write(key, writer.new_claim(ClaimState.HELD, b""), 0, 5)
            latencies.append(monotonic() - started)

        async with anyio.create_task_group() as runners:
            for writer in writers:
                runners.start_soon(writer.run)
            end = monotonic() + SECONDS
            async with anyio.create_task_group() as tasks:
                number = 0
                while monotonic() < end:
                    await anyio.sleep(random.expovariate(rate))
                    tasks.start_soon(claim, random.choice(writers), f"k{number}")
                    number += 1
            runners.cancel_scope.cancel()
        writes = sum(writer.transactions for writer in writers)
        return (
            delay_ms,
            rate,
            f"{number / SECONDS:.0f}",
            f"{writes / SECONDS:.1f}",
            f"{writes / number:.2f}",
            f"{percentile(latencies, 0.5) * 1000:.0f}",
            f"{percentile(latencies, 0.99) * 1000:.0f}",
        )
    finally:
        launcher.close()


async def main() -> None:
    """Print the figures for each store delay and load."""
    print_section(f"Claims through {ENTRIES} entries, {WRITES_PER_S} writes/s each at most")
    rows = [await measure(delay, rate) for delay in DELAYS_MS for rate in LOADS]
    header = ("STORE MS", "ASKED/S", "KEYS/S", "WRITES/S", "WRITES/KEY", "P50 MS", "P99 MS")
    print_table(header, rows)


if __name__ == "__main__":
    anyio.run(main)

"""Tests of large, often changing configurations on a slow link to the store.

Guards against processes that refuse routes added more than three seconds before. After an outage,
in which some 40 configurations were written, a process requested every change that it had missed,
over a link of 10 Mbit/s. Each heartbeat that reported a newer version made it give up the transfer
and start again, so that new versions were put in force up to 14 s late.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING

import anyio

from pumicespur.platform import HttpClient, PlatformTable
from pumicespur.schema.node_pb import StoreSettings
from pumicespur.store import Transaction, Unavailable, Write
from pumicespur.utils import monotonic
from standins.hosted import Link, Passage, World
from tests.base import default_settings, quiet_loop

if TYPE_CHECKING:
    from expression import Result

    from pumicespur.store import Fault, Page
    from standins.hosted import Node

ROUTES = tuple(f"route-{number}" for number in range(400))
LINK_BYTES_PER_S = 200_000
"""A configuration of 400 routes takes half a second; a call to the store may take 0.3 s."""

GAP_S = 0.3
"""Pause between two changes, shorter than the transfer of one."""

MAX_CHANGES = 30
"""Changes within which one has to arrive; it takes two or three."""

MISSED_CHANGES = 40
"""Changes during an outage; to transfer all of them would take 20 s."""


BURST_GAP_S = 0.25
BURST_CHANGES = 18


def versions_in_force(node: Node) -> list[int]:
    """Return the versions of the configurations that a node has put in force, from its log."""
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    return [line["version"] for line in lines if line["event"] == "configuration in force"]


class SlowLinkCase(unittest.IsolatedAsyncioTestCase):
    """A process whose link to the store is slow."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = World()
        await self.world.open()
        self.addAsyncCleanup(self.world.close)
        self.link = Link(lambda: self.world.addresses["store"])
        await self.link.listen()
        self.addAsyncCleanup(self.link.close)

    def start_behind_link(self) -> Node:
        """Start the process behind the slow link."""
        return self.world.nodes.start("thin", self.world.addresses | {"store": self.link.address})

    def change(self, routes: tuple[str, ...] = ROUTES) -> None:
        """Write the next configuration as an operator does."""
        self.world.configure(self.world.version + 1, routes)

    async def change_until_in_force(self, node: Node, version: int) -> None:
        """Write changes until a node has put `version` or a newer one in force."""
        for _ in range(MAX_CHANGES):
            if versions_in_force(node)[-1] >= version:
                return
            self.change()
            await asyncio.sleep(GAP_S)
        text = node.log.read_text()[-3000:]
        self.fail(f"version {version} never came; in force: {versions_in_force(node)}\n{text}")


class ManyChangesTest(SlowLinkCase):
    """Operators change a large configuration faster than the link transfers it."""

    async def test_changes_arrive_while_others_report_newer_ones(self) -> None:
        fast = self.world.start_node("thick")
        slow = self.start_behind_link()
        for node in (fast, slow):
            await self.world.wait_ready(node)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.change()
        await self.change_until_in_force(slow, self.world.version)


class BurstTest(SlowLinkCase):
    """Operators change a configuration each 0.25 s for 4.5 s."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.versions: dict[int, float] = {}
        """When each version was written (monotonic seconds)."""

    async def write_burst(self, node: Node) -> float:
        """Write the burst; return how long at most a node lacked what was written."""
        behind_s = 0.0
        for _ in range(BURST_CHANGES):
            self.change()
            self.versions[self.world.version] = monotonic()
            await asyncio.sleep(BURST_GAP_S)
            behind_s = max(behind_s, self.behind_s(node))
        while versions_in_force(node)[-1] < self.world.version:
            behind_s = max(behind_s, self.behind_s(node))
            await asyncio.sleep(0.05)
        return behind_s

    def behind_s(self, node: Node) -> float:
        """Return since when a node lacks a version that was written."""
        known = versions_in_force(node)[-1]
        missing = [at for version, at in self.versions.items() if version > known]
        return monotonic() - min(missing, default=monotonic())

    async def check(self, node: Node) -> list[int]:
        """Check that a node keeps to the bound, and return the versions that it put in force."""
        self.assertLess(
            await self.write_burst(node), default_settings().process.configuration_ms / 1000
        )
        versions = [v for v in versions_in_force(node) if v in self.versions]
        self.assertEqual(sorted(set(versions)), versions)
        return versions

    async def test_process_near_the_store_puts_the_newest_in_force(self) -> None:
        node = self.world.start_node("near")
        await self.world.wait_ready(node)
        await self.check(node)

    async def test_process_on_a_slow_link_skips_what_is_overtaken(self) -> None:
        # Each transfer lasts for two changes; one that follows every change falls ever further
        # behind.
        node = self.start_behind_link()
        await self.world.wait_ready(node)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.assertLess(len(await self.check(node)), BURST_CHANGES)


class OutageTest(SlowLinkCase):
    """A process reconnects after it missed many changes."""

    async def test_newest_arrives_without_all_that_were_missed(self) -> None:
        # No other process runs, so that none reports newer versions.
        slow = self.start_behind_link()
        await self.world.wait_ready(slow)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.link.set_passage(Passage.NOTHING)
        for _ in range(MISSED_CHANGES):
            self.change()
        newest = self.world.version
        self.link.set_passage(Passage.BOTH_WAYS)
        await self.world.wait_for(
            lambda: versions_in_force(slow)[-1] == newest, "the newest version is in force"
        )
        self.assertLess(len(versions_in_force(slow)), MISSED_CHANGES // 2)


class StartTest(SlowLinkCase):
    """A process starts while the configuration is large."""

    async def test_first_configuration_arrives(self) -> None:
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.change()
        await self.world.wait_ready(self.start_behind_link())


class TableCase(SlowLinkCase):
    """Calls to the store over a slow link, without a process."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.change()
        self.client = HttpClient(2)
        self.addAsyncCleanup(self.client.aclose)
        settings = StoreSettings(address=self.link.address, timeout_s=0.1, max_timeout_s=0.1)
        self.table = PlatformTable(settings, self.client)


class RenewalTest(TableCase):
    """Watches that received nothing are given up, since their connections may be dead."""

    async def watch_since(self, version: int) -> Result[Page, Fault]:
        """Watch the operators' table while pending reads are renewed over and over."""
        results: list[Result[Page, Fault]] = []

        async def follow() -> None:
            results.append(await self.table.changes("op", version, 30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            while not results:
                await asyncio.sleep(0.01)
                self.table.renew_pending_reads()
        return results[0]

    async def test_watch_that_is_receiving_goes_on(self) -> None:
        self.link.bytes_per_s = LINK_BYTES_PER_S
        result = await self.watch_since(self.world.store.version - 1)
        self.assertEqual(["op//config"], [row.key for row in result.ok.rows])

    async def test_read_without_bytes_is_given_up_by_the_usual_timeout(self) -> None:
        # After an outage the timeout is 3 s, so that dead reads went on for that long.
        self.table.response_times.max_s = 3.0
        self.table.response_times.doublings = 5
        result = await self.watch_since(self.world.store.version)
        self.assertEqual(Unavailable("given up"), result.error)

    async def test_read_sent_after_a_given_time_goes_on(self) -> None:
        watch = asyncio.ensure_future(self.table.changes("op", self.world.store.version, 30.0))
        while not self.table.pending_reads:
            await asyncio.sleep(0.01)
        (read,) = self.table.pending_reads
        while read.elapsed_s < 2 * self.table.response_times.timeout_s():
            await asyncio.sleep(0.01)
        self.table.renew_pending_reads(sent_before=read.sent_at)
        self.assertFalse(read.given_up)
        self.table.renew_pending_reads()
        self.assertEqual(Unavailable("given up"), (await watch).error)

    async def test_watch_that_receives_nothing_is_given_up(self) -> None:
        result = await self.watch_since(self.world.store.version)
        self.assertEqual(Unavailable("given up"), result.error)


class LargeWriteTest(TableCase):
    """A transaction with many rows."""

    async def test_timeout_allows_for_the_upload_time(self) -> None:
        # The timeout of small calls is too short, and each retry would start at the first byte.
        self.link.bytes_per_s = 2 * LINK_BYTES_PER_S
        rows = [Write(f"progress/main/{number}", bytes(45_000)) for number in range(5)]
        result = await self.table.transact(Transaction([], rows))
        self.assertTrue(result.is_ok(), result)

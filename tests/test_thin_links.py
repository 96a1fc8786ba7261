"""Large configurations, changing often, on the way to a process behind a thin link.

What users saw: two of 29 processes refused routes that operators had added more than three seconds
before. Both had been cut off from the store for twelve seconds, in which some 40 configurations
were written, and were back for four; the operators went on changing.

Order of events: the store answers a heartbeat; its tables are followed again from where they were
left; each change since then is on its way, one after the other, over a link of 10 Mbit/s;
heartbeats that tell of newer versions arrive; the transfers are broken off and begun anew.

Cause: a process that was behind asked for more the further behind it was, and threw away what had
come at each sign of being behind. What proved it: the readings' lines in the log, given up with
163,764, 507,828 and 540,596 bytes in, and versions 32 to 53 put in force within 50 ms, 14 s late.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import TYPE_CHECKING

import anyio

from pumicespur.platform import HttpCaller, PlatformTable
from pumicespur.schema.node_pb import StoreSettings
from pumicespur.store import Transaction, Unavailable, Write
from standins.hosted import Link, Passage, World
from tests.base import quiet_loop

if TYPE_CHECKING:
    from expression import Result

    from pumicespur.store import Fault, Page
    from standins.hosted import Node

ROUTES = tuple(f"route-{number}" for number in range(400))
LINK_BYTES_PER_S = 200_000
"""A configuration of 400 routes takes half a second; a call to the store may take 0.3 s."""

GAP_S = 0.3
"""Pause between two changes, shorter than one transfer."""

MAX_CHANGES = 30
"""Changes within which one of them has to arrive; two or three are enough."""

MISSED_CHANGES = 40
"""Changes during a cut: 20 s of transfers if each is carried."""


def versions_in_force(node: Node) -> list[int]:
    """Return the configurations that a node has put in force, from its log."""
    lines = [json.loads(line) for line in node.log.read_text().splitlines()]
    return [line["version"] for line in lines if line["event"] == "configuration in force"]


class ThinLinkCase(unittest.IsolatedAsyncioTestCase):
    """One process whose link to the store is thin."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.world = World()
        await self.world.open()
        self.addAsyncCleanup(self.world.close)
        self.link = Link(lambda: self.world.addresses["store"])
        await self.link.listen()
        self.addAsyncCleanup(self.link.close)

    def start_behind_link(self) -> Node:
        """Start the process with the thin link."""
        return self.world.nodes.start("thin", self.world.addresses | {"store": self.link.address})

    def change(self, routes: tuple[str, ...] = ROUTES) -> None:
        """Write the next configuration as an operator does."""
        self.world.configure(self.world.version + 1, routes)

    async def change_until_in_force(self, node: Node, version: int) -> None:
        """Go on changing until a node has put a version or a newer one in force."""
        for _ in range(MAX_CHANGES):
            if versions_in_force(node)[-1] >= version:
                return
            self.change()
            await asyncio.sleep(GAP_S)
        text = node.log.read_text()[-3000:]
        self.fail(f"version {version} never came; in force: {versions_in_force(node)}\n{text}")


class ManyChangesTest(ThinLinkCase):
    """Operators change a large configuration faster than it can be carried."""

    async def test_changes_arrive_while_others_tell_of_newer_ones(self) -> None:
        thick = self.world.start_node("thick")
        thin = self.start_behind_link()
        for node in (thick, thin):
            await self.world.wait_ready(node)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.change()
        await self.change_until_in_force(thin, self.world.version)


class CutTest(ThinLinkCase):
    """A process is back after it missed many changes."""

    async def test_newest_arrives_without_the_ones_between(self) -> None:
        # No other process runs, so that none tells of newer versions.
        thin = self.start_behind_link()
        await self.world.wait_ready(thin)
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.link.let_pass(Passage.NOTHING)
        for _ in range(MISSED_CHANGES):
            self.change()
        newest = self.world.version
        self.link.let_pass(Passage.BOTH_WAYS)
        await self.world.wait_for(
            lambda: versions_in_force(thin)[-1] == newest, "the newest version is in force"
        )
        self.assertLess(len(versions_in_force(thin)), MISSED_CHANGES // 2)


class StartTest(ThinLinkCase):
    """A process starts while the configuration is large."""

    async def test_first_configuration_arrives(self) -> None:
        self.link.bytes_per_s = LINK_BYTES_PER_S
        self.change()
        await self.world.wait_ready(self.start_behind_link())


class TableCase(ThinLinkCase):
    """Calls to the store over a thin link, without a process."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.change()
        self.caller = HttpCaller(2)
        self.addAsyncCleanup(self.caller.aclose)
        settings = StoreSettings(address=self.link.address, timeout_s=0.1, max_timeout_s=0.1)
        self.table = PlatformTable(settings, self.caller)


class RenewalTest(TableCase):
    """Watches are given up because their connections may be dead."""

    async def watch_since(self, version: int) -> Result[Page, Fault]:
        """Follow the operators' table, renewing all watches again and again."""
        answers: list[Result[Page, Fault]] = []

        async def follow() -> None:
            answers.append(await self.table.changes("op", version, 30.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow)
            while not answers:
                await asyncio.sleep(0.01)
                self.table.renew_readings()
        return answers[0]

    async def test_one_that_is_receiving_goes_on(self) -> None:
        self.link.bytes_per_s = LINK_BYTES_PER_S
        answer = await self.watch_since(self.world.store.version - 1)
        self.assertEqual(["op//config"], [row.key for row in answer.ok.rows])

    async def test_one_that_hears_nothing_is_given_up(self) -> None:
        answer = await self.watch_since(self.world.store.version)
        self.assertEqual(Unavailable("given up"), answer.error)


class LargeWriteTest(TableCase):
    """A commit of many rows."""

    async def test_it_has_the_time_that_the_link_takes(self) -> None:
        # The time for a small answer would never do, and each new try begins at the first byte.
        self.link.bytes_per_s = 2 * LINK_BYTES_PER_S
        rows = [Write(f"progress/main/{number}", bytes(45_000)) for number in range(5)]
        answer = await self.table.transact(Transaction([], rows))
        self.assertTrue(answer.is_ok(), answer)

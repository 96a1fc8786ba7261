"""Tests of which peers a process links to."""

from __future__ import annotations

import math
import unittest
from types import SimpleNamespace
from typing import Any, cast

import anyio
from hypothesis import given
from hypothesis import strategies as st

from pumicespur.peers import PeerNetwork, choose_links
from pumicespur.schema.peer_pb import HeartbeatReply, PeerReply
from pumicespur.utils import monotonic

NAMES = st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1, max_size=40)


def steps_to_all(names: set[str], start: str, dead: set[str]) -> int | None:
    """Count the steps in which news from `start` reaches all living; None if it doesn't.

    A link passes news both ways, as a heartbeat and its reply do.
    """
    links = {name: set(choose_links(name, names)) for name in names}
    reached = {start}
    for step in range(len(names) + 1):
        if reached >= names - dead:
            return step
        outward = {peer for name in reached for peer in links[name]}
        inward = {name for name in names if links[name] & reached}
        grown = reached | ((outward | inward) - dead)
        if grown == reached:
            return None
        reached = grown
    return None


class TestLinks(unittest.TestCase):
    """A few links are enough for news to reach everyone soon."""

    @given(NAMES, st.data())
    def test_news_reaches_everyone_in_few_steps(self, names: set[str], data: st.DataObject) -> None:
        start = data.draw(st.sampled_from(sorted(names)))
        steps = steps_to_all(names, start, set())
        assert steps is not None
        self.assertLessEqual(steps, math.ceil(math.log2(len(names))) if len(names) > 1 else 0)
        self.assertLessEqual(len(choose_links(start, names)), math.ceil(math.log2(len(names) + 1)))

    @given(NAMES, st.data())
    def test_one_dead_process_stops_no_news(self, names: set[str], data: st.DataObject) -> None:
        dead = data.draw(st.sampled_from(sorted(names)))
        living = sorted(names - {dead})
        if living:
            self.assertIsNotNone(steps_to_all(names, living[0], {dead}))

    def test_nobody_links_to_itself(self) -> None:
        self.assertEqual(choose_links("a", {"a"}), [])
        self.assertEqual(choose_links("a", set()), [])
        self.assertNotIn("a", choose_links("a", {"a", "b", "c"}))


class BeatTest(unittest.IsolatedAsyncioTestCase):
    """What an answered heartbeat says of how new the own table is."""

    async def test_it_tells_of_the_time_when_it_was_asked(self) -> None:
        # A process was paused with an answer in its socket, woke up, took the answer as word of
        # this moment and sent four requests by a table from before a move.
        told: list[float] = []

        async def exchange(socket: object, request: object) -> PeerReply:
            await anyio.sleep(0.05)
            return PeerReply(heartbeat=HeartbeatReply(id="peer", revision=1))

        network = SimpleNamespace(
            members=SimpleNamespace(me=None),
            replica=SimpleNamespace(revision=1, confirm=told.append),
            stopping=False,
            _exchange=exchange,
        )
        before = monotonic()
        await PeerNetwork._beat(cast("Any", network), cast("Any", None))
        self.assertLess(told[0] - before, 0.05)

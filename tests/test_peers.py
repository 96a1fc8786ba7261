"""Tests of the links between peers and of their heartbeats."""

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


def steps_to_reach_all(names: set[str], start: str, dead: set[str]) -> int | None:
    """Count the steps in which an update from `start` reaches all live members; None if it doesn't.

    A link transfers updates in both directions, as a heartbeat and its reply do.
    """
    links = {name: set(choose_links(name, names)) for name in names}
    reached = {start}
    for step in range(len(names) + 1):
        if reached >= names - dead:
            return step
        outgoing = {peer for name in reached for peer in links[name]}
        incoming = {name for name in names if links[name] & reached}
        extended = reached | ((outgoing | incoming) - dead)
        if extended == reached:
            return None
        reached = extended
    return None


class TestLinks(unittest.TestCase):
    """A few links per process are enough to distribute updates quickly."""

    @given(NAMES, st.data())
    def test_an_update_reaches_every_process_in_few_steps(
        self, names: set[str], data: st.DataObject
    ) -> None:
        start = data.draw(st.sampled_from(sorted(names)))
        steps = steps_to_reach_all(names, start, set())
        assert steps is not None
        self.assertLessEqual(steps, math.ceil(math.log2(len(names))) if len(names) > 1 else 0)
        self.assertLessEqual(len(choose_links(start, names)), math.ceil(math.log2(len(names) + 1)))

    @given(NAMES, st.data())
    def test_one_dead_process_stops_no_update(self, names: set[str], data: st.DataObject) -> None:
        dead = data.draw(st.sampled_from(sorted(names)))
        live = sorted(names - {dead})
        if live:
            self.assertIsNotNone(steps_to_reach_all(names, live[0], {dead}))

    def test_no_process_links_to_itself(self) -> None:
        self.assertEqual(choose_links("a", {"a"}), [])
        self.assertEqual(choose_links("a", set()), [])
        self.assertNotIn("a", choose_links("a", {"a", "b", "c"}))


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """What the reply to a heartbeat confirms about the process's own state."""

    async def test_a_reply_confirms_the_state_at_the_time_of_the_request(self) -> None:
        """A process was paused with a reply in its socket.

        After it resumed, it took the reply as current, and sent four requests by a routing table
        from before a move.
        """
        confirmed: list[float] = []

        async def exchange(socket: object, request: object) -> PeerReply:
            await anyio.sleep(0.05)
            return PeerReply(heartbeat=HeartbeatReply(id="peer", revision=1))

        network = SimpleNamespace(
            members=SimpleNamespace(own_member=None),
            replica=SimpleNamespace(revision=1, confirm=confirmed.append),
            stopping=False,
            _exchange=exchange,
        )
        before = monotonic()
        await PeerNetwork._send_heartbeat(cast("Any", network), cast("Any", None))
        self.assertLess(confirmed[0] - before, 0.05)

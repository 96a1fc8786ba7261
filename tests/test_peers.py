"""Tests of which peers a process links to."""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.peers import choose_links

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

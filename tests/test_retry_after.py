"""Tests of when refused callers come back.

All refusals said `Retry-After: 1`. In a silence of 4 s, 106 callers used up their five tries before
the store answered again.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import aiohttp
from hypothesis import given
from hypothesis import strategies as st

from pumicespur.platform import CallerServer
from pumicespur.platform._retry_after import retry_after_s

TRIES = 5
TIME_LIMIT_S = 3.0
"""How long a caller waits for a response."""

HOLD_S = 1.35
"""How long a process holds a try in the first second of an outage."""

REFUSE_AFTER_S = 1.0
"""Length of an outage after which tries are refused at once."""

DETECTION_S = 0.4
"""Time until a process notices an outage: the timeout of a call to the store."""

ARRIVALS = 400
"""Callers in a played outage, spread evenly over it."""

Wait = Callable[[float], int]
"""Returns the value of `Retry-After` for the time that the store has been failing."""


def fixed_wait(failing_for_s: float) -> int:
    """Return the value that all refusals used to have."""
    return 1


def played_share(outage_s: float, wait: Wait) -> float:
    """Return the share of the callers coming during an outage that are served in five tries."""
    arrivals = [outage_s * number / ARRIVALS for number in range(ARRIVALS)]
    return sum(is_served(arrival, outage_s, wait) for arrival in arrivals) / ARRIVALS


def is_served(at_s: float, outage_s: float, wait: Wait) -> bool:
    """Play one caller that comes some seconds after the start of an outage."""
    for _ in range(TRIES):
        known_for_s = max(0.0, at_s - DETECTION_S)
        if known_for_s < REFUSE_AFTER_S:
            at_s += HOLD_S
        if at_s >= outage_s:
            return True
        at_s += wait(max(0.0, at_s - DETECTION_S))
    return False


class RetryAfterTest(unittest.TestCase):
    """The wait that one refusal states."""

    def test_a_short_outage_costs_one_second(self) -> None:
        for jitter in (0.0, 0.5, 0.99):
            self.assertEqual(1, retry_after_s(0.9, TIME_LIMIT_S, jitter))

    def test_a_refusal_for_another_cause_states_one_second(self) -> None:
        self.assertEqual(1, retry_after_s(0.0, TIME_LIMIT_S, 0.99))

    def test_callers_refused_together_return_in_different_seconds(self) -> None:
        # With a fixed wait, all callers of an outage return in the same second.
        draw = random.Random(1)
        for failing_for_s in (1.2, 4.0, 8.0):
            waits = Counter(
                retry_after_s(failing_for_s, TIME_LIMIT_S, draw.random()) for _ in range(1000)
            )
            self.assertGreater(min(waits.values()), 400)
            self.assertEqual(2, len(waits))

    @given(st.floats(0, 1e6), st.floats(0, 1e4), st.floats(0, 1))
    def test_a_wait_is_no_longer_than_the_callers_time(
        self, failing_for_s: float, time_limit_s: float, jitter: float
    ) -> None:
        wait = retry_after_s(failing_for_s, time_limit_s, jitter)
        self.assertGreaterEqual(wait, 1)
        self.assertLessEqual(wait, max(1.0, time_limit_s))


class PlayedOutageTest(unittest.TestCase):
    """Callers with five tries against outages of several lengths."""

    def setUp(self) -> None:
        self.draw = random.Random(7)

    def wait(self, failing_for_s: float) -> int:
        return retry_after_s(failing_for_s, TIME_LIMIT_S, self.draw.random())

    def test_no_fewer_callers_are_served_than_with_a_fixed_second(self) -> None:
        for outage_s in (0.5, 2.0, 4.0, 6.0, 9.0):
            with self.subTest(outage_s=outage_s):
                fixed, chosen = (
                    played_share(outage_s, fixed_wait),
                    played_share(outage_s, self.wait),
                )
                self.assertGreaterEqual(chosen, fixed)

    def test_more_callers_are_served_in_long_outages(self) -> None:
        for outage_s in (6.0, 9.0):
            with self.subTest(outage_s=outage_s):
                fixed, chosen = (
                    played_share(outage_s, fixed_wait),
                    played_share(outage_s, self.wait),
                )
                self.assertGreater(chosen, fixed)

    def test_five_tries_outlast_six_seconds_with_every_jitter(self) -> None:
        # The caller that comes first and always draws the shortest wait is the worst served.
        self.assertEqual(1.0, played_share(6.0, lambda f: retry_after_s(f, TIME_LIMIT_S, 0.0)))


class StatedWaitTest(unittest.IsolatedAsyncioTestCase):
    """The header of a response to a caller."""

    async def asyncSetUp(self) -> None:
        context = SimpleNamespace(
            current_configuration=lambda: None,
            store_failing_for_s=lambda: 5.0,
            is_stopping=lambda: False,
        )
        server = CallerServer(cast("Any", context))
        self.bound = await server.listen("127.0.0.1:0", "127.0.0.1:0")
        self.addAsyncCleanup(server.aclose)

    async def stated_wait(self, time_limit_ms: str) -> int:
        headers = {"X-Pumicespur-Deadline-Ms": time_limit_ms}
        url = f"http://{self.bound['callers']}/quick/1"
        async with aiohttp.ClientSession() as session, session.post(url, headers=headers) as answer:
            self.assertEqual(503, answer.status)
            return int(answer.headers["Retry-After"])

    async def test_it_follows_the_outage_whatever_the_refusal_is_for(self) -> None:
        # In an outage most refusals are for an outdated configuration, not for the store.
        self.assertIn(await self.stated_wait("3000"), (2, 3))

    async def test_it_follows_the_callers_time(self) -> None:
        self.assertEqual(1, await self.stated_wait("1500"))

    async def test_a_time_that_is_no_number_counts_as_none(self) -> None:
        for stated in ("", "soon", "nan", "inf"):
            self.assertIn(await self.stated_wait(stated), (2, 3))

"""Tests; run them all with `make unit`."""

from __future__ import annotations

import asyncio

from pumicespur.utils import SteadyEventLoop


class SteadyPolicy(asyncio.DefaultEventLoopPolicy):
    """Gives the tests the program's event loop, whose clock is the program's own."""

    _loop_factory = SteadyEventLoop


asyncio.set_event_loop_policy(SteadyPolicy())

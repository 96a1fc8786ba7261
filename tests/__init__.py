"""Tests; run them all with `make unit`."""

from __future__ import annotations

import asyncio

from hypothesis import HealthCheck, settings

from pumicespur.utils import BootTimeEventLoop


class SteadyPolicy(asyncio.DefaultEventLoopPolicy):
    """Gives the tests the program's event loop, whose clock is the program's own."""

    _loop_factory = BootTimeEventLoop


asyncio.set_event_loop_policy(SteadyPolicy())

# A drawn test judges what it draws, never how fast: the first draw in a fresh checkout reads all
# sources, which takes seconds on a busy machine.
settings.register_profile("untimed", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("untimed")

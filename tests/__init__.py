"""Tests; `make unit` runs them all."""

from __future__ import annotations

import asyncio

from hypothesis import HealthCheck, settings

from pumicespur.utils import BootTimeEventLoop


class BootTimeEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Event loop policy that gives tests the program's own event loop, with its clock."""

    _loop_factory = BootTimeEventLoop


asyncio.set_event_loop_policy(BootTimeEventLoopPolicy())

# Property-based tests have no time limits: the first example in a fresh checkout reads all sources,
# which takes seconds on a busy machine.
settings.register_profile("untimed", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("untimed")

"""A cut that holds up orders of the fleet leader until the next one has given its own."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from pumicespur.maintenance import FLEET_ROLE
from standins.hosted import Passage

if TYPE_CHECKING:
    from soak._plan import Fault
    from soak._world import SoakWorld

ORDER_PATH = b"POST /pumicespur/machine-"
"""Beginning of a request that orders something for an instance."""

ORDER_TIMEOUT_S = 6.0
"""Time to wait for an order."""

TAKEOVER_S = 6.0
"""Least length of the cut; the next leader gives orders before it ends."""


async def cut_fleet_leader(world: SoakWorld, fault: Fault) -> None:
    """Cut the fleet leader off from the platform as it sends its next order."""
    links = world.links.get(world.owner(FLEET_ROLE))
    if links is None:
        return
    links.fleet.cut_before = ORDER_PATH
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(links.fleet.passage_changed.wait(), ORDER_TIMEOUT_S)
        links.store.set_passage(Passage.NOTHING)
        await asyncio.sleep(TAKEOVER_S + fault.for_s)
    for link in (links.store, links.fleet):
        link.cut_before = b""
        link.set_passage(Passage.BOTH_WAYS)

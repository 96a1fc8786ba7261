"""Faults that show what a process cannot know: of the callers' route, and of a planned stop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._plan import FaultKind

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak._callers import Caller
    from soak._plan import Fault
    from soak._world import SoakWorld

SECOND_POOL = "second"
SECOND_POOL_WORKERS = 3
"""Workers in the second pool of a plan in which the route moves there."""

REPEAT_INTERVAL_S = 0.25
"""Pause between ids that are sent again."""

TAKEOVER_S = 3.0
"""Least time for which the route is away: all processes start again and one takes its pool."""

FORGET_DELAYS_S = (0.2, 0.35, 0.5, 0.65, 0.8, 0.95)
"""Times from a planned stop to each loss of the store's history; about when its pools are taken."""

SLOW_STORE_S = 0.15
"""Delay of the store's answers around such a stop, so that it falls into calls of candidates."""

ROUTE_KINDS = frozenset(
    {
        FaultKind.ROUTE_MOVES,
        FaultKind.ROUTE_AWAY,
        FaultKind.IDS_SENT_AGAIN,
    }
)


async def disrupt_route(world: SoakWorld, callers: Sequence[Caller], fault: Fault) -> None:
    """Inject one of `ROUTE_KINDS`."""
    match fault.kind:
        case FaultKind.ROUTE_MOVES:
            world.route_pools["quick"] = SECOND_POOL
            world.reconfigure()
            await asyncio.sleep(fault.for_s)
            world.route_pools.pop("quick", None)
            world.reconfigure()
        case FaultKind.ROUTE_AWAY:
            for caller in callers:
                await caller.submit_failing_job()
            world.absent_routes.add("quick")
            world.reconfigure()
            await asyncio.sleep(TAKEOVER_S + fault.for_s)
            world.absent_routes.discard("quick")
            world.reconfigure()
        case _:
            await _send_ids_again(callers, fault)


async def _send_ids_again(callers: Sequence[Caller], fault: Fault) -> None:
    """Send ids of accepted jobs again, the newest first, at each node in turn."""
    until = monotonic() + fault.for_s
    while monotonic() < until:
        for caller in callers:
            await caller.resubmit()
        await asyncio.sleep(REPEAT_INTERVAL_S)


async def forget_history_repeatedly(world: SoakWorld, fault: Fault) -> None:
    """Let the slow store forget its history again and again, for about a takeover."""
    slow_s, world.store.faults.slow_s = world.store.faults.slow_s, SLOW_STORE_S
    began_at = monotonic()
    for delay_s in FORGET_DELAYS_S:
        await asyncio.sleep(max(0.0, began_at + delay_s * (0.5 + fault.strength) - monotonic()))
        world.store.forget_history()
        world.store.wake_feeds()
    world.store.faults.slow_s = slow_s

"""Faults in which operators evacuate data halls and end the evacuations."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak._plan import Fault
    from soak._world import SoakWorld

MIN_TWO_HALLS_STRENGTH = 0.5
MIN_ALL_HALLS_STRENGTH = 0.8
"""Strengths from which a fault evacuates two halls or all of them, instead of one."""


async def evacuate_halls(world: SoakWorld, fault: Fault) -> None:
    """Evacuate one hall, two whose evacuations overlap, or all at once, and end the evacuations."""
    halls = sorted(set(world.halls.values()))
    first = fault.target % len(halls)
    ordered = halls[first:] + halls[:first]
    if fault.strength >= MIN_ALL_HALLS_STRENGTH:
        await asyncio.gather(*(_evacuate(world, hall, fault.for_s) for hall in ordered))
    elif fault.strength >= MIN_TWO_HALLS_STRENGTH:
        await asyncio.gather(
            _evacuate(world, ordered[0], fault.for_s),
            _evacuate(world, ordered[1], fault.for_s, fault.for_s / 2),
        )
    else:
        await _evacuate(world, ordered[0], fault.for_s)


async def _evacuate(world: SoakWorld, hall: str, for_s: float, delay_s: float = 0.0) -> None:
    """Evacuate a hall after a delay; a hall that is evacuated already opens with the first end."""
    await asyncio.sleep(delay_s)
    world.evacuations.begin(hall)
    await asyncio.sleep(for_s)
    world.end_evacuation(hall)

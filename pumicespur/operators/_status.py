"""Status of pools for operators: availability, budget and buffer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.planning import Availability
from pumicespur.schema.operators_pb import PoolStatus

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.schema.platform_pb import ListedInstance
    from pumicespur.structure import Fleet


def measure_pools(fleet: Fleet, listed: Mapping[str, ListedInstance]) -> list[PoolStatus]:
    """Return the status of each pool, with availability according to the platform's list."""
    availability = Availability(fleet, listed)
    return [
        PoolStatus(
            pool=name,
            size=pool.pool.size,
            assigned=pool.assigned,
            available=pool.available,
            min_available=pool.min_available,
            buffer=pool.buffer(),
        )
        for name, pool in availability.pools.items()
    ]

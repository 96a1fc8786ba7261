"""How many instances of each pool are available, and how many more may go down.

An instance is available when it is decided to serve and the platform lists it as live and
not drained. Everything else, planned or not, known or not, is charged to the budget alike.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Assignment, FailureDomain, InstanceState, Pool
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import Fleet, InstanceId, PoolId, minimum_available

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.schema.platform_pb import ListedInstance


@dataclass
class PoolAvailability:
    """The available instances of one pool, counted by failure domain."""

    pool: Pool
    assigned: int = 0
    available: int = 0
    racks: Counter[str] = field(default_factory=Counter)
    halls: Counter[str] = field(default_factory=Counter)

    @property
    def minimum(self) -> int:
        """The budget: how many instances must be available."""
        return minimum_available(self.pool)

    def reserve(self) -> int:
        """Return how many available instances one unplanned loss could take."""
        match self.pool.headroom:
            case FailureDomain.INSTANCE:
                return min(1, self.available)
            case FailureDomain.RACK:
                return max(self.racks.values(), default=0)
            case FailureDomain.DATA_HALL:
                return max(self.halls.values(), default=0)
            case _:
                return 0

    def buffer(self) -> int:
        """Return how many available instances stand beyond the budget."""
        return self.available - self.minimum

    def add(self, assignment: Assignment, change: int) -> None:
        """Count an available instance in (1) or out (-1)."""
        self.available += change
        self.racks[assignment.rack] += change
        self.halls[assignment.data_hall] += change


class Availability:
    """The availability of every declared pool, as decisions take it down step by step."""

    def __init__(
        self,
        fleet: Fleet,
        listed: Mapping[str, ListedInstance],
        decided: Mapping[InstanceId, Assignment] = MappingProxyType({}),
    ) -> None:
        self.pools = {name: PoolAvailability(pool) for name, pool in fleet.pools.items()}
        self.available: set[InstanceId] = set()
        for name, before in fleet.assignments.items():
            assignment = decided.get(name, before)
            pool = self.pools.get(PoolId(assignment.pool))
            if pool is None or assignment.removed:
                continue
            pool.assigned += 1
            if is_available(assignment, listed.get(name)):
                pool.add(assignment, 1)
                self.available.add(name)

    def may_take_down(self, assignment: Assignment) -> bool:
        """Tell whether the budget and its headroom hold without this instance.

        An instance that is unavailable already costs nothing more.
        """
        pool = self.pools.get(PoolId(assignment.pool))
        if pool is None or assignment.instance not in self.available:
            return True
        pool.add(assignment, -1)
        holds = pool.available - pool.reserve() >= pool.minimum
        pool.add(assignment, 1)
        return holds

    def take_down(self, assignment: Assignment) -> None:
        """Charge an instance that a decision takes down."""
        name = InstanceId(assignment.instance)
        pool = self.pools.get(PoolId(assignment.pool))
        if pool is not None and name in self.available:
            pool.add(assignment, -1)
            self.available.discard(name)


def is_available(assignment: Assignment, listed: ListedInstance | None) -> bool:
    """Tell whether an instance counts for its pool's budget."""
    if assignment.state is not InstanceState.SERVING or listed is None:
        return False
    return listed.liveness is Liveness.LIVE and not listed.drained

"""How many instances of each pool are available, and how many more may go down.

An instance is available if its assignment is to serve and the platform lists it as live and not
drained. Every other instance is charged to the budget, whether its downtime is planned or not and
whether its cause is known or not.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Assignment, FailureDomain, InstanceState, Pool
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import Fleet, InstanceId, PoolId, min_available_instances

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.schema.platform_pb import ListedInstance


@dataclass
class PoolAvailability:
    """Number of available instances of one pool, by failure domain."""

    pool: Pool
    assigned: int = 0
    available: int = 0
    racks: Counter[str] = field(default_factory=Counter)
    halls: Counter[str] = field(default_factory=Counter)

    @property
    def min_available(self) -> int:
        """Availability budget: the min number of available instances."""
        return min_available_instances(self.pool)

    def max_single_loss(self) -> int:
        """Return how many available instances the loss of one failure domain could remove."""
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
        """Return how many available instances exceed the budget."""
        return self.available - self.min_available

    def adjust(self, assignment: Assignment, change: int) -> None:
        """Count an available instance in (`change` is 1) or out (-1)."""
        self.available += change
        self.racks[assignment.rack] += change
        self.halls[assignment.data_hall] += change


class Availability:
    """Availability of every declared pool, updated as decisions take instances down."""

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
                pool.adjust(assignment, 1)
                self.available.add(name)

    def can_take_down(self, assignment: Assignment) -> bool:
        """Return whether the budget and its headroom are kept without this instance.

        Taking down an instance that is already unavailable costs nothing.
        """
        pool = self.pools.get(PoolId(assignment.pool))
        if pool is None or assignment.instance not in self.available:
            return True
        pool.adjust(assignment, -1)
        is_budget_kept = pool.available - pool.max_single_loss() >= pool.min_available
        pool.adjust(assignment, 1)
        return is_budget_kept

    def take_down(self, assignment: Assignment) -> None:
        """Charge the budget with an instance that a decision takes down."""
        name = InstanceId(assignment.instance)
        pool = self.pools.get(PoolId(assignment.pool))
        if pool is not None and name in self.available:
            pool.adjust(assignment, -1)
            self.available.discard(name)


def is_available(assignment: Assignment, listed: ListedInstance | None) -> bool:
    """Return whether an instance counts as available for its pool's budget."""
    if assignment.state is not InstanceState.SERVING or listed is None:
        return False
    return listed.liveness is Liveness.LIVE and not listed.drained

"""The roles that a process holds: owner of pools, and perhaps fleet leader."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs import PoolOwner
from pumicespur.maintenance import FLEET_ROLE, FleetLeader

if TYPE_CHECKING:
    from pumicespur.model import PoolId


@dataclass
class OwnedRoles:
    """The roles that this process holds, and the pools that it gave up."""

    owned: dict[PoolId, PoolOwner | FleetLeader] = field(default_factory=dict)
    given_up: dict[PoolId, int] = field(default_factory=dict)
    """Fencing tokens of pools that it owned and for which it renews no more leases."""
    stopping: bool = False

    def pool_owners(self) -> list[PoolOwner]:
        """Return the owners of pools, without the fleet leader."""
        return [owner for owner in self.owned.values() if isinstance(owner, PoolOwner)]

    @property
    def fleet_leader(self) -> FleetLeader | None:
        """Return the fleet leader if it is this process."""
        leader = self.owned.get(FLEET_ROLE)
        return leader if isinstance(leader, FleetLeader) else None

"""What a process owns: pools, and perhaps the duty for the fleet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs import PoolOwner
from pumicespur.maintenance import FLEET, FleetHolder

if TYPE_CHECKING:
    from pumicespur.model import PoolId


@dataclass
class Duties:
    """What this process owns now, and what it owned before."""

    owned: dict[PoolId, PoolOwner | FleetHolder] = field(default_factory=dict)
    given_up: dict[PoolId, int] = field(default_factory=dict)
    """Tokens under which it owned pools and extends no leases any more."""
    stopping: bool = False

    def pool_owners(self) -> list[PoolOwner]:
        """Return the owners of pools, without the fleet's holder."""
        return [owner for owner in self.owned.values() if isinstance(owner, PoolOwner)]

    @property
    def fleet(self) -> FleetHolder | None:
        """Return the holder of the fleet's duty if it is this process."""
        holder = self.owned.get(FLEET)
        return holder if isinstance(holder, FleetHolder) else None

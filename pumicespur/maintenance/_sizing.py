"""Which instances change pool: to where work waits, and to the spare pool where none does."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import InstanceState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.model import Instance, InstanceId, PoolId, Rack

PARK_AFTER_S = 1.0
"""Time for which a pool must have had too many instances before one is parked; a move costs
about as much as an instance in a pool for one second."""

LENT_SHARE = 0.5
"""Share of the instances a pool came with that it keeps for its own next peak while others are
short; it carries that peak's first second."""

LENT_LEAST = 8
"""Instances that a pool keeps at least, since a single wide job takes that many at once. A small
pool that lends loses more at its own onset than the others gain."""

MAX_MOVING_SHARE = 0.3
"""Share of all instances that change pool at once; a peak of one pool takes about as many."""


@dataclass
class FleetState:
    """What the holder knows when it decides on moves."""

    instances: Mapping[InstanceId, Instance]
    reserved: Mapping[PoolId, int]
    """Instances that each pool keeps whatever its work asks for now; pools without word of their
    owner are left out."""
    needed: Mapping[PoolId, int]
    """Workers that each pool's owner asks for, within bounds."""
    busy: Mapping[PoolId, int]
    """Workers that what arrives, waits and grows will take; less than `needed` after a peak."""
    spare: frozenset[PoolId]
    reachable: frozenset[InstanceId]
    """Instances whose worker answers its owner."""
    tasks: Mapping[InstanceId, int]
    empty: frozenset[InstanceId]
    """Instances that carry no task and are given none."""
    held: frozenset[InstanceId]
    """Instances with tasks that an availability budget protects."""
    unproved: frozenset[InstanceId]
    """Instances whose worker has not answered yet since this holder began."""
    taken: frozenset[InstanceId]
    """Instances that a wave is emptying or has taken down."""
    moving: Mapping[InstanceId, PoolId]
    """Instances on their way to a pool."""
    refused: frozenset[tuple[InstanceId, PoolId]] = frozenset()
    """Moves that the platform does not make."""


@dataclass
class MovePlan:
    """Moves to order now, and instances to empty for later ones."""

    moves: list[tuple[InstanceId, PoolId]] = field(default_factory=list)
    emptying: set[InstanceId] = field(default_factory=set)


class Sizer:
    """Plans moves; remembers since when a pool has had too many instances."""

    def __init__(self) -> None:
        self.surplus_since: dict[PoolId, float] = {}
        self.emptying: set[InstanceId] = set()

    def plan(self, state: FleetState, now: float) -> MovePlan:
        """Decide what moves now; short pools are served before idle ones are emptied."""
        plan = MovePlan()
        givers = self._givers(state)
        extra = {pool for pool, instances in givers.items() if instances}
        self._fill(state, plan, givers)
        self._note_surplus(extra, now)
        self._park(state, plan, givers, now)
        self.emptying = plan.emptying
        return plan

    def _givers(self, state: FleetState) -> dict[PoolId, list[Instance]]:
        """Return for each pool the instances beyond what it wants, the easiest to move first."""
        return {
            pool: found
            for pool, reserved in state.reserved.items()
            if (found := self._beyond(state, pool, max(reserved, state.needed.get(pool, 0))))
        }

    def _lenders(self, state: FleetState) -> dict[PoolId, list[Instance]]:
        """Return for each pool what it has no work for, for pools whose peak begins.

        Instances whose tasks an availability budget protects stay.
        """
        lenders: dict[PoolId, list[Instance]] = {}
        for pool, reserved in state.reserved.items():
            own = max(math.ceil(LENT_SHARE * reserved), min(reserved, LENT_LEAST))
            kept = max(own, _busy(state, pool))
            found = self._beyond(state, pool, kept)
            lenders[pool] = [i for i in found if i.id not in state.held]
        return lenders

    def _beyond(self, state: FleetState, pool: PoolId, kept: int) -> list[Instance]:
        """Return a pool's instances beyond a number, the easiest to move first."""
        members = [i for i in _members(state, pool) if i.id in state.reachable]
        extra = len(members) + _arriving(state, pool) - kept
        if extra <= 0:
            return []
        racks = Counter(i.rack for i in members)
        members.sort(key=lambda i: self._effort(state, i, racks))
        return members[:extra]

    def _effort(
        self, state: FleetState, instance: Instance, racks: Counter[Rack]
    ) -> tuple[bool, bool, int, int, str]:
        tasks = state.tasks.get(instance.id, 0)
        return (
            instance.id in state.held,
            instance.id not in self.emptying and tasks > 0,
            tasks,
            -racks[instance.rack],
            instance.id,
        )

    def _fill(
        self, state: FleetState, plan: MovePlan, givers: dict[PoolId, list[Instance]]
    ) -> None:
        """Send instances to pools that have too few, out of the spare pool first."""
        parked = [i for pool in sorted(state.spare) for i in _members(state, pool)]
        lenders = self._lenders(state)
        most = _most_moving(state)
        missing = {pool: _missing(state, pool) for pool in state.reserved}
        for pool in sorted(missing, key=lambda pool: -missing[pool]):
            by_need = _busy(state, pool) - _present(state, pool)
            for number in range(max(0, missing[pool])):
                if len(state.moving) + len(plan.moves) >= most:
                    return
                found = self._pick(state, pool, parked, givers, plan)
                if found is None and number < by_need:
                    found = self._pick(state, pool, [], lenders, plan)
                if found is None:
                    break
                if found.id in state.empty:
                    plan.moves.append((found.id, pool))
                else:
                    plan.emptying.add(found.id)

    def _pick(
        self,
        state: FleetState,
        pool: PoolId,
        parked: list[Instance],
        givers: dict[PoolId, list[Instance]],
        plan: MovePlan,
    ) -> Instance | None:
        for instance in parked:
            if (instance.id, pool) not in state.refused:
                parked.remove(instance)
                return instance
        used = plan.emptying | {name for name, _ in plan.moves}
        for giver, instances in givers.items():
            for instance in instances:
                if giver == pool or instance.id in used or (instance.id, pool) in state.refused:
                    continue
                instances.remove(instance)
                return instance
        return None

    def _note_surplus(self, extra: set[PoolId], now: float) -> None:
        for pool in list(self.surplus_since):
            if pool not in extra:
                del self.surplus_since[pool]
        for pool in extra:
            self.surplus_since.setdefault(pool, now)

    def _park(
        self,
        state: FleetState,
        plan: MovePlan,
        givers: dict[PoolId, list[Instance]],
        now: float,
    ) -> None:
        """Send instances that are not needed to the spare pool."""
        if not state.spare:
            return
        spare = min(state.spare)
        for pool, instances in givers.items():
            if now - self.surplus_since.get(pool, now) < PARK_AFTER_S:
                continue
            for instance in instances:
                if (instance.id, spare) in state.refused:
                    continue
                if instance.id in state.empty:
                    if len(state.moving) + len(plan.moves) < _most_moving(state):
                        plan.moves.append((instance.id, spare))
                else:
                    plan.emptying.add(instance.id)


def _most_moving(state: FleetState) -> int:
    return math.ceil(MAX_MOVING_SHARE * len(state.instances))


def _members(state: FleetState, pool: PoolId) -> list[Instance]:
    """Return the instances of a pool that are up and that nothing else is done with."""
    return [
        i
        for i in state.instances.values()
        if i.pool == pool
        and i.state is InstanceState.UP
        and i.id not in state.taken
        and i.id not in state.moving
    ]


def _missing(state: FleetState, pool: PoolId) -> int:
    """Return how many instances a pool is short of.

    Those that a wave has taken come back by themselves within seconds, so that only work
    that waits, and not the number that the pool came with, asks for others in their place. So
    do those that are still starting.
    """
    present = _present(state, pool)
    away = sum(
        1
        for name in state.taken | state.unproved
        if name in state.instances and state.instances[name].pool == pool
    )
    by_number = state.reserved[pool] - present - away
    return max(by_number, _busy(state, pool) - present)


def _busy(state: FleetState, pool: PoolId) -> int:
    return state.busy.get(pool, state.needed.get(pool, 0))


def _present(state: FleetState, pool: PoolId) -> int:
    return _arriving(state, pool) + _serving(state, pool)


def _serving(state: FleetState, pool: PoolId) -> int:
    return sum(1 for i in _members(state, pool) if i.id in state.reachable)


def _arriving(state: FleetState, pool: PoolId) -> int:
    return sum(1 for target in state.moving.values() if target == pool)

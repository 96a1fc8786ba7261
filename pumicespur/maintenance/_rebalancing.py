"""Choice of the instances that change pool.

Instances move to pools that are short of them, and to the spare pool when no pool needs them.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.maintenance._hall_spread import CandidateQueue, HallCounts, order_for_release
from pumicespur.model import InstanceState

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.model import Instance, InstanceId, PoolId, Rack

SPARE_MOVE_DELAY_S = 1.0
"""Time for which a pool must have a surplus before an instance moves to the spare pool; a move
costs about as much as one second of an instance in a pool."""

RETAINED_RATIO = 0.5
"""Ratio of its initial size that a pool retains for its own next peak while other pools are short;
that is enough for the first second of the peak."""

MIN_RETAINED = 8
"""Min number of instances that a pool retains while other pools are short, since one wide job
takes that many at once. A small pool that lends more loses more at the start of its own peak than
the other pools gain."""

MAX_MOVING_RATIO = 0.3
"""Max ratio of all instances that change pool at the same time; a peak of one pool takes about as
many."""


@dataclass
class RebalanceInput:
    """Fleet state from which moves between pools are decided."""

    instances: Mapping[InstanceId, Instance]
    reserved: Mapping[PoolId, int]
    """Instances that each pool keeps regardless of its current work; pools without a fresh report
    of their owner are left out."""
    needed: Mapping[PoolId, int]
    """Workers that each pool's owner asks for, within the growth limit."""
    busy: Mapping[PoolId, int]
    """Workers that arriving, waiting and growing work will take; lower than `needed` after a
    peak."""
    spare_pools: frozenset[PoolId]
    reachable: frozenset[InstanceId]
    """Instances whose worker responds to its owner."""
    task_counts: Mapping[InstanceId, int]
    empty: frozenset[InstanceId]
    """Instances that run no task and are given none."""
    protected: frozenset[InstanceId]
    """Instances with tasks that an availability budget protects."""
    unconfirmed: frozenset[InstanceId]
    """Instances whose worker has not responded yet since this fleet leader started."""
    in_wave: frozenset[InstanceId]
    """Instances that a wave is evacuating or has taken down."""
    moving: Mapping[InstanceId, PoolId]
    """Instances that are moving, with their target pool."""
    rejected_moves: frozenset[tuple[InstanceId, PoolId]] = frozenset()
    """Moves that the platform does not make."""
    closed: frozenset[InstanceId] = frozenset()
    """Instances in evacuated data halls, on which no task can start."""
    spread_halls: bool = False
    """Whether pools are spread over the data halls, because a hall may be lost."""


@dataclass
class MovePlan:
    """Moves to order now, and instances to evacuate for later moves."""

    moves: list[tuple[InstanceId, PoolId]] = field(default_factory=list)
    evacuating: set[InstanceId] = field(default_factory=set)
    halls: HallCounts = field(default_factory=HallCounts)
    """Data halls of the pools' instances after the moves."""
    taken: set[InstanceId] = field(default_factory=set)
    """Instances that short pools get, at once or after their evacuation."""


@dataclass
class AvailableInstances:
    """Instances that short pools can get, the cheapest to move first."""

    spare: list[Instance]
    surplus: dict[PoolId, list[Instance]]
    releasable: dict[PoolId, list[Instance]]
    """Instances that pools can give to a pool that lacks workers for its work."""


class PoolRebalancer:
    """Planner of moves between pools, which tracks since when each pool has had a surplus."""

    def __init__(self) -> None:
        self.surplus_since: dict[PoolId, float] = {}
        self.evacuating: set[InstanceId] = set()

    def plan(self, state: RebalanceInput, now: float) -> MovePlan:
        """Plan the moves of one round; short pools are filled before the spare pool is."""
        plan = MovePlan()
        if state.spread_halls:
            _count_halls(state, plan.halls)
        surplus = self._surplus_by_pool(state)
        pools_with_surplus = {pool for pool, instances in surplus.items() if instances}
        self._fill_short_pools(state, plan, surplus)
        self._track_surplus(pools_with_surplus, now)
        self._move_surplus_to_spare(state, plan, surplus, now)
        self.evacuating = plan.evacuating
        return plan

    def _surplus_by_pool(self, state: RebalanceInput) -> dict[PoolId, list[Instance]]:
        """Return each pool's instances beyond what it needs, the cheapest to move first."""
        return {
            pool: found
            for pool, reserved in state.reserved.items()
            if (
                found := self._instances_beyond(
                    state, pool, max(reserved, state.needed.get(pool, 0))
                )
            )
        }

    def _releasable_by_pool(self, state: RebalanceInput) -> dict[PoolId, list[Instance]]:
        """Return the instances that each pool can give to a pool whose peak starts.

        They are those beyond both the number that the pool retains and what its work needs, without
        those whose tasks an availability budget protects.
        """
        releasable: dict[PoolId, list[Instance]] = {}
        for pool, reserved in state.reserved.items():
            retained = max(math.ceil(RETAINED_RATIO * reserved), min(reserved, MIN_RETAINED))
            kept = max(retained, _busy_workers(state, pool))
            found = self._instances_beyond(state, pool, kept)
            releasable[pool] = [i for i in found if i.id not in state.protected]
        return releasable

    def _instances_beyond(self, state: RebalanceInput, pool: PoolId, kept: int) -> list[Instance]:
        """Return a pool's instances beyond a number, the cheapest to move first."""
        members = [i for i in _members(state, pool) if i.id in state.reachable]
        extra = len(members) + _arriving(state, pool) - kept
        if extra <= 0:
            return []
        racks = Counter(i.rack for i in members)
        if state.spread_halls:
            # An instance that is being evacuated stays chosen, or else rounds would alternate.
            members = order_for_release(
                members,
                lambda i: (*self._effort(state, i), i.id not in self.evacuating),
                lambda i: _preference(state, i, racks),
            )
        else:
            members.sort(key=lambda i: (*self._effort(state, i), *_preference(state, i, racks)))
        return members[:extra]

    def _effort(self, state: RebalanceInput, instance: Instance) -> tuple[bool, bool]:
        """Return a sort key: whether tasks are protected, and whether any must end first."""
        has_tasks = state.task_counts.get(instance.id, 0) > 0
        return (
            instance.id in state.protected,
            instance.id not in self.evacuating and has_tasks,
        )

    def _fill_short_pools(
        self, state: RebalanceInput, plan: MovePlan, surplus: dict[PoolId, list[Instance]]
    ) -> None:
        """Send instances to pools that are short, from the spare pool first."""
        spare = [i for pool in sorted(state.spare_pools) for i in _members(state, pool)]
        available = AvailableInstances(spare, surplus, self._releasable_by_pool(state))
        missing = {pool: _missing(state, pool) for pool in state.reserved}
        for pool in sorted(missing, key=lambda pool: -missing[pool]):
            self._fill_pool(state, plan, available, pool, missing[pool])

    def _fill_pool(
        self,
        state: RebalanceInput,
        plan: MovePlan,
        available: AvailableInstances,
        pool: PoolId,
        missing: int,
    ) -> None:
        """Send instances to one pool; releasable ones of others go only to work that it lacks."""
        if missing <= 0:
            return
        missing_for_work = _busy_workers(state, pool) - _present(state, pool)
        sources = [
            self._queue(state, plan, pool, [available.spare]),
            self._queue(state, plan, pool, available.surplus.values()),
        ]
        releasable = self._queue(state, plan, pool, available.releasable.values())
        for number in range(missing):
            if len(state.moving) + len(plan.moves) >= _max_moving(state):
                return
            may_take_releasable = number < missing_for_work
            found = self._pick_instance(
                pool, [*sources, releasable] if may_take_releasable else sources, plan
            )
            if found is None:
                return
            plan.taken.add(found.id)
            plan.halls.add(pool, found)
            if found.id in state.empty:
                plan.moves.append((found.id, pool))
            else:
                plan.evacuating.add(found.id)

    def _queue(
        self,
        state: RebalanceInput,
        plan: MovePlan,
        pool: PoolId,
        lists: Iterable[list[Instance]],
    ) -> CandidateQueue:
        """Return the instances that may still move to a pool, in the order of the lists."""
        return CandidateQueue(
            (
                instance
                for instances in lists
                for instance in instances
                if instance.pool != pool
                and instance.id not in plan.taken
                and (instance.id, pool) not in state.rejected_moves
            ),
            lambda i: (
                i.id in state.protected,
                i.id not in state.empty,
                i.id not in self.evacuating,
            ),
            state.spread_halls,
        )

    def _pick_instance(
        self, pool: PoolId, sources: Iterable[CandidateQueue], plan: MovePlan
    ) -> Instance | None:
        """Return an instance for a pool, from the first source that has one."""
        for source in sources:
            found = source.take(plan.taken, lambda i: plan.halls.of(pool, i))
            if found is not None:
                return found
        return None

    def _track_surplus(self, pools_with_surplus: set[PoolId], now: float) -> None:
        for pool in list(self.surplus_since):
            if pool not in pools_with_surplus:
                del self.surplus_since[pool]
        for pool in pools_with_surplus:
            self.surplus_since.setdefault(pool, now)

    def _move_surplus_to_spare(
        self,
        state: RebalanceInput,
        plan: MovePlan,
        surplus: dict[PoolId, list[Instance]],
        now: float,
    ) -> None:
        """Send instances that no pool needs to the spare pool."""
        if not state.spare_pools:
            return
        spare = min(state.spare_pools)
        for pool, instances in surplus.items():
            if now - self.surplus_since.get(pool, now) < SPARE_MOVE_DELAY_S:
                continue
            for instance in instances:
                if instance.id in plan.taken or (instance.id, spare) in state.rejected_moves:
                    continue
                if instance.id in state.empty:
                    if len(state.moving) + len(plan.moves) < _max_moving(state):
                        plan.moves.append((instance.id, spare))
                else:
                    plan.evacuating.add(instance.id)


def _preference(
    state: RebalanceInput, instance: Instance, racks: Counter[Rack]
) -> tuple[int, int, str]:
    """Return a sort key: the fewest tasks first, then the rack of which the pool has most."""
    return (state.task_counts.get(instance.id, 0), -racks[instance.rack], instance.id)


def _count_halls(state: RebalanceInput, halls: HallCounts) -> None:
    """Count the pools' open instances and those that are moving there."""
    for pool in state.reserved:
        for instance in _members(state, pool):
            halls.add(pool, instance)
    for name, pool in state.moving.items():
        if name in state.instances and name not in state.closed:
            halls.add(pool, state.instances[name])


def _max_moving(state: RebalanceInput) -> int:
    return math.ceil(MAX_MOVING_RATIO * len(state.instances))


def _members(state: RebalanceInput, pool: PoolId) -> list[Instance]:
    """Return the instances of a pool that are up, not moving, not in a wave and not closed.

    Closed instances neither serve nor change pool, so that the pool is complete as soon as the
    evacuation of their data hall is over.
    """
    return [
        i
        for i in state.instances.values()
        if i.pool == pool
        and i.state is InstanceState.UP
        and i.id not in state.in_wave
        and i.id not in state.moving
        and i.id not in state.closed
    ]


def _missing(state: RebalanceInput, pool: PoolId) -> int:
    """Return how many instances a pool is short of.

    Instances in a wave return within seconds, and unconfirmed instances are still starting. They
    are therefore replaced only if work is waiting for them, not to restore the reserved number.
    Closed instances are replaced at once, since the length of an evacuation is not known.
    """
    present = _present(state, pool)
    away = sum(
        1
        for name in (state.in_wave | state.unconfirmed) - state.closed
        if name in state.instances and state.instances[name].pool == pool
    )
    missing_by_number = state.reserved[pool] - present - away
    return max(missing_by_number, _busy_workers(state, pool) - present)


def _busy_workers(state: RebalanceInput, pool: PoolId) -> int:
    return state.busy.get(pool, state.needed.get(pool, 0))


def _present(state: RebalanceInput, pool: PoolId) -> int:
    return _arriving(state, pool) + _serving(state, pool)


def _serving(state: RebalanceInput, pool: PoolId) -> int:
    return sum(1 for i in _members(state, pool) if i.id in state.reachable)


def _arriving(state: RebalanceInput, pool: PoolId) -> int:
    return sum(
        1 for name, target in state.moving.items() if target == pool and name not in state.closed
    )

"""State of a maintenance wave, and the choice of the instances to evacuate next."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import InstanceState

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from pumicespur.model import Instance, InstanceId, PoolId, Wave

MAX_DOWN_RATIO = 0.3
"""Ratio of a pool's instances that waves may evacuate or take down at once; at least one
instance."""


@dataclass
class WaveProgress:
    """State of one wave as known to the fleet leader."""

    wave: Wave
    confirmed: set[InstanceId] = field(default_factory=set)
    """Instances whose maintenance the platform has confirmed."""
    ordered: dict[InstanceId, float] = field(default_factory=dict)
    """Instances ordered down and not seen up again, with the monotonic time of the order."""
    evacuating: dict[InstanceId, float] = field(default_factory=dict)
    """Instances being evacuated, with the monotonic time of the start."""
    possibly_down: set[InstanceId] = field(default_factory=set)
    """Instances that an earlier fleet leader may have taken down shortly before."""
    possibly_down_until: float = 0.0
    """Monotonic time by which `possibly_down` are up again, or listed as down."""
    completed: bool = False
    blocked_by_evacuation: bool = False
    """Whether only the evacuation of data halls keeps the wave from going on."""

    def remaining(self, instances: Mapping[InstanceId, Instance]) -> list[Instance]:
        """Return the instances that still have to go down, without removed ones."""
        return [
            instances[name]
            for name in self.wave.instances
            if name in instances and name not in self.confirmed
        ]

    def down(self, instances: Mapping[InstanceId, Instance], now: float) -> set[InstanceId]:
        """Return the instances that are or may be down for this wave."""
        names = set(self.ordered)
        if now < self.possibly_down_until:
            names |= self.possibly_down
        for name in self.wave.instances:
            if name in instances and instances[name].state is InstanceState.MAINTENANCE:
                names.add(name)
        return names


@dataclass(frozen=True)
class ClosedInstances:
    """Instances in evacuated data halls, on which no task can start."""

    names: AbstractSet[InstanceId] = frozenset()
    idle: AbstractSet[InstanceId] = frozenset()
    """Those of them that run no task; taking them down costs callers nothing."""


NO_CLOSED_INSTANCES = ClosedInstances()


def choose_evacuations(
    progress: WaveProgress,
    instances: Mapping[InstanceId, Instance],
    empty: AbstractSet[InstanceId],
    needed: Mapping[PoolId, int],
    now: float,
    closed: ClosedInstances = NO_CLOSED_INSTANCES,
) -> list[InstanceId]:
    """Choose the instances to evacuate so that as many as allowed are evacuating or down.

    Idle instances of evacuated data halls go first, then others without tasks, then those of pools
    with fewer instances away, so that pools contribute evenly. Away are the instances evacuating or
    down and those of evacuated data halls. An instance with tasks goes only while its pool has
    fewer other instances away than its owner doesn't need or `MAX_DOWN_RATIO` of its size,
    whichever is more; at least one may be away.
    """
    sizes = Counter(i.pool for i in instances.values() if i.state is InstanceState.UP)
    down = progress.down(instances, now)
    in_wave = {name for name in [*progress.evacuating, *down] if name in instances}
    away = in_wave | {i.id for i in instances.values() if _is_up_and_closed(i, closed)}
    away_by_pool: Counter[PoolId] = Counter(instances[name].pool for name in away)
    free_slots = progress.wave.max_parallel - len(in_wave)
    waiting = [
        instance
        for instance in progress.remaining(instances)
        if instance.state is InstanceState.UP and instance.id not in in_wave
    ]
    not_up = Counter(
        instances[name].pool
        for name in down
        if name in instances and instances[name].state is not InstanceState.UP
    )
    chosen: list[InstanceId] = []
    while free_slots > 0 and waiting:
        instance = min(
            waiting,
            key=lambda i: (
                i.id not in closed.idle,
                i.id not in empty,
                away_by_pool[i.pool],
                i.rack,
                i.id,
            ),
        )
        waiting.remove(instance)
        size = sizes[instance.pool] + not_up[instance.pool]
        surplus = size - needed.get(instance.pool, size)
        allowed = max(1, int(size * MAX_DOWN_RATIO), surplus)
        others_away = away_by_pool[instance.pool] - (instance.id in away)
        is_idle = instance.id in empty or instance.id in closed.idle
        if not is_idle and others_away >= allowed:
            continue
        away_by_pool[instance.pool] = others_away + 1
        chosen.append(instance.id)
        free_slots -= 1
    return chosen


def _is_up_and_closed(instance: Instance, closed: ClosedInstances) -> bool:
    return instance.state is InstanceState.UP and instance.id in closed.names

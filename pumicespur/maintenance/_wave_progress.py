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


def choose_evacuations(
    progress: WaveProgress,
    instances: Mapping[InstanceId, Instance],
    empty: AbstractSet[InstanceId],
    needed: Mapping[PoolId, int],
    now: float,
) -> list[InstanceId]:
    """Choose the instances to evacuate so that as many as allowed are evacuating or down.

    Instances without tasks go first, then those of pools with fewer instances evacuating or down,
    so that pools contribute evenly. An instance with tasks goes only while its pool has fewer such
    instances than its owner doesn't need or `MAX_DOWN_RATIO` of its size, whichever is more; at
    least one may go.
    """
    sizes = Counter(i.pool for i in instances.values() if i.state is InstanceState.UP)
    down = progress.down(instances, now)
    away = {name for name in [*progress.evacuating, *down] if name in instances}
    away_by_pool: Counter[PoolId] = Counter(instances[name].pool for name in away)
    free_slots = progress.wave.max_parallel - len(away)
    waiting = [
        instance
        for instance in progress.remaining(instances)
        if instance.state is InstanceState.UP and instance.id not in away
    ]
    not_up = Counter(
        instances[name].pool
        for name in down
        if name in instances and instances[name].state is not InstanceState.UP
    )
    chosen: list[InstanceId] = []
    while free_slots > 0 and waiting:
        instance = min(
            waiting, key=lambda i: (i.id not in empty, away_by_pool[i.pool], i.rack, i.id)
        )
        waiting.remove(instance)
        size = sizes[instance.pool] + not_up[instance.pool]
        surplus = size - needed.get(instance.pool, size)
        allowed = max(1, int(size * MAX_DOWN_RATIO), surplus)
        if instance.id not in empty and away_by_pool[instance.pool] >= allowed:
            continue
        away_by_pool[instance.pool] += 1
        chosen.append(instance.id)
        free_slots -= 1
    return chosen

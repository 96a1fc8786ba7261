"""Which instances of a wave are emptied next, and which may go down now."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import InstanceState

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from pumicespur.model import Instance, InstanceId, PoolId, Wave

MAX_SHARE_DOWN = 0.3
"""Share of a pool's instances that may be emptied or down for waves at once, one at least."""


@dataclass
class WaveProgress:
    """What the holder knows of one wave."""

    wave: Wave
    begun: set[InstanceId] = field(default_factory=set)
    """Instances whose maintenance the platform has confirmed."""
    ordered: dict[InstanceId, float] = field(default_factory=dict)
    """Instances ordered down, by the monotonic time of the order, until seen up again."""
    emptying: dict[InstanceId, float] = field(default_factory=dict)
    """Instances being emptied, by the monotonic time since when."""
    suspected: set[InstanceId] = field(default_factory=set)
    """Instances that an earlier holder may have taken down just before."""
    suspected_until: float = 0.0
    """Monotonic time by which those are up again, or listed as down."""
    completed: bool = False

    def left(self, instances: Mapping[InstanceId, Instance]) -> list[Instance]:
        """Return the instances that still have to go down; those that are gone don't."""
        return [
            instances[name]
            for name in self.wave.instances
            if name in instances and name not in self.begun
        ]

    def down(self, instances: Mapping[InstanceId, Instance], now: float) -> set[InstanceId]:
        """Return the instances that are down for this wave, or may be."""
        names = set(self.ordered)
        if now < self.suspected_until:
            names |= self.suspected
        for name in self.wave.instances:
            if name in instances and instances[name].state is InstanceState.MAINTENANCE:
                names.add(name)
        return names


def choose_emptying(
    progress: WaveProgress,
    instances: Mapping[InstanceId, Instance],
    idle: AbstractSet[InstanceId],
    wanted: Mapping[PoolId, int],
    now: float,
) -> list[InstanceId]:
    """Choose instances to empty, so that as many as allowed are under way.

    Instances without tasks go first. Pools give up instances evenly, as many as they can
    spare by what their owners want, and a share at least.
    """
    sizes = Counter(i.pool for i in instances.values() if i.state is InstanceState.UP)
    down = progress.down(instances, now)
    away = {name for name in [*progress.emptying, *down] if name in instances}
    busy: Counter[PoolId] = Counter(instances[name].pool for name in away)
    room = progress.wave.max_parallel - len(away)
    waiting = [
        instance
        for instance in progress.left(instances)
        if instance.state is InstanceState.UP and instance.id not in away
    ]
    lost = Counter(
        instances[name].pool
        for name in down
        if name in instances and instances[name].state is not InstanceState.UP
    )
    chosen: list[InstanceId] = []
    while room > 0 and waiting:
        instance = min(waiting, key=lambda i: (i.id not in idle, busy[i.pool], i.rack, i.id))
        waiting.remove(instance)
        size = sizes[instance.pool] + lost[instance.pool]
        spare = size - wanted.get(instance.pool, size)
        allowed = max(1, int(size * MAX_SHARE_DOWN), spare)
        if instance.id not in idle and busy[instance.pool] >= allowed:
            continue
        busy[instance.pool] += 1
        chosen.append(instance.id)
        room -= 1
    return chosen

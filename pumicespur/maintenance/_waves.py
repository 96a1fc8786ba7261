"""Which instances of a wave are emptied next, and which may go down now."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import InstanceState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.model import Instance, InstanceId, PoolId, Wave

MAX_SHARE_DOWN = 0.3
"""Share of a pool's instances that may be emptied or down for waves at once, one at least."""


@dataclass
class WaveProgress:
    """What the holder knows of one wave."""

    wave: Wave
    known_at: float
    """Monotonic time at which the wave was first seen."""
    begun: set[InstanceId] = field(default_factory=set)
    """Instances whose maintenance the platform has confirmed."""
    ordered: dict[InstanceId, float] = field(default_factory=dict)
    """Instances ordered down, by the monotonic time of the order, until seen up again."""
    emptying: dict[InstanceId, float] = field(default_factory=dict)
    """Instances being emptied, by the monotonic time since when."""
    completed: bool = False

    def left(self, instances: Mapping[InstanceId, Instance]) -> list[Instance]:
        """Return the instances that still have to go down; those that are gone don't."""
        return [
            instances[name]
            for name in self.wave.instances
            if name in instances and name not in self.begun
        ]

    def down(self) -> int:
        """Count the instances that are down for this wave, or may be."""
        return len(self.ordered)


def choose_emptying(
    progress: WaveProgress,
    instances: Mapping[InstanceId, Instance],
    idle: set[InstanceId],
    wanted: Mapping[PoolId, int],
) -> list[InstanceId]:
    """Choose instances to empty, so that as many as allowed are under way.

    Instances without tasks go first. Pools give up instances evenly, as many as they can
    spare by what their owners want, and a share at least.
    """
    sizes = Counter(i.pool for i in instances.values() if i.state is InstanceState.UP)
    busy: Counter[PoolId] = Counter(
        instances[name].pool
        for name in [*progress.emptying, *progress.ordered]
        if name in instances
    )
    room = progress.wave.max_parallel - len(progress.emptying) - progress.down()
    waiting = [
        instance
        for instance in progress.left(instances)
        if instance.state is InstanceState.UP
        and instance.id not in progress.emptying
        and instance.id not in progress.ordered
    ]
    chosen: list[InstanceId] = []
    while room > 0 and waiting:
        instance = min(waiting, key=lambda i: (i.id not in idle, busy[i.pool], i.rack, i.id))
        waiting.remove(instance)
        size = sizes[instance.pool] + _down(progress, instances, instance.pool)
        spare = size - wanted.get(instance.pool, size)
        allowed = max(1, int(size * MAX_SHARE_DOWN), spare)
        if instance.id not in idle and busy[instance.pool] >= allowed:
            continue
        busy[instance.pool] += 1
        chosen.append(instance.id)
        room -= 1
    return chosen


def _down(progress: WaveProgress, instances: Mapping[InstanceId, Instance], pool: PoolId) -> int:
    """Count the pool's instances that are down for the wave."""
    return sum(1 for name in progress.ordered if name in instances and instances[name].pool == pool)

"""Choice of instances by data hall, so that the loss of a hall takes little of each pool."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pumicespur.model import DataHall, Instance, PoolId


class HallCounts:
    """Open instances of each pool by data hall, including those that are to arrive."""

    def __init__(self) -> None:
        self.counts: defaultdict[PoolId, Counter[DataHall]] = defaultdict(Counter)

    def add(self, pool: PoolId, instance: Instance) -> None:
        """Count an instance that is in a pool or will be."""
        self.counts[pool][instance.data_hall] += 1

    def of(self, pool: PoolId, instance: Instance) -> int:
        """Return how many instances a pool has in the data hall of an instance."""
        return self.counts[pool][instance.data_hall]


def order_for_release(
    instances: Iterable[Instance],
    effort: Callable[[Instance], tuple[Any, ...]],
    preference: Callable[[Instance], tuple[Any, ...]],
) -> list[Instance]:
    """Order the instances of a pool that may leave it: each next one from its largest hall.

    A lower `effort` goes before the size of the hall, since an idle instance leaves at once;
    `preference` decides within a hall.
    """
    by_hall: defaultdict[DataHall, list[Instance]] = defaultdict(list)
    for instance in sorted(instances, key=lambda i: (effort(i), preference(i)), reverse=True):
        by_hall[instance.data_hall].append(instance)
    ordered: list[Instance] = []
    while by_hall:
        hall = min(
            by_hall,
            key=lambda hall: (
                effort(by_hall[hall][-1]),
                -len(by_hall[hall]),
                preference(by_hall[hall][-1]),
            ),
        )
        ordered.append(by_hall[hall].pop())
        if not by_hall[hall]:
            del by_hall[hall]
    return ordered

"""Choice of instances by data hall, so that the loss of a hall takes little of each pool."""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict, deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Container, Iterable

    from pumicespur.model import DataHall, Instance, InstanceId, PoolId


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


class CandidateQueue:
    """Instances that may move to a pool, each next one from the hall of which the pool has least.

    Without `spread`, they come in the given order. The lists of a large fleet are sorted once for
    each pool, since a search for each move would take most of a round.
    """

    def __init__(
        self,
        candidates: Iterable[Instance],
        effort: Callable[[Instance], tuple[Any, ...]],
        spread: bool,
    ) -> None:
        self.effort = effort
        self.queues: defaultdict[DataHall | None, deque[Instance]] = defaultdict(deque)
        for instance in sorted(candidates, key=effort) if spread else candidates:
            self.queues[instance.data_hall if spread else None].append(instance)

    def take(
        self, used: Container[InstanceId], count: Callable[[Instance], int]
    ) -> Instance | None:
        """Remove and return the next instance that is not used yet; None if there is none.

        Instances of lowest `effort` come first; among them, those in the hall with the lowest
        `count`, the number of instances that the pool has there.
        """
        for queue in self.queues.values():
            while queue and queue[0].id in used:
                queue.popleft()
        filled = [queue for queue in self.queues.values() if queue]
        if not filled:
            return None
        return min(filled, key=lambda q: (self.effort(q[0]), count(q[0]))).popleft()


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

    def key(hall: DataHall) -> tuple[Any, ...]:
        members = by_hall[hall]
        return (effort(members[-1]), -len(members), preference(members[-1]), hall)

    ordered: list[Instance] = []
    heap = [key(hall) for hall in by_hall]
    heapq.heapify(heap)
    while heap:
        hall = heap[0][-1]
        ordered.append(by_hall[hall].pop())
        if by_hall[hall]:
            heapq.heapreplace(heap, key(hall))
        else:
            heapq.heappop(heap)
    return ordered

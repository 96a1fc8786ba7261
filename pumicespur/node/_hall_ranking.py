"""Ranking of the candidates for a pool so that no data hall has more owners than necessary."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pumicespur.model import DataHall, PoolId, ProcessId

SMALL_RATIO = 0.5
"""Processes with less than this part of the largest capacity own pools only if there are no others;
an owner of a busy pool needs the processor time of a large instance."""


@dataclass
class HallRanking:
    """Candidates with their data halls, and the owners that each hall has."""

    capacities: Mapping[ProcessId, float]
    halls: Mapping[ProcessId, DataHall]
    tie_breaker: Callable[[PoolId, ProcessId], bytes]
    owned: Counter[ProcessId] = field(default_factory=Counter)
    owners: Counter[DataHall] = field(default_factory=Counter)
    """Owners by data hall, including failed ones until they are replaced."""
    suspected: set[DataHall] = field(default_factory=set)
    """Data halls with a failed owner. If the whole hall is lost, its other processes still count as
    alive for a while, so candidates in other halls go first."""

    def note_owner(self, process: ProcessId, failed: bool) -> None:
        """Count the owner of a pool."""
        hall = self.halls.get(process)
        self.owned[process] += 1
        if hall is None:
            return
        self.owners[hall] += 1
        if failed:
            self.suspected.add(hall)

    def assume_taken(self, pool: PoolId) -> None:
        """Count the first candidate for a pool as its owner.

        Pools that lose their owners at the same time would otherwise all go to the same hall.
        """
        first = min(self.capacities, key=lambda process: self._key(pool, process))
        self.note_owner(first, failed=False)

    def rank(self, pool: PoolId) -> list[ProcessId]:
        """Return the candidates for a pool: large ones, in the hall with fewest owners, first."""
        return sorted(self.capacities, key=lambda process: self._key(pool, process))

    def _key(self, pool: PoolId, process: ProcessId) -> tuple[bool, int, bool, float, bytes]:
        hall = self.halls[process]
        return (
            self.capacities[process] < SMALL_RATIO * max(self.capacities.values()),
            self.owners[hall],
            hall in self.suspected,
            (self.owned[process] + 1) / self.capacities[process],
            self.tie_breaker(pool, process),
        )

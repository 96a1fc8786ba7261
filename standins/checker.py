"""Judge promises from the stand-ins' histories, never from the system's own view."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Pool, Record
from pumicespur.structure import SPARE_POOL, Fleet, minimum_available

if TYPE_CHECKING:
    from standins.schema.standins_pb import BackendState, HistoryEvent, HistoryResponse


@dataclass
class LowestAvailability:
    """The fewest instances of a pool that were in service at any moment, and its budget."""

    lowest: int
    minimum: int


class Timeline:
    """Replays what happened to instances together with the log's records."""

    def __init__(self, history: HistoryResponse) -> None:
        self.fleet = Fleet()
        self.down: set[str] = set()
        self.lowest: dict[str, LowestAvailability] = {}
        self.full: set[str] = set()
        moments: list[tuple[int, int, Record | HistoryEvent]] = [
            (record.at_ms, 0, record) for record in history.records
        ]
        moments += [(event.at_ms, 1, event) for event in history.events]
        for _, _, moment in sorted(moments, key=lambda item: item[:2]):
            if isinstance(moment, Record):
                self.fleet.apply(moment)
            else:
                self._happen(moment)
            self._measure()

    def _happen(self, event: HistoryEvent) -> None:
        match event.kind:
            case "order-drain" | "order-reboot" | "down":
                self.down.add(event.instance)
            case "up" | "order-resume":
                self.down.discard(event.instance)

    def _measure(self) -> None:
        for name, pool in self.fleet.pools.items():
            self._measure_pool(name, pool)

    def _measure_pool(self, name: str, pool: Pool) -> None:
        members = [a.instance for a in self.fleet.assignments.values() if a.pool == name]
        up = sum(1 for member in members if member not in self.down)
        if up >= pool.size:
            # A budget counts from the moment at which its pool was first full.
            self.full.add(name)
        if name not in self.full:
            return
        minimum = minimum_available(pool)
        seen = self.lowest.setdefault(name, LowestAvailability(up, minimum))
        seen.lowest = min(seen.lowest, up)
        seen.minimum = minimum


def lowest_availability(history: HistoryResponse) -> dict[str, LowestAvailability]:
    """Return, for each pool, the fewest instances in service since it was first full."""
    return Timeline(history).lowest


def pool_clashes(history: HistoryResponse) -> list[str]:
    """Return instances that changed pool without being drained in between.

    Spare instances serve nobody and need no drain.
    """
    drained: set[str] = set()
    pools: dict[str, str] = {}
    clashes: list[str] = []
    moments: list[tuple[int, int, Record | HistoryEvent]] = [
        (event.at_ms, 0, event) for event in history.events
    ]
    moments += [(record.at_ms, 1, record) for record in history.records]
    for _, _, moment in sorted(moments, key=lambda item: item[:2]):
        if not isinstance(moment, Record):
            if moment.kind == "order-drain":
                drained.add(moment.instance)
            elif moment.kind in ("order-resume", "up"):
                drained.discard(moment.instance)
            continue
        for assignment in moment.assignments:
            before = pools.get(assignment.instance, "spare")
            if assignment.removed:
                pools.pop(assignment.instance, None)
                continue
            if before not in ("spare", assignment.pool) and assignment.instance not in drained:
                clashes.append(assignment.instance)
            pools[assignment.instance] = assignment.pool
    return clashes


@dataclass
class Moves:
    """Instances that changed pool, spare ones left out, and tasks that changed place."""

    instances: int = 0
    tasks: int = 0


def count_moves(history: HistoryResponse) -> Moves:
    """Count the moves that the log decided."""
    moves = Moves()
    pools: dict[str, str] = {}
    for record in history.records:
        for assignment in record.assignments:
            before = pools.get(assignment.instance, SPARE_POOL)
            moves.instances += before not in (SPARE_POOL, assignment.pool)
            pools[assignment.instance] = assignment.pool
        moves.tasks += sum(placement.attempt > 1 for placement in record.placements)
    return moves


def count_runs(state: BackendState) -> Counter[str]:
    """Return how often each not-repeatable request ran on a backend server."""
    return Counter(run.key for run in state.runs if run.key)

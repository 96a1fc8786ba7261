"""Check the system's guarantees by the stand-ins' histories, not by the system's own state."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Pool, Record
from pumicespur.structure import SPARE_POOL, Fleet, min_available_instances

if TYPE_CHECKING:
    from standins.schema.standins_pb import BackendState, HistoryEvent, HistoryResponse


@dataclass
class LowestAvailability:
    """The fewest instances of a pool ever in service at once, and its availability budget."""

    lowest: int
    minimum: int


class Timeline:
    """Replays the instances' events and the log's records in order of time."""

    def __init__(self, history: HistoryResponse) -> None:
        self.fleet = Fleet()
        self.down: set[str] = set()
        self.lowest: dict[str, LowestAvailability] = {}
        self.full: set[str] = set()
        """Pools that have been full at least once."""
        changes: list[tuple[int, int, Record | HistoryEvent]] = [
            (record.at_ms, 0, record) for record in history.records
        ]
        changes += [(event.at_ms, 1, event) for event in history.events]
        for _, _, change in sorted(changes, key=lambda item: item[:2]):
            if isinstance(change, Record):
                self.fleet.apply(change)
            else:
                self._apply_event(change)
            self._update_lowest()

    def _apply_event(self, event: HistoryEvent) -> None:
        match event.kind:
            case "order-drain" | "order-reboot" | "down":
                self.down.add(event.instance)
            case "up" | "order-resume":
                self.down.discard(event.instance)

    def _update_lowest(self) -> None:
        for name, pool in self.fleet.pools.items():
            self._update_lowest_of_pool(name, pool)

    def _update_lowest_of_pool(self, name: str, pool: Pool) -> None:
        members = [a.instance for a in self.fleet.assignments.values() if a.pool == name]
        up = sum(1 for member in members if member not in self.down)
        if up >= pool.size:
            # A budget applies only once its pool has been full.
            self.full.add(name)
        if name not in self.full:
            return
        minimum = min_available_instances(pool)
        seen = self.lowest.setdefault(name, LowestAvailability(up, minimum))
        seen.lowest = min(seen.lowest, up)
        seen.minimum = minimum


def lowest_availability(history: HistoryResponse) -> dict[str, LowestAvailability]:
    """Return each pool's lowest availability since the pool was first full."""
    return Timeline(history).lowest


def undrained_moves(history: HistoryResponse) -> list[str]:
    """Return instances that changed pool without being drained first.

    Spare instances serve no requests and need no drain.
    """
    drained: set[str] = set()
    pools: dict[str, str] = {}
    undrained: list[str] = []
    changes: list[tuple[int, int, Record | HistoryEvent]] = [
        (event.at_ms, 0, event) for event in history.events
    ]
    changes += [(record.at_ms, 1, record) for record in history.records]
    for _, _, change in sorted(changes, key=lambda item: item[:2]):
        if not isinstance(change, Record):
            if change.kind == "order-drain":
                drained.add(change.instance)
            elif change.kind in ("order-resume", "up"):
                drained.discard(change.instance)
            continue
        for assignment in change.assignments:
            before = pools.get(assignment.instance, "spare")
            if assignment.removed:
                pools.pop(assignment.instance, None)
                continue
            if before not in ("spare", assignment.pool) and assignment.instance not in drained:
                undrained.append(assignment.instance)
            pools[assignment.instance] = assignment.pool
    return undrained


@dataclass
class Moves:
    """How many instances changed pool, except out of the spare pool, and how many tasks moved."""

    instances: int = 0
    tasks: int = 0


def count_moves(history: HistoryResponse) -> Moves:
    """Count the moves of instances and tasks that the log's records order."""
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
    """Return how often each at-most-once request ran on a backend server, by its key."""
    return Counter(run.key for run in state.runs if run.key)

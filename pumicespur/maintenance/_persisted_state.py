"""State that one fleet leader leaves to the next: initial pool sizes and load peaks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.maintenance._intents import FLEET_ROLE
from pumicespur.maintenance._peaks import PeakHistory
from pumicespur.maintenance._store_reads import read_with_retry
from pumicespur.model import PoolId
from pumicespur.schema.jobs_pb import FleetMemory, PoolSize
from pumicespur.store import Write

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs import Journal
    from pumicespur.model import Instance

STATE_KEY = f"waves/{FLEET_ROLE}/memory"


class PersistedState:
    """Initial sizes and load peaks of the pools, written to the store when they change.

    A new fleet leader that counted the instances itself would take the size of a pool during a
    peak for its initial size, and would keep the pool that large.
    """

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.initial_sizes: Counter[PoolId] = Counter()
        """Instances of each pool when the first fleet leader read the list of instances."""
        self.peaks = PeakHistory()
        self.recorded = False
        """Whether the initial sizes are in the store."""

    async def load(self) -> None:
        """Read what earlier fleet leaders recorded."""
        row = await read_with_retry(self.journal, STATE_KEY, "pool sizes")
        self._apply(FleetMemory.from_binary(row.value))

    def _apply(self, record: FleetMemory) -> None:
        self.initial_sizes = Counter({PoolId(size.pool): size.instances for size in record.sizes})
        self.peaks.restore(record.peaks)
        self.recorded = bool(record.sizes)

    def note_instances(self, instances: Iterable[Instance]) -> None:
        """Count the initial sizes, unless an earlier fleet leader recorded them."""
        if not self.initial_sizes:
            self.initial_sizes = Counter(instance.pool for instance in instances)

    async def record(self) -> None:
        """Write the state for the next fleet leader if it has changed."""
        if not self.initial_sizes or (self.recorded and not self.peaks.changed):
            return
        self.peaks.changed = False
        sizes = [PoolSize(pool=pool, instances=count) for pool, count in self.initial_sizes.items()]
        record = FleetMemory(sizes=sizes, peaks=self.peaks.peaks)
        await self.journal.commit([Write(STATE_KEY, record.to_binary())])
        self.recorded = True

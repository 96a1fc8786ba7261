"""What one holder of the fleet's duty leaves to the next: pools' sizes and peaks."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.maintenance._intents import FLEET
from pumicespur.maintenance._kept_rows import read_kept
from pumicespur.maintenance._peaks import PeakHistory
from pumicespur.model import PoolId
from pumicespur.schema.jobs_pb import FleetMemory, PoolSize
from pumicespur.store import Write

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs import Journal
    from pumicespur.model import Instance

MEMORY_KEY = f"waves/{FLEET}/memory"


class HolderMemory:
    """The sizes that pools came with, and their peaks; recorded when they change.

    A successor that counted the instances anew would take a pool at its peak for a large one
    and keep it so.
    """

    def __init__(self, journal: Journal) -> None:
        self.journal = journal
        self.declared: Counter[PoolId] = Counter()
        """Instances of each pool when the first holder saw the list."""
        self.peaks = PeakHistory()
        self.recorded = False
        """Whether the sizes are in the store."""

    async def load(self) -> None:
        """Read what earlier holders recorded."""
        row = await read_kept(self.journal, MEMORY_KEY, "pool sizes")
        self._take(FleetMemory.from_binary(row.value))

    def _take(self, record: FleetMemory) -> None:
        self.declared = Counter({PoolId(size.pool): size.instances for size in record.sizes})
        self.peaks.restore(record.peaks)
        self.recorded = bool(record.sizes)

    def see(self, instances: Iterable[Instance]) -> None:
        """Take the sizes from the list, unless an earlier holder did."""
        if not self.declared:
            self.declared = Counter(instance.pool for instance in instances)

    async def record(self) -> None:
        """Write down what the next holder needs, if it has changed."""
        if not self.declared or (self.recorded and not self.peaks.changed):
            return
        self.peaks.changed = False
        sizes = [PoolSize(pool=pool, instances=count) for pool, count in self.declared.items()]
        record = FleetMemory(sizes=sizes, peaks=self.peaks.peaks)
        await self.journal.commit([Write(MEMORY_KEY, record.to_binary())])
        self.recorded = True

"""Follows the list of workers while this process owns a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import workers_max_age_s
from pumicespur.model import WorkerName, start_time_ms
from pumicespur.node._table_follower import FallbackRead, RescanPolicy, TableFollower
from pumicespur.platform import WORKERS_TABLE, decode_worker
from pumicespur.store import TableProgress

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pumicespur.config import NodeSettings
    from pumicespur.model import Worker
    from pumicespur.node._ownership_controller import OwnershipController
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Row
    from pumicespur.view import FleetView

log = Logger(__name__)

POLL_INTERVAL_S = 0.05
"""Pause between checks whether a pool is owned, in a process that is only the fleet leader."""

MAX_WORKERS_PAUSE_S = 0.3
"""Longest pause between two responses; workers write so often that each has many rows."""

PAUSE_RATIO = 0.2
"""Longest pause, as a part of the maximum age of the list."""

WAIT_RATIO = 1 / 3
"""Wait for changes in one request, as a part of that age; workers write more often."""

OWNERSHIP_CHECK_INTERVAL_S = 0.5
"""Pause between checks whether a pool is still owned, while the workers are followed."""

MAX_WORKERS_REPLAY_S = 3.0
"""Longest silence after which the workers' changes are replayed. Each worker writes its row about
every 1.5 s, so that after two such intervals a scan is smaller than the changes."""


class WorkerList:
    """The workers of the view, kept up to date; pool owners are notified of changes."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        table: PlatformTable,
        controller: OwnershipController,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.controller = controller
        self.entries: dict[WorkerName, Worker] = {}
        """Every entry that could be decoded; not all of them name a usable worker."""
        self.follower: TableFollower | None = None
        """The follower of the table, while there is one."""
        self.versions: dict[WorkerName, int] = {}
        """The newest version of each row; older ones may arrive again after a scan."""

    async def run(self) -> None:
        """Follow the list of workers while a pool is owned, starting with a scan.

        Workers write their rows so often that most of a process's traffic comes from them.
        """
        while True:
            await self.controller.owning.wait()
            if self.controller.roles.pool_owners():
                await self._follow_while_owning()
            await anyio.sleep(POLL_INTERVAL_S)

    def _make_follower(self) -> TableFollower:
        """Return a follower that keeps the list fresh enough to order starts by."""
        max_age_s = workers_max_age_s(self.settings.workers)
        pause_s = min(MAX_WORKERS_PAUSE_S, PAUSE_RATIO * max_age_s)
        return TableFollower(
            self.table,
            self.settings.store,
            WORKERS_TABLE,
            self._apply_rows,
            RescanPolicy(MAX_WORKERS_REPLAY_S),
            lambda: pause_s,
            wait_s=WAIT_RATIO * max_age_s,
            fallback=FallbackRead(
                lambda: self.table.scan(WORKERS_TABLE, "", max_age_s),
                whole=True,
                max_age_s=max_age_s,
            ),
        )

    async def _follow_while_owning(self) -> None:
        self.follower = self._make_follower()
        await self.follower.run_while(self.controller.roles.pool_owners, OWNERSHIP_CHECK_INTERVAL_S)
        self.view.workers_known = False
        self.view.workers = {}
        self.view.workers_progress = TableProgress()
        self.follower = None
        self.entries.clear()
        self.versions.clear()

    def _apply_rows(self, rows: Sequence[Row], whole: bool) -> None:
        if whole:
            self.entries.clear()
        for row in rows:
            _, partition, name = row.key.split("/", 2)
            if partition:
                # Workers write to the empty partition; rows of other partitions are unrelated.
                continue
            self._apply_entry(WorkerName(name), row)
        self.view.workers = usable_workers(self.entries)
        self.view.workers_known = True
        if self.follower is not None:
            self.view.workers_progress = self.follower.progress
        self.controller.sync_workers()

    def _apply_entry(self, name: WorkerName, row: Row) -> None:
        if not row.version:
            self.entries.pop(name, None)
            self.versions.pop(name, None)
            return
        if row.version < self.versions.get(name, 0):
            return
        self.versions[name] = row.version
        match decode_worker(name, row.value):
            case Result(tag="ok", ok=worker):
                self.entries[name] = worker
            case Result(error=reason):
                # Whatever the entry held before, it no longer names a usable worker.
                self.entries.pop(name, None)
                log.error("worker not understood", worker=name, reason=reason)


def usable_workers(entries: Mapping[WorkerName, Worker]) -> dict[WorkerName, Worker]:
    """Return the entries that workers wrote themselves.

    If at least half of the entries have a start time in the id of the incarnation, those without
    one are taken to come from other writers and left out. Otherwise all entries are returned:
    workers then report no start times, and the platform gives each incarnation a name of its own.
    """
    with_start_time = {
        name: worker for name, worker in entries.items() if start_time_ms(worker.id) is not None
    }
    return with_start_time if 2 * len(with_start_time) >= len(entries) else dict(entries)

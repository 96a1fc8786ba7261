"""The list of workers, followed while this process owns a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import workers_max_age_s
from pumicespur.model import WorkerName, birth_ms
from pumicespur.node._follow import CatchUp, Reread, TableFollower
from pumicespur.platform import WORKERS_TABLE, decode_worker
from pumicespur.store import Reading

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pumicespur.config import NodeSettings
    from pumicespur.model import Worker
    from pumicespur.node._keeper import OwnershipKeeper
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Row
    from pumicespur.view import NodeView

log = Logger(__name__)

POLL_S = 0.05
"""Pause between looks whether a pool is owned, in the process that holds the fleet's duty."""

WORKERS_PAUSE_S = 0.3
"""Longest pause between two answers; workers write so often that each holds many of them."""

PAUSE_SHARE = 0.2
"""Share of the time for which the list is of use that the pause takes at most."""

WAIT_SHARE = 1 / 3
"""Share of that time for which one request waits for changes; workers write more often."""

OWNERLESS_S = 0.5
"""Pause between looks whether a pool is still owned, while the workers are followed."""

WORKERS_REPLAY_S = 3.0
"""Longest silence after which the workers' changes are replayed: each writes itself about every
1.5 s, so that after two of these intervals the table is smaller than its changes."""


class WorkerList:
    """Keeps the view's workers, and tells the owners of pools when they change."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        keeper: OwnershipKeeper,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.keeper = keeper
        self.entries: dict[WorkerName, Worker] = {}
        """Every entry that could be read; not each of them names a worker to use."""
        self.follower: TableFollower | None = None
        """What follows the table, while it is followed."""
        self.versions: dict[WorkerName, int] = {}
        """The newest version of each row; after a whole reading, older ones may come again."""

    async def run(self) -> None:
        """Follow the list of workers while a pool is owned, from a whole reading on.

        Workers write themselves so often that following them costs a process most of its bytes.
        """
        while True:
            await self.keeper.owning.wait()
            if self.keeper.duties.pool_owners():
                await self._follow_while_owning()
            await anyio.sleep(POLL_S)

    def _make_follower(self) -> TableFollower:
        """Return what follows the list closely enough for starts to be ordered by it."""
        max_age_s = workers_max_age_s(self.settings.workers)
        pause_s = min(WORKERS_PAUSE_S, PAUSE_SHARE * max_age_s)
        return TableFollower(
            self.table,
            self.settings.store,
            WORKERS_TABLE,
            self._take,
            CatchUp(WORKERS_REPLAY_S),
            lambda: pause_s,
            wait_s=WAIT_SHARE * max_age_s,
            reread=Reread(
                lambda: self.table.scan(WORKERS_TABLE, "", max_age_s),
                whole=True,
                max_age_s=max_age_s,
            ),
        )

    async def _follow_while_owning(self) -> None:
        self.follower = self._make_follower()
        await self.follower.run_while(self.keeper.duties.pool_owners, OWNERLESS_S)
        self.view.workers_known = False
        self.view.workers = {}
        self.view.workers_reading = Reading()
        self.follower = None
        self.entries.clear()
        self.versions.clear()

    def _take(self, rows: Sequence[Row], whole: bool) -> None:
        if whole:
            self.entries.clear()
        for row in rows:
            _, part, name = row.key.split("/", 2)
            if part:
                # Workers write into the empty part; a row elsewhere says nothing of a namesake.
                continue
            self._take_entry(WorkerName(name), row)
        self.view.workers = usable_workers(self.entries)
        self.view.workers_known = True
        if self.follower is not None:
            self.view.workers_reading = self.follower.reading
        self.keeper.sync_workers()

    def _take_entry(self, name: WorkerName, row: Row) -> None:
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
                # Whatever stood there before, the entry names no worker to use any more.
                self.entries.pop(name, None)
                log.error("worker not understood", worker=name, reason=reason)


def usable_workers(entries: Mapping[WorkerName, Worker]) -> dict[WorkerName, Worker]:
    """Return the entries that workers wrote themselves, as far as births tell.

    Where workers tell their births, an entry without one is another writer's. A platform whose
    workers tell none gives each life a name of its own.
    """
    told = {name: worker for name, worker in entries.items() if birth_ms(worker.id) is not None}
    return told if 2 * len(told) >= len(entries) else dict(entries)

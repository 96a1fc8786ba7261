"""Follows which data halls operators evacuate, while this process owns a pool or leads the fleet.

The rows are always read whole: a store that has dropped its history loses none of them, and one
reading proves everything that was confirmed before it was requested.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import evacuations_max_age_s
from pumicespur.platform import EVACUATION_PREFIX, OPERATORS_TABLE, decode_evacuation
from pumicespur.store import TableProgress
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from anyio.abc import TaskGroup

    from pumicespur.config import NodeSettings
    from pumicespur.model import DataHall, HallEvacuation
    from pumicespur.node._ownership_controller import OwnershipController
    from pumicespur.platform import PlatformTable
    from pumicespur.store import Row
    from pumicespur.view import FleetView

log = Logger(__name__)

FIRST_KEY = EVACUATION_PREFIX.removeprefix(f"{OPERATORS_TABLE}//")
END_KEY = FIRST_KEY[:-1] + chr(ord(FIRST_KEY[-1]) + 1)
"""The first key after those that begin with `FIRST_KEY`."""

TARGET_AGE_RATIO = 0.225
"""Target for the age of the known evacuations when the next response arrives, as a part of the
maximum age; below a quarter, to allow for late timers."""

MIN_PAUSE_RATIO = 1 / 16
"""Shortest pause between two readings, as a part of the maximum age, however slow the store is."""

MAX_CONCURRENT_READS = 3
"""Readings that may be under way at once, so that a slow one does not delay the next."""

RETRY_DELAY_S = 0.2
"""Pause after a failed reading."""

ROLES_CHECK_INTERVAL_S = 0.25
"""Pause between checks whether this process still needs to know the evacuations."""


class EvacuationFollower:
    """The evacuated data halls of the view, kept up to date."""

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
        self.read_requested = anyio.Event()
        self.reads_under_way = 0
        self.noted_versions: dict[str, int] = {}
        """Versions of the rows that the operators' table has shown, by key."""
        self.known_halls: set[DataHall] = set()
        """Halls of the workers and instances seen so far."""
        self.in_force: dict[DataHall, HallEvacuation] = {}
        """Evacuations of known halls, as last logged."""
        self.reported_keys: set[str] = set()
        """Keys of rows that were reported as not usable."""

    async def run(self) -> None:
        """Follow the evacuations whenever they are needed, until cancelled."""
        while True:
            await self.controller.owning.wait()
            if self._is_needed():
                await self._follow_while_needed()
            await anyio.sleep(ROLES_CHECK_INTERVAL_S)

    def _is_needed(self) -> bool:
        return self.settings.workers.evacuate_ms > 0 and bool(self.controller.roles.owned)

    async def _follow_while_needed(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read_repeatedly, tasks)
            while self._is_needed():
                await anyio.sleep(ROLES_CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()
        self.reads_under_way = 0
        self.view.evacuated_halls = {}
        self.view.evacuations_progress = TableProgress()
        self.in_force.clear()
        self.reported_keys.clear()

    async def _read_repeatedly(self, tasks: TaskGroup) -> None:
        while True:
            self.read_requested = anyio.Event()
            if self.reads_under_way < MAX_CONCURRENT_READS:
                self.reads_under_way += 1
                tasks.start_soon(self._read)
            with anyio.move_on_after(self._pause_s()):
                await self.read_requested.wait()

    def _pause_s(self) -> float:
        """Return the pause until the next reading, which is shorter if the store answers slowly."""
        max_age_s = evacuations_max_age_s(self.settings.workers)
        slowest_s = self.table.response_times.max_recent_s(monotonic())
        return max(MIN_PAUSE_RATIO * max_age_s, TARGET_AGE_RATIO * max_age_s - slowest_s)

    async def _read(self) -> None:
        asked_at = monotonic()
        max_age_s = evacuations_max_age_s(self.settings.workers)
        response = await self.table.scan_range(OPERATORS_TABLE, "", FIRST_KEY, END_KEY, max_age_s)
        self.reads_under_way -= 1
        match response:
            case Result(tag="ok", ok=page):
                self.apply_rows(page.rows, TableProgress(page.version, asked_at))
            case _:
                # The table has logged the reason.
                await anyio.sleep(RETRY_DELAY_S)
                self.read_requested.set()

    def note_operators_rows(self, rows: Sequence[Row], whole: bool) -> None:
        """Read at once if rows of the operators' table tell of a new or removed evacuation.

        A removed row has version 0. A whole table shows a removal by lacking the row.
        """
        if not self.settings.workers.evacuate_ms:
            return
        named = {row.key: row.version for row in rows if row.key.startswith(EVACUATION_PREFIX)}
        removed = {key for key, version in named.items() if not version}
        if whole:
            removed |= self.noted_versions.keys() - named.keys()
        newer = {
            key: version
            for key, version in named.items()
            if version > self.noted_versions.get(key, 0)
        }
        self.noted_versions.update(newer)
        for key in removed:
            self.noted_versions.pop(key, None)
        if newer or removed:
            self.read_requested.set()

    def apply_rows(self, rows: Iterable[Row], answer: TableProgress) -> None:
        """Replace what is known by an answer with all rows, unless its version is older."""
        known = self.view.evacuations_progress
        if answer.version < known.version:
            return
        evacuated = self._decode(rows)
        has_changed = evacuated.keys() != self.view.evacuated_halls.keys()
        self.view.evacuated_halls = evacuated
        # An answer of a newer version also includes what an older version showed, even if that one
        # was requested later, so the age counts from the later request.
        asked_at = max(answer.asked_at, known.asked_at)
        self.view.evacuations_progress = TableProgress(answer.version, asked_at)
        self._log_changes(evacuated, asked_at)
        if has_changed:
            self.controller.apply_evacuated_halls()

    def _decode(self, rows: Iterable[Row]) -> dict[DataHall, HallEvacuation]:
        """Return the evacuations, also of halls that are not known yet; report unusable rows.

        A worker may appear in such a hall before the next reading.
        """
        self._note_halls()
        evacuated: dict[DataHall, HallEvacuation] = {}
        unusable: dict[str, str] = {}
        for row in rows:
            match decode_evacuation(row):
                case Result(tag="ok", ok=evacuation):
                    evacuated[evacuation.hall] = evacuation
                    if self.known_halls and evacuation.hall not in self.known_halls:
                        unusable[row.key] = self._explain_unknown(evacuation.hall)
                case Result(error=reason):
                    unusable[row.key] = reason
        for key in unusable.keys() - self.reported_keys:
            log.error("evacuation not understood", key=key, reason=unusable[key])
        self.reported_keys = set(unusable)
        return evacuated

    def _note_halls(self) -> None:
        self.known_halls.update(worker.data_hall for worker in self.view.workers.values())
        leader = self.controller.roles.fleet_leader
        if leader is not None:
            self.known_halls.update(i.data_hall for i in leader.instances.values())

    def _explain_unknown(self, hall: DataHall) -> str:
        for known in sorted(self.known_halls):
            if known.casefold() == hall.casefold():
                return f"another spelling of data hall {known}"
        return "no worker or instance is in a data hall of this name"

    def _log_changes(self, evacuated: Mapping[DataHall, HallEvacuation], asked_at: float) -> None:
        current = {hall: e for hall, e in evacuated.items() if hall in self.known_halls}
        age_s = round(monotonic() - asked_at, 3)
        for hall, evacuation in self.in_force.items():
            if hall not in current:
                version = evacuation.version
                log.info("evacuation over", hall=hall, version=version, age_s=age_s)
        for hall, evacuation in current.items():
            if self.in_force.get(hall) != evacuation:
                version = evacuation.version
                log.info("evacuation in force", hall=hall, version=version, age_s=age_s)
        self.in_force = current

"""Carries maintenance waves out: empties instances, takes them down, records how far it is."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from logbook import Logger

from pumicespur.maintenance._intents import FLEET
from pumicespur.maintenance._waves import WaveProgress, choose_emptying
from pumicespur.model import InstanceId, InstanceState
from pumicespur.platform import encode_wave_state, wave_state_key
from pumicespur.schema.jobs_pb import WaveRecord
from pumicespur.store import Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from pumicespur.config import NodeSettings
    from pumicespur.jobs import Journal
    from pumicespur.maintenance._intents import IntentLog
    from pumicespur.maintenance._reports import FleetReports
    from pumicespur.maintenance._sizing import FleetState
    from pumicespur.model import Instance
    from pumicespur.platform import FleetOrders, PlatformTable
    from pumicespur.view import NodeView

log = Logger(__name__)

LIST_LAG_S = 0.2
"""Age that an entry of the list may have when it is read."""

EMPTY_S = 5.0
"""Time after which an instance goes down although short tasks are left; some of their lengths."""


class WaveWork:
    """The holder's work on all waves."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        orders: FleetOrders,
        journal: Journal,
        intents: IntentLog,
        reports: FleetReports,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.orders = orders
        self.journal = journal
        self.token = journal.ownership.token
        self.intents = intents
        self.reports = reports
        self.waves: dict[int, WaveProgress] = {}
        self.instances: Mapping[InstanceId, Instance] = {}
        self.listed_at = 0.0
        """Monotonic time at which the list in use was asked for."""

    async def run_round(
        self,
        instances: Mapping[InstanceId, Instance],
        listed_at: float,
        decide_on: Callable[[], FleetState],
    ) -> None:
        """Go on with each wave, by the newest list of instances."""
        self.instances, self.listed_at = instances, listed_at
        for wave in list(self.view.waves.values()):
            progress = self.waves.get(wave.number)
            if progress is None:
                progress = await self._open_wave(wave.number)
            if progress is None:
                continue
            self._note_returned(progress)
            if not progress.completed:
                await self._work_on(progress, decide_on())

    def emptying(self) -> list[InstanceId]:
        """Return the instances that are being emptied for a wave."""
        return [name for progress in self.waves.values() for name in progress.emptying]

    def taken(self) -> frozenset[InstanceId]:
        """Return the instances that a wave is emptying or has taken down."""
        return frozenset(n for p in self.waves.values() for n in (*p.emptying, *p.ordered))

    async def _open_wave(self, number: int) -> WaveProgress | None:
        """Read what an earlier holder recorded of a wave."""
        found = await self.table.read(_wave_key(number))
        match found:
            case Result(tag="ok", ok=row):
                record = WaveRecord.from_binary(row.value)
            case Result(error=fault):
                log.warning("wave not read", wave=number, reason=str(fault))
                return None
        progress = WaveProgress(self.view.waves[number])
        progress.begun = {InstanceId(name) for name in record.ordered}
        progress.completed = record.completed
        progress.suspected = set(self.intents.reserved) & set(progress.wave.instances)
        progress.suspected_until = self.intents.orders_from + self.settings.fleet.maintenance_s
        self.waves[number] = progress
        if not progress.completed:
            await self._tell(progress)
        return progress

    async def _work_on(self, progress: WaveProgress, state: FleetState) -> None:
        now = monotonic()
        wanted = {p: max(n, state.needed.get(p, 0)) for p, n in state.reserved.items()}
        for name in choose_emptying(progress, self.instances, state.empty, wanted, now):
            progress.emptying[name] = now
            log.info("instance to be emptied", wave=progress.wave.number, instance=name)
        due: set[InstanceId] = set()
        for name, since in list(progress.emptying.items()):
            if name not in self.instances:
                del progress.emptying[name]
            elif name in state.empty or self._is_overdue(name, now - since):
                due.add(name)
        due = {name for name in due if self.intents.may_order(name)}
        if due:
            await self.intents.announce(due)
            for name in sorted(due):
                await self._take_down(progress, name)
            await self._record(progress)
        if not progress.left(self.instances) and not progress.emptying:
            progress.completed = True
            await self._record(progress)
            await self._tell(progress)

    def _is_overdue(self, name: InstanceId, emptying_s: float) -> bool:
        """Whether an instance may go down although short tasks are left on it."""
        return emptying_s > EMPTY_S and self.reports.is_released(self.instances[name])

    def _note_returned(self, progress: WaveProgress) -> None:
        """Count instances as up again; an order without an answer may still take effect."""
        for name, ordered_at in list(progress.ordered.items()):
            instance = self.instances.get(name)
            over = self.listed_at - ordered_at > self.settings.fleet.maintenance_s + LIST_LAG_S
            back = instance is not None and instance.state is InstanceState.UP
            if instance is None or (over and back and name in progress.begun):
                del progress.ordered[name]

    async def _take_down(self, progress: WaveProgress, name: InstanceId) -> None:
        if not self.intents.proved():
            return
        down = progress.down(self.instances, monotonic())
        if len(down) >= progress.wave.max_parallel and name not in down:
            return
        number = progress.wave.number
        progress.ordered.setdefault(name, monotonic())
        answer = await self.orders.maintain(self.token, name, number)
        match answer:
            case Result(tag="ok"):
                progress.ordered[name] = monotonic()
                progress.emptying.pop(name, None)
                progress.begun.add(name)
                log.info("instance down", wave=number, instance=name, token=self.token)
            case Result(error=fault):
                log.warning(
                    "instance not taken down", wave=number, instance=name, reason=str(fault)
                )

    async def _record(self, progress: WaveProgress) -> None:
        record = WaveRecord(ordered=sorted(progress.begun), completed=progress.completed)
        await self.journal.commit([Write(_wave_key(progress.wave.number), record.to_binary())])

    async def _tell(self, progress: WaveProgress) -> None:
        """Write the wave's state where operators look for it."""
        write = Write(wave_state_key(progress.wave.number), encode_wave_state(progress.completed))
        answer = await self.table.transact(Transaction([], [write]))
        log.info(
            "wave told",
            wave=progress.wave.number,
            completed=progress.completed,
            confirmed=answer.is_ok(),
        )


def _wave_key(number: int) -> str:
    return f"waves/{FLEET}/{number}"

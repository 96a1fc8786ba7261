"""Execution of maintenance waves: evacuates instances, takes them down, records the progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from expression import Result
from logbook import Logger

from pumicespur.maintenance._intents import FLEET_ROLE
from pumicespur.maintenance._wave_progress import (
    ClosedInstances,
    WaveProgress,
    choose_evacuations,
)
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
    from pumicespur.maintenance._rebalancing import RebalanceInput
    from pumicespur.maintenance._reports import FleetReports
    from pumicespur.model import Instance
    from pumicespur.platform import FleetOrders, PlatformTable
    from pumicespur.view import FleetView

log = Logger(__name__)

MAX_LIST_LAG_S = 0.2
"""Max age that an entry of the list of instances has when it is read."""

EVACUATION_TIMEOUT_S = 5.0
"""Time after which an instance goes down although short tasks are left on it; several times their
length."""


class WaveExecutor:
    """Executor of all waves, run by the fleet leader."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
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
        """Monotonic time at which the current list of instances was requested."""

    async def run_round(
        self,
        instances: Mapping[InstanceId, Instance],
        listed_at: float,
        get_state: Callable[[], RebalanceInput],
    ) -> None:
        """Advance each wave by the newest list of instances."""
        self.instances, self.listed_at = instances, listed_at
        for wave in list(self.view.waves.values()):
            progress = self.waves.get(wave.number)
            if progress is None:
                progress = await self._open_wave(wave.number)
            if progress is None:
                continue
            self._note_returned(progress)
            if not progress.completed:
                await self._advance_wave(progress, get_state())

    def evacuating(self) -> list[InstanceId]:
        """Return the instances that are being evacuated for a wave."""
        return [name for progress in self.waves.values() for name in progress.evacuating]

    def in_wave(self) -> frozenset[InstanceId]:
        """Return the instances that a wave is evacuating or has taken down."""
        return frozenset(n for p in self.waves.values() for n in (*p.evacuating, *p.ordered))

    async def _open_wave(self, number: int) -> WaveProgress | None:
        """Read the progress that an earlier fleet leader recorded for a wave."""
        found = await self.table.read(_wave_key(number))
        match found:
            case Result(tag="ok", ok=row):
                record = WaveRecord.from_binary(row.value)
            case Result(error=error):
                log.warning("wave not read", wave=number, reason=str(error))
                return None
        progress = WaveProgress(self.view.waves[number])
        progress.confirmed = {InstanceId(name) for name in record.ordered}
        progress.completed = record.completed
        progress.possibly_down = set(self.intents.blocked_until) & set(progress.wave.instances)
        progress.possibly_down_until = self.intents.orders_from + self.settings.fleet.maintenance_s
        self.waves[number] = progress
        if not progress.completed:
            await self._publish_state(progress)
        return progress

    async def _advance_wave(self, progress: WaveProgress, state: RebalanceInput) -> None:
        now = monotonic()
        for name in self._choose_evacuations(progress, state, now):
            progress.evacuating[name] = now
            log.info("instance to be evacuated", wave=progress.wave.number, instance=name)
        due: set[InstanceId] = set()
        for name, since in list(progress.evacuating.items()):
            if name not in self.instances:
                del progress.evacuating[name]
            elif name in state.empty or self._is_evacuation_overdue(name, now - since):
                due.add(name)
        due = {name for name in due if self.intents.may_order(name)}
        if due:
            await self.intents.announce(due)
            for name in sorted(due):
                await self._take_down(progress, name)
            await self._record(progress)
        if not progress.remaining(self.instances) and not progress.evacuating:
            progress.completed = True
            await self._record(progress)
            await self._publish_state(progress)

    def _choose_evacuations(
        self, progress: WaveProgress, state: RebalanceInput, now: float
    ) -> list[InstanceId]:
        """Choose the instances to evacuate next; note whether evacuated halls leave none."""
        needed = {p: max(n, state.needed.get(p, 0)) for p, n in state.reserved.items()}
        closed = ClosedInstances(state.closed, _idle_closed(state))
        chosen = choose_evacuations(progress, self.instances, state.empty, needed, now, closed)
        blocked = (
            bool(state.closed)
            and not chosen
            and not progress.evacuating
            and bool(choose_evacuations(progress, self.instances, state.empty, needed, now))
        )
        self._note_blocked(progress, blocked)
        return chosen

    def _note_blocked(self, progress: WaveProgress, blocked: bool) -> None:
        """Log once when evacuated halls begin or cease to keep a wave from going on."""
        if blocked == progress.blocked_by_evacuation:
            return
        progress.blocked_by_evacuation = blocked
        log.info(
            "wave blocked by evacuated halls" if blocked else "wave no longer blocked",
            wave=progress.wave.number,
            halls=sorted(self.view.evacuated_halls),
            remaining=len(progress.remaining(self.instances)),
        )

    def _is_evacuation_overdue(self, name: InstanceId, evacuating_s: float) -> bool:
        """Whether an instance may go down although short tasks are left on it."""
        return evacuating_s > EVACUATION_TIMEOUT_S and self.reports.has_no_protected_task(
            self.instances[name]
        )

    def _note_returned(self, progress: WaveProgress) -> None:
        """Remove instances that are up again or no longer exist from the ordered ones.

        An unconfirmed order may still take effect, so its instance stays.
        """
        for name, ordered_at in list(progress.ordered.items()):
            instance = self.instances.get(name)
            is_over = (
                self.listed_at - ordered_at > self.settings.fleet.maintenance_s + MAX_LIST_LAG_S
            )
            is_up = instance is not None and instance.state is InstanceState.UP
            if instance is None or (is_over and is_up and name in progress.confirmed):
                del progress.ordered[name]

    async def _take_down(self, progress: WaveProgress, name: InstanceId) -> None:
        if not self.intents.is_proof_fresh():
            return
        down = progress.down(self.instances, monotonic())
        if len(down) >= progress.wave.max_parallel and name not in down:
            return
        number = progress.wave.number
        progress.ordered.setdefault(name, monotonic())
        response = await self.orders.maintain(self.token, name, number)
        match response:
            case Result(tag="ok"):
                progress.ordered[name] = monotonic()
                progress.evacuating.pop(name, None)
                progress.confirmed.add(name)
                log.info("instance down", wave=number, instance=name, token=self.token)
            case Result(error=error):
                log.warning(
                    "instance not taken down", wave=number, instance=name, reason=str(error)
                )

    async def _record(self, progress: WaveProgress) -> None:
        record = WaveRecord(ordered=sorted(progress.confirmed), completed=progress.completed)
        await self.journal.commit([Write(_wave_key(progress.wave.number), record.to_binary())])

    async def _publish_state(self, progress: WaveProgress) -> None:
        """Write the wave's state to the row that operators read."""
        write = Write(wave_state_key(progress.wave.number), encode_wave_state(progress.completed))
        response = await self.table.transact(Transaction([], [write]))
        log.info(
            "wave state published",
            wave=progress.wave.number,
            completed=progress.completed,
            confirmed=response.is_ok(),
        )


def _idle_closed(state: RebalanceInput) -> set[InstanceId]:
    """Return the instances of evacuated halls that are empty or reported without a task."""
    return {
        name for name in state.closed if name in state.empty or state.task_counts.get(name) == 0
    }


def _wave_key(number: int) -> str:
    return f"waves/{FLEET_ROLE}/{number}"

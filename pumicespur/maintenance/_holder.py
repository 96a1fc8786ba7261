"""The one process that gives orders for instances: it empties them, then takes them down.

The platform may not check fencing tokens of these orders, so time keeps holders apart: a
holder records what it is about to order, orders only shortly after that proof that it still
holds the duty, and a new one leaves those instances alone until its predecessor's last order
is older than the lease between holders.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import FILL_SHARE, Journal, OwnershipLostError
from pumicespur.maintenance._intents import IntentLog, intent_age_s
from pumicespur.maintenance._memory import HolderMemory
from pumicespur.maintenance._peaks import least_peak, reserved_sizes
from pumicespur.maintenance._reports import FleetReports
from pumicespur.maintenance._sizing import FleetState, Sizer
from pumicespur.maintenance._wave_work import WaveWork
from pumicespur.model import (
    Instance,
    InstanceId,
    InstanceState,
    PoolId,
    ProcessId,
    WorkerName,
)
from pumicespur.store import NeverDone, Unavailable
from pumicespur.utils import monotonic, now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from pumicespur.config import NodeSettings
    from pumicespur.jobs import Ownership
    from pumicespur.platform import FleetOrders, PlatformTable
    from pumicespur.view import NodeView

log = Logger(__name__)

ROUND_S = 0.4
"""Longest pause between rounds; each reads the list of instances once."""

LEAST_PAUSE_S = 0.15
"""Least pause between rounds, however much there is to hear."""

GROWTH = 3.0
"""How far a pool may grow beyond the instances it came with, by need."""

LOST_S = 4.0
"""Time beyond a move's own after which an order without effect counts as not done."""

EMPTYING_S = 1.0
"""Time that an instance takes to run out of short tasks before it moves; their mean length."""


class FleetHolder:
    """Holds the duty for as long as this process owns it."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        orders: FleetOrders,
        ownership: Ownership,
        wait_s: float,
        tell: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.orders = orders
        self.ownership = ownership
        self.journal = Journal(table, ownership)
        self.intents = IntentLog(
            self.journal,
            ProcessId(settings.process.id),
            ownership.acquired_at + wait_s,
            intent_age_s(settings.fleet),
        )
        self.reports = FleetReports(view)
        self.wave_work = WaveWork(
            settings, view, table, orders, self.journal, self.intents, self.reports
        )
        self.instances: dict[InstanceId, Instance] = {}
        self.listed_at = 0.0
        """Monotonic time at which the list in use was asked for."""
        self.memory = HolderMemory(self.journal)
        self.needs: Mapping[PoolId, int] = {}
        """Workers that each pool's owner asked for in the present round, within bounds."""
        self.sizer = Sizer()
        self.foreseen: PoolId | None = None
        """The pool whose peak is expected now."""
        self.moving: dict[InstanceId, tuple[PoolId, float]] = {}
        """Instances on their way to a pool, by the monotonic time of the order."""
        self.refused: set[tuple[InstanceId, PoolId]] = set()
        self.tell = tell
        """Asks for a heartbeat at once."""
        self.told: set[WorkerName] = set()
        self.ready = False
        self.stopping = False
        self.stopped = anyio.Event()
        self.changed = anyio.Event()

    def wake(self) -> None:
        """Ask for a round, since owners have told something new."""
        self.changed.set()

    async def run(self) -> None:
        """Hold the duty until it is lost or given up."""
        try:
            await self.journal.load()
            await self.intents.load()
            await self.memory.load()
            self.ready = True
            log.info("fleet duty taken", token=self.ownership.token)
            while not self.stopping:
                self.changed = anyio.Event()
                await self._round()
                await anyio.sleep(LEAST_PAUSE_S)
                with anyio.move_on_after(ROUND_S - LEAST_PAUSE_S):
                    await self.changed.wait()
            await self.journal.release(self.settings.process.id)
        except OwnershipLostError as lost:
            log.warning("fleet duty lost", token=self.ownership.token, reason=str(lost))
        finally:
            self.stopped.set()

    async def stop(self) -> None:
        """Give no more orders and name no holder."""
        self.stopping = True
        await self.stopped.wait()

    def evacuations(self) -> list[WorkerName]:
        """Return the workers that their owners shall empty."""
        names = [*self.wave_work.emptying(), *self.sizer.emptying]
        found = [self.instances[name].worker for name in names if name in self.instances]
        return [worker for worker in found if worker is not None]

    async def _round(self) -> None:
        asked_at = monotonic()
        answer = await self.orders.list_instances()
        match answer:
            case Result(tag="ok", ok=instances):
                self.instances = {instance.id: instance for instance in instances}
                self.listed_at = asked_at
                self.memory.see(instances)
            case Result(error=fault):
                log.warning("instances not listed", reason=str(fault))
                return
        await self.wave_work.run_round(self.instances, self.listed_at, self._fleet_state)
        await self._resize()

    async def _resize(self) -> None:
        """Bring the pools' sizes in line with what their owners ask for."""
        now = monotonic()
        for name, (pool, ordered_at) in list(self.moving.items()):
            if self._has_arrived(name, pool, now - ordered_at):
                del self.moving[name]
        self._note_peaks()
        state = self._fleet_state()
        self.needs = state.needed
        plan = self.sizer.plan(state, now)
        if set(self.evacuations()) != self.told:
            self.told = set(self.evacuations())
            self.tell()
        await self.memory.record()
        moves = [(name, pool) for name, pool in plan.moves if self.intents.may_order(name)]
        await self.intents.announce({name for name, _ in moves})
        async with anyio.create_task_group() as tasks:
            for name, pool in moves:
                tasks.start_soon(self._move, name, pool)

    def _note_peaks(self) -> None:
        if not self.instances:
            return
        room = self._largest_room()
        for pool, report in self.reports.pools().items():
            least = least_peak(self.memory.declared.get(pool, 0), room)
            self.memory.peaks.note(pool, report.arriving_cpu_millis, least, now_ms())

    def _largest_room(self) -> int:
        """Return the processor time of the largest instance, in thousandths of a core."""
        return max(instance.capacity.cpu_millis for instance in self.instances.values())

    def _foreseen(self, pools: Iterable[PoolId]) -> dict[PoolId, int]:
        """Return the workers that peaks will take which have just begun or are expected now."""
        if not self.instances:
            return {}
        known = list(pools)
        peaks = self.memory.peaks
        found = {
            pool: self._workers_for(pool, cpu_millis)
            for pool in known
            if (cpu_millis := peaks.begun_cpu_millis(pool, self.memory.declared, now_ms()))
        }
        lead_ms = (self.settings.fleet.move_s + EMPTYING_S) * 1000
        due = peaks.due_pool(known, now_ms(), lead_ms)
        if due is not None:
            cpu_millis = peaks.usual_cpu_millis(due)
            if due != self.foreseen:
                log.info("peak foreseen", pool=due, cpu_millis=cpu_millis)
            found[due] = self._workers_for(due, cpu_millis)
        self.foreseen = due
        return found

    def _workers_for(self, pool: PoolId, cpu_millis: int) -> int:
        """Return how many instances carry a demand, within what the pool may grow to."""
        workers = math.ceil(cpu_millis / max(1, self._largest_room()) / FILL_SHARE)
        return self._bounded(pool, workers)

    def _has_arrived(self, name: InstanceId, pool: PoolId, since_s: float) -> bool:
        """Whether a move is over, or its order surely had no effect."""
        instance = self.instances.get(name)
        if instance is None:
            return True
        if instance.pool == pool:
            return instance.state is InstanceState.UP
        return since_s > self.settings.fleet.move_s + LOST_S

    async def _move(self, name: InstanceId, pool: PoolId) -> None:
        if not self.intents.proved():
            return
        self.moving[name] = (pool, monotonic())
        before = self.instances[name].pool
        answer = await self.orders.move(self.ownership.token, name, pool)
        match answer:
            case Result(tag="ok"):
                log.info(
                    "instance moved",
                    instance=name,
                    pool=pool,
                    before=before,
                    token=self.ownership.token,
                    declared=self.memory.declared.get(pool, 0),
                    needed=self.needs.get(pool, 0),
                    list_age_s=round(monotonic() - self.listed_at, 3),
                )
            case Result(error=NeverDone(reason=reason)):
                self.refused.add((name, pool))
                del self.moving[name]
                log.warning("instance not movable", instance=name, pool=pool, reason=reason)
            case Result(error=Unavailable(reason=reason)):
                del self.moving[name]
                log.warning("instance not moved", instance=name, pool=pool, reason=reason)
            case Result(error=fault):
                log.warning("move not answered", instance=name, pool=pool, reason=str(fault))

    def _bounded(self, pool: PoolId, workers: int) -> int:
        """Return the workers that a pool's work asks for, within what a pool may grow to."""
        return min(workers, int(self.memory.declared.get(pool, 0) * GROWTH))

    def _fleet_state(self) -> FleetState:
        reports = self.reports.pools()
        found = self.reports.workers(reports, self.instances.values())
        foreseen = self._foreseen(reports)
        needed = {p: r.wanted_workers for p, r in reports.items()}
        busy = {p: r.busy_workers for p, r in reports.items()}
        return FleetState(
            instances=self.instances,
            reserved=reserved_sizes(self.memory.peaks, self.memory.declared, reports, now_ms()),
            needed={p: max(self._bounded(p, n), foreseen.get(p, 0)) for p, n in needed.items()},
            busy={p: max(self._bounded(p, n), foreseen.get(p, 0)) for p, n in busy.items()},
            spare=frozenset(p.id for p in self.view.configuration.pools.values() if p.spare),
            reachable=self.reports.reachable(found),
            unproved=frozenset(n for n in self.instances if n not in self.reports.reached_at),
            tasks={name: w.tasks for name, w in found.items()},
            empty=frozenset(
                name
                for name, i in self.instances.items()
                if self.reports.is_idle(i, found.get(name))
            ),
            held=frozenset(name for name, w in found.items() if w.held_tasks),
            taken=self.wave_work.taken(),
            moving={name: pool for name, (pool, _) in self.moving.items()},
            refused=frozenset(self.refused),
        )

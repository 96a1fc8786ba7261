"""Which pools this process owns.

A takeover is safe at any time: the owner's row carries the fencing token, every commit has it
as a condition, and workers refuse orders under an older one. Heartbeats decide only when a
takeover is worth while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import Ownership, PoolOwner, owner_key
from pumicespur.maintenance import FLEET, FleetHolder, intent_age_s
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._beats import HeartbeatWriter
from pumicespur.node._duties import Duties
from pumicespur.node._hearing import Hearing
from pumicespur.node._predecessors import Predecessors
from pumicespur.node._succession import Succession
from pumicespur.schema.jobs_pb import OwnerRecord
from pumicespur.store import Condition, Transaction, Write
from pumicespur.utils import monotonic
from pumicespur.view import SeenOwner

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from pumicespur.config import NodeSettings
    from pumicespur.platform import FleetOrders, PlatformTable, WorkerOrders
    from pumicespur.view import NodeView

log = Logger(__name__)

SETTLE_S = 0.3
"""Time after a start, beside the longest pause between two signs of life, before pools are taken:
whoever started before this process listened has told of itself again by then. Without it, small
instances that started together with large ones took busy pools."""

LOOK_S = 0.25
"""Longest pause between looks at who owns what, for what changes by time alone."""

LEAST_LOOK_S = 0.02
"""Least such pause, however much is heard."""


class OwnershipKeeper:
    """Takes pools that lack an owner, and runs what this process owns."""

    def __init__(
        self,
        settings: NodeSettings,
        view: NodeView,
        table: PlatformTable,
        orders: WorkerOrders,
        fleet_orders: FleetOrders,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.orders = orders
        self.fleet_orders = fleet_orders
        self.incarnation = incarnation
        self.me = ProcessId(settings.process.id)
        self.started_at = monotonic()
        self.duties = Duties()
        self.beats = HeartbeatWriter(settings, view, table, self.duties, incarnation)
        self.predecessors = Predecessors(settings, view, table.clock)
        self.hearing = Hearing(
            settings, view, table, self.duties, self.beats, self.predecessors, self.look
        )
        self.succession = Succession(settings, view, table.times, self.beats.presence_s())
        self.changed = anyio.Event()
        self.owning = anyio.Event()
        """Set while something is owned."""
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Tell, hear and decide until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.hearing.owners_follower().run)
            self.tasks.start_soon(self.hearing.heartbeats_follower().run)
            self.tasks.start_soon(self.beats.run)
            self.tasks.start_soon(self.beats.run_reports)
            self.tasks.start_soon(self._follow_reports)
            while True:
                self.changed = anyio.Event()
                await self._decide()
                await anyio.sleep(LEAST_LOOK_S)
                with anyio.move_on_after(LOOK_S - LEAST_LOOK_S):
                    await self.changed.wait()

    async def _follow_reports(self) -> None:
        """Hear the other owners' reports while this process owns something."""
        while True:
            await self.owning.wait()
            await self.hearing.reports_follower().run_while(lambda: self.duties.owned, LOOK_S)
            self.view.reports.clear()

    def look(self) -> None:
        """Ask for a look at who owns what."""
        self.changed.set()

    def note_configuration(self) -> None:
        """Tell the others, if they listen, that a new configuration is in force here."""
        if self.duties.owned:
            self.beats.hurry()
        self.look()

    async def stop(self) -> None:
        """Give up all pools and take no more."""
        self.duties.stopping = True
        self.beats.hurry()
        async with anyio.create_task_group() as tasks:
            for owner in list(self.duties.owned.values()):
                tasks.start_soon(owner.stop)

    def sync_workers(self) -> None:
        """Tell the owners that the list of workers has changed."""
        for owner in self.duties.pool_owners():
            owner.sync_workers()

    async def _decide(self) -> None:
        if self.duties.stopping:
            return
        for pool in self._duties():
            if pool in self.duties.owned:
                continue
            if pool not in self.view.owners:
                answer = await self.table.read(owner_key(pool))
                if not answer.is_ok():
                    return
                self.hearing.see_owner(answer.ok)
            if await self._is_due(pool):
                await self._take(pool, self.view.owners[pool])

    async def _is_due(self, pool: PoolId) -> bool:
        """Whether this process takes a pool now."""
        owner = self.view.owners[pool]
        now = monotonic()
        if self.succession.names_this_process(owner):
            return True
        if now - self.started_at < self.beats.idle_pause_s() + SETTLE_S:
            return False
        if not self.hearing.hears(now):
            return False
        if self.succession.is_held(owner, self.hearing.heard_at):
            self.succession.note_held(pool)
            return False
        await self.hearing.read_presence()
        # While that was read, another process may have taken the pool.
        owner = self.view.owners.get(pool, owner)
        if self.succession.is_held(owner, self.hearing.heard_at):
            return False
        return self.succession.is_turn(pool, monotonic())

    def _duties(self) -> list[PoolId]:
        pools = self.view.pools()
        return [*pools, FLEET] if pools and self.settings.fleet.address else pools

    async def _take(self, pool: PoolId, owner: SeenOwner) -> None:
        record = OwnerRecord(
            process=self.me,
            incarnation=self.incarnation,
            leases_until_ms=self.predecessors.leases_until_ms(pool, owner, monotonic()),
        )
        transaction = Transaction(
            [Condition(owner_key(pool), owner.token)],
            [Write(owner_key(pool), record.to_binary())],
        )
        answer = await self.table.transact(transaction)
        now = monotonic()
        match answer:
            case Result(tag="ok", ok=token):
                self.view.owners[pool] = SeenOwner(record, token, now)
                self.succession.note_held(pool)
                self._start(pool, owner, token, now)
            case Result(error=fault):
                # A takeover that applies after all names this process; it is then taken again.
                log.info("pool not taken", pool=pool, reason=str(fault))
                self.view.owners.pop(pool, None)

    def _start(self, pool: PoolId, before: SeenOwner, token: int, now: float) -> None:
        ownership = Ownership(pool, token, self.incarnation, now)
        owner: PoolOwner | FleetHolder
        if pool == FLEET:
            # Until the orders of a holder before are older than the lease between holders.
            wait_s = intent_age_s(self.settings.fleet) if before.token else 0.0
            owner = FleetHolder(
                self.settings,
                self.view,
                self.table,
                self.fleet_orders,
                ownership,
                wait_s,
                self.beats.hurry_report,
            )
        else:
            earlier = self.predecessors.earlier_leases(pool, before, now)
            owner = PoolOwner(
                self.settings,
                self.view,
                self.table,
                self.orders,
                ownership,
                earlier,
                self.beats.hurry_report,
            )
        self.duties.owned[pool] = owner
        self.owning.set()
        self.beats.hurry()
        assert self.tasks is not None
        self.tasks.start_soon(self._own, pool, owner)

    async def _own(self, pool: PoolId, owner: PoolOwner | FleetHolder) -> None:
        try:
            await owner.run()
        except Exception:
            # A fault in one pool must not end the process; the pool is taken anew.
            log.exception("pool failed", pool=pool)
        if self.duties.owned.get(pool) is owner:
            del self.duties.owned[pool]
        self.duties.given_up[pool] = owner.ownership.token
        if not self.duties.owned:
            self.owning = anyio.Event()
        self.beats.hurry()
        self.look()

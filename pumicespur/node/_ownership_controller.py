"""Decides which pools this process owns, and runs their owners.

A takeover is safe at any time: the owner's row carries the fencing token, every commit has it
as a condition, and workers refuse orders under an older one. Heartbeats only decide when a
takeover is worthwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import Ownership, PoolOwner, owner_key
from pumicespur.maintenance import FLEET_ROLE, FleetLeader, intent_validity_s
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._heartbeats import HeartbeatWriter
from pumicespur.node._owned_roles import OwnedRoles
from pumicespur.node._predecessors import Predecessors
from pumicespur.node._process_tracker import ProcessTracker
from pumicespur.node._takeover_policy import TakeoverPolicy
from pumicespur.schema.jobs_pb import OwnerRecord
from pumicespur.store import Condition, Row, Transaction, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from pumicespur.config import NodeSettings
    from pumicespur.platform import FleetOrders, PlatformTable, WorkerOrders
    from pumicespur.view import FleetView, SeenOwner

log = Logger(__name__)

STARTUP_DELAY_S = 0.3
"""Time after a start, beyond the longest interval between two heartbeats, before pools are taken.
By then, processes that started before this one was listening have sent another heartbeat. Without
the delay, small instances that started together with large ones took busy pools."""

MAX_CHECK_INTERVAL_S = 0.25
"""Longest pause between checks of the pools' owners; some conditions change by time alone."""

MIN_CHECK_INTERVAL_S = 0.02
"""Shortest such pause, however many updates arrive."""


class OwnershipController:
    """Takes over pools that lack an owner, and runs the roles that this process holds."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
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
        self.process_id = ProcessId(settings.process.id)
        self.started_at = monotonic()
        self.roles = OwnedRoles()
        self.heartbeats = HeartbeatWriter(settings, view, table, self.roles, incarnation)
        self.predecessors = Predecessors(settings, view, table.clock)
        self.tracker = ProcessTracker(
            settings,
            view,
            table,
            self.roles,
            self.heartbeats,
            self.predecessors,
            self.request_check,
        )
        self.takeover_policy = TakeoverPolicy(
            settings, view, table.response_times, self.heartbeats.presence_timeout_s()
        )
        self.check_requested = anyio.Event()
        self.owning = anyio.Event()
        """Set while this process owns a pool or is the fleet leader."""
        self.tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Write heartbeats, track other processes and check the pools until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            self.tasks.start_soon(self.tracker.make_owners_follower().run)
            self.tasks.start_soon(self.tracker.make_heartbeats_follower().run)
            self.tasks.start_soon(self.heartbeats.run)
            self.tasks.start_soon(self.heartbeats.run_reports)
            self.tasks.start_soon(self._follow_reports)
            while True:
                self.check_requested = anyio.Event()
                await self._check_pools()
                await anyio.sleep(MIN_CHECK_INTERVAL_S)
                with anyio.move_on_after(MAX_CHECK_INTERVAL_S - MIN_CHECK_INTERVAL_S):
                    await self.check_requested.wait()

    async def _follow_reports(self) -> None:
        """Follow the other owners' reports while this process holds a role."""
        while True:
            await self.owning.wait()
            await self.tracker.make_reports_follower().run_while(
                lambda: self.roles.owned, MAX_CHECK_INTERVAL_S
            )
            self.view.reports.clear()

    def request_check(self) -> None:
        """Request a check of the pools' owners."""
        self.check_requested.set()

    def announce_configuration(self) -> None:
        """Announce a new configuration if this process owns something, and check the pools."""
        if self.roles.owned:
            self.heartbeats.expedite()
        self.request_check()

    async def stop(self) -> None:
        """Release all pools and take no more."""
        self.roles.stopping = True
        self.heartbeats.expedite()
        async with anyio.create_task_group() as tasks:
            for owner in list(self.roles.owned.values()):
                tasks.start_soon(owner.stop)

    def sync_workers(self) -> None:
        """Notify the owners that the list of workers has changed."""
        for owner in self.roles.pool_owners():
            owner.sync_workers()

    def apply_evacuated_halls(self) -> None:
        """Notify the owners and the fleet leader that other data halls are evacuated."""
        for owner in self.roles.pool_owners():
            owner.apply_evacuated_halls()
        if self.roles.fleet_leader is not None:
            self.roles.fleet_leader.wake()

    async def _check_pools(self) -> None:
        """Check the pools one after the other while the store answers.

        An error in one pool affects no other.
        """
        if self.roles.stopping:
            return
        for pool in self._required_roles():
            if pool in self.roles.owned:
                continue
            try:
                if not await self._check_pool(pool):
                    return
            except Exception:
                log.exception("pool not checked", pool=pool)

    async def _check_pool(self, pool: PoolId) -> bool:
        """Take a pool if this process should; return whether its owner could be read."""
        owner = await self._read_owner(pool)
        if owner is None:
            return False
        replaced = await self._owner_to_replace(pool, owner)
        if replaced is not None:
            await self._take_over(pool, replaced)
        return True

    async def _owner_to_replace(self, pool: PoolId, owner: SeenOwner) -> SeenOwner | None:
        """Return the owner that this process replaces now; None if it doesn't take the pool.

        It is the newest record at the decision, on which the takeover then rests whatever the view
        has by that time.
        """
        now = monotonic()
        if self.takeover_policy.is_own_record(owner):
            return owner
        if now - self.started_at < self.heartbeats.idle_interval_s() + STARTUP_DELAY_S:
            return None
        if not self.tracker.is_receiving(now):
            return None
        if self.takeover_policy.is_owner_alive(owner, self.tracker.heartbeats_received_at):
            self.takeover_policy.note_owned(pool)
            return None
        await self.tracker.read_presence()
        # Another process may have taken the pool during that read.
        owner = self.view.owners.get(pool, owner)
        if self.takeover_policy.is_owner_alive(owner, self.tracker.heartbeats_received_at):
            return None
        return owner if self.takeover_policy.is_turn(pool, monotonic()) else None

    async def _read_owner(self, pool: PoolId) -> SeenOwner | None:
        """Return a pool's owner, read from the store if it may have changed; None if that fails."""
        if pool not in self.view.owners or pool in self.view.owners_to_read:
            # A scan during this call asks for another read.
            self.view.owners_to_read.discard(pool)
            response = await self.table.read(owner_key(pool))
            if not response.is_ok():
                self.view.owners_to_read.add(pool)
                return None
            self.tracker.apply_owner(response.ok)
        return self.view.owners[pool]

    def _required_roles(self) -> list[PoolId]:
        pools = self.view.pools()
        return [*pools, FLEET_ROLE] if pools and self.settings.fleet.address else pools

    async def _take_over(self, pool: PoolId, owner: SeenOwner) -> None:
        record = OwnerRecord(
            process=self.process_id,
            incarnation=self.incarnation,
            leases_until_ms=self.predecessors.leases_until_ms(pool, owner, monotonic()),
        )
        transaction = Transaction(
            [Condition(owner_key(pool), owner.token)],
            [Write(owner_key(pool), record.to_binary())],
        )
        response = await self.table.transact(transaction)
        now = monotonic()
        match response:
            case Result(tag="ok", ok=token):
                # The view may show a still newer owner by now.
                self.tracker.apply_owner(Row(owner_key(pool), record.to_binary(), token))
                self.takeover_policy.note_owned(pool)
                ownership = Ownership(pool, token, self.incarnation, now, record.leases_until_ms)
                self._start_owner(ownership, owner)
            case Result(error=error):
                # If the store applied the takeover nevertheless, the row names this process, and
                # the pool is taken again at the next check.
                log.info("pool not taken", pool=pool, reason=str(error))
                self.view.owners_to_read.add(pool)

    def _start_owner(self, ownership: Ownership, previous: SeenOwner) -> None:
        pool = ownership.pool
        owner: PoolOwner | FleetLeader
        if pool == FLEET_ROLE:
            # Wait until the previous leader's orders are older than the lease between leaders.
            wait_s = intent_validity_s(self.settings.fleet) if previous.token else 0.0
            owner = FleetLeader(
                self.settings,
                self.view,
                self.table,
                self.fleet_orders,
                ownership,
                wait_s,
                self.heartbeats.expedite_report,
            )
        else:
            earlier = self.predecessors.track_leases(pool, previous, ownership.acquired_at)
            owner = PoolOwner(
                self.settings,
                self.view,
                self.table,
                self.orders,
                ownership,
                earlier,
                self.heartbeats.expedite_report,
            )
        self.roles.owned[pool] = owner
        self.owning.set()
        self.heartbeats.expedite()
        assert self.tasks is not None
        self.tasks.start_soon(self._run_owner, pool, owner)

    async def _run_owner(self, pool: PoolId, owner: PoolOwner | FleetLeader) -> None:
        try:
            await owner.run()
        except Exception:
            # An error in one pool must not end the process; the pool is taken over again.
            log.exception("pool failed", pool=pool)
        if self.roles.owned.get(pool) is owner:
            del self.roles.owned[pool]
        self.roles.given_up[pool] = owner.ownership.token
        if not self.roles.owned:
            self.owning = anyio.Event()
        self.heartbeats.expedite()
        self.request_check()

"""Heartbeats, and which pools this process owns.

A takeover is safe at any time: the owner's row carries the fencing token, every commit has it
as a condition, and workers refuse orders under an older one. Heartbeats decide only when a
takeover is worth while.
"""

from __future__ import annotations

import hashlib
import math
import time
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import OWNERS_TABLE, Ownership, PoolOwner, owner_key
from pumicespur.maintenance import FLEET, FleetHolder, intent_age_s
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._follow import CatchUp, TableFollower
from pumicespur.node._predecessors import Predecessors
from pumicespur.schema.jobs_pb import GivenUp, HeartbeatRecord, OwnerRecord
from pumicespur.store import Condition, Transaction, Write
from pumicespur.view import SeenOwner, SeenProcess

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from anyio.abc import TaskGroup

    from pumicespur.config import NodeSettings
    from pumicespur.platform import FleetOrders, PlatformTable, WorkerOrders
    from pumicespur.store import Row
    from pumicespur.view import NodeView

log = Logger(__name__)

HEARTBEATS_TABLE = "heartbeats"
SETTLE_S = 1.2
"""Time after a start before pools are taken, so that processes that start together share them."""

HEARING_SHARE = 0.8
"""Share of the heartbeats' interval between two looks at them."""

OWNER_HEARING_S = 0.1
"""The same pause in processes that own something: pools that grow wait for what they tell."""

RENEW_AGAIN_S = 1.0
"""Pause before silent readings are given up again for the same configuration: twice the usual time
for the first bytes of an answer."""

SLOW_ANSWERS = 3.0
"""Times that a slow answer of the store counts when a heartbeat is missed: it was written,
waited for and read through the same store."""

MAX_SLOW_S = 2.0
"""Most that slow answers put a takeover off, in seconds; a dead owner's tasks wait for it."""

LEAST_PAUSE_S = 0.1
"""Least pause between heartbeats, however much there is to tell."""

HEARTBEATS_REPLAYED = 2.0
"""Heartbeats that are replayed after a silence; who lives repeats all that it tells."""


class OwnershipKeeper:
    """Tells the other processes that this one is alive, and takes pools that lack an owner."""

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
        self.started_at = time.monotonic()
        self.capacity = settings.process.cpu_share * settings.process.cpu_speed
        self.number = 0
        self.owned: dict[PoolId, PoolOwner | FleetHolder] = {}
        self.predecessors = Predecessors(settings, view, table.clock)
        self.given_up: dict[PoolId, int] = {}
        """Tokens under which this process owned pools and extends no leases any more."""
        self.stopping = False
        self.answered_at = float("-inf")
        """When the store last took a heartbeat (monotonic seconds)."""
        self.heard_at = time.monotonic()
        """When the store last told of heartbeats (monotonic seconds)."""
        self.failing = False
        """Whether the last heartbeat failed."""
        self.renewed_version = 0
        """Newest configuration for which readings were given up."""
        self.renewed_at = float("-inf")
        self.changed = anyio.Event()
        self.tasks: TaskGroup | None = None
        self.on_taken: Callable[[], None] = lambda: None
        """Called when a pool is taken, whose workers have to be known at once."""

    async def run(self) -> None:
        """Keep beating and deciding until cancelled."""
        async with anyio.create_task_group() as self.tasks:
            store = self.settings.store
            # Rows of a part for each pool or process: a whole reading holds none of them.
            owners = TableFollower(
                self.table, store, OWNERS_TABLE, self._see_owners, CatchUp(math.inf)
            )
            heartbeats = TableFollower(
                self.table,
                store,
                HEARTBEATS_TABLE,
                self._hear,
                CatchUp(HEARTBEATS_REPLAYED * store.heartbeat_s),
                self._hearing_pause_s,
            )
            self.tasks.start_soon(owners.run)
            self.tasks.start_soon(heartbeats.run)
            while True:
                self.changed = anyio.Event()
                await self._beat()
                await self._decide()
                await anyio.sleep(LEAST_PAUSE_S)
                with anyio.move_on_after(self.settings.store.heartbeat_s - LEAST_PAUSE_S):
                    await self.changed.wait()

    def hurry(self) -> None:
        """Ask for a heartbeat at once, since others wait for what it tells."""
        self.changed.set()

    async def stop(self) -> None:
        """Give up all pools and take no more."""
        self.stopping = True
        self.changed.set()
        async with anyio.create_task_group() as tasks:
            for owner in list(self.owned.values()):
                tasks.start_soon(owner.stop)

    def sync_workers(self) -> None:
        """Tell the owners that the list of workers has changed."""
        for owner in self.pool_owners():
            owner.sync_workers()

    def pool_owners(self) -> list[PoolOwner]:
        """Return the owners of pools, without the fleet's holder."""
        return [owner for owner in self.owned.values() if isinstance(owner, PoolOwner)]

    @property
    def fleet(self) -> FleetHolder | None:
        """Return the holder of the fleet's duty if it is this process."""
        holder = self.owned.get(FLEET)
        return holder if isinstance(holder, FleetHolder) else None

    async def _beat(self) -> None:
        self.number += 1
        record = HeartbeatRecord(
            process=self.me,
            incarnation=self.incarnation,
            data_hall=self.settings.process.data_hall,
            capacity=self.capacity,
            number=self.number,
            unfit=self.stopping,
            configuration_version=max(0, self.view.configuration.version),
            pools=[owner.report() for owner in self.pool_owners() if owner.ready],
            evacuations=[] if self.fleet is None else list(self.fleet.evacuations()),
            fleet_token=0 if self.fleet is None else self.fleet.ownership.token,
            given_up=[GivenUp(pool=p, fencing_token=t) for p, t in self.given_up.items()],
        )
        # A part for each process: a slow store takes the writes of one part in turn.
        write = Write(f"{HEARTBEATS_TABLE}/{self.me}/newest", record.to_binary())
        written = await self.table.transact(Transaction([], [write]))
        if written.is_ok():
            self._note_answer(time.monotonic())
        else:
            self.failing = True
            log.warning("heartbeat failed", reason=str(written.error))

    def _note_answer(self, now: float) -> None:
        self.answered_at = now
        if self.failing:
            self.failing = False
            log.info("store answers again")
            self.table.renew_readings()

    def _hear(self, rows: Sequence[Row], whole: bool) -> None:
        """Hear of the other processes; a pause gathers many heartbeats into one answer."""
        now = time.monotonic()
        if now - self.heard_at > self.settings.store.missing_s:
            self.view.steady_since = now
        self.heard_at = now
        for row in rows:
            self._see(row, now)
        if self.fleet is not None:
            self.fleet.wake()

    def _hearing_pause_s(self) -> float:
        return OWNER_HEARING_S if self.owned else self.settings.store.heartbeat_s * HEARING_SHARE

    def _see(self, row: Row, now: float) -> None:
        if not row.version:
            return
        heartbeat = HeartbeatRecord.from_binary(row.value)
        process = ProcessId(heartbeat.process)
        self._note_version(heartbeat.configuration_version, now)
        known = self.view.processes.get(process)
        if known is None:
            self.view.processes[process] = SeenProcess(heartbeat, now, row.version)
            return
        before = (known.heartbeat.incarnation, known.heartbeat.number)
        if before != (heartbeat.incarnation, heartbeat.number):
            self.view.processes[process] = SeenProcess(heartbeat, now, row.version)
            self.predecessors.hear(self.view.processes[process], now)

    def _note_version(self, newest: int, now: float) -> None:
        """Watch anew if another process has heard of a change that this one has not.

        The connection may be dead. Watches are given up once for each version, and again only
        after a while; one that is receiving goes on in any case.
        """
        if newest <= max(0, self.view.configuration.version):
            return
        self.view.note_newer(newest, now)
        if newest <= self.renewed_version and now - self.renewed_at < RENEW_AGAIN_S:
            return
        self.renewed_version, self.renewed_at = newest, now
        log.info("configuration behind", newest=newest)
        self.table.renew_readings()

    def _see_owners(self, rows: Sequence[Row], whole: bool) -> None:
        """Hear of takeovers and releases as they happen.

        The rows lie in the pools' parts, so a whole reading of the empty part holds none; each
        owner that is not known is then read by itself.
        """
        if whole:
            self.view.owners.clear()
        for row in rows:
            self._see_owner(row)

    def _see_owner(self, row: Row) -> None:
        pool = PoolId(row.key.split("/", 2)[1])
        record = OwnerRecord.from_binary(row.value)
        known = self.view.owners.get(pool)
        if known is None or row.version > known.token:
            self.view.owners[pool] = SeenOwner(record, row.version, time.monotonic())
            self.changed.set()

    async def _decide(self) -> None:
        if self.stopping or not self.view.workers_known:
            return
        for pool in self._duties():
            if pool in self.owned:
                continue
            if pool not in self.view.owners:
                answer = await self.table.read(owner_key(pool))
                if not answer.is_ok():
                    return
                self._see_owner(answer.ok)
            if self._is_due(pool, time.monotonic()):
                await self._take(pool, self.view.owners[pool])

    def _is_due(self, pool: PoolId, now: float) -> bool:
        """Whether this process takes a pool now.

        What names this process is taken back at once: its earlier life held it, or a call to
        take it applied after its answer was given up. No other process takes it, since they see
        a living owner, and all of its tasks wait. With all processes lost at once, pools are
        taken 0.1 s after the start instead of 1.75 s (nine processes, all killed).
        """
        owner = self.view.owners[pool]
        if self._names_this_process(owner):
            return True
        if now - self.started_at < SETTLE_S:
            return False
        if now - self.heard_at > self.settings.store.missing_s:
            # Nobody can be judged by heartbeats that this process has not heard.
            return False
        return not self._is_held(owner, now) and self._successor(pool, now) == self.me

    def _names_this_process(self, owner: SeenOwner) -> bool:
        record = owner.record
        return bool(owner.token) and not record.released and record.process == self.me

    def _duties(self) -> list[PoolId]:
        pools = self.view.pools()
        return [*pools, FLEET] if pools and self.settings.fleet.address else pools

    def _alive(self, seen: SeenProcess, now: float) -> bool:
        """Whether a process has beaten lately; while the store is silent, nobody is judged."""
        since = max(seen.seen_at, self.view.steady_since)
        return now - since < self._missing_s(now) and not seen.heartbeat.unfit

    def _missing_s(self, now: float) -> float:
        """Return the time without a heartbeat after which a process counts as gone."""
        slow_s = min(MAX_SLOW_S, SLOW_ANSWERS * self.table.times.worst_s(now))
        return self.settings.store.missing_s + slow_s

    def _is_held(self, owner: SeenOwner, now: float) -> bool:
        record = owner.record
        if not owner.token or record.released or record.process == self.me:
            return False
        holder = self.view.processes.get(ProcessId(record.process))
        if holder is None or holder.heartbeat.incarnation != record.incarnation:
            if holder is not None and holder.version > owner.token:
                return False
            # Its first heartbeat may still be on the way.
            since = max(owner.seen_at, self.view.steady_since)
            return now - since < self._missing_s(now)
        return self._alive(holder, now)

    def _successor(self, pool: PoolId, now: float) -> ProcessId:
        """Choose the live process that would own least for its size; all choose alike."""
        stopping = self._stopping()
        sizes = {
            process: seen.heartbeat.capacity or 1.0
            for process, seen in self.view.processes.items()
            if self._alive(seen, now) and process not in stopping
        }
        sizes.setdefault(self.me, self.capacity)
        counts = dict.fromkeys(sizes, 0)
        for other, owner in self.view.owners.items():
            holder = ProcessId(owner.record.process)
            if other != pool and holder in counts and not owner.record.released:
                counts[holder] += 1
        return min(counts, key=lambda p: ((counts[p] + 1) / sizes[p], _rank(pool, p)))

    def _stopping(self) -> set[ProcessId]:
        """Return the processes that have given a pool up in their present life.

        They do so only when they stop, and the pool's row is heard before the heartbeat that
        tells so.
        """
        return {
            process
            for owner in self.view.owners.values()
            if owner.record.released
            and (seen := self.view.processes.get(process := ProcessId(owner.record.process)))
            and seen.heartbeat.incarnation == owner.record.incarnation
        }

    async def _take(self, pool: PoolId, owner: SeenOwner) -> None:
        record = OwnerRecord(
            process=self.me,
            incarnation=self.incarnation,
            leases_until_ms=self.predecessors.leases_until_ms(pool, owner, time.monotonic()),
        )
        transaction = Transaction(
            [Condition(owner_key(pool), owner.token)],
            [Write(owner_key(pool), record.to_binary())],
        )
        answer = await self.table.transact(transaction)
        now = time.monotonic()
        match answer:
            case Result(tag="ok", ok=token):
                self.view.owners[pool] = SeenOwner(record, token, now)
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
                self.hurry,
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
                self.hurry,
            )
        self.owned[pool] = owner
        self.on_taken()
        assert self.tasks is not None
        self.tasks.start_soon(self._own, pool, owner)

    async def _own(self, pool: PoolId, owner: PoolOwner | FleetHolder) -> None:
        try:
            await owner.run()
        except Exception:
            # A fault in one pool must not end the process; the pool is taken anew.
            log.exception("pool failed", pool=pool)
        if self.owned.get(pool) is owner:
            del self.owned[pool]
        self.given_up[pool] = owner.ownership.token
        self.changed.set()


def _rank(pool: PoolId, process: ProcessId) -> bytes:
    return hashlib.blake2b(f"{pool}\0{process}".encode(), digest_size=8).digest()

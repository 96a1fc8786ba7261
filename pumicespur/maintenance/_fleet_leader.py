"""The fleet leader: the one process that gives orders for instances.

It evacuates instances before it takes them down or moves them. The platform may not check the
fencing tokens of these orders, so successive leaders are kept apart by time. A leader records an
order before it gives it, and gives it only shortly after a proof that it still is the leader. A
new leader leaves those instances alone until the last order of its predecessor is older than the
lease between leaders.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import TARGET_UTILIZATION_RATIO, Journal, OwnershipLostError
from pumicespur.maintenance._ended_workers import EndedWorkerFinder
from pumicespur.maintenance._intents import IntentLog, intent_validity_s
from pumicespur.maintenance._peaks import min_peak_cpu_millis, reserved_sizes
from pumicespur.maintenance._persisted_state import PersistedState
from pumicespur.maintenance._rebalancing import MovePlan, PoolRebalancer, RebalanceInput
from pumicespur.maintenance._reports import FleetReports
from pumicespur.maintenance._wave_execution import WaveExecutor
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
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from pumicespur.config import NodeSettings
    from pumicespur.jobs import Ownership
    from pumicespur.platform import FleetOrders, PlatformTable
    from pumicespur.view import FleetView

log = Logger(__name__)

MAX_ROUND_INTERVAL_S = 0.4
"""Max pause between rounds; each round reads the list of instances once."""

MIN_ROUND_INTERVAL_S = 0.15
"""Min pause between rounds, regardless of how many updates arrive."""

MAX_GROWTH_FACTOR = 3.0
"""Max size of a pool relative to its initial size, if its work needs so many instances."""

MOVE_TIMEOUT_MARGIN_S = 4.0
"""Time beyond the duration of a move after which an order without effect counts as not applied."""

EVACUATION_TIME_S = 1.0
"""Time in which an instance finishes its short tasks before it moves; their mean duration."""


class FleetLeader:
    """Fleet leader, for as long as this process owns that role."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        table: PlatformTable,
        orders: FleetOrders,
        ownership: Ownership,
        predecessor_wait_s: float,
        request_report: Callable[[], None],
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
            ownership.acquired_at + predecessor_wait_s,
            intent_validity_s(settings.fleet),
        )
        self.reports = FleetReports(view)
        self.wave_executor = WaveExecutor(
            settings, view, table, orders, self.journal, self.intents, self.reports
        )
        self.instances: dict[InstanceId, Instance] = {}
        self.listed_at = 0.0
        """Monotonic time at which the current list of instances was requested."""
        self.persisted = PersistedState(self.journal)
        self.needed_workers: Mapping[PoolId, int] = {}
        """Workers that each pool's owner asks for in the current round, within the growth limit."""
        self.rebalancer = PoolRebalancer()
        self.forecast_pool: PoolId | None = None
        """The pool whose peak is expected now."""
        self.moving: dict[InstanceId, tuple[PoolId, float]] = {}
        """Instances that are moving, with their target pool and the monotonic time of the order."""
        self.rejected_moves: set[tuple[InstanceId, PoolId]] = set()
        self.request_report = request_report
        """Requests an immediate report to the other processes."""
        self.reported_evacuations: set[WorkerName] = set()
        self.listed_workers = EndedWorkerFinder()
        self.ended_workers: list[WorkerName] = []
        """Workers that owners miss or can't reach, and that have ended."""
        self.ready = False
        self.stopping = False
        self.stopped = anyio.Event()
        self.changed = anyio.Event()

    def wake(self) -> None:
        """Request a round, since new reports of owners have arrived."""
        self.changed.set()

    async def run(self) -> None:
        """Act as the fleet leader until the leadership is lost or given up."""
        try:
            await self.journal.load()
            await self.intents.load()
            await self.persisted.load()
            self.ready = True
            log.info("fleet leadership acquired", token=self.ownership.token)
            while not self.stopping:
                self.changed = anyio.Event()
                await self._round()
                await anyio.sleep(MIN_ROUND_INTERVAL_S)
                with anyio.move_on_after(MAX_ROUND_INTERVAL_S - MIN_ROUND_INTERVAL_S):
                    await self.changed.wait()
            await self.journal.release(self.settings.process.id)
        except OwnershipLostError as error:
            log.warning("fleet leadership lost", token=self.ownership.token, reason=str(error))
        finally:
            self.stopped.set()

    async def stop(self) -> None:
        """Give no more orders and release the leadership without naming a successor."""
        self.stopping = True
        await self.stopped.wait()

    def workers_to_evacuate(self) -> list[WorkerName]:
        """Return the workers that their owners are to evacuate."""
        names = [*self.wave_executor.evacuating(), *self.rebalancer.evacuating]
        found = [self.instances[name].worker for name in names if name in self.instances]
        return [worker for worker in found if worker is not None]

    async def _round(self) -> None:
        requested_at = monotonic()
        response = await self.orders.list_instances()
        match response:
            case Result(tag="ok", ok=instances):
                self.instances = {instance.id: instance for instance in instances}
                self.listed_at = requested_at
                self.persisted.note_instances(instances)
                self._note_ended_workers(instances)
            case Result(error=error):
                log.warning("instances not listed", reason=str(error))
                return
        if self._are_evacuated_halls_known():
            await self.wave_executor.run_round(
                self.instances, self.listed_at, self._rebalance_input
            )
        await self._rebalance()

    def _note_ended_workers(self, instances: Sequence[Instance]) -> None:
        """Tell owners at once when a worker that they can't reach has ended."""
        self.listed_workers.note_list(instances, self.listed_at)
        ended = self.listed_workers.find(self.reports.pools().values())
        new = set(ended) - set(self.ended_workers)
        self.ended_workers = ended
        if new:
            log.info("workers ended", workers=sorted(new))
            self.request_report()

    def _are_evacuated_halls_known(self) -> bool:
        """Whether the evacuated data halls have been read, if this platform evacuates any.

        Before the first reading, a new leader would take closed instances for a surplus.
        """
        followed = self.settings.workers.evacuate_ms > 0
        return not followed or math.isfinite(self.view.evacuations_progress.asked_at)

    async def _rebalance(self) -> None:
        """Move instances between pools according to what the pools' owners ask for."""
        now = monotonic()
        for name, (pool, ordered_at) in list(self.moving.items()):
            if self._is_move_over(name, pool, now - ordered_at):
                del self.moving[name]
        self._note_peaks()
        state = self._rebalance_input()
        self.needed_workers = state.needed
        plan = self.rebalancer.plan(state, now) if self._are_evacuated_halls_known() else MovePlan()
        if set(self.workers_to_evacuate()) != self.reported_evacuations:
            self.reported_evacuations = set(self.workers_to_evacuate())
            self.request_report()
        await self.persisted.record()
        moves = [(name, pool) for name, pool in plan.moves if self.intents.may_order(name)]
        await self.intents.announce({name for name, _ in moves})
        async with anyio.create_task_group() as tasks:
            for name, pool in moves:
                tasks.start_soon(self._move, name, pool)

    def _note_peaks(self) -> None:
        if not self.instances:
            return
        instance_cpu_millis = self._max_instance_cpu_millis()
        for pool, report in self.reports.pools().items():
            min_cpu_millis = min_peak_cpu_millis(
                self.persisted.initial_sizes.get(pool, 0), instance_cpu_millis
            )
            self.persisted.peaks.note_demand(
                pool, report.arriving_cpu_millis, min_cpu_millis, now_ms()
            )

    def _max_instance_cpu_millis(self) -> int:
        """Return the processor capacity of the largest instance, in thousandths of a core."""
        return max(instance.capacity.cpu_millis for instance in self.instances.values())

    def _forecast_workers(self, pools: Iterable[PoolId]) -> dict[PoolId, int]:
        """Return the workers for peaks that have just started or are expected now, by pool."""
        if not self.instances:
            return {}
        known = list(pools)
        peaks = self.persisted.peaks
        found = {
            pool: self._workers_for(pool, cpu_millis)
            for pool in known
            if (
                cpu_millis := peaks.forecast_cpu_millis(
                    pool, self.persisted.initial_sizes, now_ms()
                )
            )
        }
        lead_ms = (self.settings.fleet.move_s + EVACUATION_TIME_S) * 1000
        expected = peaks.expected_pool(known, now_ms(), lead_ms)
        if expected is not None:
            cpu_millis = peaks.typical_cpu_millis(expected)
            if expected != self.forecast_pool:
                log.info("peak forecast", pool=expected, cpu_millis=cpu_millis)
            found[expected] = self._workers_for(expected, cpu_millis)
        self.forecast_pool = expected
        return found

    def _workers_for(self, pool: PoolId, cpu_millis: int) -> int:
        """Return how many instances carry a demand, within the pool's growth limit."""
        workers = math.ceil(
            cpu_millis / max(1, self._max_instance_cpu_millis()) / TARGET_UTILIZATION_RATIO
        )
        return self._limit_growth(pool, workers)

    def _is_move_over(self, name: InstanceId, pool: PoolId, since_s: float) -> bool:
        """Whether a move has finished, or its order certainly had no effect."""
        instance = self.instances.get(name)
        if instance is None:
            return True
        if instance.pool == pool:
            return instance.state is InstanceState.UP
        return since_s > self.settings.fleet.move_s + MOVE_TIMEOUT_MARGIN_S

    async def _move(self, name: InstanceId, pool: PoolId) -> None:
        if not self.intents.is_proof_fresh():
            return
        self.moving[name] = (pool, monotonic())
        before = self.instances[name].pool
        response = await self.orders.move(self.ownership.token, name, pool)
        match response:
            case Result(tag="ok"):
                log.info(
                    "instance moved",
                    instance=name,
                    pool=pool,
                    before=before,
                    token=self.ownership.token,
                    initial_size=self.persisted.initial_sizes.get(pool, 0),
                    needed=self.needed_workers.get(pool, 0),
                    list_age_s=round(monotonic() - self.listed_at, 3),
                )
            case Result(error=NeverDone(reason=reason)):
                self.rejected_moves.add((name, pool))
                del self.moving[name]
                log.warning("move rejected by platform", instance=name, pool=pool, reason=reason)
            case Result(error=Unavailable(reason=reason)):
                del self.moving[name]
                log.warning("instance not moved", instance=name, pool=pool, reason=reason)
            case Result(error=error):
                log.warning("move not confirmed", instance=name, pool=pool, reason=str(error))

    def _limit_growth(self, pool: PoolId, workers: int) -> int:
        """Return a number of workers, capped at the size to which a pool may grow."""
        return min(workers, int(self.persisted.initial_sizes.get(pool, 0) * MAX_GROWTH_FACTOR))

    def _rebalance_input(self) -> RebalanceInput:
        reports = self.reports.pools()
        found = self.reports.workers(reports, self.instances.values())
        forecast = self._forecast_workers(reports)
        needed = {p: r.wanted_workers for p, r in reports.items()}
        busy = {p: r.busy_workers for p, r in reports.items()}
        return RebalanceInput(
            instances=self.instances,
            reserved=reserved_sizes(
                self.persisted.peaks, self.persisted.initial_sizes, reports, now_ms()
            ),
            needed={
                p: max(self._limit_growth(p, n), forecast.get(p, 0)) for p, n in needed.items()
            },
            busy={p: max(self._limit_growth(p, n), forecast.get(p, 0)) for p, n in busy.items()},
            spare_pools=frozenset(p.id for p in self.view.configuration.pools.values() if p.spare),
            reachable=self.reports.reachable(found),
            unconfirmed=frozenset(n for n in self.instances if n not in self.reports.reached_at),
            task_counts={name: w.tasks for name, w in found.items()},
            empty=frozenset(
                name
                for name, i in self.instances.items()
                if self.reports.is_empty(i, found.get(name))
            ),
            protected=frozenset(name for name, w in found.items() if w.held_tasks),
            in_wave=self.wave_executor.in_wave(),
            moving={name: pool for name, (pool, _) in self.moving.items()},
            rejected_moves=frozenset(self.rejected_moves),
            closed=self._closed_instances(),
            spread_halls=self.settings.fleet.tolerated_halls > 0,
        )

    def _closed_instances(self) -> frozenset[InstanceId]:
        """Return the instances in evacuated data halls."""
        halls = self.view.evacuated_halls
        return frozenset(name for name, i in self.instances.items() if i.data_hall in halls)

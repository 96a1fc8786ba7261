"""The planner's control loop: read the fleet, decide, commit, send orders."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.planning._decision import decide
from pumicespur.planning._order_dispatch import OrderDispatcher
from pumicespur.planning._round import Decision, PlanInput
from pumicespur.planning._usage import UsageTracker, own_tasks
from pumicespur.schema.fleet_pb import InstanceState, Record
from pumicespur.store import Conflict, Listing
from pumicespur.utils import monotonic, now_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.connect import PlatformClient
    from pumicespur.schema.operators_pb import Finding
    from pumicespur.schema.platform_pb import ListedInstance, TaskUsage
    from pumicespur.schema.settings_pb import ManagerSettings
    from pumicespur.state import Lease, Replica, Retention
    from pumicespur.structure import Fleet, InstanceId

log = Logger(__name__)

MAX_LIST_AGE_S = 15.0
"""Max age of the list of instances by which new decisions are made."""

MAX_OPERATOR_LIST_AGE_S = 0.5
"""Max age of the list of instances for an operator's request."""

STANDBY_LIST_INTERVAL_S = 5.0
"""Interval at which a manager without the lease fetches the list of instances."""

USAGE_INTERVAL_S = 2.0
"""Interval at which the planner fetches the resource usage of tasks."""

MAX_IDLE_INTERVAL_S = 5.0
"""Max interval between rounds while nothing changes; waves depend on the time of day."""


class Planner:
    """Planner, which decides only while this process holds the planner's lease."""

    def __init__(
        self,
        settings: ManagerSettings,
        platform: PlatformClient,
        replica: Replica,
        lease: Lease,
        retention: Retention,
    ) -> None:
        self.settings = settings
        self.platform = platform
        self.replica = replica
        self.lease = lease
        self.retention = retention
        self.dispatcher = OrderDispatcher(platform)
        self.listing = Listing({}, float("-inf"))
        self.findings: list[Finding] = []
        self.rounds = 0
        self.decide_s = 0.0
        self.usage = UsageTracker()
        # The newest report on this system's tasks, until it has been processed.
        self.reported_tasks: list[TaskUsage] = []
        self._usage_at = float("-inf")
        self._missing_since: dict[InstanceId, float] = {}
        self._saved_revision = 0
        self._observed_at = float("-inf")
        self._idle_since = float("-inf")
        self._idle_revision = 0
        self._idle_instances: Mapping[str, ListedInstance] = {}

    async def run(self) -> None:
        """Run a round at every tick, and at once when the state changes."""
        while True:
            changed = self.replica.changed
            await self.observe(
                self.settings.tick_s if self.lease.is_held else STANDBY_LIST_INTERVAL_S
            )
            if self.lease.is_held:
                await self._round()
            else:
                self.dispatcher = OrderDispatcher(self.platform)
                self._missing_since.clear()
            with anyio.move_on_after(self.settings.tick_s):
                await changed.wait()

    async def observe(self, max_age_s: float = MAX_OPERATOR_LIST_AGE_S) -> None:
        """Fetch the platform's list of instances, unless the current one is fresh enough."""
        if monotonic() - self._observed_at < max_age_s:
            return
        match await self.platform.list_instances():
            case Result(tag="ok", ok=listing):
                self.listing = listing
                self._observed_at = monotonic()
                self._note_missing()
        if self.lease.is_held:
            await self._observe_usage()

    async def _observe_usage(self) -> None:
        if monotonic() - self._usage_at < USAGE_INTERVAL_S:
            return
        match await self.platform.list_usage():
            case Result(tag="ok", ok=listing):
                self.reported_tasks = own_tasks(listing.tasks)
                self.usage.observe(self.reported_tasks)
                self._usage_at = monotonic()

    def _note_missing(self) -> None:
        now = monotonic()
        gone = self.replica.fleet.assignments.keys() - self.listing.instances.keys()
        self._missing_since = {name: self._missing_since.get(name, now) for name in gone}

    async def _round(self) -> None:
        """Decide, commit and send orders; stop at the first step that fails."""
        if monotonic() - self.listing.seen_at > MAX_LIST_AGE_S:
            return
        if self._is_unchanged():
            # Orders that the platform has not accepted yet are still sent again.
            await self._dispatch_orders()
            return
        self.rounds += 1
        response = await self.replica.append(self._build_record, [self.lease.fence()])
        match response:
            case Result(tag="ok"):
                # Each report of a failed task is processed once, since later reports lag behind and
                # may repeat it.
                self.usage.newly_failed = frozenset()
                await self._dispatch_orders()
                await self._save_snapshot()
            case Result(error=Conflict()):
                self.lease.note_lost()
            case Result(error=error):
                log.warning("decision not committed", epoch=self.lease.epoch, fault=str(error))

    async def _dispatch_orders(self) -> None:
        reported, self.reported_tasks = self.reported_tasks, []
        await self.dispatcher.dispatch(self.replica.fleet, reported)

    def _is_unchanged(self) -> bool:
        """Return whether a round would decide nothing, like the previous one.

        That is so if no change is in progress and no input of the decisions has changed, except
        the time of day, for which a round runs every `MAX_IDLE_INTERVAL_S`.
        """
        if monotonic() - self._idle_since > MAX_IDLE_INTERVAL_S:
            return False
        return (
            self.replica.revision == self._idle_revision
            and not self.usage.newly_failed
            and self.listing.instances == self._idle_instances
        )

    def _note_idle(self, fleet: Fleet, decision: Decision) -> None:
        """Remember the input of a round that decided nothing while no change is in progress."""
        busy = any(a.state is not InstanceState.SERVING for a in fleet.assignments.values())
        if decision.record() is None and not busy and not self._missing_since:
            self._idle_since = monotonic()
            self._idle_revision = fleet.revision
            self._idle_instances = self.listing.instances

    def _build_record(self, fleet: Fleet) -> Record | None:
        started = time.perf_counter()
        decision = self.decide(fleet)
        self.decide_s = time.perf_counter() - started
        self.findings = decision.findings
        self._note_idle(fleet, decision)
        record = decision.record()
        if record is not None:
            record.author = self.lease.process_id
            record.epoch = self.lease.epoch
        return record

    def decide(self, fleet: Fleet) -> Decision:
        """Decide one round by the newest list of instances."""
        plan_input = PlanInput(
            fleet=fleet,
            listed=self.listing.instances,
            acknowledged=self.dispatcher.accepted_before(self.listing.seen_at),
            propagated=self.dispatcher.accepted_before(
                self.listing.seen_at - self.settings.move_settle_s
            ),
            missing=self._missing_instances(fleet),
            now_ms=now_ms(),
            settings=self.settings,
            usage=self.usage,
        )
        return decide(plan_input)

    def _missing_instances(self, fleet: Fleet) -> frozenset[InstanceId]:
        now = monotonic()
        found = set()
        for name, since in self._missing_since.items():
            assignment = fleet.assignments.get(name)
            limit_s = self.settings.missing_s
            if assignment and assignment.state is InstanceState.MAINTAINING:
                limit_s += self.settings.reboot_timeout_s
            if now - since > limit_s:
                found.add(name)
        return frozenset(found)

    async def _save_snapshot(self) -> None:
        revision = self.replica.revision
        await self.retention.delete_old_records(self._saved_revision)
        if revision - self._saved_revision < self.settings.snapshot_every:
            return
        snapshot = self.replica.fleet.snapshot()
        match await self.replica.store.save_snapshot(snapshot):
            case Result(tag="ok"):
                self._saved_revision = revision

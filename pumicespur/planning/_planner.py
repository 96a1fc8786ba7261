"""The planner: round after round of look, decide, commit, carry out."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.planning._decision import decide
from pumicespur.planning._effects import Effects
from pumicespur.planning._round import Decision, PlanInput
from pumicespur.planning._usage import UsageBook, own_tasks
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
"""With an older list nothing new is decided."""

MAX_SEEN_AGE_S = 0.5
"""How old a list may be for an operator's call."""

IDLE_LIST_AGE_S = 5.0
"""How often a manager fetches the list that does not hold the lease."""

USAGE_AGE_S = 2.0
"""How often the planner fetches what tasks use."""

MAX_IDLE_S = 5.0
"""How often a round runs although nothing has changed: waves have windows."""


class Planner:
    """Plans while this process holds the lease; only watches otherwise."""

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
        self.effects = Effects(platform)
        self.listing = Listing({}, float("-inf"))
        self.findings: list[Finding] = []
        self.rounds = 0
        self.decide_s = 0.0
        self.usage = UsageBook()
        # The newest report of running tasks, until it was acted upon.
        self.reported: list[TaskUsage] = []
        self._usage_at = float("-inf")
        self._missing_since: dict[InstanceId, float] = {}
        self._saved_revision = 0
        self._observed_at = float("-inf")
        self._idle_since = float("-inf")
        self._idle_revision = 0
        self._idle_instances: Mapping[str, ListedInstance] = {}

    async def run(self) -> None:
        """Plan a round at every tick, and at once when the state changes."""
        while True:
            changed = self.replica.changed
            await self.observe(self.settings.tick_s if self.lease.held else IDLE_LIST_AGE_S)
            if self.lease.held:
                await self._round()
            else:
                self.effects = Effects(self.platform)
                self._missing_since.clear()
            with anyio.move_on_after(self.settings.tick_s):
                await changed.wait()

    async def observe(self, max_age_s: float = MAX_SEEN_AGE_S) -> None:
        """Fetch the platform's list unless it was fetched a moment ago."""
        if monotonic() - self._observed_at < max_age_s:
            return
        match await self.platform.list_instances():
            case Result(tag="ok", ok=listing):
                self.listing = listing
                self._observed_at = monotonic()
                self._note_missing()
        if self.lease.held:
            await self._observe_usage()

    async def _observe_usage(self) -> None:
        if monotonic() - self._usage_at < USAGE_AGE_S:
            return
        match await self.platform.list_usage():
            case Result(tag="ok", ok=listing):
                self.reported = own_tasks(listing.tasks)
                self.usage.observe(self.reported)
                self._usage_at = monotonic()

    def _note_missing(self) -> None:
        now = monotonic()
        gone = self.replica.fleet.assignments.keys() - self.listing.instances.keys()
        self._missing_since = {name: self._missing_since.get(name, now) for name in gone}

    async def _round(self) -> None:
        """Decide, commit and carry out; stop at the first step that fails."""
        if monotonic() - self.listing.seen_at > MAX_LIST_AGE_S:
            return
        if self._is_quiet():
            # Orders that the platform did not take before are given again all the same.
            await self._carry_out()
            return
        self.rounds += 1
        answer = await self.replica.append(self._build, [self.lease.fence()])
        match answer:
            case Result(tag="ok"):
                # Each report of a failed task is acted upon once; the next may lag.
                self.usage.failed_now = frozenset()
                await self._carry_out()
                await self._save_snapshot()
            case Result(error=Conflict()):
                self.lease.lose()
            case Result(error=fault):
                log.warning("decision not committed", epoch=self.lease.epoch, fault=str(fault))

    async def _carry_out(self) -> None:
        reported, self.reported = self.reported, []
        await self.effects.carry_out(self.replica.fleet, reported)

    def _is_quiet(self) -> bool:
        """Tell whether a round would decide nothing, like the one before it.

        Nothing is under way and nothing that decisions look at has changed, but for the
        time of day, for which a round runs now and then.
        """
        if monotonic() - self._idle_since > MAX_IDLE_S:
            return False
        return (
            self.replica.revision == self._idle_revision
            and not self.usage.failed_now
            and self.listing.instances == self._idle_instances
        )

    def _note_idle(self, fleet: Fleet, decision: Decision) -> None:
        """Remember what was looked at when nothing was decided and nothing is under way."""
        busy = any(a.state is not InstanceState.SERVING for a in fleet.assignments.values())
        if decision.record() is None and not busy and not self._missing_since:
            self._idle_since = monotonic()
            self._idle_revision = fleet.revision
            self._idle_instances = self.listing.instances

    def _build(self, fleet: Fleet) -> Record | None:
        started = time.perf_counter()
        decision = self.decide(fleet)
        self.decide_s = time.perf_counter() - started
        self.findings = decision.findings
        self._note_idle(fleet, decision)
        record = decision.record()
        if record is not None:
            record.author = self.lease.me
            record.epoch = self.lease.epoch
        return record

    def decide(self, fleet: Fleet) -> Decision:
        """Decide a round on the newest list."""
        known = PlanInput(
            fleet=fleet,
            listed=self.listing.instances,
            acknowledged=self.effects.taken_before(self.listing.seen_at),
            settled=self.effects.taken_before(self.listing.seen_at - self.settings.move_settle_s),
            missing=self._missing(fleet),
            now_ms=now_ms(),
            settings=self.settings,
            usage=self.usage,
        )
        return decide(known)

    def _missing(self, fleet: Fleet) -> frozenset[InstanceId]:
        now = monotonic()
        found = set()
        for name, since in self._missing_since.items():
            assignment = fleet.assignments.get(name)
            limit = self.settings.missing_s
            if assignment and assignment.state is InstanceState.MAINTAINING:
                limit += self.settings.reboot_timeout_s
            if now - since > limit:
                found.add(name)
        return frozenset(found)

    async def _save_snapshot(self) -> None:
        revision = self.replica.revision
        await self.retention.sweep_records(self._saved_revision)
        if revision - self._saved_revision < self.settings.snapshot_every:
            return
        snapshot = self.replica.fleet.snapshot()
        match await self.replica.store.save_snapshot(snapshot):
            case Result(tag="ok"):
                self._saved_revision = revision

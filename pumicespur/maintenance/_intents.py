"""Records of what the fleet's holder is about to order, read by the next holder."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pumicespur.maintenance._kept_rows import read_kept
from pumicespur.model import InstanceId, PoolId, ProcessId
from pumicespur.schema.jobs_pb import OrderIntent, OrderIntents
from pumicespur.store import Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.jobs import Journal
    from pumicespur.schema.node_pb import FleetSettings

FLEET = PoolId("~fleet")
"""Stands for the duty where pools stand otherwise; no pool has this name."""

INTENTS_KEY = f"waves/{FLEET}/intents"

PROOF_S = 1.0
"""Age up to which a proof of holding the duty allows an order."""

SLACK_S = 0.5
"""Added to the wait of a new holder, for orders that travel slowly."""


def intent_age_s(settings: FleetSettings) -> float:
    """Return how long an intent matters to a next holder, in seconds."""
    return settings.lease_ms / 1000 + PROOF_S + SLACK_S


class IntentLog:
    """What this holder is about to order, and what the one before may just have ordered."""

    def __init__(self, journal: Journal, process: ProcessId, orders_from: float, age_s: float):
        self.journal = journal
        self.process = process
        self.orders_from = orders_from
        """Monotonic time before which instances of the last holder's intents get no order, unless
        their intent tells an earlier one."""
        self.age_s = age_s
        """How long an intent matters to a next holder, in seconds."""
        self.reserved: dict[InstanceId, float] = {}
        """Instances for which earlier holders may have given orders just now, by the monotonic
        time from which they may get another one."""
        self.recent: deque[tuple[float, OrderIntent]] = deque()
        """Intents by monotonic time in seconds, oldest first."""
        self.announced_at = float("-inf")
        """When the newest intents were written down (monotonic seconds)."""

    async def load(self) -> None:
        """Learn for which instances the holder before may have given orders just now."""
        row = await read_kept(self.journal, INTENTS_KEY, "intents")
        self._take(OrderIntents.from_binary(row.value), monotonic())

    def _take(self, record: OrderIntents, now: float) -> None:
        for intent in record.intents:
            # Kept for a holder that takes over before they have aged.
            self.recent.append((now, intent))
            until = self._over_at(intent, now)
            for name in intent.instances:
                known = self.reserved.get(InstanceId(name), until)
                self.reserved[InstanceId(name)] = max(known, until)

    def _over_at(self, intent: OrderIntent, now: float) -> float:
        """Return when an intent's instances may get another order (monotonic seconds)."""
        clock = self.journal.table.clock
        if not intent.recorded_ms or not clock.known:
            return self.orders_from
        recorded_at = now + (intent.recorded_ms - clock.at_least_ms(now)) / 1000
        if intent.process == self.process:
            # An earlier life of this process: its orders do not alternate with those of another
            # holder, and none is sent any more.
            return recorded_at + PROOF_S + SLACK_S
        return min(self.orders_from, recorded_at + self.age_s)

    async def announce(self, names: set[InstanceId]) -> None:
        """Record what is about to be ordered; this also proves that the duty is still held.

        Without news an empty commit is the proof, and the recorded intents stay as they are.
        """
        now = monotonic()
        self.announced_at = now
        kept = len(self.recent)
        while self.recent and now - self.recent[0][0] > self.age_s:
            self.recent.popleft()
        if not names and kept == len(self.recent):
            await self.journal.commit([])
            return
        if names:
            clock = self.journal.table.clock
            recorded_ms = clock.at_most_ms(now) if clock.known else 0
            intent = OrderIntent(
                instances=sorted(names), process=self.process, recorded_ms=recorded_ms
            )
            self.recent.append((now, intent))
        record = OrderIntents(intents=[intent for _, intent in self.recent])
        await self.journal.commit([Write(INTENTS_KEY, record.to_binary())])

    def proved(self) -> bool:
        """Whether the duty was proved, and the intent written, lately enough to give an order."""
        since = min(self.journal.confirmed_at, self.announced_at)
        return monotonic() - since <= PROOF_S

    def may_order(self, name: InstanceId) -> bool:
        """Whether enough time lies behind earlier holders' orders for an instance."""
        return monotonic() >= self.reserved.get(name, 0.0)

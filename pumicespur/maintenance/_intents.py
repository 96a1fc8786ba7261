"""Order intents: records of the orders that a fleet leader is about to give.

The next fleet leader reads them to leave those instances alone while such an order may still
arrive.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from pumicespur.maintenance._store_reads import read_with_retry
from pumicespur.model import InstanceId, PoolId, ProcessId
from pumicespur.platform import ORDER_LIFETIME_S
from pumicespur.schema.jobs_pb import OrderIntent, OrderIntents
from pumicespur.store import Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.jobs import Journal
    from pumicespur.schema.node_pb import FleetSettings

FLEET_ROLE = PoolId("~fleet")
"""Id of the fleet leader's role where a pool's id is expected; no pool has this name."""

INTENTS_KEY = f"waves/{FLEET_ROLE}/intents"

MAX_PROOF_AGE_S = 1.0
"""Max age of the last proof of leadership when an order is given."""

DELAYED_ORDER_MARGIN_S = 0.5
"""Added to the wait of a new fleet leader, for orders that arrive late."""


def intent_validity_s(settings: FleetSettings) -> float:
    """Return for how long an intent matters to the next fleet leader, in seconds."""
    interval_s = max(settings.lease_ms / 1000, ORDER_LIFETIME_S)
    return interval_s + MAX_PROOF_AGE_S + DELAYED_ORDER_MARGIN_S


class IntentLog:
    """Order intents of this fleet leader and of the one before."""

    def __init__(self, journal: Journal, process: ProcessId, orders_from: float, validity_s: float):
        self.journal = journal
        self.process = process
        self.orders_from = orders_from
        """Monotonic time from which the instances in the previous fleet leader's intents may get
        orders, unless the validity of an intent allows them earlier."""
        self.validity_s = validity_s
        """How long an intent matters to the next fleet leader, in seconds."""
        self.blocked_until: dict[InstanceId, float] = {}
        """Instances for which earlier fleet leaders may have just given orders, with the monotonic
        time from which they may get another one."""
        self.recent: deque[tuple[float, OrderIntent]] = deque()
        """Intents with their monotonic time in seconds, oldest first."""
        self.write_began_at = float("-inf")
        """Monotonic time in seconds at which the newest call of `announce` began."""

    async def load(self) -> None:
        """Read the intents of the previous fleet leader."""
        row = await read_with_retry(self.journal, INTENTS_KEY, "intents")
        self._apply(OrderIntents.from_binary(row.value), monotonic())

    def _apply(self, record: OrderIntents, now: float) -> None:
        for intent in record.intents:
            # Recorded again with this leader's own intents, for a next leader that takes over
            # before they have expired.
            self.recent.append((now, intent))
            until = self._expires_at(intent, now)
            for name in intent.instances:
                known = self.blocked_until.get(InstanceId(name), until)
                self.blocked_until[InstanceId(name)] = max(known, until)

    def _expires_at(self, intent: OrderIntent, now: float) -> float:
        """Return when an intent's instances may get another order (monotonic seconds)."""
        clock = self.journal.table.clock
        if not intent.recorded_ms or not clock.known:
            return self.orders_from
        recorded_at = now + (intent.recorded_ms - clock.at_least_ms(now)) / 1000
        if intent.process == self.process:
            # The intent is that of an earlier leader in this process, such as one of an earlier
            # incarnation, which sends no more orders. So they can't interleave with the orders of
            # this leader, and the lease between leaders need not expire.
            return recorded_at + MAX_PROOF_AGE_S + DELAYED_ORDER_MARGIN_S
        return min(self.orders_from, recorded_at + self.validity_s)

    async def announce(self, names: set[InstanceId]) -> None:
        """Write the intent for the instances that get orders next; this also proves the leadership.

        Without a change an empty commit is the proof, and the recorded intents stay as they are.
        """
        now = monotonic()
        self.write_began_at = now
        previous_count = len(self.recent)
        while self.recent and now - self.recent[0][0] > self.validity_s:
            self.recent.popleft()
        if not names and previous_count == len(self.recent):
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
        if await self.journal.commit([Write(INTENTS_KEY, record.to_binary())]):
            # The intent is not recorded, so no order may rest on it.
            self.write_began_at = float("-inf")

    def is_proof_fresh(self) -> bool:
        """Whether leadership was proved, and the intent recorded, recently enough for an order."""
        since = min(self.journal.confirmed_at, self.write_began_at)
        return monotonic() - since <= MAX_PROOF_AGE_S

    def may_order(self, name: InstanceId) -> bool:
        """Whether earlier fleet leaders' orders for an instance are old enough."""
        return monotonic() >= self.blocked_until.get(name, 0.0)

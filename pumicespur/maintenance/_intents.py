"""Records of what the fleet's holder is about to order, read by the next holder."""

from __future__ import annotations

import time
from collections import deque
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.model import InstanceId, PoolId
from pumicespur.schema.jobs_pb import OrderIntent, OrderIntents
from pumicespur.store import Write

if TYPE_CHECKING:
    from pumicespur.jobs import Journal
    from pumicespur.schema.node_pb import FleetSettings

log = Logger(__name__)

FLEET = PoolId("~fleet")
"""Stands for the duty where pools stand otherwise; no pool has this name."""

INTENTS_KEY = f"waves/{FLEET}/intents"

PROOF_S = 1.0
"""Age up to which a proof of holding the duty allows an order."""

SLACK_S = 0.5
"""Added to the wait of a new holder, for orders that travel slowly."""

RETRY_S = 0.4
"""Pause after the intents could not be read."""


def intent_age_s(settings: FleetSettings) -> float:
    """Return how long an intent matters to a next holder, in seconds."""
    return settings.lease_ms / 1000 + PROOF_S + SLACK_S


class IntentLog:
    """What this holder is about to order, and what the one before may just have ordered."""

    def __init__(self, journal: Journal, orders_from: float, age_s: float) -> None:
        self.journal = journal
        self.orders_from = orders_from
        """Monotonic time before which instances of the last holder's intents get no order."""
        self.age_s = age_s
        """How long an intent matters to a next holder, in seconds."""
        self.reserved: set[InstanceId] = set()
        """Instances for which the last holder may have given orders just now."""
        self.recent: deque[tuple[float, frozenset[InstanceId]]] = deque()
        """Instances of recent intents, by monotonic time in seconds, oldest first."""

    async def load(self) -> None:
        """Learn for which instances the holder before may have given orders just now."""
        while True:
            found = await self.journal.table.read(INTENTS_KEY)
            match found:
                case Result(tag="ok", ok=row):
                    record = OrderIntents.from_binary(row.value)
                    names = {name for intent in record.intents for name in intent.instances}
                    self.reserved = {InstanceId(name) for name in names}
                    # Kept for a holder that takes over before they have aged.
                    self.recent.append((time.monotonic(), frozenset(self.reserved)))
                    return
                case Result(error=fault):
                    log.warning("intents not read", reason=str(fault))
                    await anyio.sleep(RETRY_S)

    async def announce(self, names: set[InstanceId]) -> None:
        """Record what is about to be ordered; this also proves that the duty is still held.

        Without news an empty commit is the proof, and the recorded intents stay as they are.
        """
        now = time.monotonic()
        kept = len(self.recent)
        while self.recent and now - self.recent[0][0] > self.age_s:
            self.recent.popleft()
        if not names and kept == len(self.recent):
            await self.journal.commit([])
            return
        if names:
            self.recent.append((now, frozenset(names)))
        record = OrderIntents(
            intents=[OrderIntent(instances=sorted(names)) for _, names in self.recent]
        )
        await self.journal.commit([Write(INTENTS_KEY, record.to_binary())])

    def proved(self) -> bool:
        """Whether the duty was proved lately enough to give an order."""
        return time.monotonic() - self.journal.confirmed_at <= PROOF_S

    def may_order(self, name: InstanceId) -> bool:
        """Whether enough time lies behind the last holder's orders for an instance."""
        return name not in self.reserved or time.monotonic() >= self.orders_from

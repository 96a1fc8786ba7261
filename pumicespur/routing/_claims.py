"""At most once: one row per key of a not-repeatable request.

Before a byte of such a request leaves, its key's row is written on the condition that it
does not exist. All claims that wait are written in one transaction. A second delivery of
the same key, through any entry and also after the first entry is gone, finds the row and
does not run. While the table service can't answer, nothing is claimed and nothing runs.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

import anyio
from expression import Result

from pumicespur.schema.claims_pb import Claim, ClaimState
from pumicespur.state import CLAIM_PREFIX
from pumicespur.store import (
    AnswerLost,
    Condition,
    Conflict,
    Fault,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from pumicespur.utils import TokenBucket, now_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.connect import PlatformClient

MAX_PENDING = 2000
MAX_GROUP = 100
RESEND_TRIES = 3


@dataclass(frozen=True)
class Won:
    """The key is this process's; the version guards its later writes."""

    version: int


@dataclass(frozen=True)
class Taken:
    """The key has a row already."""

    claim: Claim


@dataclass(frozen=True)
class Unsettled:
    """The table service did not say whether the row was written."""

    reason: str


ClaimResult: TypeAlias = Won | Taken | Unsettled


@dataclass
class Pending:
    """A row that waits to be written."""

    key: str
    claim: Claim
    # The version that the row must have: 0 for a new claim.
    version: int
    settled: anyio.Event = field(default_factory=anyio.Event)
    result: ClaimResult = field(default_factory=lambda: Unsettled("not written yet"))

    def settle(self, result: ClaimResult) -> None:
        """Give the result to whoever waits."""
        self.result = result
        self.settled.set()


class ClaimBook:
    """Writes the rows of this process's claims, as many in a transaction as wait."""

    def __init__(self, platform: PlatformClient, entry: str) -> None:
        self.platform = platform
        self.entry = entry
        rate = platform.settings.writes_per_s
        self.bucket = TokenBucket(rate, max(1.0, rate))
        self.pending: list[Pending] = []
        self.transactions = 0
        self.rows_written = 0
        self._arrived = anyio.Event()

    def new_claim(self, state: ClaimState, digest: bytes) -> Claim:
        """Make the row of a key that this process wants."""
        return Claim(
            state=state,
            token=uuid.uuid4().hex,
            entry=self.entry,
            digest=digest,
            at_ms=now_ms(),
        )

    async def write(self, key: str, claim: Claim, version: int, timeout_s: float) -> ClaimResult:
        """Write a key's row at `version`; Unsettled when that is not known in time."""
        pending = self.submit(key, claim, version)
        if pending is None:
            return Unsettled("too many claims wait")
        with anyio.move_on_after(max(0.0, timeout_s)):
            await pending.settled.wait()
        return pending.result

    def submit(self, key: str, claim: Claim, version: int) -> Pending | None:
        """Queue a row to be written; None when too many wait."""
        if len(self.pending) >= MAX_PENDING:
            return None
        pending = Pending(CLAIM_PREFIX + key, claim, version)
        self.pending.append(pending)
        self._arrived.set()
        return pending

    async def run(self) -> None:
        """Write what waits, one transaction at a time, within the write rate."""
        while True:
            if not self.pending:
                self._arrived = anyio.Event()
                await self._arrived.wait()
            while not self.bucket.try_take():
                await anyio.sleep(self.bucket.wait_s())
            await self._write_group(self._take_group())

    def _take_group(self) -> list[Pending]:
        """Take rows that wait, each key once so that no two of them clash."""
        group: dict[str, Pending] = {}
        left: list[Pending] = []
        for pending in self.pending:
            if pending.key in group or len(group) >= MAX_GROUP:
                left.append(pending)
            else:
                group[pending.key] = pending
        self.pending = left
        return list(group.values())

    async def _write_group(self, group: list[Pending]) -> None:
        maybe_sent = False
        for _ in range(RESEND_TRIES):
            match await self._transact(group):
                case Result(tag="ok", ok=versions):
                    for pending, version in zip(group, versions, strict=True):
                        pending.settle(Won(version))
                    self.rows_written += len(group)
                    return
                case Result(error=Conflict(keys=keys)):
                    group = await self._resolve(group, keys, maybe_sent)
                    maybe_sent = False
                    if not group:
                        return
                case Result(error=AnswerLost()):
                    maybe_sent = True
                case Result(error=Unavailable(reason=reason)) if not maybe_sent:
                    self._give_up(group, f"table service unavailable: {reason}")
                    return
        self._give_up(group, "table service did not answer")

    async def _transact(self, group: Sequence[Pending]) -> Result[list[int], Fault]:
        self.transactions += 1
        transaction = Transaction(
            [Condition(pending.key, pending.version) for pending in group],
            [Write(pending.key, pending.claim.to_binary()) for pending in group],
        )
        return await self.platform.transact(transaction)

    async def _resolve(
        self, group: list[Pending], keys: Sequence[str], maybe_sent: bool
    ) -> list[Pending]:
        """Settle the rows that were in the way; return those still to be written."""
        clashing = [pending for pending in group if pending.key in keys]
        answer = await self.platform.read([pending.key for pending in clashing])
        match answer:
            case Result(tag="ok", ok=rows):
                for pending, row in zip(clashing, rows, strict=True):
                    self._settle_clash(pending, row)
            case _:
                self._give_up(clashing, "table service did not answer")
        # A transaction whose answer was lost wrote all rows or none: when its first
        # delivery took effect, every row clashes and each is settled by its token.
        return [pending for pending in group if not pending.settled.is_set()]

    @staticmethod
    def _settle_clash(pending: Pending, row: Row) -> None:
        if not row.version:
            return
        claim = Claim.from_binary(row.value)
        if claim.token == pending.claim.token and claim.state is pending.claim.state:
            pending.settle(Won(row.version))
        else:
            pending.settle(Taken(claim))

    @staticmethod
    def _give_up(group: Sequence[Pending], reason: str) -> None:
        for pending in group:
            pending.settle(Unsettled(reason))

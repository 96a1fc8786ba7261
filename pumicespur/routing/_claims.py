"""Claims: one row per idempotency key, so that an at-most-once request can't run twice.

Before any byte of such a request is sent, its key's row is written on the condition that it
does not exist. Waiting claims are written together in one transaction. A second delivery of
the same key, through any entry and also after the first entry is gone, finds the row and
does not run. While the table service does not respond, nothing is claimed and nothing runs.
"""

from __future__ import annotations

import math
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

import anyio
from expression import Result
from logbook import Logger

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
from pumicespur.utils import TokenBucket, monotonic, now_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.connect import PlatformClient

log = Logger(__name__)

MAX_PENDING_CLAIMS = 2000
"""Rows that may wait to be written; further claims are refused, outcomes are not."""

OUTCOME_RETRY_DELAY_S = 0.2
"""Pause before an outcome is written again after the table service failed."""

MAX_CLAIMS_PER_TRANSACTION = 100
MAX_TRANSACTION_ATTEMPTS = 3


@dataclass(frozen=True)
class Written:
    """The row was written; its version is the condition of this process's next write."""

    version: int


@dataclass(frozen=True)
class KeyInUse:
    """The key has another row already."""

    claim: Claim


@dataclass(frozen=True)
class Unresolved:
    """Whether the row was written is not known."""

    reason: str
    may_be_written: bool = False
    """Whether it may be written already, or later by a transaction that is under way."""


NO_ANSWER = Unresolved("table service did not answer", may_be_written=True)

ClaimResult: TypeAlias = Written | KeyInUse | Unresolved


@dataclass(eq=False)
class PendingClaim:
    """A row that waits to be written."""

    key: str
    claim: Claim
    # The version that the row must have to be written: 0 if it must not exist.
    version: int
    is_outcome: bool = False
    """It ends a claim that this process holds; without it the key would stay held for good."""
    retry_at: float = 0.0
    """Monotonic time before which it is not written again, in seconds."""
    resolved: anyio.Event = field(default_factory=anyio.Event)
    result: ClaimResult = field(
        default_factory=lambda: Unresolved("not written yet", may_be_written=True)
    )

    def resolve(self, result: ClaimResult) -> None:
        """Set the result and wake the tasks that wait for it."""
        self.result = result
        self.resolved.set()


class ClaimWriter:
    """Writes the rows of this process's claims, grouped into transactions."""

    def __init__(self, platform: PlatformClient, entry: str) -> None:
        self.platform = platform
        self.entry = entry
        rate = platform.settings.writes_per_s
        self.bucket = TokenBucket(rate, max(1.0, rate))
        self.pending: list[PendingClaim] = []
        self.writing: list[PendingClaim] = []
        """The group whose transaction is under way."""
        self.transactions = 0
        self.rows_written = 0
        self._arrived = anyio.Event()

    def new_claim(self, state: ClaimState, digest: bytes) -> Claim:
        """Return a new row, with a random token that identifies this write."""
        return Claim(
            state=state,
            token=uuid.uuid4().hex,
            entry=self.entry,
            digest=digest,
            at_ms=now_ms(),
        )

    async def write(self, key: str, claim: Claim, version: int, timeout_s: float) -> ClaimResult:
        """Write a key's row if it is at `version`; Unresolved if that is not known in time."""
        pending = self.submit(key, claim, version)
        if pending is None:
            return Unresolved("too many claims wait")
        result = await _wait_for_result(pending, timeout_s)
        if pending in self.pending:
            # Nobody waits for it any more, so it must not claim the key later.
            self.pending.remove(pending)
            return Unresolved("not written in time")
        return result

    async def write_outcome(
        self, key: str, claim: Claim, version: int, timeout_s: float
    ) -> ClaimResult:
        """Write the outcome of a claimed key; it is still written later if this takes too long."""
        return await _wait_for_result(self.submit_outcome(key, claim, version), timeout_s)

    def submit(self, key: str, claim: Claim, version: int) -> PendingClaim | None:
        """Queue a row to be written if it is at `version`; None if too many wait."""
        if not self.has_room:
            return None
        return self._add(PendingClaim(CLAIM_PREFIX + key, claim, version))

    def submit_outcome(self, key: str, claim: Claim, version: int) -> PendingClaim:
        """Queue the outcome of a key that this process has claimed at `version`.

        It is never refused, and is written again until the table service has responded. Outcomes
        are bounded by the claims that were written before. At version 0 it is not known whether
        the claim was written.
        """
        return self._add(PendingClaim(CLAIM_PREFIX + key, claim, version, is_outcome=True))

    def _add(self, pending: PendingClaim) -> PendingClaim:
        self.pending.append(pending)
        self._arrived.set()
        return pending

    @property
    def has_room(self) -> bool:
        """Whether further claims may wait."""
        return len(self.pending) < MAX_PENDING_CLAIMS

    @property
    def unwritten(self) -> int:
        """The number of rows that wait or are being written."""
        return len(self.pending) + len(self.writing)

    async def run(self) -> None:
        """Write waiting rows, one transaction at a time, within the allowed write rate."""
        while True:
            if not self._has_due():
                await self._wait_until_due()
                continue
            while not self.bucket.try_take():
                await anyio.sleep(self.bucket.wait_s())
            self.writing = self._next_group()
            await self._write_group(self.writing)
            self.writing = []

    def _has_due(self) -> bool:
        now = monotonic()
        return any(pending.retry_at <= now for pending in self.pending)

    async def _wait_until_due(self) -> None:
        self._arrived = anyio.Event()
        next_retry_at = min((pending.retry_at for pending in self.pending), default=math.inf)
        with anyio.move_on_after(max(0.0, next_retry_at - monotonic())):
            await self._arrived.wait()

    def _next_group(self) -> list[PendingClaim]:
        """Remove a group of waiting rows, each key at most once so that none conflict."""
        now = monotonic()
        group: dict[str, PendingClaim] = {}
        left: list[PendingClaim] = []
        for pending in self.pending:
            is_full = len(group) >= MAX_CLAIMS_PER_TRANSACTION
            if pending.key in group or is_full or pending.retry_at > now:
                left.append(pending)
            else:
                group[pending.key] = pending
        self.pending = left
        return list(group.values())

    async def _write_group(self, group: list[PendingClaim]) -> None:
        """Write rows in one transaction and resolve each; retry without the conflicting ones."""
        may_have_been_written = False
        for _ in range(MAX_TRANSACTION_ATTEMPTS):
            match await self._transact(group):
                case Result(tag="ok", ok=versions):
                    for pending, version in zip(group, versions, strict=True):
                        pending.resolve(Written(version))
                    self.rows_written += len(group)
                    return
                case Result(error=Conflict(keys=keys)):
                    group = await self._resolve_conflicts(group, keys)
                    may_have_been_written = False
                    if not group:
                        return
                case Result(error=AnswerLost()):
                    may_have_been_written = True
                case Result(error=Unavailable(reason=reason)) if not may_have_been_written:
                    unresolved = Unresolved(f"table service unavailable: {reason}")
                    self._resolve_unknown(group, unresolved)
                    return
        self._resolve_unknown(group, NO_ANSWER)

    async def _transact(self, group: Sequence[PendingClaim]) -> Result[list[int], Fault]:
        self.transactions += 1
        transaction = Transaction(
            [Condition(pending.key, pending.version) for pending in group],
            [Write(pending.key, pending.claim.to_binary()) for pending in group],
        )
        return await self.platform.transact(transaction)

    async def _resolve_conflicts(
        self, group: list[PendingClaim], keys: Sequence[str]
    ) -> list[PendingClaim]:
        """Resolve the claims whose rows conflicted; return those still to be written."""
        conflicting = [pending for pending in group if pending.key in keys]
        response = await self.platform.read([pending.key for pending in conflicting])
        match response:
            case Result(tag="ok", ok=rows):
                for pending, row in zip(conflicting, rows, strict=True):
                    self._resolve_conflict(pending, row)
            case _:
                claims = [pending for pending in conflicting if not pending.is_outcome]
                self._resolve_unknown(claims, NO_ANSWER)
        # A transaction whose response was lost wrote all rows or none. If it wrote them, every
        # row conflicts at the next attempt, and its token shows that it is this process's.
        return [pending for pending in group if not pending.resolved.is_set()]

    @staticmethod
    def _resolve_conflict(pending: PendingClaim, row: Row) -> None:
        """Resolve a claim by the row that its key has now.

        Without a row a claim stays pending and is written again.
        """
        if not row.version:
            if pending.is_outcome:
                pending.resolve(Unresolved("the key's row has been deleted"))
            return
        claim = Claim.from_binary(row.value)
        is_own = claim.token == pending.claim.token
        if is_own and claim.state is pending.claim.state:
            pending.resolve(Written(row.version))
        elif is_own and pending.is_outcome and claim.state is ClaimState.HELD:
            # The claim was written although its response was lost.
            pending.version = row.version
        else:
            pending.resolve(KeyInUse(claim))

    def _resolve_unknown(self, group: Sequence[PendingClaim], result: Unresolved) -> None:
        """Resolve claims that the table service failed to write; queue outcomes again."""
        if not group:
            return
        outcomes = [pending for pending in group if pending.is_outcome]
        for pending in outcomes:
            pending.retry_at = monotonic() + OUTCOME_RETRY_DELAY_S
        self.pending = outcomes + self.pending
        for pending in group:
            if not pending.is_outcome:
                pending.resolve(result)
        log.warning(
            "claims not written", rows=len(group), outcomes=len(outcomes), reason=result.reason
        )


async def _wait_for_result(pending: PendingClaim, timeout_s: float) -> ClaimResult:
    with anyio.move_on_after(max(0.0, timeout_s)):
        await pending.resolved.wait()
    return pending.result

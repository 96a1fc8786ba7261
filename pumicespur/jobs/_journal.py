"""Commits of a pool's owner: each applies exactly once, and none after a takeover."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._keys import commit_key, owner_key
from pumicespur.schema.jobs_pb import CommitRecord, OwnerRecord
from pumicespur.store import AnswerLost, Condition, Conflict, NeverDone, Transaction, Write
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.model import PoolId
    from pumicespur.platform import PlatformTable

log = Logger(__name__)

RETRY_DELAY_S = 0.05
"""First retry delay after an error of the store; a few of its usual response times."""

MAX_RETRY_DELAY_S = 0.5
"""Longest retry delay, so that work resumes soon after an outage."""


class OwnershipLostError(Exception):
    """Another process owns the pool now; this one may neither order nor record anything."""


@dataclass(frozen=True)
class Ownership:
    """A pool that this process owns under a fencing token, since a monotonic time."""

    pool: PoolId
    token: int
    incarnation: str
    acquired_at: float
    leases_until_ms: int = 0
    """Time on the store's clock by which the leases of all earlier owners have expired."""


class Journal:
    """Writes an owner's commits in sequence."""

    def __init__(self, table: PlatformTable, ownership: Ownership) -> None:
        self.table = table
        self.ownership = ownership
        self.last_version = 0
        """Version of the row that each commit replaces."""
        self.number = 0
        self.confirmed_at = ownership.acquired_at
        """When the newest commit that took effect was sent, on the monotonic clock."""

    async def load(self) -> None:
        """Read the previous owner's last commit; since the takeover no other can follow."""
        while True:
            last = await self.table.read(commit_key(self.ownership.pool))
            match last:
                case Result(tag="ok", ok=row):
                    self.last_version = row.version
                    return
                case Result(error=error):
                    log.warning("store not read", pool=self.ownership.pool, reason=str(error))
                    await anyio.sleep(MAX_RETRY_DELAY_S * random.uniform(0.5, 1.0))

    async def release(self, process: str) -> None:
        """Release the pool, so that the next owner need not wait for this process to time out.

        It still has to wait for the leases of the owners before this one.
        """
        key = owner_key(self.ownership.pool)
        record = OwnerRecord(
            process=process,
            incarnation=self.ownership.incarnation,
            released=True,
            leases_until_ms=self.ownership.leases_until_ms,
        )
        transaction = Transaction(
            [Condition(key, self.ownership.token)], [Write(key, record.to_binary())]
        )
        response = await self.table.transact(transaction)
        log.info(
            "pool released",
            pool=self.ownership.pool,
            token=self.ownership.token,
            confirmed=response.is_ok(),
        )

    async def commit(self, writes: Sequence[Write]) -> list[Write]:
        """Write rows as the pool's owner; return only when they are known to be recorded.

        Return the writes that the store will never accept; all others are recorded. If it refuses
        a commit for good, the commit is divided until each refused write is alone in one.

        Raises OwnershipLostError if the pool has a new owner.
        """
        refused: list[Write] = []
        waiting = [list(writes)]
        while waiting:
            part = waiting.pop()
            reason = await self._commit_whole(part)
            if reason is None:
                continue
            if len(part) > 1:
                middle = len(part) // 2
                waiting += [part[middle:], part[:middle]]
            else:
                refused += part
                self._note_refused(part[0], reason)
        return refused

    def _note_refused(self, write: Write, reason: str) -> None:
        METRICS.refused_rows.inc({"table": write.key.partition("/")[0]})
        log.error(
            "row refused for good",
            pool=self.ownership.pool,
            row=write.key,
            size=len(write.value or b""),
            reason=reason,
        )

    async def _commit_whole(self, writes: list[Write]) -> str | None:
        """Write rows in one transaction; return why if the store will never accept it, else None.

        A commit without a response may still apply later, so it is retried unchanged. It replaces a
        row whose version is one of its conditions, so it can apply only once. If a retry is
        refused, that row shows whether the commit was applied.

        Raises OwnershipLostError if the pool has a new owner.
        """
        transaction, record = self._transaction(writes)
        started = monotonic()
        pause_s = RETRY_DELAY_S
        while True:
            sent_at = monotonic()
            response = await self.table.transact(transaction)
            match response:
                case Result(tag="ok", ok=version):
                    self._confirm(version, sent_at)
                    METRICS.commit_latency.observe({}, monotonic() - started)
                    return None
                case Result(error=Conflict()):
                    applied = await self._applied_version(record)
                    if applied is None:
                        raise OwnershipLostError(f"pool {self.ownership.pool}") from None
                    self._confirm(applied, sent_at)
                    return None
                case Result(error=NeverDone(reason=reason)) if writes:
                    return reason
                case Result(error=error):
                    log.warning(
                        "commit not answered",
                        pool=self.ownership.pool,
                        number=self.number,
                        lost=isinstance(error, AnswerLost),
                        reason=str(error),
                    )
            await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_DELAY_S, pause_s * 2)

    def _transaction(self, writes: list[Write]) -> tuple[Transaction, bytes]:
        pool = self.ownership.pool
        self.number += 1
        record = CommitRecord(
            incarnation=self.ownership.incarnation, number=self.number
        ).to_binary()
        conditions = [
            Condition(owner_key(pool), self.ownership.token),
            Condition(commit_key(pool), self.last_version),
        ]
        return Transaction(conditions, [Write(commit_key(pool), record), *writes]), record

    def _confirm(self, version: int, sent_at: float) -> None:
        self.last_version = version
        self.confirmed_at = sent_at

    async def _applied_version(self, record: bytes) -> int | None:
        """Return the version of this commit if it had been applied and the pool is still ours."""
        while True:
            last = await self.table.read(commit_key(self.ownership.pool))
            owner = await self.table.read(owner_key(self.ownership.pool))
            match last, owner:
                case Result(tag="ok", ok=commit), Result(tag="ok", ok=row):
                    if row.version != self.ownership.token or commit.value != record:
                        return None
                    return commit.version
                case _:
                    await anyio.sleep(MAX_RETRY_DELAY_S * random.uniform(0.5, 1.0))

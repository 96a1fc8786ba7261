"""Append to the log and read from it.

The head row holds the newest revision. An append writes the next record and the head in
one transaction, on the condition that the head has not moved, so that revisions have no
gaps and no two records share one.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from expression import Error, Ok, Result

from pumicespur.schema.fleet_pb import Record, Snapshot
from pumicespur.state._keys import HEAD_KEY, SNAPSHOT_OBJECT, record_key
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
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.connect import PlatformClient

RESEND_TRIES = 3


@dataclass(frozen=True)
class Uncertain:
    """The append may have taken effect; the record's token tells once the log is read."""

    token: str


AppendFault: TypeAlias = Conflict | Unavailable | Uncertain


@dataclass(frozen=True)
class Head:
    """The newest revision and the version of the row that holds it."""

    revision: int
    version: int


class Log:
    """The log as the table service holds it."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    async def head(self) -> Result[Head, Fault]:
        """Read the newest revision; 0 for an empty log."""
        answer = await self.platform.read([HEAD_KEY])
        return answer.map(lambda rows: Head(int(rows[0].value or b"0"), rows[0].version))

    async def records(self, after: int, limit: int = 500) -> Result[list[Record], Fault]:
        """Read the records above a revision, in order and without gaps."""
        start = record_key(after)
        answer = await self.platform.scan("log/0", after=start, limit=limit)
        return answer.map(lambda rows: _contiguous(rows, after))

    async def append(
        self, record: Record, head: Head, fences: Sequence[Condition] = ()
    ) -> Result[Head, AppendFault]:
        """Append a record right after `head`, if the fences hold in the same transaction.

        The record gets its revision, token and time here. A lost answer is settled by
        sending the same transaction again: it can take effect only once, and when it is
        refused, the record in its place tells whose append won.
        """
        record.revision = head.revision + 1
        record.token = record.token or uuid.uuid4().hex
        record.at_ms = now_ms()
        transaction = Transaction(
            [Condition(HEAD_KEY, head.version), *fences],
            [
                Write(HEAD_KEY, str(record.revision).encode()),
                Write(record_key(record.revision), record.to_binary()),
            ],
        )
        maybe_sent = False
        for _ in range(RESEND_TRIES):
            match await self.platform.transact(transaction):
                case Result(tag="ok", ok=versions):
                    return Ok(Head(record.revision, versions[0]))
                case Result(error=Conflict() as conflict):
                    return await self._settle(record, conflict) if maybe_sent else Error(conflict)
                case Result(error=AnswerLost()):
                    maybe_sent = True
                case Result(error=Unavailable() as fault) if not maybe_sent:
                    return Error(fault)
        return Error(Uncertain(record.token))

    async def _settle(self, record: Record, conflict: Conflict) -> Result[Head, AppendFault]:
        """Find out whose record stands where ours should be."""
        answer = await self.platform.read([record_key(record.revision), HEAD_KEY])
        match answer:
            case Result(tag="ok", ok=[row, head]):
                if row.version and Record.from_binary(row.value).token == record.token:
                    newest = int(head.value)
                    version = head.version if newest == record.revision else 0
                    return Ok(Head(record.revision, version))
                return Error(conflict)
            case _:
                return Error(Uncertain(record.token))

    async def snapshot(self) -> Result[Snapshot | None, Fault]:
        """Fetch the newest snapshot, None if there is none yet."""
        answer = await self.platform.get_object(SNAPSHOT_OBJECT)
        return answer.map(lambda content: Snapshot.from_binary(content) if content else None)

    async def save_snapshot(self, snapshot: Snapshot) -> Result[None, Fault]:
        """Store a snapshot so that a new process need not read the whole log."""
        return await self.platform.put_object(SNAPSHOT_OBJECT, snapshot.to_binary())


def _contiguous(rows: Sequence[Row], after: int) -> list[Record]:
    records: list[Record] = []
    for row in rows:
        record = Record.from_binary(row.value)
        if record.revision != after + len(records) + 1:
            break
        records.append(record)
    return records

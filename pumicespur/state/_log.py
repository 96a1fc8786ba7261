"""The log of decisions in the table service.

The head row holds the newest revision. An append writes the next record and the head row in one
transaction, on the condition that the head row has not changed, so that revisions have no gaps and
no two records have the same one.
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

MAX_TRANSACTION_ATTEMPTS = 3
"""Max attempts to send an append's transaction if responses are lost."""


@dataclass(frozen=True)
class Uncertain:
    """The append may have taken effect; the log shows it by a record with this token."""

    token: str


AppendError: TypeAlias = Conflict | Unavailable | Uncertain


@dataclass(frozen=True)
class Head:
    """The newest revision, and the version of the head row that holds it."""

    revision: int
    version: int


class Log:
    """Access to the log in the table service, and to its snapshot in the object store."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform

    async def read_head(self) -> Result[Head, Fault]:
        """Read the head row; the revision is 0 for an empty log."""
        response = await self.platform.read([HEAD_KEY])
        return response.map(lambda rows: Head(int(rows[0].value or b"0"), rows[0].version))

    async def read_records(self, after: int, limit: int = 500) -> Result[list[Record], Fault]:
        """Read at most `limit` records after a revision, in order and without gaps."""
        start = record_key(after)
        response = await self.platform.scan("log/0", after=start, limit=limit)
        return response.map(lambda rows: _decode_contiguous(rows, after))

    async def append(
        self, record: Record, head: Head, fences: Sequence[Condition] = ()
    ) -> Result[Head, AppendError]:
        """Append a record directly after `head`, if the fences hold in the same transaction.

        This sets the record's revision, token and time. After a lost response the same transaction
        is sent again: it can take effect only once, and if it is refused, the token of the record
        with this revision shows whose append succeeded.
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
        for _ in range(MAX_TRANSACTION_ATTEMPTS):
            match await self.platform.transact(transaction):
                case Result(tag="ok", ok=versions):
                    return Ok(Head(record.revision, versions[0]))
                case Result(error=Conflict() as conflict):
                    return await self._resolve(record, conflict) if maybe_sent else Error(conflict)
                case Result(error=AnswerLost()):
                    maybe_sent = True
                case Result(error=Unavailable() as error) if not maybe_sent:
                    return Error(error)
        return Error(Uncertain(record.token))

    async def _resolve(self, record: Record, conflict: Conflict) -> Result[Head, AppendError]:
        """Find out by its token whether the record with this revision is ours."""
        response = await self.platform.read([record_key(record.revision), HEAD_KEY])
        match response:
            case Result(tag="ok", ok=[row, head]):
                if row.version and Record.from_binary(row.value).token == record.token:
                    newest = int(head.value)
                    version = head.version if newest == record.revision else 0
                    return Ok(Head(record.revision, version))
                return Error(conflict)
            case _:
                return Error(Uncertain(record.token))

    async def read_snapshot(self) -> Result[Snapshot | None, Fault]:
        """Fetch the newest snapshot; None if there is none yet."""
        response = await self.platform.get_object(SNAPSHOT_OBJECT)
        return response.map(lambda content: Snapshot.from_binary(content) if content else None)

    async def save_snapshot(self, snapshot: Snapshot) -> Result[None, Fault]:
        """Store a snapshot, so that a new process need not read the whole log."""
        return await self.platform.put_object(SNAPSHOT_OBJECT, snapshot.to_binary())


def _decode_contiguous(rows: Sequence[Row], after: int) -> list[Record]:
    """Decode the records that follow a revision, up to the first gap."""
    records: list[Record] = []
    for row in rows:
        record = Record.from_binary(row.value)
        if record.revision != after + len(records) + 1:
            break
        records.append(record)
    return records

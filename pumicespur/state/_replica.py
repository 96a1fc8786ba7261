"""A process's copy of the fleet's state, kept up to date from the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.schema.fleet_pb import Record, Snapshot
from pumicespur.schema.peer_pb import FetchReply
from pumicespur.state._log import MAX_TRANSACTION_ATTEMPTS, Head, Log
from pumicespur.store import (
    AnswerLost,
    Condition,
    Conflict,
    Fault,
    Unavailable,
    describe_fault,
)
from pumicespur.structure import Fleet
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.state._log import AppendError

log = Logger(__name__)

MAX_RECENT_RECORDS = 1000
"""Newest records kept in memory, for peers that lack them."""

MAX_APPEND_ATTEMPTS = 8
"""Max attempts of an append if appends of other processes win."""


class Replica:
    """The fleet at the newest revision that this process has received; it never goes back."""

    def __init__(self, store: Log) -> None:
        self.store = store
        self.fleet = Fleet()
        self.recent: deque[Record] = deque(maxlen=MAX_RECENT_RECORDS)
        """The newest records applied, without gaps."""
        self.changed = anyio.Event()
        """Set at the next change of the fleet; each change replaces it by a new event."""
        self.head_version = 0
        """Version of the head row as last read or written."""
        self.confirmed_at = float("-inf")
        """Request time of the last confirmation that nothing newer exists, in monotonic seconds."""

    @property
    def revision(self) -> int:
        """The newest revision applied."""
        return self.fleet.revision

    async def catch_up(self) -> Result[int, Fault]:
        """Apply all records in the table service; return the revision reached."""
        requested_at = monotonic()
        response = await self.store.read_head()
        match response:
            case Result(tag="ok", ok=head):
                pass
            case Result(error=error):
                return Error(error)
        while self.revision < head.revision:
            match await self._read_more():
                case Result(tag="error", error=error):
                    return Error(error)
        if self.revision == head.revision:
            self.head_version = head.version
        self.confirm(requested_at)
        return Ok(self.revision)

    async def _read_more(self) -> Result[None, Fault]:
        """Read and apply the next records, or the snapshot; fail if neither gets any further."""
        before = self.revision
        if before == 0 and (await self._load_stored_snapshot(before)).is_ok():
            return Ok(None)
        match await self.store.read_records(before):
            case Result(tag="ok", ok=records):
                self.apply_records(records)
            case Result(error=error):
                return Error(error)
        if self.revision > before:
            return Ok(None)
        return await self._load_stored_snapshot(before)

    async def _load_stored_snapshot(self, before: int) -> Result[None, Fault]:
        """Load the stored snapshot, in a new process or if the next record has been deleted."""
        match await self.store.read_snapshot():
            case Result(tag="ok", ok=Snapshot() as snapshot):
                self.apply_snapshot(snapshot)
            case Result(tag="error", error=error):
                return Error(error)
        if self.revision > before:
            return Ok(None)
        return Error(Unavailable(f"record {before + 1} can't be read"))

    def apply_records(self, records: Sequence[Record]) -> None:
        """Apply the records that directly follow this revision; ignore the others."""
        before = self.revision
        for record in records:
            if record.revision == self.revision + 1:
                self.fleet.apply(record)
                self.recent.append(record)
        if self.revision > before:
            self._notify_changed()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the fleet by a snapshot, if it is newer."""
        if snapshot.revision > self.revision:
            self.fleet = Fleet.from_snapshot(snapshot)
            self.recent.clear()
            self._notify_changed()

    def confirm(self, requested_at: float) -> None:
        """Note that the table service or a peer had nothing newer at `requested_at`.

        `requested_at` is the time of the request in monotonic seconds, not that of the response:
        the response may have waited in the socket of a process that was paused, and says nothing
        about the time after the request.
        """
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def apply_reply(self, reply: FetchReply) -> None:
        """Apply the snapshot and records that a peer sent."""
        if reply.snapshot is not None:
            self.apply_snapshot(reply.snapshot)
        self.apply_records(reply.records)

    def changes_after(self, revision: int) -> FetchReply:
        """Return the records that a peer at `revision` lacks, or else a snapshot."""
        records = [record for record in self.recent if record.revision > revision]
        if records and records[0].revision == revision + 1:
            return FetchReply(records=records)
        if revision >= self.revision:
            return FetchReply()
        return FetchReply(snapshot=self.fleet.snapshot())

    async def append(
        self,
        build: Callable[[Fleet], Record | None],
        fences: Sequence[Condition] = (),
    ) -> Result[int, AppendError]:
        """Append the record that `build` makes from the newest state; return its revision.

        If the append of another process wins, the state is brought up to date and `build` is called
        again. `build` returns None if nothing is left to do; the revision then stays the same.
        """
        for _ in range(MAX_APPEND_ATTEMPTS):
            match await self._catch_up_for_append():
                case Result(tag="error", error=read_error):
                    return Error(Unavailable(describe_fault(read_error)))
            record = build(self.fleet)
            if record is None:
                return Ok(self.revision)
            head = Head(self.revision, self.head_version)
            match await self.store.append(record, head, fences):
                case Result(tag="ok", ok=appended):
                    self.apply_records([record])
                    self.head_version = appended.version
                    return Ok(record.revision)
                case Result(error=Conflict(keys=keys)) if self._is_fenced(keys, fences):
                    return Error(Conflict(keys))
                case Result(error=Conflict()):
                    continue
                case Result(error=error):
                    return Error(error)
        return Error(Unavailable("other appends won every time"))

    async def _catch_up_for_append(self) -> Result[int, Fault]:
        """Catch up; a read without a response changed nothing, so it is repeated."""
        result = await self.catch_up()
        for _ in range(MAX_TRANSACTION_ATTEMPTS - 1):
            if result.is_ok() or not isinstance(result.error, AnswerLost):
                break
            result = await self.catch_up()
        return result

    @staticmethod
    def _is_fenced(keys: Sequence[str], fences: Sequence[Condition]) -> bool:
        """Return whether a fence is among the failed conditions."""
        return any(fence.key in keys for fence in fences)

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def follow(self, poll_s: float) -> None:
        """Stay up to date by polling the head row, until cancelled."""
        while True:
            match await self.catch_up():
                case Result(tag="error", error=error):
                    log.warning("can't read the log", revision=self.revision, fault=str(error))
            await anyio.sleep(poll_s)

"""A process's copy of the fleet's state, kept in line with the log."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.schema.fleet_pb import Record, Snapshot
from pumicespur.schema.peer_pb import FetchReply
from pumicespur.state._log import Head, Log
from pumicespur.store import Condition, Conflict, Fault, Unavailable
from pumicespur.structure import Fleet
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from pumicespur.state._log import AppendFault

log = Logger(__name__)

RECORDS_KEPT = 1000
APPEND_TRIES = 8


class Replica:
    """The fleet at the highest revision that this process has seen; it never goes back."""

    def __init__(self, store: Log) -> None:
        self.store = store
        self.fleet = Fleet()
        self.recent: deque[Record] = deque(maxlen=RECORDS_KEPT)
        self.changed = anyio.Event()
        self.head_version = 0
        self.confirmed_at = float("-inf")

    @property
    def revision(self) -> int:
        """The highest revision folded in."""
        return self.fleet.revision

    async def catch_up(self) -> Result[int, Fault]:
        """Fold in all that the table service has; return the revision reached."""
        asked_at = monotonic()
        answer = await self.store.head()
        match answer:
            case Result(tag="ok", ok=head):
                pass
            case Result(error=fault):
                return Error(fault)
        while self.revision < head.revision:
            match await self._read_more():
                case Result(tag="error", error=fault):
                    return Error(fault)
        if self.revision == head.revision:
            self.head_version = head.version
        self.confirm(asked_at)
        return Ok(self.revision)

    async def _read_more(self) -> Result[None, Fault]:
        before = self.revision
        if before == 0 and (await self._jump(before)).is_ok():
            return Ok(None)
        match await self.store.records(before):
            case Result(tag="ok", ok=records):
                self.fold(records)
            case Result(error=fault):
                return Error(fault)
        if self.revision > before:
            return Ok(None)
        return await self._jump(before)

    async def _jump(self, before: int) -> Result[None, Fault]:
        """Take the snapshot over records that retention has deleted."""
        match await self.store.snapshot():
            case Result(tag="ok", ok=Snapshot() as snapshot):
                self.adopt(snapshot)
            case Result(tag="error", error=fault):
                return Error(fault)
        if self.revision > before:
            return Ok(None)
        return Error(Unavailable(f"record {before + 1} can't be read"))

    def fold(self, records: Sequence[Record]) -> None:
        """Fold in records that follow; others are passed over."""
        before = self.revision
        for record in records:
            if record.revision == self.revision + 1:
                self.fleet.apply(record)
                self.recent.append(record)
        if self.revision > before:
            self._announce()

    def adopt(self, snapshot: Snapshot) -> None:
        """Take over a snapshot if it is ahead."""
        if snapshot.revision > self.revision:
            self.fleet = Fleet.from_snapshot(snapshot)
            self.recent.clear()
            self._announce()

    def confirm(self, asked_at: float) -> None:
        """Note that the table service or a peer had nothing newer when it was asked.

        That is a monotonic time in seconds. An answer may have waited in the socket of a process
        that was paused, and says nothing about the time since.
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def take(self, reply: FetchReply) -> None:
        """Fold in what a peer sent."""
        if reply.snapshot is not None:
            self.adopt(reply.snapshot)
        self.fold(reply.records)

    def since(self, revision: int) -> FetchReply:
        """Return what a peer at `revision` lacks."""
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
    ) -> Result[int, AppendFault]:
        """Append the record that `build` makes from the newest state; return its revision.

        When another append wins, the state is brought up to date and `build` is asked
        again. `build` returns None when nothing is left to do; the revision then stays.
        """
        for _ in range(APPEND_TRIES):
            match await self.catch_up():
                case Result(tag="error", error=unread):
                    return Error(Unavailable(str(unread)))
            record = build(self.fleet)
            if record is None:
                return Ok(self.revision)
            head = Head(self.revision, self.head_version)
            match await self.store.append(record, head, fences):
                case Result(tag="ok", ok=appended):
                    self.fold([record])
                    self.head_version = appended.version
                    return Ok(record.revision)
                case Result(error=Conflict(keys=keys)) if self._is_fenced(keys, fences):
                    return Error(Conflict(keys))
                case Result(error=Conflict()):
                    continue
                case Result(error=fault):
                    return Error(fault)
        return Error(Unavailable("other appends won every time"))

    @staticmethod
    def _is_fenced(keys: Sequence[str], fences: Sequence[Condition]) -> bool:
        return any(fence.key in keys for fence in fences)

    def _announce(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    async def follow(self, poll_s: float) -> None:
        """Keep in line with the table service, polling its head row."""
        while True:
            match await self.catch_up():
                case Result(tag="error", error=fault):
                    log.warning("can't read the log", revision=self.revision, fault=str(fault))
            await anyio.sleep(poll_s)

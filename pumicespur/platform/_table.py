"""The platform's table service.

A product key is `TABLE/PART/KEY`; the part may be empty and the key may hold slashes. One
transaction keeps to one part, since deployments differ in whether more are allowed.
"""

from __future__ import annotations

import base64
import math
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.platform._http import JSON_HEADERS, Answer, HttpCaller, Transfer, understand
from pumicespur.store import (
    AnswerLost,
    AnswerTimes,
    Conflict,
    HistoryGone,
    Page,
    Row,
    StoreClock,
    StoreUse,
    Unavailable,
)
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from pumicespur.schema.node_pb import StoreSettings
    from pumicespur.store import Condition, Fault, Transaction

log = Logger(__name__)

PAGE_ROWS = 500
"""Rows that the service hands out at once (its protocol)."""

PAGE_BYTES = 1_000_000
"""Bytes that it hands out at once (its protocol)."""

ROW_BYTES = 90_000
"""The largest row: 64 KB in base64, and its key."""

ANSWERS_S = 0.5
"""Age of the newest answer up to which the service counts as answering: a heartbeat."""

SILENCE_S = 1.0
"""Time without an answer after which readings that wait are asked for anew: two heartbeats."""

UNDERSTOOD = frozenset({200, 410, 412})
"""Status codes of answers by which the service tells what it did or has."""

TRANSACT_PATH = "/pumicespur/rows-tx"
READ_PATH = "/pumicespur/rows-get"
CHANGES_PATH = "/pumicespur/rows-feed"


UPLOAD_BYTES_PER_S = 250_000
"""Speed at which a request's body reaches the service at least: a fifth of a link of 10 Mbit/s,
which others share. Without it, 300 KB over 400 KB/s were given up after 0.1 s, again and again."""


class _Row(msgspec.Struct):
    table: str
    part: str = ""
    key: str = msgspec.field(name="privateKey", default="")
    value: object = ""
    """Text in base64; another writer may have put anything there."""
    ver: int = 0
    gone: bool = False
    """The row was removed; `ver` is the version of its removal."""


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    more: bool = False
    ver: int = 0
    """The newest version of any row of the service, not of these rows."""
    now_ms: int = 0
    """The service's steady clock."""


class _Written(msgspec.Struct):
    ver: int
    now_ms: int = 0


class _Condition(msgspec.Struct):
    table: str
    part: str
    key: str = msgspec.field(name="privateKey")
    ver: int


class _Write(msgspec.Struct):
    table: str
    part: str
    key: str = msgspec.field(name="privateKey")
    value: str


class _Removal(msgspec.Struct):
    table: str
    part: str
    key: str = msgspec.field(name="privateKey")


class _Transaction(msgspec.Struct):
    conditions: list[_Condition] = msgspec.field(name="expectedRevision")
    put: list[_Write]
    remove: list[_Removal]


_ENCODER = msgspec.json.Encoder()
_ROWS = msgspec.json.Decoder(_Rows)
_WRITTEN = msgspec.json.Decoder(_Written)


class PlatformTable:
    """Calls to the table service; each returns a result and raises nothing expected."""

    def __init__(self, settings: StoreSettings, caller: HttpCaller) -> None:
        self.settings = settings
        self.caller = caller
        self.base = f"http://{settings.address}"
        self.use = StoreUse()
        self.times = AnswerTimes(settings.timeout_s, settings.max_timeout_s)
        self.clock = StoreClock()
        self.readings: set[Transfer] = set()
        self.answered_at = float("-inf")
        """When the service last did what it was asked (monotonic seconds)."""
        self.failed_at = float("-inf")
        """When a call last got a refusal or no answer (monotonic seconds)."""

    def silent_s(self, now: float) -> float:
        """Return for how long calls have failed; 0 if the last one did not."""
        return now - self.answered_at if self.failed_at > self.answered_at else 0.0

    def answers(self) -> bool:
        """Return whether the service did what it was asked a moment ago."""
        return monotonic() - self.answered_at < ANSWERS_S

    def _note_outcome(self, answer: Result[Answer, Unavailable | AnswerLost]) -> None:
        now = monotonic()
        if not answer.is_ok() or answer.ok.status not in UNDERSTOOD:
            self.failed_at = now
            return
        silent_s = self.silent_s(now)
        self.answered_at = now
        if silent_s > SILENCE_S:
            # What was asked for while the service was away may never be answered.
            self.renew_readings()

    def renew_readings(self) -> None:
        """Give up the readings that have heard nothing; their connections may be dead.

        One that is receiving, or was asked for within the time of an answer, goes on: what it
        carries is what is waited for. Given up at each newer version, a configuration
        stayed away for 14 s while one came each 0.8 s over a link of 10 Mbit/s.
        """
        allowed_s = self.times.timeout_s()
        for reading in list(self.readings):
            if reading.first_at is None and reading.waited_s > allowed_s:
                reading.give_up()

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Write rows together if all conditions hold; return the version of the change."""
        body = _ENCODER.encode(_encode(transaction))
        sent_at = monotonic()
        answer = await self._timed_call("POST", TRANSACT_PATH, body, _table_of(transaction))
        match answer:
            case Result(tag="ok", ok=Answer(status=200, body=content)):
                written = understand(_WRITTEN.decode, content)
                written.map(lambda found: self._note_clock(found.now_ms, sent_at))
                return written.map(lambda found: found.ver)
            case Result(tag="ok", ok=Answer(status=412, body=content)):
                rows = tuple(_row(row) for row in _ROWS.decode(content).rows)
                return Error(Conflict(tuple(row.key for row in rows), rows))
            case Result(tag="ok", ok=Answer(status=status, body=content)):
                return Error(_refusal(status, content))
            case Result(error=fault):
                return Error(fault)

    def _note_clock(self, shown_ms: int, sent_at: float) -> None:
        self.clock.note(shown_ms, sent_at, monotonic())

    async def read(self, key: str) -> Result[Row, Fault]:
        """Read one row; version 0 tells that it does not exist."""
        table, part, name = key.split("/", 2)
        query = {"table": table, "part": part, "from": name, "limit": "1"}
        sent_at = monotonic()
        answer = _rows(await self._timed_call("GET", _path(READ_PATH, query), None, table))
        answer.map(lambda found: self._note_clock(found.now_ms, sent_at))
        return answer.map(
            lambda found: next(
                (_row(row) for row in found.rows if row.key == name), Row(key, b"", 0)
            )
        )

    async def scan(
        self, table: str, part: str, patience_s: float = math.inf
    ) -> Result[Page, Fault]:
        """Read all rows of a part of a table; each page may begin `patience_s` late at most.

        The version is that of the first page, so that no change in between is missed.
        """
        rows: list[Row] = []
        version = 0
        receiving_s = 0.0
        start = ""
        while True:
            query = {"table": table, "part": part, "from": start, "limit": str(PAGE_ROWS)}
            transfer = Transfer(min(self.times.timeout_s(), patience_s))
            answer = _rows(await self._read(_path(READ_PATH, query), transfer, table))
            self._note_first_bytes(transfer)
            match answer:
                case Result(tag="ok", ok=found):
                    rows += [_row(row) for row in found.rows]
                    version = version or found.ver
                    receiving_s += transfer.receiving_s
                    if not found.more or not found.rows:
                        return Ok(Page(rows, version, receiving_s=receiving_s))
                    start = found.rows[-1].key + "\0"
                case Result(error=fault):
                    _note_broken_off("scan", table, transfer, fault)
                    return Error(fault)

    async def changes(
        self, table: str, since: int, wait_s: float, patience_s: float | None = None
    ) -> Result[Page, Fault]:
        """Wait for changes of a table after version `since`; removed rows have no value.

        The answer may begin `patience_s` after the wait, or as late as any call's.

        The service hands out each change; of a row that changed several times only the newest
        state is returned.
        """
        query = {"table": table, "dependsOn": str(since), "waitMs": str(int(wait_s * 1000))}
        allowed_s = self.times.timeout_s()
        transfer = Transfer(wait_s + min(allowed_s, patience_s or allowed_s))
        answer = _rows(await self._read(_path(CHANGES_PATH, query), transfer, table))
        if answer.is_error() and not isinstance(answer.error, HistoryGone):
            _note_broken_off("watch", table, transfer, answer.error)
        return answer.map(lambda found: _newest(found, transfer.receiving_s))

    def _note_first_bytes(self, transfer: Transfer) -> None:
        """Count how fast the store began to answer; the rest depends on the link."""
        now = monotonic()
        if transfer.first_at is None:
            self.times.note_silence(now, transfer.waited_s)
        else:
            self.times.note_answer(now, transfer.first_after_s)

    async def _read(
        self, path: str, transfer: Transfer, table: str
    ) -> Result[Answer, Unavailable | AnswerLost]:
        self.readings.add(transfer)
        try:
            answer = await self.caller.read(self.base + path, transfer)
        finally:
            self.readings.discard(transfer)
            self.use.note(table, 0, transfer.received_bytes)
        if not transfer.given_up:
            self._note_outcome(answer)
        return answer

    async def _timed_call(
        self, method: str, path: str, body: bytes | None, table: str
    ) -> Result[Answer, Unavailable | AnswerLost]:
        """Call with a time-out that follows how fast the store answers, and the body's size."""
        started = monotonic()
        upload_s = len(body or b"") / UPLOAD_BYTES_PER_S
        answer = await self._call(method, path, self.times.timeout_s() + upload_s, body)
        now = monotonic()
        received = answer.map(lambda found: len(found.body)).default_value(0)
        self.use.note(table, len(body or b""), received)
        self._note_outcome(answer)
        if answer.is_ok():
            self.times.note_answer(now, now - started)
        else:
            self.times.note_silence(now, now - started)
        return answer

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes | None
    ) -> Result[Answer, Unavailable | AnswerLost]:
        headers = JSON_HEADERS if body is not None else None
        return await self.caller.call(
            method, self.base + path, timeout_s, body=body, headers=headers
        )


def _table_of(transaction: Transaction) -> str:
    """Return the table that a transaction counts for: that of its last write."""
    return transaction.writes[-1].key.split("/", 1)[0] if transaction.writes else ""


def _newest(found: _Rows, receiving_s: float) -> Page:
    newest = {_key(row): row for row in found.rows}
    superseded = len(found.rows) - len(newest)
    rows = [_row(row) for row in newest.values()]
    return Page(rows, found.ver, superseded, receiving_s, _is_complete(found))


def _is_complete(found: _Rows) -> bool:
    """Whether changes can't have been left out for want of room in the answer."""
    size = sum(len(str(row.value)) for row in found.rows)
    return len(found.rows) < PAGE_ROWS and size < PAGE_BYTES - ROW_BYTES


def _note_broken_off(kind: str, table: str, transfer: Transfer, fault: Fault) -> None:
    """Log a reading without an answer: a dead connection has brought no bytes, a thin one has."""
    METRICS.broken_off.inc({"kind": kind, "receiving": str(transfer.received_bytes > 0).lower()})
    log.info(
        "reading broken off",
        kind=kind,
        table=table,
        reason=str(fault),
        waited_s=round(transfer.waited_s, 3),
        received_bytes=transfer.received_bytes,
        receiving_s=round(transfer.receiving_s, 3),
    )


def _path(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urlencode(query)}"


def _rows(answer: Result[Answer, Unavailable | AnswerLost]) -> Result[_Rows, Fault]:
    match answer:
        case Result(tag="ok", ok=Answer(status=200, body=content)):
            return understand(_ROWS.decode, content)
        case Result(tag="ok", ok=Answer(status=410)):
            return Error(HistoryGone("the history is gone"))
        case Result(tag="ok", ok=Answer(status=status, body=content)):
            return Error(_refusal(status, content))
        case Result(error=fault):
            return Error(fault)


def _refusal(status: int, content: bytes) -> Unavailable:
    """Name a refusal; the service says that it did nothing."""
    return Unavailable(f"refused with {status}: {content[:200].decode(errors='replace')}")


def _encode(transaction: Transaction) -> _Transaction:
    put: list[_Write] = []
    remove: list[_Removal] = []
    for write in transaction.writes:
        table, part, name = write.key.split("/", 2)
        if write.value is None:
            remove.append(_Removal(table, part, name))
        else:
            put.append(_Write(table, part, name, base64.b64encode(write.value).decode()))
    return _Transaction([_condition(c) for c in transaction.conditions], put, remove)


def _condition(condition: Condition) -> _Condition:
    table, part, name = condition.key.split("/", 2)
    return _Condition(table, part, name, condition.version)


def _key(row: _Row) -> str:
    return f"{row.table}/{row.part}/{row.key}"


def _row(row: _Row) -> Row:
    if row.gone:
        return Row(_key(row), b"", 0)
    return Row(_key(row), _content(row), row.ver)


def _content(row: _Row) -> bytes:
    """Return a row's value; one that can't be read is empty, and the rows beside it hold."""
    try:
        return base64.b64decode(str(row.value), validate=True)
    except ValueError as failure:
        log.error("row not understood", row=_key(row), reason=str(failure))
        return b""

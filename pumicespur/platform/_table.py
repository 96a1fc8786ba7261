"""The client of the platform's table service.

A row's key in this project is `TABLE/PART/KEY`; the part may be empty and the key may contain
slashes. A transaction touches one part only, since not every deployment allows more.
"""

from __future__ import annotations

import base64
import math
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.platform._http import JSON_HEADERS, HttpClient, Response, Transfer, decode_body
from pumicespur.store import (
    AnswerLost,
    Conflict,
    HistoryGone,
    NeverDone,
    OutageTracker,
    Page,
    ResponseTimes,
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

MAX_PAGE_ROWS = 500
"""Maximum number of rows in one response, as the protocol defines it."""

MAX_PAGE_BYTES = 1_000_000
"""Maximum size of the rows in one response, as the protocol defines it."""

MAX_ROW_BYTES = 90_000
"""Size of the largest row: 64 KB encoded in base64, and its key."""

MAX_RESPONSE_AGE_S = 0.5
"""Maximum age of the newest response while the service counts as responding: one heartbeat."""

MIN_OUTAGE_S = 1.0
"""Min length of an outage (two heartbeats) after which pending reads without data are given up, so
that they are sent again."""

REFUSAL_STATUSES = frozenset({400, 403, 404, 413, 429, 503})
"""Status codes of responses by which the service says that it did nothing."""

FINAL_REFUSAL_STATUSES = frozenset({400, 403, 413})
"""Status codes by which the service says that it will never carry out a call: the call is not
understood, its table is not ours to write, or it or a row is too large."""

EXPECTED_STATUSES = frozenset({200, 410, 412})
"""Status codes of responses that report a result; any other one counts as a failure."""

TRANSACT_PATH = "/pumicespur/rows-tx"
READ_PATH = "/pumicespur/rows-get"
CHANGES_PATH = "/pumicespur/rows-feed"


MIN_UPLOAD_BYTES_PER_S = 250_000
"""Upload speed by which the timeout of a request grows with its size: a fifth of a shared link of
10 Mbit/s. Otherwise a request of 300 KB over a link of 400 KB/s exceeds its timeout, 0.1 s, at
every attempt."""


class _Row(msgspec.Struct):
    table: str
    part: str = ""
    key: str = msgspec.field(name="privateKey", default="")
    value: object = ""
    """Text in base64; other writers may have stored anything."""
    ver: int = 0
    gone: bool = False
    """The row was removed; `ver` is the version of its removal."""


class _RowsResponse(msgspec.Struct):
    rows: list[_Row] = []
    more: bool = False
    ver: int = 0
    """The newest version of all rows of the service, not only of these."""
    now_ms: int = 0
    """The service's monotonic clock."""


class _TransactResponse(msgspec.Struct):
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


class _TransactRequest(msgspec.Struct):
    conditions: list[_Condition] = msgspec.field(name="expectedRevision")
    put: list[_Write]
    remove: list[_Removal]


_ENCODER = msgspec.json.Encoder()
_ROWS_DECODER = msgspec.json.Decoder(_RowsResponse)
_TRANSACT_DECODER = msgspec.json.Decoder(_TransactResponse)


class PlatformTable:
    """Calls to the table service, which return expected errors as results and do not raise them."""

    def __init__(self, settings: StoreSettings, client: HttpClient) -> None:
        self.settings = settings
        self.client = client
        self.base_url = f"http://{settings.address}"
        self.usage = StoreUse()
        self.response_times = ResponseTimes(settings.timeout_s, settings.max_timeout_s)
        self.clock = StoreClock()
        self.pending_reads: set[Transfer] = set()
        self.outage = OutageTracker()
        self.last_success_at = float("-inf")
        """When the service last responded with a result (monotonic seconds)."""
        self.last_failure_at = float("-inf")
        """When a call was last refused or got no response (monotonic seconds)."""

    def failing_for_s(self, now: float) -> float:
        """Return the time since the last success, in seconds; 0 if the last call succeeded."""
        return now - self.last_success_at if self.last_failure_at > self.last_success_at else 0.0

    def is_responding(self) -> bool:
        """Return whether the service responded with a result within `MAX_RESPONSE_AGE_S`."""
        return monotonic() - self.last_success_at < MAX_RESPONSE_AGE_S

    def _note_outcome(
        self, result: Result[Response, Unavailable | AnswerLost], sent_at: float
    ) -> None:
        now = monotonic()
        if result.is_ok() and result.ok.status in EXPECTED_STATUSES:
            self.note_success(now)
            return
        self.last_failure_at = now
        if sent_at >= self.last_success_at:
            # A call that was sent in an outage may fail after the outage has ended. A request for
            # changes waits at the store, so only the time beyond that counts.
            self.outage.note_failure(max(sent_at, now - self.response_times.timeout_s()))

    def note_success(self, now: float) -> None:
        """Note that the service responded with a result."""
        failing_for_s = self.failing_for_s(now)
        self.last_success_at = now
        self.outage.note_success()
        if failing_for_s > MIN_OUTAGE_S:
            # Requests sent during the outage may never get a response.
            self.renew_pending_reads()
            self.response_times.reset_backoff()

    def renew_pending_reads(self, sent_before: float = math.inf) -> None:
        """Give up the pending reads that received nothing; their connections may be dead.

        Reads sent at `sent_before` (in the event loop's time) or later continue.

        A read that is receiving, or was sent less than a call's timeout ago, continues, since it
        carries the data that is needed. If every read were given up at each newer version, frequent
        configurations (one every 0.8 s, over 10 Mbit/s) would not arrive for as long as 14 s. The
        usual timeout counts, since reads sent late in an outage have one of up to 3 s.
        """
        allowed_s = self.response_times.usual_timeout_s()
        for read in list(self.pending_reads):
            is_late = read.sent_at < sent_before and read.elapsed_s > allowed_s
            if read.first_bytes_at is None and is_late:
                read.give_up()

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Write rows atomically if all conditions hold; return the version of the change."""
        body = _ENCODER.encode(_encode_transaction(transaction))
        sent_at = monotonic()
        result = await self._timed_call(
            "POST", TRANSACT_PATH, body, _last_written_table(transaction)
        )
        match result:
            case Result(tag="ok", ok=Response(status=200, body=content)):
                written = decode_body(_TRANSACT_DECODER.decode, content)
                written.map(lambda decoded: self._note_clock(decoded.now_ms, sent_at))
                return written.map(lambda decoded: decoded.ver)
            case Result(tag="ok", ok=Response(status=412, body=content)):
                return _decode_conflict(content)
            case Result(tag="ok", ok=Response(status=status, body=content)):
                if status in REFUSAL_STATUSES:
                    return Error(_refusal_error(status, content))
                return Error(AnswerLost(f"answered with {status}"))
            case Result(error=error):
                return Error(error)

    def _note_clock(self, reading_ms: int, sent_at: float) -> None:
        self.clock.note(reading_ms, sent_at, monotonic())

    async def read(self, key: str) -> Result[Row, Fault]:
        """Read one row; its version is 0 if it does not exist."""
        table, part, name = key.split("/", 2)
        query = {"table": table, "part": part, "from": name, "limit": "1"}
        sent_at = monotonic()
        result = _decode_rows(
            await self._timed_call("GET", _path_with_query(READ_PATH, query), None, table)
        )
        result.map(lambda decoded: self._note_clock(decoded.now_ms, sent_at))
        return result.map(
            lambda decoded: next(
                (_decode_row(row) for row in decoded.rows if row.key == name), Row(key, b"", 0)
            )
        )

    async def scan(
        self, table: str, part: str, first_bytes_timeout_s: float = math.inf
    ) -> Result[Page, Fault]:
        """Read all rows of a part of a table, page by page.

        The first bytes of each page have to arrive within `first_bytes_timeout_s` and within the
        usual timeout of a call. The version returned is that of the first page, so that changes
        made while reading are not missed.
        """
        query = {"table": table, "part": part, "limit": str(MAX_PAGE_ROWS)}
        return await self._scan_pages(query, "", first_bytes_timeout_s)

    async def scan_range(
        self, table: str, part: str, first: str, end: str, first_bytes_timeout_s: float = math.inf
    ) -> Result[Page, Fault]:
        """Read the rows of a part with keys from `first` on and before `end`.

        One call does so, unless the rows exceed what one response can hold. The timeouts and the
        version returned are as for `scan`.
        """
        query = {
            "table": table,
            "part": part,
            # The protocol's name for the key that ends the range; that key is excluded.
            "targetVersion": end,
            "limit": str(MAX_PAGE_ROWS),
        }
        return await self._scan_pages(query, first, first_bytes_timeout_s)

    async def _scan_pages(
        self, query: dict[str, str], first: str, first_bytes_timeout_s: float
    ) -> Result[Page, Fault]:
        rows: list[Row] = []
        version = 0
        receiving_s = 0.0
        start = first
        table = query["table"]
        while True:
            path = _path_with_query(READ_PATH, query | {"from": start})
            transfer = Transfer(min(self.response_times.timeout_s(), first_bytes_timeout_s))
            result = _decode_rows(await self._read(path, transfer, table))
            self._note_first_bytes(transfer)
            match result:
                case Result(tag="ok", ok=decoded):
                    rows += [_decode_row(row) for row in decoded.rows]
                    version = version or decoded.ver
                    receiving_s += transfer.receiving_s
                    if not decoded.more or not decoded.rows:
                        return Ok(Page(rows, version, receiving_s=receiving_s))
                    start = decoded.rows[-1].key + "\0"
                case Result(error=error):
                    _log_failed_read("scan", table, transfer, error)
                    return Error(error)

    async def changes(
        self, table: str, since: int, wait_s: float, first_bytes_timeout_s: float | None = None
    ) -> Result[Page, Fault]:
        """Wait up to `wait_s` for changes of a table after version `since`.

        The first bytes of the response have to arrive within `first_bytes_timeout_s` after the
        wait, and within the usual timeout of a call. The service returns every change; of a row
        that changed several times only the newest state is kept. A removed row has no value.
        """
        query = {"table": table, "dependsOn": str(since), "waitMs": str(int(wait_s * 1000))}
        allowed_s = self.response_times.timeout_s()
        transfer = Transfer(wait_s + min(allowed_s, first_bytes_timeout_s or allowed_s))
        result = _decode_rows(
            await self._read(_path_with_query(CHANGES_PATH, query), transfer, table)
        )
        if result.is_error() and not isinstance(result.error, HistoryGone):
            _log_failed_read("watch", table, transfer, result.error)
        return result.map(lambda decoded: _changes_page(decoded, transfer.receiving_s))

    def _note_first_bytes(self, transfer: Transfer) -> None:
        """Note the time to the first bytes; the time for the rest depends on the link."""
        now = monotonic()
        if transfer.first_bytes_at is None:
            self.response_times.note_timeout(now, transfer.elapsed_s)
        else:
            self.response_times.note_response(now, transfer.first_bytes_after_s)

    async def _read(
        self, path: str, transfer: Transfer, table: str
    ) -> Result[Response, Unavailable | AnswerLost]:
        self.pending_reads.add(transfer)
        try:
            result = await self.client.read(self.base_url + path, transfer)
        finally:
            self.pending_reads.discard(transfer)
            self.usage.note(table, 0, transfer.received_bytes)
        if not transfer.given_up:
            self._note_outcome(result, monotonic() - transfer.elapsed_s)
        return result

    async def _timed_call(
        self, method: str, path: str, body: bytes | None, table: str
    ) -> Result[Response, Unavailable | AnswerLost]:
        """Send a request; its timeout follows recent response times and the size of the body."""
        started_at = monotonic()
        upload_s = len(body or b"") / MIN_UPLOAD_BYTES_PER_S
        result = await self._call(method, path, self.response_times.timeout_s() + upload_s, body)
        now = monotonic()
        received = result.map(lambda r: len(r.body)).default_value(0)
        self.usage.note(table, len(body or b""), received)
        self._note_outcome(result, started_at)
        if result.is_ok():
            self.response_times.note_response(now, now - started_at)
        else:
            self.response_times.note_timeout(now, now - started_at)
        return result

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes | None
    ) -> Result[Response, Unavailable | AnswerLost]:
        headers = JSON_HEADERS if body is not None else None
        return await self.client.call(
            method, self.base_url + path, timeout_s, body=body, headers=headers
        )


def _last_written_table(transaction: Transaction) -> str:
    """Return the table that a transaction is accounted to: that of its last write."""
    return transaction.writes[-1].key.split("/", 1)[0] if transaction.writes else ""


def _changes_page(decoded: _RowsResponse, receiving_s: float) -> Page:
    newest = {_row_key(row): row for row in decoded.rows}
    superseded = len(decoded.rows) - len(newest)
    rows = [_decode_row(row) for row in newest.values()]
    return Page(rows, decoded.ver, superseded, receiving_s, _is_complete(decoded))


def _is_complete(decoded: _RowsResponse) -> bool:
    """Return whether the response is so far below the service's limits that it has all changes."""
    size = sum(len(str(row.value)) for row in decoded.rows)
    return len(decoded.rows) < MAX_PAGE_ROWS and size < MAX_PAGE_BYTES - MAX_ROW_BYTES


def _log_failed_read(kind: str, table: str, transfer: Transfer, error: Fault) -> None:
    """Log a failed read; received bytes tell a slow link from a dead connection."""
    METRICS.failed_reads.inc({"kind": kind, "receiving": str(transfer.received_bytes > 0).lower()})
    log.info(
        "store read failed",
        kind=kind,
        table=table,
        reason=str(error),
        waited_s=round(transfer.elapsed_s, 3),
        received_bytes=transfer.received_bytes,
        receiving_s=round(transfer.receiving_s, 3),
    )


def _path_with_query(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urlencode(query)}"


def _decode_rows(
    result: Result[Response, Unavailable | AnswerLost],
) -> Result[_RowsResponse, Fault]:
    match result:
        case Result(tag="ok", ok=Response(status=200, body=content)):
            return decode_body(_ROWS_DECODER.decode, content)
        case Result(tag="ok", ok=Response(status=410)):
            return Error(HistoryGone("the history is gone"))
        case Result(tag="ok", ok=Response(status=status, body=content)):
            return Error(_refusal_error(status, content))
        case Result(error=error):
            return Error(error)


def _decode_conflict(content: bytes) -> Result[int, Fault]:
    """Return the error for a condition that does not hold, with the rows that the service shows."""
    match decode_body(_ROWS_DECODER.decode, content):
        case Result(tag="ok", ok=decoded):
            rows = tuple(_decode_row(row) for row in decoded.rows)
            return Error(Conflict(tuple(row.key for row in rows), rows))
        case Result(error=error):
            return Error(error)


def _refusal_error(status: int, content: bytes) -> Unavailable:
    """Return the error for a refusal, by which the service says that it did nothing."""
    reason = f"refused with {status}: {content[:200].decode(errors='replace')}"
    return NeverDone(reason) if status in FINAL_REFUSAL_STATUSES else Unavailable(reason)


def _encode_transaction(transaction: Transaction) -> _TransactRequest:
    put: list[_Write] = []
    remove: list[_Removal] = []
    for write in transaction.writes:
        table, part, name = write.key.split("/", 2)
        if write.value is None:
            remove.append(_Removal(table, part, name))
        else:
            put.append(_Write(table, part, name, base64.b64encode(write.value).decode()))
    return _TransactRequest([_encode_condition(c) for c in transaction.conditions], put, remove)


def _encode_condition(condition: Condition) -> _Condition:
    table, part, name = condition.key.split("/", 2)
    return _Condition(table, part, name, condition.version)


def _row_key(row: _Row) -> str:
    return f"{row.table}/{row.part}/{row.key}"


def _decode_row(row: _Row) -> Row:
    if row.gone:
        return Row(_row_key(row), b"", 0)
    return Row(_row_key(row), _decode_value(row), row.ver)


def _decode_value(row: _Row) -> bytes:
    """Return a row's value; an invalid one counts as empty, so that the other rows can be used."""
    try:
        return base64.b64decode(str(row.value), validate=True)
    except ValueError as failure:
        log.error("row not understood", row=_row_key(row), reason=str(failure))
        return b""

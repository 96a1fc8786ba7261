"""The stand-in for the store: conditional writes, change feeds, and faults set by a test."""

from __future__ import annotations

import asyncio
import base64
import bisect
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from pumicespur.utils import monotonic

RowPlace = tuple[str, str, str]
"""Table, part and key of a row."""

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
"""Most rows and bytes of values in one response, as the users' protocol states them."""


@dataclass
class StoredRow:
    """A row, or the mark of a removed one."""

    place: RowPlace
    value: str
    version: int
    gone: bool = False

    def to_wire(self) -> dict[str, Any]:
        """Return the row as the protocol writes it."""
        table, part, key = self.place
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "privateKey": key,
            "value": self.value,
            "ver": self.version,
        }
        return row | ({"gone": True} if self.gone else {})


MAX_ROW_BYTES = 65_536
"""Largest value of a row before base64, as the users' protocol has it by default."""

MAX_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
"""Most entries and bytes of values in one transaction, as the users' protocol states them."""

RowView = Callable[[StoredRow], StoredRow]
"""Returns a row as one caller is shown it."""

ROW_VIEW: web.AppKey[RowView] = web.AppKey("view")


def _full_view(row: StoredRow) -> StoredRow:
    return row


@dataclass
class StoreFaults:
    """Faults of the store, which a test sets while it runs."""

    refuse_with: int = 0
    """Status of every response; 0 for none."""
    silent: bool = False
    """Whether requests get no response."""
    slow_s: float = 0.0
    """Delay of every response."""
    lose_share: float = 0.0
    """Share of writes that are applied without a response."""
    late_share: float = 0.0
    """Share of writes that are applied after `late_s`, without a response."""
    late_s: float = 0.5
    refused_tables: set[str] = field(default_factory=set)
    """Tables that can't be read at present: requests for them get status 503."""
    refused_ranges: set[str] = field(default_factory=set)
    """Tables of which no range of keys can be read at present, while their changes are told."""
    stalled_feeds: set[str] = field(default_factory=set)
    """Tables whose change feeds stall at present: requests for them get no response."""
    refused_texts: set[str] = field(default_factory=set)
    """Writes with a value that contains one of these texts are refused with status 503."""


class HostedStore:
    """Keeps rows in memory and serves them over HTTP."""

    def __init__(self, seed: int = 1) -> None:
        self.rows: dict[RowPlace, StoredRow] = {}
        self.history: list[StoredRow] = []
        """All changes in order; a change feed delivers each one, not only the latest of a row."""
        self.version = 0
        self.oldest = 0
        """Changes up to this version have been dropped."""
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        self.random = random.Random(seed)
        self.calls: dict[str, int] = {}
        self.refused_transactions: list[str] = []
        """Why transactions were refused because of their size."""

    def app(self, view: RowView = _full_view) -> web.Application:
        """Return the application to serve; reads return rows as `view` shows them."""
        app = web.Application()
        app[ROW_VIEW] = view
        app.router.add_post("/pumicespur/rows-tx", self._transact)
        app.router.add_get("/pumicespur/rows-get", self._get)
        app.router.add_get("/pumicespur/rows-feed", self._feed)
        return app

    def put(self, place: RowPlace, value: bytes) -> int:
        """Write a row unconditionally, as operators and workers do."""
        return self._apply([StoredRow(place, base64.b64encode(value).decode(), 0)])

    def remove(self, place: RowPlace) -> int:
        """Remove a row unconditionally, as workers do."""
        return self._apply([StoredRow(place, "", 0, gone=True)])

    def value(self, place: RowPlace) -> bytes | None:
        """Return a row's value, None if it does not exist."""
        row = self.rows.get(place)
        return None if row is None or row.gone else base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Drop all changes so far, so that followers have to read their tables again."""
        self.oldest = self.version
        self.history.clear()

    def wake_feeds(self) -> None:
        """Let all open feeds look at the history again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply(self, rows: list[StoredRow]) -> int:
        self.version += 1
        for row in rows:
            row.version = self.version
            self.rows[row.place] = row
            self.history.append(row)
        self.wake_feeds()
        return self.version

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if request.query.get("table") in self.faults.refused_tables:
            return web.json_response({"error": "turned away"}, status=503)
        if (
            "targetVersion" in request.query
            and request.query["table"] in self.faults.refused_ranges
        ):
            return web.json_response({"error": "turned away"}, status=503)
        if self.faults.refuse_with:
            return web.json_response({"error": "refused"}, status=self.faults.refuse_with)
        return None

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        text = decoded_values(body)
        if any(refused_text in text for refused_text in self.faults.refused_texts):
            return web.json_response({"error": "turned away"}, status=503)
        if self.random.random() < self.faults.late_share:
            asyncio.get_running_loop().call_later(self.faults.late_s, self._commit, body)
            await self._never_respond(request)
        response = self._commit(body)
        if self.random.random() < self.faults.lose_share:
            await self._never_respond(request)
        return response

    async def _never_respond(self, request: web.Request) -> None:
        await asyncio.sleep(3600)

    def _commit(self, body: dict[str, Any]) -> web.Response:
        reason = exceeded_limit(body)
        if reason:
            self.refused_transactions.append(reason)
            return web.json_response({"error": reason}, status=413)
        expected = [(_place(entry), entry["ver"]) for entry in body["expectedRevision"]]
        if any(self._version(place) != version for place, version in expected):
            found = [self.rows[place].to_wire() for place, _ in expected if self._version(place)]
            return web.json_response({"rows": found}, status=412)
        written = [StoredRow(_place(entry), entry["value"], 0) for entry in body["put"]]
        written += [StoredRow(_place(entry), "", 0, gone=True) for entry in body["remove"]]
        version = self._apply(written) if written else self.version
        return web.json_response({"ver": version, "now_ms": int(monotonic() * 1000)})

    def _version(self, place: RowPlace) -> int:
        row = self.rows.get(place)
        return 0 if row is None or row.gone else row.version

    async def _get(self, request: web.Request) -> web.StreamResponse:
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        query = request.query
        limit = int(query.get("limit", PAGE_ROWS))
        first, end = query.get("from", ""), query.get("targetVersion")
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"] and part == query.get("part", "") and not row.gone
                if key >= first and (end is None or key < end)
            ),
            key=lambda row: row.place,
        )
        body = {
            "rows": [request.app[ROW_VIEW](row).to_wire() for row in found[:limit]],
            "more": len(found) > limit,
            "ver": self.version,
        }
        return web.json_response(body)

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        since = int(request.query["dependsOn"])
        wait_ends_at = monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if request.query["table"] in self.faults.stalled_feeds:
                await asyncio.sleep(3600)
            if request.query["table"] in self.faults.refused_tables:
                return web.json_response({"error": "turned away"}, status=503)
            if since < self.oldest:
                return web.json_response({"error": "history gone"}, status=410)
            found, version = self._page(request.query["table"], since)
            remaining_s = wait_ends_at - monotonic()
            if found or remaining_s <= 0:
                shown = [request.app[ROW_VIEW](row).to_wire() for row in found]
                return web.json_response({"rows": shown, "ver": version})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except TimeoutError:
                # Nothing changed in the requested time; the next pass sends an empty response.
                continue

    def _page(self, table: str, since: int) -> tuple[list[StoredRow], int]:
        """Return changes after a version, and the version up to which they are complete."""
        first = bisect.bisect_right(self.history, since, key=lambda row: row.version)
        page: list[StoredRow] = []
        size = 0
        for row in self.history[first:]:
            if row.place[0] != table:
                continue
            full = len(page) >= PAGE_ROWS or size + len(row.value) > PAGE_BYTES
            # Rows of one transaction are never split over two pages.
            if page and full and row.version != page[-1].version:
                return page, page[-1].version
            page.append(row)
            size += len(row.value)
        return page, self.version


def decoded_values(body: dict[str, Any]) -> str:
    """Return the decoded values that a transaction writes, as one text to search."""
    values = [base64.b64decode(entry["value"]) for entry in body["put"]]
    return b"".join(values).decode(errors="replace")


def _place(entry: dict[str, Any]) -> RowPlace:
    return (entry["table"], entry["part"], entry["privateKey"])


def exceeded_limit(body: dict[str, Any]) -> str:
    """Return which limit of the store a transaction exceeds; empty if it exceeds none."""
    entries = sum(len(body[kind]) for kind in ("expectedRevision", "put", "remove"))
    if entries > MAX_ENTRIES:
        return f"{entries} entries"
    values = sum(len(entry["value"]) for entry in body["put"])
    if values > MAX_TRANSACTION_BYTES:
        return f"{values} bytes of values"
    for entry in body["put"]:
        size = len(base64.b64decode(entry["value"]))
        if size > MAX_ROW_BYTES:
            return f"{size} bytes in {entry['table']}/{entry['part']}/{entry['privateKey']}"
    return ""

"""The store's stand-in: rows under conditions, changes, and faults set by a test."""

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

Place = tuple[str, str, str]
"""Table, part and key of a row."""

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
"""Rows and bytes of values that one answer holds at most (the users' protocol page)."""


@dataclass
class StoredRow:
    """A row, or what is left of one that was removed."""

    place: Place
    value: str
    version: int
    gone: bool = False

    def wire(self) -> dict[str, Any]:
        """Write the row as the protocol does."""
        table, part, key = self.place
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "privateKey": key,
            "value": self.value,
            "ver": self.version,
        }
        return row | ({"gone": True} if self.gone else {})


RowView = Callable[[StoredRow], StoredRow]
"""What one caller is shown of a row."""

VIEW: web.AppKey[RowView] = web.AppKey("view")


def _unchanged(row: StoredRow) -> StoredRow:
    return row


@dataclass
class StoreFaults:
    """What goes wrong; a test sets it while the store runs."""

    refuse_with: int = 0
    """Status of every answer; 0 for none."""
    silent: bool = False
    slow_s: float = 0.0
    lose_share: float = 0.0
    """Share of writes that are done and not answered."""
    late_share: float = 0.0
    """Share of writes that are done only later, without an answer."""
    late_s: float = 0.5
    refused_tables: set[str] = field(default_factory=set)
    """Tables that nobody can read at present."""
    deaf_tables: set[str] = field(default_factory=set)
    """Tables whose changes nobody is told at present: requests for them get no answer."""
    refused_callers: set[str] = field(default_factory=set)
    """Bodies that hold one of these texts are refused with 503."""


class HostedStore:
    """Keeps rows in memory and serves them over HTTP."""

    def __init__(self, seed: int = 1) -> None:
        self.rows: dict[Place, StoredRow] = {}
        self.history: list[StoredRow] = []
        """Every change in order; who follows a table is handed each, not only the newest."""
        self.version = 0
        self.oldest = 0
        """Changes up to this version are forgotten."""
        self.faults = StoreFaults()
        self.changed = asyncio.Event()
        self.random = random.Random(seed)
        self.calls: dict[str, int] = {}

    def app(self, view: RowView = _unchanged) -> web.Application:
        """Return the application to serve; its callers see rows as `view` shows them."""
        app = web.Application()
        app[VIEW] = view
        app.router.add_post("/pumicespur/rows-tx", self._transact)
        app.router.add_get("/pumicespur/rows-get", self._get)
        app.router.add_get("/pumicespur/rows-feed", self._feed)
        return app

    def put(self, place: Place, value: bytes) -> int:
        """Write a row as the operator or a worker does."""
        return self._apply([StoredRow(place, base64.b64encode(value).decode(), 0)])

    def remove(self, place: Place) -> int:
        """Remove a row as a worker does."""
        return self._apply([StoredRow(place, "", 0, gone=True)])

    def value(self, place: Place) -> bytes | None:
        """Read a row as the operator does."""
        row = self.rows.get(place)
        return None if row is None or row.gone else base64.b64decode(row.value)

    def forget_history(self) -> None:
        """Drop all changes so far; those who follow have to read anew."""
        self.oldest = self.version
        self.history.clear()

    def _apply(self, rows: list[StoredRow]) -> int:
        self.version += 1
        for row in rows:
            row.version = self.version
            self.rows[row.place] = row
            self.history.append(row)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def _fault(self, request: web.Request) -> web.Response | None:
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if request.query.get("table") in self.faults.refused_tables:
            return web.json_response({"error": "turned away"}, status=503)
        if self.faults.refuse_with:
            return web.json_response({"error": "refused"}, status=self.faults.refuse_with)
        return None

    async def _transact(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._fault(request)
        if refused is not None:
            return refused
        text = base64_free(body)
        if any(caller in text for caller in self.faults.refused_callers):
            return web.json_response({"error": "turned away"}, status=503)
        if self.random.random() < self.faults.late_share:
            asyncio.get_running_loop().call_later(self.faults.late_s, self._try, body)
            await self._stay_silent(request)
        answer = self._try(body)
        if self.random.random() < self.faults.lose_share:
            await self._stay_silent(request)
        return answer

    async def _stay_silent(self, request: web.Request) -> None:
        await asyncio.sleep(3600)

    def _try(self, body: dict[str, Any]) -> web.Response:
        wanted = [(_place(entry), entry["ver"]) for entry in body["expectedRevision"]]
        if any(self._version(place) != version for place, version in wanted):
            found = [self.rows[place].wire() for place, _ in wanted if self._version(place)]
            return web.json_response({"rows": found}, status=412)
        written = [StoredRow(_place(entry), entry["value"], 0) for entry in body["put"]]
        written += [StoredRow(_place(entry), "", 0, gone=True) for entry in body["remove"]]
        version = self._apply(written) if written else self.version
        return web.json_response({"ver": version, "now_ms": int(monotonic() * 1000)})

    def _version(self, place: Place) -> int:
        row = self.rows.get(place)
        return 0 if row is None or row.gone else row.version

    async def _get(self, request: web.Request) -> web.StreamResponse:
        refused = await self._fault(request)
        if refused is not None:
            return refused
        query = request.query
        limit = int(query.get("limit", PAGE_ROWS))
        found = sorted(
            (
                row
                for (table, part, key), row in self.rows.items()
                if table == query["table"] and part == query.get("part", "") and not row.gone
                if key >= query.get("from", "")
            ),
            key=lambda row: row.place,
        )
        body = {
            "rows": [request.app[VIEW](row).wire() for row in found[:limit]],
            "more": len(found) > limit,
            "ver": self.version,
        }
        return web.json_response(body)

    async def _feed(self, request: web.Request) -> web.StreamResponse:
        refused = await self._fault(request)
        if refused is not None:
            return refused
        since = int(request.query["dependsOn"])
        until = monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if request.query["table"] in self.faults.deaf_tables:
                await asyncio.sleep(3600)
            if request.query["table"] in self.faults.refused_tables:
                return web.json_response({"error": "turned away"}, status=503)
            if since < self.oldest:
                return web.json_response({"error": "history gone"}, status=410)
            found, version = self._page(request.query["table"], since)
            left = until - monotonic()
            if found or left <= 0:
                shown = [request.app[VIEW](row).wire() for row in found]
                return web.json_response({"rows": shown, "ver": version})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                # Nothing changed in the time asked for; an empty answer says so.
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
            # Rows that were written together are handed out together.
            if page and full and row.version != page[-1].version:
                return page, page[-1].version
            page.append(row)
            size += len(row.value)
        return page, self.version


def base64_free(body: dict[str, Any]) -> str:
    """Return the decoded values of a transaction, to look for a caller's name in."""
    values = [base64.b64decode(entry["value"]) for entry in body["put"]]
    return b"".join(values).decode(errors="replace")


def _place(entry: dict[str, Any]) -> Place:
    return (entry["table"], entry["part"], entry["privateKey"])

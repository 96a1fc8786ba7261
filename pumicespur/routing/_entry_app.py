"""The ASGI application that receives callers' requests."""

from __future__ import annotations

import json
import math
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import anyio
from expression import Error, Ok, Result

from pumicespur.routing._messages import (
    KEY_HEADER,
    OUTCOME_HEADER,
    TEAM_HEADER,
    TIMEOUT_HEADER,
    URGENCY_HEADER,
    AlreadyRan,
    Answered,
    CallerRequest,
    NotRun,
    Outcome,
    Unknown,
)
from pumicespur.routing._queue import Refusal
from pumicespur.schema.fleet_pb import Urgency
from pumicespur.structure import PoolId, TeamId
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pumicespur.routing._dispatcher import Dispatcher
    from pumicespur.schema.settings_pb import EntrySettings

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods that are idempotent by RFC 9110, section 9.2.2."""

MAX_KEY_LENGTH = 128
SEND_TIMEOUT_S = 10.0
"""Limit for writing a response to a caller that does not read it."""

URGENCIES = {"live": Urgency.LIVE, "batch": Urgency.BATCH}


class EntryApp:
    """Reads callers' requests, passes them to the dispatcher and writes the outcomes."""

    def __init__(self, settings: EntrySettings, dispatcher: Dispatcher) -> None:
        self.settings = settings
        self.dispatcher = dispatcher
        self.running = 0
        self.stopping = False
        self.idle = anyio.Event()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        if self.running >= self.settings.max_connections:
            full = NotRun(503, "too many requests at this entry")
            await self._write(send, unknown_if_keyed(full, is_keyed(scope)))
            return
        self.running += 1
        try:
            # A caller that disconnects must not cancel a request that may run already.
            with anyio.CancelScope(shield=True):
                outcome = await self._outcome(scope, receive)
            await self._write(send, outcome)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    async def finish(self, grace_s: float) -> bool:
        """Refuse new requests and wait for the running ones; return whether all ended in time."""
        self.stopping = True
        with anyio.move_on_after(grace_s):
            while self.running:
                self.idle = anyio.Event()
                await self.idle.wait()
        return self.running == 0

    async def _outcome(
        self, scope: dict[str, Any], receive: Callable[[], Awaitable[dict[str, Any]]]
    ) -> Outcome:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        ]
        parsed = parse_request(scope, headers, self.settings)
        match parsed:
            case Result(tag="error", error=refused):
                return refused
            case Result(ok=request):
                pass
        body: Result[bytes, NotRun] = Error(NotRun(408, "the body did not arrive in time"))
        with anyio.move_on_after(request.remaining_s()):
            body = await read_body(receive, self.settings.max_body_bytes)
        if body.is_error():
            return unknown_if_keyed(body.error, bool(request.key))
        return await self._dispatch(replace(request, body=body.ok))

    async def _dispatch(self, request: CallerRequest) -> Outcome:
        if self.stopping:
            return await self.dispatcher.refuse(request, 503, Refusal("stopping", 0.0))
        return await self.dispatcher.handle(request)

    async def _write(
        self, send: Callable[[dict[str, Any]], Awaitable[None]], outcome: Outcome
    ) -> None:
        """Write an outcome, for `SEND_TIMEOUT_S` at most."""
        status, headers, body = render(outcome)
        if self.stopping:
            headers.append(("connection", "close"))
        encoded = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        with anyio.move_on_after(SEND_TIMEOUT_S):
            await send({"type": "http.response.start", "status": status, "headers": encoded})
            await send({"type": "http.response.body", "body": body})


def is_keyed(scope: dict[str, Any]) -> bool:
    """Return whether a request has an idempotency key, before it is parsed."""
    return any(name.lower() == KEY_HEADER.encode() for name, _ in scope["headers"])


def unknown_if_keyed(refused: NotRun, keyed: bool) -> Outcome:
    """Return Unknown instead of NotRun for a request whose key's row was not checked.

    An earlier delivery of the same key may have run, whatever is wrong with this one.
    """
    if keyed:
        return Unknown(refused.status, refused.reason, refused.retry_after_s)
    return refused


def parse_request(
    scope: dict[str, Any], headers: list[tuple[str, str]], settings: EntrySettings
) -> Result[CallerRequest, NotRun]:
    """Parse a request's line and headers; its body is read later.

    The path is `/POOL/REST`; the backend server gets `/REST`.
    """
    fields = {name.lower(): value for name, value in headers}
    # The raw path is used, because decoding turns an encoded slash or question mark into a
    # delimiter.
    pool, _, rest = scope["raw_path"].decode("ascii").lstrip("/").partition("/")
    if not pool:
        return Error(NotRun(404, "the path names no pool; it is /POOL/..."))
    method = scope["method"]
    key = fields.get(KEY_HEADER, "")
    if method not in IDEMPOTENT_METHODS and not key:
        return Error(NotRun(428, f"{method} needs an Idempotency-Key header"))
    if len(key) > MAX_KEY_LENGTH or not key.isprintable() or "/" in key:
        return Error(
            NotRun(400, f"Idempotency-Key takes {MAX_KEY_LENGTH} printable characters, no slash")
        )
    urgency = URGENCIES.get(fields.get(URGENCY_HEADER, "live").lower())
    if urgency is None:
        return Error(NotRun(400, "Pumicespur-Urgency takes live or batch"))
    timeout = _timeout_s(fields.get(TIMEOUT_HEADER), settings)
    if timeout is None:
        max_timeout_ms = int(settings.max_deadline_s * 1000)
        return Error(NotRun(400, f"Pumicespur-Timeout-Ms takes 1 to {max_timeout_ms}"))
    query = scope["query_string"].decode("latin-1")
    request = CallerRequest(
        id=uuid.uuid4().hex,
        pool=PoolId(pool),
        method=method,
        target=f"/{rest}" + (f"?{query}" if query else ""),
        headers=headers,
        body=b"",
        urgency=urgency,
        team=TeamId(fields.get(TEAM_HEADER, "")),
        deadline=monotonic() + timeout,
        key=key,
    )
    return Ok(request)


def _timeout_s(text: str | None, settings: EntrySettings) -> float | None:
    """Parse the timeout header, in milliseconds; None if it is not valid."""
    if text is None:
        return settings.default_deadline_s
    if not text.isdecimal() or not 0 < int(text) <= settings.max_deadline_s * 1000:
        return None
    return int(text) / 1000


async def read_body(
    receive: Callable[[], Awaitable[dict[str, Any]]], limit: int
) -> Result[bytes, NotRun]:
    """Read a whole body of at most `limit` bytes."""
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Error(NotRun(400, "the caller went away"))
        part = message.get("body", b"")
        size += len(part)
        if size > limit:
            return Error(NotRun(413, f"a body takes {limit} bytes at most"))
        parts.append(part)
        if not message.get("more_body"):
            return Ok(b"".join(parts))


def render(outcome: Outcome) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return the status, headers and body of the response that reports an outcome."""
    match outcome:
        case Answered(status=status, headers=headers, body=body):
            sent = [*headers, (OUTCOME_HEADER, "answered"), ("content-length", str(len(body)))]
            return status, sent, body
        case NotRun(status=status, reason=reason, retry_after_s=retry):
            return _problem(status, "not-run", reason, retry)
        case Unknown(status=status, reason=reason, retry_after_s=retry):
            return _problem(status, "unknown", reason, retry)
        case AlreadyRan(status=status, reason=reason):
            return _problem(status, "already-ran", reason, None)


def _problem(
    status: int, outcome: str, reason: str, retry_s: float | None
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return a response with a problem document (RFC 9457) and the outcome."""
    body = json.dumps({"status": status, "outcome": outcome, "detail": reason}).encode()
    headers = [
        ("content-type", "application/problem+json"),
        (OUTCOME_HEADER, outcome),
        ("content-length", str(len(body))),
    ]
    if retry_s is not None:
        headers.append(("retry-after", str(max(1, math.ceil(retry_s)))))
    return status, headers, body

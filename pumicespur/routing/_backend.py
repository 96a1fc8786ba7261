"""An entry's client of one backend server, with the server's load and health."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

import httpx

from pumicespur.routing._messages import (
    LEAVING_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    POOL_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    Answered,
    AttemptResult,
    CallerRequest,
    Declined,
    Headers,
    Lost,
    NotSent,
)
from pumicespur.structure import InstanceId
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.schema.fleet_pb import Assignment
    from pumicespur.schema.settings_pb import EntrySettings

NOT_RUN = "not-run"
NOT_FORWARDED_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "content-length",
        "host",
    }
)
"""Headers that are not forwarded: those of one connection (RFC 9110, section 7.6.1) and those
that httpx sets."""

UNSENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors after which no byte of the request has been sent."""

MAX_LOAD_AGE_S = 1.0
"""Age up to which a reported load is used."""


UNUSED_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""A context shared by all clients, though they use plain HTTP. Without it, each client would
load every root certificate, which takes about 15 ms and 250 KB."""


class Backend:
    """A backend server and this entry's connections to it.

    `max_in_flight` is this entry's part of the connections that the backend server accepts.
    """

    def __init__(self, assignment: Assignment, settings: EntrySettings) -> None:
        self.id = InstanceId(assignment.instance)
        self.address = assignment.address
        self.slots = assignment.slots or 1
        self.settings = settings
        self.in_flight = 0
        self.leaving = False
        self.consecutive_failures = 0
        self.ejected_until = float("-inf")
        self.reported_load = 0.0
        self.reported_at = float("-inf")
        self.max_in_flight = max(1, settings.backend_connections // settings.entries)
        self._client: httpx.AsyncClient | None = None

    @property
    def has_free_capacity(self) -> bool:
        """Whether this entry may send one more request now."""
        return self.in_flight < self.max_in_flight

    @property
    def is_ejected(self) -> bool:
        """Whether this backend server is excluded for now because of recent failures."""
        return monotonic() < self.ejected_until

    def load(self) -> float:
        """Return the estimated requests per slot.

        Counts this entry's own requests and, from a recently reported load, other entries'.
        """
        others = 0.0
        if monotonic() - self.reported_at < MAX_LOAD_AGE_S:
            others = max(0.0, self.reported_load - self.in_flight)
        return (self.in_flight + others) / self.slots

    def note_success(self) -> None:
        """Reset the count of consecutive failures."""
        self.consecutive_failures = 0

    def note_failure(self) -> None:
        """Count a failure; eject the backend server for a while after several in a row."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= self.settings.eject_after:
            self.ejected_until = monotonic() + self.settings.eject_s
            self.consecutive_failures = 0

    async def send(self, request: CallerRequest, attempt_id: str) -> AttemptResult:
        """Send a request once and wait until its deadline for the whole response."""
        remaining = request.remaining_s()
        if remaining <= 0:
            return NotSent("deadline passed")
        timeout = httpx.Timeout(
            remaining, connect=min(remaining, self.settings.connect_timeout_s), pool=remaining
        )
        headers = [
            *_select_forwarded(request.headers),
            (REQUEST_ID_HEADER, attempt_id),
            (POOL_HEADER, request.pool),
            (TIMEOUT_HEADER, str(int(remaining * 1000))),
        ]
        outgoing = self._open_client().build_request(
            request.method,
            f"http://{self.address}{request.target}",
            headers=headers,
            content=request.body,
            timeout=timeout,
        )
        try:
            return await self._exchange(outgoing, attempt_id)
        except UNSENT_ERRORS as error:
            return NotSent(type(error).__name__)
        except (httpx.HTTPError, httpx.StreamError) as error:
            return Lost(type(error).__name__)

    async def _exchange(self, outgoing: httpx.Request, attempt_id: str) -> AttemptResult:
        """Send an HTTP request; accept the response only if it echoes the attempt's id."""
        response = await self._open_client().send(outgoing, stream=True)
        try:
            echo = response.headers.get(REQUEST_ID_HEADER)
            if echo != attempt_id:
                return Lost(f"answer to another request: {echo}")
            body = await self._read(response)
        finally:
            await response.aclose()
        if body is None:
            return Lost("answer too large")
        self._note_load(response.headers.get(LOAD_HEADER, ""))
        if response.headers.get(OUTCOME_HEADER) == NOT_RUN:
            return Declined(f"status {response.status_code}", LEAVING_HEADER in response.headers)
        return Answered(
            response.status_code, _select_forwarded(response.headers.multi_items()), body
        )

    async def _read(self, response: httpx.Response) -> bytes | None:
        """Return the whole body, None if it is larger than `max_body_bytes`."""
        parts: list[bytes] = []
        size = 0
        async for part in response.aiter_raw():
            size += len(part)
            if size > self.settings.max_body_bytes:
                return None
            parts.append(part)
        return b"".join(parts)

    def _note_load(self, text: str) -> None:
        """Note the load that a response reports as `RUNNING/SLOTS`."""
        running, _, _ = text.partition("/")
        if running.isdigit():
            self.reported_load = float(running)
            self.reported_at = monotonic()

    def _open_client(self) -> httpx.AsyncClient:
        if self._client is None:
            limits = httpx.Limits(
                max_connections=self.max_in_flight,
                max_keepalive_connections=self.max_in_flight,
                keepalive_expiry=30.0,
            )
            self._client = httpx.AsyncClient(
                limits=limits, trust_env=False, verify=UNUSED_TLS_CONTEXT
            )
        return self._client

    async def aclose(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
            self._client = None


def _select_forwarded(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name.lower() not in NOT_FORWARDED_HEADERS]

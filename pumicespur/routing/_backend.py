"""One backend server as an entry sees it: its connections, load and health."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

import httpx

from pumicespur.routing._messages import (
    DEADLINE,
    LEAVING,
    LOAD,
    OUTCOME,
    POOL,
    REQUEST_ID,
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
HOP_BY_HOP = frozenset(
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
"""Headers of one connection only (RFC 9110, section 7.6.1), and those that httpx sets."""

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
LOAD_FRESH_S = 1.0

NO_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Shared by all clients: each would read every root certificate again, for about 15 ms
and 250 KB, though backend servers are spoken to by plain HTTP."""


class Backend:
    """A backend server with its connections from this entry."""

    def __init__(self, assignment: Assignment, settings: EntrySettings) -> None:
        self.id = InstanceId(assignment.instance)
        self.address = assignment.address
        self.slots = assignment.slots or 1
        self.settings = settings
        self.in_flight = 0
        self.leaving = False
        self.failures = 0
        self.ejected_until = float("-inf")
        self.reported_load = 0.0
        self.reported_at = float("-inf")
        self.limit = max(1, settings.backend_connections // settings.entries)
        self._client: httpx.AsyncClient | None = None

    @property
    def has_room(self) -> bool:
        """Whether this entry may send one more request now."""
        return self.in_flight < self.limit

    @property
    def ejected(self) -> bool:
        """Whether recent failures leave this backend server out for now."""
        return monotonic() < self.ejected_until

    def load(self) -> float:
        """Return the expected requests per slot, from answers seen and requests sent."""
        others = 0.0
        if monotonic() - self.reported_at < LOAD_FRESH_S:
            others = max(0.0, self.reported_load - self.in_flight)
        return (self.in_flight + others) / self.slots

    def note_success(self) -> None:
        """Note a good answer."""
        self.failures = 0

    def note_failure(self) -> None:
        """Note a failure and leave the backend server out after several in a row."""
        self.failures += 1
        if self.failures >= self.settings.eject_after:
            self.ejected_until = monotonic() + self.settings.eject_s
            self.failures = 0

    async def send(self, request: CallerRequest, attempt_id: str) -> AttemptResult:
        """Send a request once and wait for the whole answer until its deadline."""
        remaining = request.remaining_s()
        if remaining <= 0:
            return NotSent("deadline passed")
        timeout = httpx.Timeout(
            remaining, connect=min(remaining, self.settings.connect_timeout_s), pool=remaining
        )
        headers = [
            *_end_to_end(request.headers),
            (REQUEST_ID, attempt_id),
            (POOL, request.pool),
            (DEADLINE, str(int(remaining * 1000))),
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
        except NEVER_SENT as failure:
            return NotSent(type(failure).__name__)
        except (httpx.HTTPError, httpx.StreamError) as failure:
            return Lost(type(failure).__name__)

    async def _exchange(self, outgoing: httpx.Request, attempt_id: str) -> AttemptResult:
        response = await self._open_client().send(outgoing, stream=True)
        try:
            echo = response.headers.get(REQUEST_ID)
            if echo != attempt_id:
                return Lost(f"answer to another request: {echo}")
            body = await self._read(response)
        finally:
            await response.aclose()
        if body is None:
            return Lost("answer too large")
        self._note_load(response.headers.get(LOAD, ""))
        if response.headers.get(OUTCOME) == NOT_RUN:
            return Declined(f"status {response.status_code}", LEAVING in response.headers)
        return Answered(response.status_code, _end_to_end(response.headers.multi_items()), body)

    async def _read(self, response: httpx.Response) -> bytes | None:
        parts: list[bytes] = []
        size = 0
        async for part in response.aiter_raw():
            size += len(part)
            if size > self.settings.max_body_bytes:
                return None
            parts.append(part)
        return b"".join(parts)

    def _note_load(self, text: str) -> None:
        running, _, _ = text.partition("/")
        if running.isdigit():
            self.reported_load = float(running)
            self.reported_at = monotonic()

    def _open_client(self) -> httpx.AsyncClient:
        if self._client is None:
            limits = httpx.Limits(
                max_connections=self.limit,
                max_keepalive_connections=self.limit,
                keepalive_expiry=30.0,
            )
            self._client = httpx.AsyncClient(limits=limits, trust_env=False, verify=NO_TLS)
        return self._client

    async def aclose(self) -> None:
        """Close all connections."""
        if self._client is not None:
            await self._client.aclose()
            self._client = None


def _end_to_end(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP]

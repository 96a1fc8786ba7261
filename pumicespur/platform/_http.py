"""HTTP calls to the platform and to workers; an error says whether the request may have arrived."""

from __future__ import annotations

import errno
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import anyio
import msgspec
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.store import AnswerLost, ConnectionBroken, NotListening, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

log = Logger(__name__)

JSON_HEADERS = {"Content-Type": "application/json"}
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)
"""For transfers, which have deadlines of their own."""

KEEP_ALIVE_TIMEOUT_S = 30.0
"""Idle time after which a connection is closed; the platform does not publish its own limit."""


STALL_TIMEOUT_S = 1.0
"""Longest pause within a response: a lost packet is retransmitted within 0.4 s, and a slow shared
link may take as long again."""

UNACKNOWLEDGED_TIMEOUT_S = 2.0
"""Time after which the kernel resets a connection whose peer acknowledges nothing of what was sent,
also while this process is frozen."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER`, on, with no time to linger."""

MAX_TRANSFER_S = 30.0
"""Longest time of one response: its maximum size, a megabyte, arrives in this time at 35 KB/s."""


@dataclass(frozen=True)
class Response:
    """A complete response."""

    status: int
    body: bytes


class Transfer:
    """The progress of a pending read, whose response may be large.

    The read continues as long as bytes arrive. A single timeout for the whole response would have
    to follow the few milliseconds of small responses, and a large configuration would never arrive
    over a slow link.
    """

    def __init__(self, first_bytes_timeout_s: float) -> None:
        self.sent_at = anyio.current_time()
        self.received_bytes = 0
        self.first_bytes_at: float | None = None
        """When the first bytes of the body arrived; None before."""
        self.newest_bytes_at = self.sent_at
        """When the newest bytes arrived, or the request was sent if none have."""
        self.latest_end_at = self.sent_at + MAX_TRANSFER_S
        self.given_up = False
        self.scope = anyio.CancelScope(deadline=self.sent_at + first_bytes_timeout_s)

    def note_received(self, size: int) -> None:
        """Count received bytes of the body and extend the deadline for the next ones."""
        self.newest_bytes_at = anyio.current_time()
        if self.first_bytes_at is None:
            self.first_bytes_at = self.newest_bytes_at
        self.received_bytes += size
        self.scope.deadline = min(self.newest_bytes_at + STALL_TIMEOUT_S, self.latest_end_at)

    def give_up(self) -> None:
        """Cancel the read and close its connection."""
        self.given_up = True
        self.scope.cancel()

    @property
    def idle_s(self) -> float:
        """The time since the newest bytes, in seconds."""
        return anyio.current_time() - self.newest_bytes_at

    @property
    def elapsed_s(self) -> float:
        """The time since the request, in seconds."""
        return anyio.current_time() - self.sent_at

    @property
    def first_bytes_after_s(self) -> float:
        """The time to the first bytes, which does not depend on the size of the response."""
        return self.elapsed_s if self.first_bytes_at is None else self.first_bytes_at - self.sent_at

    @property
    def receiving_s(self) -> float:
        """The time between the first and the newest bytes, in seconds."""
        return 0.0 if self.first_bytes_at is None else self.newest_bytes_at - self.first_bytes_at


Decoded = TypeVar("Decoded")


def decode_body(
    decode: Callable[[bytes], Decoded], content: bytes
) -> Result[Decoded, Unavailable | AnswerLost]:
    """Decode the body of a response; an invalid one counts as a lost response."""
    try:
        return Ok(decode(content))
    except (msgspec.MsgspecError, ValueError) as failure:
        start = content[:200].decode(errors="replace")
        log.error("response not understood", reason=str(failure), body=start)
        return Error(AnswerLost(f"not understood: {failure}"))


def open_resetting_socket(address: tuple[int, int, int, str, tuple[Any, ...]]) -> socket.socket:
    """Create a socket that resets its connection when it is closed, also by the process's end.

    A network that holds up the request of a call that timed out delivers it after a normal close,
    long after the time that its sender reckoned with. It drops it after a reset.
    """
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    timeout_ms = int(UNACKNOWLEDGED_TIMEOUT_S * 1000)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    return opened


class HttpClient:
    """A pool of connections; a failed call returns whether the request may have arrived.

    Nothing of a call that failed arrives later, see `open_resetting_socket`.
    """

    def __init__(self, connections_per_address: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_address,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            use_dns_cache=False,
            socket_factory=open_resetting_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        *,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Result[Response, Unavailable | AnswerLost]:
        """Send a request and read the whole response within `timeout_s`."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                return Ok(Response(response.status, await response.read()))
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            return Error(_call_error(failure, f"no response in {timeout_s:.2f} s"))

    async def read(
        self, url: str, transfer: Transfer
    ) -> Result[Response, Unavailable | AnswerLost]:
        """Read a response of any size for as long as bytes keep arriving."""
        try:
            with transfer.scope:
                return Ok(await self._read(url, transfer))
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            return Error(_call_error(failure, "no response in time"))
        if transfer.given_up:
            return Error(Unavailable("given up"))
        return Error(AnswerLost(f"no bytes received for {transfer.idle_s:.2f} s"))

    async def _read(self, url: str, transfer: Transfer) -> Response:
        async with self.session.get(url, timeout=NO_TIMEOUT, allow_redirects=False) as response:
            chunks = []
            async for chunk in response.content.iter_any():
                transfer.note_received(len(chunk))
                chunks.append(chunk)
            return Response(response.status, b"".join(chunks))


def _call_error(failure: Exception, timeout_reason: str) -> Unavailable | AnswerLost:
    match failure:
        case aiohttp.ClientConnectorError(os_error=ConnectionRefusedError()):
            return NotListening(f"not connected: {failure}")
        case aiohttp.ClientConnectorError():
            return Unavailable(f"not connected: {failure}")
        case TimeoutError():
            return AnswerLost(timeout_reason)
        case _ if _is_closed_by_peer(failure):
            return ConnectionBroken(f"connection broken: {type(failure).__name__}")
        case _:
            return AnswerLost(f"connection lost: {failure!r}")


def _is_closed_by_peer(failure: Exception) -> bool:
    """Return whether the peer ended a connection, which a silent one does not."""
    match failure:
        case aiohttp.ServerDisconnectedError() | aiohttp.ClientPayloadError() | ConnectionError():
            return True
        case OSError(errno=errno.ECONNRESET | errno.EPIPE):
            return True
        case _:
            return False

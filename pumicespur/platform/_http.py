"""HTTP calls to the platform and to workers, with faults told apart."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import anyio
import msgspec
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.store import AnswerLost, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

log = Logger(__name__)

JSON_HEADERS = {"Content-Type": "application/json"}
NO_TIMEOUT = aiohttp.ClientTimeout(total=None)
"""A transfer ends itself."""

KEEP_ALIVE_S = 30.0
"""Idle time after which a connection is closed; the platform's own limit is not published."""


STALL_S = 1.0
"""Longest pause between two pieces of an answer: a lost packet is sent again within 0.4 s, and a
thin link that others use as well takes as long again."""

MAX_TRANSFER_S = 30.0
"""Longest time of one answer: the megabyte that the platform hands out at most, at 35 KB/s."""


@dataclass(frozen=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes


class Transfer:
    """A reading whose answer may be large, and how far it has come.

    It lasts as long as bytes come. With one time-out for the whole answer, a large configuration
    would never arrive over a thin link, where small answers take milliseconds.
    """

    def __init__(self, first_bytes_s: float) -> None:
        self.asked_at = anyio.current_time()
        self.received_bytes = 0
        self.first_at: float | None = None
        """When the first bytes of the body came; None before."""
        self.newest_at = self.asked_at
        """When the newest bytes came, or when they were asked for."""
        self.last_at = self.asked_at + MAX_TRANSFER_S
        self.given_up = False
        self.scope = anyio.CancelScope(deadline=self.asked_at + first_bytes_s)

    def note(self, size: int) -> None:
        """Count bytes of the body that have come, and wait for the next ones."""
        self.newest_at = anyio.current_time()
        if self.first_at is None:
            self.first_at = self.newest_at
        self.received_bytes += size
        self.scope.deadline = min(self.newest_at + STALL_S, self.last_at)

    def give_up(self) -> None:
        """End the reading; its connection is closed."""
        self.given_up = True
        self.scope.cancel()

    @property
    def silent_s(self) -> float:
        """Return how long nothing has come."""
        return anyio.current_time() - self.newest_at

    @property
    def waited_s(self) -> float:
        """Return the time since the request."""
        return anyio.current_time() - self.asked_at

    @property
    def first_after_s(self) -> float:
        """Return how long the first bytes took, which does not depend on how many follow."""
        return self.waited_s if self.first_at is None else self.first_at - self.asked_at

    @property
    def receiving_s(self) -> float:
        """Return how long the body has been coming."""
        return 0.0 if self.first_at is None else self.newest_at - self.first_at


Decoded = TypeVar("Decoded")


def understand(
    decode: Callable[[bytes], Decoded], content: bytes
) -> Result[Decoded, Unavailable | AnswerLost]:
    """Decode the body of an answer; one that is not understood counts as none."""
    try:
        return Ok(decode(content))
    except (msgspec.MsgspecError, ValueError) as failure:
        start = content[:200].decode(errors="replace")
        log.error("answer not understood", reason=str(failure), body=start)
        return Error(AnswerLost(f"not understood: {failure}"))


class HttpCaller:
    """A pool of connections; a call returns an answer or tells whether it may have arrived."""

    def __init__(self, connections_per_address: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_address,
            keepalive_timeout=KEEP_ALIVE_S,
            use_dns_cache=False,
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
    ) -> Result[Answer, Unavailable | AnswerLost]:
        """Send one request and read its whole answer within `timeout_s` seconds."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                return Ok(Answer(response.status, await response.read()))
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            return Error(_fault(failure, f"no answer in {timeout_s:.2f} s"))

    async def read(self, url: str, transfer: Transfer) -> Result[Answer, Unavailable | AnswerLost]:
        """Read an answer of any size for as long as it keeps coming."""
        try:
            with transfer.scope:
                return Ok(await self._read(url, transfer))
        except (TimeoutError, aiohttp.ClientError, OSError) as failure:
            return Error(_fault(failure, "no answer in time"))
        if transfer.given_up:
            return Error(Unavailable("given up"))
        return Error(AnswerLost(f"nothing came for {transfer.silent_s:.2f} s"))

    async def _read(self, url: str, transfer: Transfer) -> Answer:
        async with self.session.get(url, timeout=NO_TIMEOUT, allow_redirects=False) as response:
            chunks = []
            async for chunk in response.content.iter_any():
                transfer.note(len(chunk))
                chunks.append(chunk)
            return Answer(response.status, b"".join(chunks))


def _fault(failure: Exception, late: str) -> Unavailable | AnswerLost:
    match failure:
        case aiohttp.ClientConnectorError():
            return Unavailable(f"not connected: {failure}")
        case TimeoutError():
            return AnswerLost(late)
        case _:
            return AnswerLost(f"connection broken: {type(failure).__name__}")

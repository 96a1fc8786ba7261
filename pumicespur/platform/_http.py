"""HTTP calls to the platform and to workers, with faults told apart."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.store import AnswerLost, Unavailable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

log = Logger(__name__)

JSON_HEADERS = {"Content-Type": "application/json"}
KEEP_ALIVE_S = 30.0
"""Idle time after which a connection is closed; the platform's own limit is not published."""


@dataclass(frozen=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass
class Transfer:
    """How far the answer to one call has come; times are monotonic seconds."""

    asked_at: float
    received_bytes: int = 0
    first_at: float | None = None
    """When the first bytes of the body came; None before."""
    newest_at: float = 0.0
    """When the newest bytes came."""

    def note(self, size: int) -> None:
        """Count bytes of the body that have come."""
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
        self.newest_at = now
        self.received_bytes += size

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
        transfer: Transfer | None = None,
    ) -> Result[Answer, Unavailable | AnswerLost]:
        """Send one request and read its whole answer within `timeout_s` seconds.

        `transfer` is told of the body's bytes as they come.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.session.request(
                method, url, data=body, headers=headers, timeout=timeout, allow_redirects=False
            ) as response:
                return Ok(Answer(response.status, await _read(response, transfer)))
        except aiohttp.ClientConnectorError as failure:
            return Error(Unavailable(f"not connected: {failure}"))
        except TimeoutError:
            return Error(AnswerLost(f"no answer in {timeout_s:.2f} s"))
        except (aiohttp.ClientError, OSError) as failure:
            return Error(AnswerLost(f"connection broken: {type(failure).__name__}"))


async def _read(response: aiohttp.ClientResponse, transfer: Transfer | None) -> bytes:
    if transfer is None:
        return await response.read()
    chunks = []
    async for chunk in response.content.iter_any():
        transfer.note(len(chunk))
        chunks.append(chunk)
    return b"".join(chunks)

"""HTTP calls to the platform and to workers, with faults told apart."""

from __future__ import annotations

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
        except aiohttp.ClientConnectorError as failure:
            return Error(Unavailable(f"not connected: {failure}"))
        except TimeoutError:
            return Error(AnswerLost(f"no answer in {timeout_s:.2f} s"))
        except (aiohttp.ClientError, OSError) as failure:
            return Error(AnswerLost(f"connection broken: {type(failure).__name__}"))

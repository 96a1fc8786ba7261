"""Serve a handler at an address from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 512
"""Connections that may wait to be taken; some times what comes at once in a peak."""

KEEP_ALIVE_S = 75.0
"""Idle time after which a connection is closed; longer than callers keep theirs."""


async def listen_at(
    address: str, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
) -> web.ServerRunner:
    """Serve at an IP number and port; port 0 takes a free one."""
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S))
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner


def bound_to(runner: web.BaseRunner) -> str:
    """Return the IP number and port at which a runner serves."""
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"

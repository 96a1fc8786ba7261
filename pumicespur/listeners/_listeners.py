"""Listeners that serve a handler at an address from the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 512
"""Connections that may wait to be accepted; several times the number that arrive at once in
a load peak."""

KEEP_ALIVE_S = 75.0
"""Idle time after which a connection is closed; longer than callers keep an idle connection."""


async def start_server(
    address: str, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
) -> web.ServerRunner:
    """Start a server at an IP address and port; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(web.Server(handler, access_log=None, keepalive_timeout=KEEP_ALIVE_S))
    await runner.setup()
    await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()
    return runner


def bound_address(runner: web.BaseRunner) -> str:
    """Return the IP address and port at which a runner serves."""
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"

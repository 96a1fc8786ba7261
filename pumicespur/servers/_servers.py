"""Listening sockets and hypercorn configuration, the same for every server."""

from __future__ import annotations

import socket
import sys
from typing import TYPE_CHECKING, Any

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

BACKLOG = 1024
MAX_HEADER_BYTES = 32 * 1024
HEADER_TIMEOUT_S = 10


def listen(address: str) -> socket.socket:
    """Return a socket that listens at `IP:port`; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound


def bound_address(bound: socket.socket) -> str:
    """Return the `IP:port` that a socket is bound to."""
    host, port = bound.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def hypercorn_config(bound: socket.socket) -> Config:
    """Return a hypercorn configuration for an open socket."""
    config = Config()
    config.bind = [f"fd://{bound.fileno()}"]
    config.backlog = BACKLOG
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = HEADER_TIMEOUT_S
    # By default a connection is closed without notice after 1,000 requests.
    config.keep_alive_max_requests = sys.maxsize
    config.graceful_timeout = 0.5
    config.loglevel = "ERROR"
    return config


async def serve_app(
    app: Any, config: Config, stopped: Callable[[], Awaitable[None]] = anyio.sleep_forever
) -> None:
    """Serve an ASGI application until `stopped` returns or the task is cancelled.

    Hypercorn's own cleanup fails under anyio's repeated cancellation, so it is shielded and
    ended by its shutdown trigger. Without a trigger it would also install its own signal
    handlers.
    """
    trigger = anyio.Event()

    async def serve_shielded() -> None:
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=trigger.wait, mode="asgi")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_shielded)
        try:
            await stopped()
        finally:
            trigger.set()

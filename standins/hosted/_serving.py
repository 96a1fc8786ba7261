"""Serve the application of a stand-in over HTTP on a loopback port."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from aiohttp import web

from pumicespur.listeners import bound_address

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler, Middleware

SHUTDOWN_TIMEOUT_S = 0.05
"""Time for open requests to finish on close; those that a fault leaves unanswered never would."""

CLOSE_STEPS = 5
"""Steps of the event loop in which connections that are being accepted are open and are closed."""


class AppServer:
    """Serves one application; `address` says where."""

    def __init__(self, app: web.Application) -> None:
        self.handlers: set[asyncio.Task[Any]] = set()
        """Tasks that handle requests; one goes on when its caller disconnects."""
        app.middlewares.append(self._make_tracker())
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self.address = ""

    def _make_tracker(self) -> Middleware:
        @web.middleware
        async def track(request: web.Request, handler: Handler) -> web.StreamResponse:
            task = asyncio.current_task()
            assert task is not None
            self.handlers.add(task)
            task.add_done_callback(self.handlers.discard)
            return await handler(request)

        return track

    async def open(self, port: int = 0) -> None:
        """Listen on a loopback port, by default on a free one."""
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port, reuse_address=True).start()
        self.address = bound_address(self.runner)

    async def close(self) -> None:
        """Close all connections, end all requests and accept no more.

        The runner's own cleanup waits for open requests. One that ends as this wait is over, or is
        cancelled, meets a cancelled future, which aiohttp logs as an error of the handler. So no
        request is left when the cleanup begins, not even one whose caller is gone.
        """
        for site in list(self.runner.sites):
            await site.stop()
        for _ in range(CLOSE_STEPS):
            self._abort_connections()
            await asyncio.sleep(0)
        await self.runner.cleanup()

    def _abort_connections(self) -> None:
        for task in self.handlers:
            task.cancel()
        if self.runner.server is None:
            return
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

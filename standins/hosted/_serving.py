"""Serve the application of a stand-in over HTTP on a loopback port."""

from __future__ import annotations

import asyncio

from aiohttp import web

from pumicespur.listeners import bound_address

SHUTDOWN_TIMEOUT_S = 0.05
"""Time for open requests to finish on close; those that a fault leaves unanswered never would."""


class AppServer:
    """Serves one application; `address` says where."""

    def __init__(self, app: web.Application) -> None:
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self.address = ""

    async def open(self, port: int = 0) -> None:
        """Listen on a loopback port, by default on a free one."""
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port, reuse_address=True).start()
        self.address = bound_address(self.runner)

    async def close(self) -> None:
        """Close all connections and accept no more.

        The runner's own cleanup is not enough: a request that ends just as its shutdown timeout
        expires meets a cancelled future, which aiohttp logs as an error of the handler.
        """
        for site in list(self.runner.sites):
            await site.stop()
        if self.runner.server is not None:
            # Set only here: while serving, a call is carried out even if its caller disconnects.
            self.runner.server.handler_cancellation = True
            for connection in self.runner.server.connections:
                connection.force_close()
            # Let the event loop run once so that the handlers are cancelled.
            await asyncio.sleep(0)
        await self.runner.cleanup()

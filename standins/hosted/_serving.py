"""Serve a stand-in at a free port."""

from __future__ import annotations

import asyncio

from aiohttp import web

from pumicespur.listeners import bound_to

SHUTDOWN_S = 0.05
"""Time that open requests get when a stand-in ends; silent ones would wait for ever."""


class Served:
    """An application that is served, and where."""

    def __init__(self, app: web.Application) -> None:
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
        self.address = ""

    async def open(self, port: int = 0) -> None:
        """Listen at a loopback port, by default at a free one."""
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", port, reuse_address=True).start()
        self.address = bound_to(self.runner)

    async def close(self) -> None:
        """Break all connections and take no more.

        Left to the runner, a request that ends just as its time is over meets a future that is
        cancelled, which the library logs as an error of the handler.
        """
        for site in list(self.runner.sites):
            await site.stop()
        if self.runner.server is not None:
            # Only now: before, a call whose caller has gone is carried out all the same.
            self.runner.server.handler_cancellation = True
            for connection in self.runner.server.connections:
                connection.force_close()
            # The handlers are cancelled in the loop's next step.
            await asyncio.sleep(0)
        await self.runner.cleanup()

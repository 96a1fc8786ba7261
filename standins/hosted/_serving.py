"""Serve a stand-in at a free port."""

from __future__ import annotations

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
        """Break all connections and take no more."""
        await self.runner.cleanup()

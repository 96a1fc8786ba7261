"""The stand-in for the service that says which workers may run a step."""

from __future__ import annotations

import itertools

from aiohttp import web

VALID_MS = 400
"""How long a ticket holds; short, so that tests meet its end."""


class HostedAdvice:
    """Gives tickets for workers that a test does not rule out."""

    def __init__(self) -> None:
        self.numbers = itertools.count(1)
        self.ruled_out: set[str] = set()
        """Workers that may not run any step."""
        self.tickets: dict[str, tuple[str, str]] = {}
        """Tickets given, with the step and the worker that each is for."""

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_post("/pumicespur/advise", self._advise)
        return app

    async def _advise(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        good = []
        for worker in body["workers"]:
            if worker in self.ruled_out:
                continue
            ticket = f"t-{next(self.numbers)}"
            self.tickets[ticket] = (body["step"], worker)
            good.append([worker, ticket])
        return web.json_response({"good": good, "valid_ms": VALID_MS})

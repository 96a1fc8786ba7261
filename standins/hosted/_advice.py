"""The stand-in for the placement advice service, which says which workers may run a step."""

from __future__ import annotations

import itertools

from aiohttp import web

TICKET_VALIDITY_MS = 400
"""Short, so that tickets expire within a test."""


class HostedAdvice:
    """Issues admission tickets for all workers that a test has not ruled out."""

    def __init__(self) -> None:
        self.ticket_numbers = itertools.count(1)
        self.ruled_out: set[str] = set()
        """Workers that may not run any step, set by a test."""
        self.tickets: dict[str, tuple[str, str]] = {}
        """Issued tickets with the step and the worker that each is for."""

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_post("/pumicespur/advise", self._advise)
        return app

    async def _advise(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        admitted = []
        for worker in body["workers"]:
            if worker in self.ruled_out:
                continue
            ticket = f"t-{next(self.ticket_numbers)}"
            self.tickets[ticket] = (body["step"], worker)
            admitted.append([worker, ticket])
        return web.json_response({"good": admitted, "valid_ms": TICKET_VALIDITY_MS})

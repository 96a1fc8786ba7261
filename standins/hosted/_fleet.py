"""The stand-in for the platform's list of instances and the orders for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclass(frozen=True)
class FleetOrder:
    """One order as the platform took it."""

    kind: str
    instance: str
    holder: str
    token: int
    at: float
    """Monotonic time at which it was taken."""
    worker: str
    """The worker that ran there, empty if there was none."""


class HostedFleet:
    """Lists instances; an order calls back into the world that runs the workers."""

    def __init__(
        self,
        take_down: Callable[[str], Awaitable[None]],
        bring_up: Callable[[str, str], Awaitable[None]],
    ) -> None:
        self.take_down = take_down
        """Ends the worker of an instance."""
        self.bring_up = bring_up
        """Gives an instance a new worker, in a pool."""
        self.busy_s = 0.0
        """How long a move or maintenance takes."""
        self.busy: dict[str, str] = {}
        """What is done with instances that are not up."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.pools: dict[str, str] = {}
        self.racks: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        self.orders: list[FleetOrder] = []

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/pumicespur/machines", self._list)
        app.router.add_post("/pumicespur/machine-move", self._move)
        app.router.add_post("/pumicespur/machine-upkeep", self._maintain)
        return app

    def close(self) -> None:
        """Bring no more instances up."""
        for task in self.tasks:
            task.cancel()

    async def _list(self, request: web.Request) -> web.StreamResponse:
        machines = [
            {
                "machine": name,
                "pool": pool,
                "state": self.busy.get(name, "up"),
                "zone": "hall",
                "labels": ["a", self.racks[name]],
                "capacity": {"cpu": 4000, "memMb": 8000},
                "id": self.workers.get(name),
            }
            for name, pool in self.pools.items()
        ]
        return web.json_response({"machines": machines, "nextToken": None})

    async def _move(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "moving")

    async def _maintain(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "upkeep")

    async def _order(self, request: web.Request, kind: str) -> web.StreamResponse:
        body = await request.json()
        name = body["machine"]
        if name not in self.pools:
            return web.json_response({"reason": "unknown"}, status=400)
        if name in self.busy:
            return web.json_response({"reason": "busy"}, status=409)
        self.orders.append(
            FleetOrder(
                "move" if kind == "moving" else "maintain",
                name,
                request.headers["X-Pumicespur-Lease-Holder"],
                int(request.headers["X-Pumicespur-Fencing-Token"]),
                monotonic(),
                self.workers.get(name, ""),
            )
        )
        self.pools[name] = body.get("pool", self.pools[name])
        self.busy[name] = kind
        await self.take_down(name)
        if self.busy_s:
            task = asyncio.create_task(self._return_later(name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            await self._return(name)
        return web.json_response({})

    async def _return_later(self, name: str) -> None:
        await asyncio.sleep(self.busy_s)
        await self._return(name)

    async def _return(self, name: str) -> None:
        await self.bring_up(name, self.pools[name])
        self.busy.pop(name, None)

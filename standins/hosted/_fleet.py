"""The stand-in for the platform's list of instances and the orders for them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclass(frozen=True)
class FleetOrder:
    """One order as the platform took it."""

    kind: str
    instance: str
    holder: str
    token: int


class HostedFleet:
    """Lists instances; an order calls back into the world that runs the workers."""

    def __init__(self, rebuild: Callable[[str, str], Awaitable[None]]) -> None:
        self.rebuild = rebuild
        """Gives an instance a new worker, in a pool."""
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

    async def _list(self, request: web.Request) -> web.StreamResponse:
        machines = [
            {
                "machine": name,
                "pool": pool,
                "state": "up",
                "zone": "hall",
                "labels": ["a", self.racks[name]],
                "capacity": {"cpu": 4000, "memMb": 8000},
                "id": self.workers.get(name),
            }
            for name, pool in self.pools.items()
        ]
        return web.json_response({"machines": machines, "nextToken": None})

    async def _move(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "move")

    async def _maintain(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "maintain")

    async def _order(self, request: web.Request, kind: str) -> web.StreamResponse:
        body = await request.json()
        name = body["machine"]
        if name not in self.pools:
            return web.json_response({"reason": "unknown"}, status=400)
        self.orders.append(
            FleetOrder(
                kind,
                name,
                request.headers["X-Pumicespur-Lease-Holder"],
                int(request.headers["X-Pumicespur-Fencing-Token"]),
            )
        )
        self.pools[name] = body.get("pool", self.pools[name])
        await self.rebuild(name, self.pools[name])
        return web.json_response({})

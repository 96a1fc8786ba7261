"""The stand-in for the platform's list of instances and its orders for them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from pumicespur.utils import monotonic
from standins.hosted._halls import DEFAULT_HALL

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclass(frozen=True)
class FleetOrder:
    """One order as the platform accepted it."""

    kind: str
    instance: str
    holder: str
    token: int
    at: float
    """Monotonic time of acceptance, in seconds."""
    worker: str
    """The worker that ran on the instance, empty if there was none."""


class HostedFleet:
    """Lists instances and carries out orders by callbacks to the `World` that runs the workers."""

    def __init__(
        self,
        take_down: Callable[[str], Awaitable[None]],
        bring_up: Callable[[str, str], Awaitable[None]],
        hall_of: Callable[[str], str] = lambda rack: DEFAULT_HALL,
    ) -> None:
        self.take_down = take_down
        """Stops the worker of an instance."""
        self.bring_up = bring_up
        """Starts a new worker on an instance, in a pool."""
        self.hall_of = hall_of
        """Returns the data hall of a rack."""
        self.busy_s = 0.0
        """Duration of a move or maintenance."""
        self.busy: dict[str, str] = {}
        """State of each instance that is not up, as the list shows it."""
        self.tasks: set[asyncio.Task[None]] = set()
        self.pools: dict[str, str] = {}
        self.racks: dict[str, str] = {}
        self.workers: dict[str, str] = {}
        """The worker that runs on each instance; instances without one are left out."""
        self.spare_pools = frozenset({"idle"})
        self.orders: list[FleetOrder] = []

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/pumicespur/machines", self._list)
        app.router.add_post("/pumicespur/machine-move", self._move)
        app.router.add_post("/pumicespur/machine-upkeep", self._maintain)
        return app

    def close(self) -> None:
        """Cancel the pending returns of instances into service."""
        for task in self.tasks:
            task.cancel()

    async def _list(self, request: web.Request) -> web.StreamResponse:
        machines = [
            {
                "machine": name,
                "pool": pool,
                "state": self._state(name),
                "zone": self.hall_of(self.racks[name]),
                "labels": ["a", self.racks[name]],
                "capacity": {"cpu": 4000, "memMb": 8000},
                "id": self.workers.get(name),
            }
            for name, pool in self.pools.items()
        ]
        return web.json_response({"machines": machines, "nextToken": None})

    def _state(self, instance: str) -> str:
        """Return an instance's state; one that lacks a worker is down, unless it is a spare one."""
        needs_worker = self.pools[instance] not in self.spare_pools
        is_down = needs_worker and instance not in self.workers
        return self.busy.get(instance, "down" if is_down else "up")

    async def _move(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "moving")

    async def _maintain(self, request: web.Request) -> web.StreamResponse:
        return await self._order(request, "upkeep")

    async def _order(self, request: web.Request, kind: str) -> web.StreamResponse:
        body = await request.json()
        instance = body["machine"]
        if instance not in self.pools:
            return web.json_response({"reason": "unknown"}, status=400)
        if instance in self.busy:
            return web.json_response({"reason": "busy"}, status=409)
        self.orders.append(
            FleetOrder(
                "move" if kind == "moving" else "maintain",
                instance,
                request.headers["X-Pumicespur-Lease-Holder"],
                int(request.headers["X-Pumicespur-Fencing-Token"]),
                monotonic(),
                self.workers.get(instance, ""),
            )
        )
        self.pools[instance] = body.get("pool", self.pools[instance])
        self.busy[instance] = kind
        await self.take_down(instance)
        if self.busy_s:
            task = asyncio.create_task(self._return_later(instance))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            await self._return(instance)
        return web.json_response({})

    async def _return_later(self, instance: str) -> None:
        await asyncio.sleep(self.busy_s)
        await self._return(instance)

    async def _return(self, instance: str) -> None:
        await self.bring_up(instance, self.pools[instance])
        self.busy.pop(instance, None)

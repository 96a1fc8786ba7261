"""The stand-ins of the platform with a link in front of each that a fault can touch."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from pumicespur.utils import monotonic
from soak._accounts import KEYED_ROUTE, AccountBook
from standins.hosted import HostedWorker, Link, World

if TYPE_CHECKING:
    from standins.hosted import Node, StoredRow

MAINTENANCE_S = 0.6
"""How long a move or maintenance takes; the nodes are told a sixth of it, as estimates are."""

TASK_S = 0.25
"""How long a short task takes: long enough to be met by faults."""

FOREIGN = "foreign-"
"""How the keys of other writers' entries begin."""

INSTANCES_PER_RACK = 2


@dataclass
class NodeLinks:
    """All links of one node; they outlive its processes."""

    store: Link
    callers: Link
    workers: dict[str, Link] = field(default_factory=dict)
    """By the worker's own address."""

    def all(self) -> list[Link]:
        """Return every link."""
        return [self.store, self.callers, *self.workers.values()]


class SoakWorld(World):
    """A world in which each node reaches store and workers through links of its own."""

    def __init__(self, node_module: str) -> None:
        super().__init__()
        self.node_module = node_module
        self.task_s = TASK_S
        self.fleet.busy_s = MAINTENANCE_S
        self.links: dict[str, NodeLinks] = {}
        self.lives: list[Node] = []
        """Every process that was started."""
        self.expected_ends: set[int] = set()
        """Processes that the soak ended, by their ids."""
        self.book = AccountBook()
        self.added: dict[str, float] = {}
        """Routes that every configuration from some time on has, and that time."""

    def reconfigure(self, routes_more: int = 0) -> None:
        """Write a configuration that adds a route for good and one for itself alone."""
        version = self.version + 1
        self.added[f"kept-{version}"] = monotonic()
        more = (f"more-{number}" for number in range(routes_more))
        self.configure(version, ("quick", f"v{version}", *self.added, *more))

    def configure(self, version: int, routes: tuple[str, ...] = ("quick",), **fields: Any) -> None:
        """Write a configuration with one route more that needs the key of an account."""
        self.accounts = self.book.declared()
        self.public_routes = frozenset(routes)
        super().configure(version, (*routes, KEYED_ROUTE), **fields)

    async def close(self) -> None:
        """End all that was started, the links too."""
        for links in self.links.values():
            for link in links.all():
                await link.close()
        await super().close()

    async def add_node(self, name: str) -> None:
        """Give a node its links and start it."""
        store = await self.serve(self.store.app(lambda row: self._show(name, row)))
        links = NodeLinks(Link(lambda: store), Link(lambda: self.caller_address(name)))
        await links.store.listen()
        await links.callers.listen()
        self.links[name] = links
        for worker in self.workers.values():
            await self._link(links, worker)
        self.start_node(name)

    def start_node(self, name: str) -> Node:
        """Start a process of a node that has its links."""
        addresses = self.addresses | {"store": self.links[name].store.address}
        node = self.nodes.start(name, addresses, self.node_module)
        self.lives.append(node)
        return node

    def caller_address(self, name: str) -> str:
        """Return where a node's present process serves callers, empty while it does not."""
        node = self.nodes.nodes[name]
        return node.address("callers") if node.process.poll() is None else ""

    async def publish(self, worker: HostedWorker) -> None:
        """Link a new worker to every node, then let it write itself into the store."""
        for links in self.links.values():
            if worker.address not in links.workers:
                await self._link(links, worker)
        await super().publish(worker)

    async def _link(self, links: NodeLinks, worker: HostedWorker) -> None:
        address = worker.address
        link = Link(lambda: address)
        await link.listen()
        links.workers[address] = link

    def _show(self, name: str, row: StoredRow) -> StoredRow:
        """Show a node the address of its own link to a worker."""
        if row.place[0] != "servers" or row.gone or row.place[2].startswith(FOREIGN):
            return row
        entry = json.loads(base64.b64decode(row.value))
        link = self.links[name].workers.get(entry["address"])
        if link is not None:
            entry["address"] = link.address
        return replace(row, value=base64.b64encode(json.dumps(entry).encode()).decode())

    async def replace_worker(
        self, worker: HostedWorker, for_s: float, pool: str | None = None
    ) -> None:
        """End a worker for good; another one follows on its instance.

        It comes after a while, or at once, at the same address, in another pool.
        """
        name = worker.instance
        if self.workers.get(name) is not worker:
            return
        await self.take_down(name)
        if pool is not None:
            stranger = HostedWorker(f"{worker.id}-next", pool, name, worker.rack, self.history)
            await self._start_incarnation(stranger, int(worker.address.rpartition(":")[2]))
            await self.publish(stranger)
            return
        await asyncio.sleep(for_s)
        if name not in self.workers and name not in self.fleet.busy:
            await self.bring_up(name, self.fleet.pools[name])

    def serving_workers(self) -> list[HostedWorker]:
        """Return the workers of the pool, in the order of their instances."""
        return [self.workers[name] for name in sorted(self.workers)]

"""The platform's stand-ins, each behind links that faults can disrupt."""

from __future__ import annotations

import asyncio
import base64
import json
import re
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from pumicespur.utils import monotonic
from soak._accounts import KEYED_ROUTE, AccountHistory
from standins.hosted import HostedWorker, Link, World

if TYPE_CHECKING:
    from standins.hosted import Node, StoredRow

MAINTENANCE_DURATION_S = 0.6
"""Duration of a move or maintenance; nodes are configured with a sixth, as a poor estimate."""

FOREIGN_PREFIX = "foreign-"
"""Prefix of the keys of entries that other writers put among the workers'."""

INSTANCES_PER_RACK = 2

HALLS = 4
"""Data halls, to which racks belong in turn; as many as in the deployments that evacuate them."""

COLD_S = 0.5
"""Time for which workers are cold; tasks started meanwhile run at half speed."""


@dataclass
class NodeLinks:
    """All links of one node; they persist when its process is restarted."""

    store: Link
    fleet: Link
    callers: Link
    workers: dict[str, Link] = field(default_factory=dict)
    """Links by the worker's own address."""

    def all_links(self) -> list[Link]:
        """Return every link."""
        return [self.store, self.fleet, self.callers, *self.workers.values()]


class SoakWorld(World):
    """A world in which each node reaches the store and the workers through its own links."""

    def __init__(self, node_module: str) -> None:
        super().__init__()
        self.node_module = node_module
        self.fleet.busy_s = MAINTENANCE_DURATION_S
        self.links: dict[str, NodeLinks] = {}
        self.started_nodes: list[Node] = []
        """Every process that was started, also those that have ended."""
        self.expected_ends: set[int] = set()
        """Ids of the processes that the soak ended on purpose."""
        self.account_history = AccountHistory()
        self.node_settings: dict[str, str] = {}
        """Settings of nodes that differ from the stand-ins'."""
        self.lost_nodes: set[str] = set()
        self.lost_instances: set[str] = set()
        """What a fault has ended until another one starts it again."""
        self.absent_routes: set[str] = set()
        """Routes that are left out of the next configurations."""
        self.added_routes: dict[str, float] = {}
        """Permanent routes, with the monotonic time of the first configuration that had them."""

    def reconfigure(self, extra_routes: int = 0) -> None:
        """Write a configuration with one new permanent route and one route of this version only."""
        version = self.version + 1
        self.added_routes[f"kept-{version}"] = monotonic()
        more = (f"more-{number}" for number in range(extra_routes))
        self.configure(version, ("quick", f"v{version}", *self.added_routes, *more))

    def configure(self, version: int, routes: tuple[str, ...] = ("quick",), **fields: Any) -> None:
        """Write a configuration with the given public routes and one that requires an API key."""
        self.accounts = self.account_history.declarations()
        self.public_routes = frozenset(routes)
        present = tuple(r for r in (*routes, KEYED_ROUTE) if r not in self.absent_routes)
        super().configure(version, present, **fields)

    async def close(self) -> None:
        """Close the links and everything else that was started."""
        for links in self.links.values():
            for link in links.all_links():
                await link.close()
        await super().close()

    async def add_node(self, name: str) -> None:
        """Create the links of a node and start its process."""
        store = await self.serve(
            self.store.app(lambda row: self._rewrite_worker_address(name, row))
        )
        links = NodeLinks(
            store=Link(lambda: store),
            fleet=Link(lambda: self.addresses["fleet"]),
            callers=Link(lambda: self.caller_address(name)),
        )
        for link in links.all_links():
            await link.listen()
        self.links[name] = links
        for worker in self.workers.values():
            await self._add_link(links, worker)
        self.start_node(name)

    def start_node(self, name: str) -> Node:
        """Start a process of a node whose links exist."""
        links = self.links[name]
        own = {"store": links.store.address, "fleet": links.fleet.address}
        addresses = self.addresses | own
        node = self.nodes.prepare(name, addresses)
        text = node.settings.read_text()
        for setting, value in self.node_settings.items():
            text = re.sub(rf"^{setting} = .*$", f"{setting} = {value}", text, flags=re.MULTILINE)
        node.settings.write_text(text)
        self.nodes.launch(node, self.node_module)
        self.started_nodes.append(node)
        return node

    def caller_address(self, name: str) -> str:
        """Return the address at which a node serves callers; empty while it is not running."""
        node = self.nodes.nodes[name]
        return node.address("callers") if node.process.poll() is None else ""

    async def publish(self, worker: HostedWorker) -> None:
        """Link every node to a new worker, then write the worker's entry into the store."""
        for links in self.links.values():
            if worker.address not in links.workers:
                await self._add_link(links, worker)
        await super().publish(worker)

    async def _add_link(self, links: NodeLinks, worker: HostedWorker) -> None:
        address = worker.address
        link = Link(lambda: address)
        await link.listen()
        links.workers[address] = link

    def _rewrite_worker_address(self, name: str, row: StoredRow) -> StoredRow:
        """Replace a worker's address by that of the node's link to it."""
        if row.place[0] != "servers" or row.gone or row.place[2].startswith(FOREIGN_PREFIX):
            return row
        entry = json.loads(base64.b64decode(row.value))
        link = self.links[name].workers.get(entry["address"])
        if link is not None:
            entry["address"] = link.address
        return replace(row, value=base64.b64encode(json.dumps(entry).encode()).decode())

    async def replace_worker(
        self, worker: HostedWorker, for_s: float, pool: str | None = None
    ) -> None:
        """End a worker for good and start another one on its instance.

        The new worker starts after `for_s` seconds in the instance's pool or, if `pool` is given,
        at once in that pool and at the same address.
        """
        name = worker.instance
        if self.workers.get(name) is not worker:
            return
        await self.take_down(name)
        if pool is not None:
            successor = HostedWorker(f"{worker.id}-next", pool, name, worker.rack, self.history)
            await self._start_incarnation(successor, int(worker.address.rpartition(":")[2]))
            await self.publish(successor)
            return
        await asyncio.sleep(for_s)
        if name not in self.workers and name not in self.fleet.busy:
            await self.bring_up(name, self.fleet.pools[name])

    def serving_workers(self) -> list[HostedWorker]:
        """Return all current workers, in the order of their instances' names."""
        return [self.workers[name] for name in sorted(self.workers)]

"""Everything that a test of the role `node` needs: the platform's stand-ins and the nodes."""

from __future__ import annotations

import asyncio
import itertools
import json
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from pumicespur.schema.jobs_pb import OwnerRecord
from pumicespur.utils import monotonic
from standins.hosted._advice import HostedAdvice
from standins.hosted._fleet import HostedFleet
from standins.hosted._nodes import NODE_MODULE, Nodes
from standins.hosted._serving import Served
from standins.hosted._store import HostedStore
from standins.hosted._workers import HostedWorker, Run

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.hosted._nodes import Node

WAIT_S = 20.0
CHECK_S = 0.02
TASK_S = 0.05
CRASH_BACK_S = 0.4
"""Time after which an instance whose worker a task brought down runs another one."""
MAX_ATTEMPTS = 3
"""Failed runs of one task after which its job has failed."""
LOG_TAIL = 4000
"""Characters of each node's log that a failed wait shows."""
HOST = "jobs.example"


class World:
    """A platform with one pool `main`, a spare one, and nodes under test."""

    def __init__(self) -> None:
        self.store = HostedStore()
        self.fleet = HostedFleet(self.take_down, self.bring_up)
        self.advice = HostedAdvice()
        self.nodes = Nodes()
        self.node_module = NODE_MODULE
        self.history: list[Run] = []
        self.workers: dict[str, HostedWorker] = {}
        """The present worker of each instance."""
        self.version = 0
        """Version of the newest configuration."""
        self.accounts: list[dict[str, Any]] = []
        """The client accounts of the next configuration, as operators write them."""
        self.public_routes: frozenset[str] = frozenset()
        """Routes that need no key although there are accounts."""
        self.numbers = itertools.count(1)
        self.task_s = TASK_S
        """How long a short task of a new worker takes."""
        self.served: list[Served] = []
        self.rooms: dict[str, list[tuple[float, int]]] = {}
        """By worker, also those that are gone: what its room was since when."""
        self.names_kept = False
        """Whether workers that a task brings down start again under their names."""
        self.crashes: set[asyncio.Task[None]] = set()
        """Workers that a task has brought down and that are not back yet."""
        self.session: aiohttp.ClientSession | None = None
        self.addresses: dict[str, str] = {}

    async def open(self) -> None:
        """Serve the store and the list of instances."""
        self.session = aiohttp.ClientSession()
        for name, app in (
            ("store", self.store.app()),
            ("fleet", self.fleet.app()),
            ("advice", self.advice.app()),
        ):
            self.addresses[name] = await self.serve(app)
        self.configure(1)

    async def serve(self, app: web.Application) -> str:
        """Serve a stand-in until the world closes; return its address."""
        served = Served(app)
        await served.open()
        self.served.append(served)
        return served.address

    async def close(self) -> None:
        """End all that was started."""
        self.nodes.close()
        self.fleet.close()
        for crash in list(self.crashes):
            crash.cancel()
        if self.session is not None:
            await self.session.close()
        for worker in list(self.workers.values()):
            await worker.crash()
        for served in self.served:
            await served.close()

    def configure(self, version: int, routes: tuple[str, ...] = ("quick",), **fields: Any) -> None:
        """Write the operators' configuration with routes to the pool `main`."""
        self.version = version
        made = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "backend": "main",
                "timeoutMs": 3000,
                "targetLatencyMs": 500,
                "maxAttempts": MAX_ATTEMPTS,
                "stretch": 2.0,
                **({"public": True} if name in self.public_routes else {}),
                **fields,
            }
            for name in routes
        ]
        pools = [
            {"name": "main", "admissionCheck": True},
            {"name": "second", "admissionCheck": True},
            {"name": "idle", "spare": True},
        ]
        content = {"version": version, "routes": made, "services": pools, "limits": {}}
        if self.accounts:
            content["tenants"] = self.accounts
        self.store.put(("op", "", "config"), json.dumps(content).encode())

    async def add_worker(self, instance: str, rack: str = "r1-1", pool: str = "main") -> None:
        """Give an instance a new worker in a pool."""
        number = next(self.numbers)
        worker = HostedWorker(f"w-{number}", pool, instance, rack, self.history)
        worker.task_s = self.task_s
        await self._begin_life(worker)
        await self.publish(worker)

    async def _begin_life(self, worker: HostedWorker, port: int = 0) -> None:
        worker.on_crash = lambda: self._crash_under_task(worker)
        try:
            await worker.serve(port)
        except OSError:
            # Somebody else has the port by now; the worker comes back at another one.
            await worker.serve()
        self.workers[worker.instance] = worker
        self.rooms[worker.id] = worker.rooms
        self.fleet.pools[worker.instance] = worker.pool
        self.fleet.racks[worker.instance] = worker.rack
        self.fleet.workers[worker.instance] = worker.id

    async def restart_worker(self, instance: str, down_s: float = 0.0, late_s: float = 0.0) -> None:
        """Let a worker crash and start again under its id, at its address.

        Its entry is the old one for `late_s` longer; below zero the new one is there before the
        worker listens, by so many seconds.
        """
        before = self.workers.pop(instance, None)
        if before is None:
            return
        worker = before.start_again()
        await before.crash()
        await asyncio.sleep(down_s)
        worker.address = before.address
        if late_s < 0 and self._may_begin(worker):
            self.store.put(("servers", "", worker.id), worker.description())
            await asyncio.sleep(-late_s)
        if not self._may_begin(worker):
            self.store.remove(("servers", "", worker.id))
            return
        await self._begin_life(worker, int(before.address.rpartition(":")[2]))
        await asyncio.sleep(late_s if late_s > 0 else 0)
        if worker.alive:
            await self.publish(worker)

    def _may_begin(self, worker: HostedWorker) -> bool:
        """Whether a worker's instance runs no other one and is still in its pool."""
        name = worker.instance
        free = name not in self.workers and name not in self.fleet.busy
        return free and self.fleet.pools.get(name) == worker.pool

    async def publish(self, worker: HostedWorker) -> None:
        """Let a new worker write itself into the store."""
        self.store.put(("servers", "", worker.id), worker.description())

    def drain_worker(self, instance: str) -> None:
        """Let a worker say that it leaves; it serves on."""
        worker = self.workers[instance]
        worker.leaving_at = worker.leaving_at or monotonic()
        self.store.put(("servers", "", worker.id), worker.description())

    def starts_on_leaving(self, allowed_s: float) -> list[Run]:
        """Return runs that began later than so long after their worker said that it leaves."""
        return [run for run in self.history if (run.since_leaving_s or 0.0) > allowed_s]

    def resize_worker(self, instance: str, cpu: int) -> None:
        """Let a worker's room shrink or grow, which its entry shows."""
        worker = self.workers[instance]
        worker.resize(cpu)
        self.store.put(("servers", "", worker.id), worker.description())

    async def crash_worker(self, instance: str) -> None:
        """End a worker without a word; the store drops its entry."""
        worker = self.workers.pop(instance)
        await worker.crash()
        self.store.remove(("servers", "", worker.id))

    def _crash_under_task(self, worker: HostedWorker) -> None:
        if self.workers.get(worker.instance) is not worker:
            return
        crash = asyncio.get_running_loop().create_task(self._crash_and_return(worker))
        self.crashes.add(crash)
        crash.add_done_callback(self.crashes.discard)

    async def _crash_and_return(self, worker: HostedWorker) -> None:
        if self.names_kept:
            await self.restart_worker(worker.instance, CRASH_BACK_S)
            return
        pool = worker.pool
        await self.take_down(worker.instance)
        await asyncio.sleep(CRASH_BACK_S)
        if worker.instance not in self.workers and worker.instance not in self.fleet.busy:
            await self.bring_up(worker.instance, self.fleet.pools.get(worker.instance, pool))

    async def take_down(self, instance: str) -> None:
        """End the worker of an instance, if it has one."""
        self.fleet.workers.pop(instance, None)
        if instance in self.workers:
            await self.crash_worker(instance)

    async def bring_up(self, instance: str, pool: str) -> None:
        """Give an instance a new worker, unless it is spare."""
        if pool != "idle":
            await self.add_worker(instance, self.fleet.racks[instance], pool)

    def start_node(self, name: str) -> Node:
        """Start a node against this platform."""
        return self.nodes.start(name, self.addresses, self.node_module)

    def set_account(self, name: str, *keys: str, weight: float = 10.0, cpu: int = 0) -> None:
        """Declare an account, or replace what was declared, for the next configuration.

        `cpu` is its limit in thousandths of a core.
        """
        limit = {"cpu": cpu, "memMb": 0, "gpu": 0}
        account = {"name": name, "apiKeys": list(keys), "weight": weight, "upperLimit": limit}
        self.accounts = [a for a in self.accounts if a["name"] != name] + [account]

    async def call(
        self, node: Node, method: str, path: str, body: Any = None, key: str = ""
    ) -> tuple[int, Any]:
        """Send one caller's request, with a key if one is given; return status and body."""
        assert self.session is not None
        headers = {"Host": HOST, "X-Pumicespur-Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        try:
            async with self.session.request(
                method, f"http://{node.address('callers')}{path}", json=body, headers=headers
            ) as answer:
                return answer.status, await answer.json(content_type=None)
        except aiohttp.ClientError as failure:
            return 0, {"error": str(failure)}

    async def submit(
        self, node: Node, job: str, steps: list[dict[str, Any]], payload: str = "quick"
    ) -> int:
        """Submit a job to the route `quick`; return the status."""
        body = {"taskSpec": payload, "steps": steps}
        status, _ = await self.call(node, "POST", f"/quick/{job}", body)
        return status

    async def state(self, node: Node, job: str) -> str:
        """Return a job's state, or the status if it has none."""
        status, body = await self.call(node, "GET", f"/quick/{job}")
        return str(body["state"]) if status == 200 else str(status)

    async def wait_state(self, node: Node, job: str, wanted: str) -> None:
        """Wait until a job is shown in a state."""
        until = monotonic() + WAIT_S
        shown = ""
        while monotonic() < until:
            shown = await self.state(node, job)
            if shown == wanted:
                return
            await asyncio.sleep(CHECK_S)
        raise AssertionError(f"job {job} is shown as {shown}, not {wanted}\n{self._account()}")

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node says that it is ready."""

        async def ready() -> bool:
            assert self.session is not None
            address = node.address("readiness")
            if not address:
                return False
            url = f"http://{address}/pumicespur/readiness"
            try:
                async with self.session.get(url) as answer:
                    return answer.status == 200
            except aiohttp.ClientError:
                # It has ended; its log will say why.
                return False

        until = monotonic() + WAIT_S
        while not await ready():
            if monotonic() > until:
                raise AssertionError(f"{node.name} is not ready: {node.log.read_text()[-2000:]}")
            await asyncio.sleep(CHECK_S)

    async def wait_for(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until something holds."""
        until = monotonic() + WAIT_S
        while not condition():
            if monotonic() > until:
                raise AssertionError(f"did not come true: {what}\n{self._account()}")
            await asyncio.sleep(CHECK_S)

    def _account(self) -> str:
        """Tell what ran and what the nodes said last, for a test that failed."""
        runs = "\n".join(str(run) for run in self.history)
        logs = "\n".join(node.log.read_text()[-LOG_TAIL:] for node in self.nodes.nodes.values())
        return f"{runs}\n{logs}"

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return pairs of runs of one task that were at work at once, or one after a done one."""
        found = []
        for first, second in itertools.combinations(self.history, 2):
            if first.task != second.task:
                continue
            first_end = first.ended_at if first.ended_at is not None else float("inf")
            if second.started_at < first_end or first.how == "done":
                found.append((first, second))
        return found

    def owner(self) -> str:
        """Return the process that the store names as the owner of the pool `main`."""
        value = self.store.value(("owners", "main", "owner"))
        if value is None:
            return ""
        return OwnerRecord.from_binary(value).process

"""The environment of tests of the role `node`: the stand-ins of the platform and the nodes."""

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
from standins.hosted._halls import DEFAULT_HALL, HallEvacuations
from standins.hosted._nodes import NODE_MODULE, Nodes
from standins.hosted._serving import AppServer
from standins.hosted._store import HostedStore
from standins.hosted._workers import HostedWorker, Run

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.hosted._nodes import Node

WAIT_TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.02
TASK_S = 0.05
CRASH_RESTART_DELAY_S = 0.4
"""Time until an instance whose worker was crashed by a task runs a worker again."""
MAX_ATTEMPTS = 3
"""Failed runs of one task after which its job fails."""
LOG_TAIL_CHARS = 4000
"""Characters of each node's log that the error of a failed wait shows."""
HOST = "jobs.example"


class World:
    """A platform with one pool `main`, a spare one, and nodes under test."""

    def __init__(self) -> None:
        self.store = HostedStore()
        self.halls: dict[str, str] = {}
        """Data halls by rack; a rack that is missing is in `DEFAULT_HALL`."""
        self.evacuations = HallEvacuations(self.store)
        self.fleet = HostedFleet(self.take_down, self.bring_up, self.hall_of)
        self.advice = HostedAdvice()
        self.nodes = Nodes()
        self.node_module = NODE_MODULE
        self.history: list[Run] = []
        self.workers: dict[str, HostedWorker] = {}
        """The current worker of each instance."""
        self.version = 0
        """Version of the latest configuration."""
        self.accounts: list[dict[str, Any]] = []
        """The client accounts of the next configuration, as the configuration writes them."""
        self.route_pools: dict[str, str] = {}
        """Pools of routes in the next configuration; `main` for those that are not named."""
        self.public_routes: frozenset[str] = frozenset()
        """Routes that need no key even if there are accounts."""
        self.worker_numbers = itertools.count(1)
        self.task_s = TASK_S
        """Duration of a short task on new workers."""
        self.cold_s = 0.0
        """Time for which workers are cold after their start or an evacuation of their hall."""
        self.servers: list[AppServer] = []
        self.capacities: dict[str, list[tuple[float, int]]] = {}
        """By worker, also those that are gone: its `HostedWorker.capacities`."""
        self.crashed_workers_keep_ids = False
        """Whether workers that a task crashes restart under their old ids."""
        self.crashes: set[asyncio.Task[None]] = set()
        """Tasks that crash a worker and start one again."""
        self.session: aiohttp.ClientSession | None = None
        self.addresses: dict[str, str] = {}

    async def open(self) -> None:
        """Serve the store, the list of instances and the advice service; write configuration 1."""
        self.session = aiohttp.ClientSession()
        for name, app in (
            ("store", self.store.app()),
            ("fleet", self.fleet.app()),
            ("advice", self.advice.app()),
        ):
            self.addresses[name] = await self.serve(app)
        self.configure(1)

    async def serve(self, app: web.Application) -> str:
        """Serve an application until the world closes; return its address."""
        server = AppServer(app)
        await server.open()
        self.servers.append(server)
        return server.address

    async def close(self) -> None:
        """Stop everything that was started."""
        self.nodes.close()
        self.fleet.close()
        for crash in list(self.crashes):
            crash.cancel()
        await asyncio.gather(*self.crashes, return_exceptions=True)
        if self.session is not None:
            await self.session.close()
        for worker in list(self.workers.values()):
            await worker.crash()
        for server in self.servers:
            await server.close()

    def configure(self, version: int, routes: tuple[str, ...] = ("quick",), **fields: Any) -> None:
        """Store a configuration with routes to the pool `main`; each route has `fields` too."""
        self.version = version
        route_entries = [
            {
                "name": name,
                "host": HOST,
                "pathPrefix": f"/{name}/",
                "backend": self.route_pools.get(name, "main"),
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
        content = {"version": version, "routes": route_entries, "services": pools, "limits": {}}
        if self.accounts:
            content["tenants"] = self.accounts
        self.store.put(("op", "", "config"), json.dumps(content).encode())

    async def add_worker(self, instance: str, rack: str = "r1-1", pool: str = "main") -> None:
        """Start a new worker on an instance, in a pool."""
        number = next(self.worker_numbers)
        worker = HostedWorker(f"w-{number}", pool, instance, rack, self.history)
        worker.task_s = self.task_s
        await self._start_incarnation(worker)
        await self.publish(worker)

    async def _start_incarnation(self, worker: HostedWorker, port: int = 0) -> None:
        worker.on_crash = lambda: self._schedule_crash(worker)
        worker.hall, worker.evacuations = self.hall_of(worker.rack), self.evacuations
        worker.cold_until = monotonic() + self.cold_s
        try:
            await worker.serve(port)
        except OSError:
            # The port has been taken meanwhile; the worker uses another one.
            await worker.serve()
        self.workers[worker.instance] = worker
        self.capacities[worker.id] = worker.capacities
        self.fleet.pools[worker.instance] = worker.pool
        self.fleet.racks[worker.instance] = worker.rack
        self.fleet.workers[worker.instance] = worker.id

    async def restart_worker(self, instance: str, down_s: float = 0.0, late_s: float = 0.0) -> None:
        """Let a worker crash and, `down_s` later, restart under its id and at its address.

        Its entry in the store is updated `late_s` after it listens again; with a negative value,
        that many seconds before.
        """
        before = self.workers.pop(instance, None)
        if before is None:
            return
        worker = before.make_next_incarnation()
        self.fleet.workers.pop(instance, None)
        await before.crash()
        await asyncio.sleep(down_s)
        worker.address = before.address
        if late_s < 0 and self._may_start(worker):
            self.store.put(("servers", "", worker.id), worker.encode_entry())
            await asyncio.sleep(-late_s)
        if not self._may_start(worker):
            self.store.remove(("servers", "", worker.id))
            return
        await self._start_incarnation(worker, int(before.address.rpartition(":")[2]))
        await asyncio.sleep(late_s if late_s > 0 else 0)
        if worker.alive:
            await self.publish(worker)

    def _may_start(self, worker: HostedWorker) -> bool:
        """Return whether a worker's instance is up without a worker and still in its pool."""
        name = worker.instance
        free = name not in self.workers and name not in self.fleet.busy
        return free and self.fleet.pools.get(name) == worker.pool

    async def publish(self, worker: HostedWorker) -> None:
        """Write the entry of a new worker into the store."""
        self.store.put(("servers", "", worker.id), worker.encode_entry())

    def drain_worker(self, instance: str) -> None:
        """Mark a worker as leaving in the store; it continues to serve."""
        worker = self.workers[instance]
        worker.leaving_at = worker.leaving_at or monotonic()
        self.store.put(("servers", "", worker.id), worker.encode_entry())

    def starts_on_leaving(self, allowed_s: float) -> list[Run]:
        """Return runs that started over `allowed_s` after their worker was marked as leaving."""
        return [run for run in self.history if (run.since_leaving_s or 0.0) > allowed_s]

    def hall_of(self, rack: str) -> str:
        """Return the data hall of a rack."""
        return self.halls.get(rack, DEFAULT_HALL)

    def end_evacuation(self, hall: str) -> None:
        """End the evacuation of a data hall, whose workers may be cold then."""
        if self.evacuations.current(hall) is None:
            return
        self.evacuations.end(hall)
        for worker in self.workers.values():
            if self.cold_s and worker.hall == hall:
                worker.cold_until = monotonic() + self.cold_s
                self.store.put(("servers", "", worker.id), worker.encode_entry())

    def starts_in_evacuated_halls(self, allowed_s: float) -> list[Run]:
        """Return runs that started over `allowed_s` after the evacuation of their hall began."""
        return [run for run in self.history if (run.since_evacuation_s or 0.0) > allowed_s]

    def resize_worker(self, instance: str, cpu: int) -> None:
        """Change a worker's capacity and its entry in the store."""
        worker = self.workers[instance]
        worker.resize(cpu)
        self.store.put(("servers", "", worker.id), worker.encode_entry())

    async def crash_worker(self, instance: str) -> None:
        """Crash a worker without notice; its entry leaves the store."""
        worker = self.workers.pop(instance)
        self.fleet.workers.pop(instance, None)
        await worker.crash()
        self.store.remove(("servers", "", worker.id))

    def _schedule_crash(self, worker: HostedWorker) -> None:
        if self.workers.get(worker.instance) is not worker:
            return
        crash = asyncio.get_running_loop().create_task(self._crash_and_return(worker))
        self.crashes.add(crash)
        crash.add_done_callback(self.crashes.discard)

    async def _crash_and_return(self, worker: HostedWorker) -> None:
        if self.crashed_workers_keep_ids:
            await self.restart_worker(worker.instance, CRASH_RESTART_DELAY_S)
            return
        pool = worker.pool
        await self.take_down(worker.instance)
        await asyncio.sleep(CRASH_RESTART_DELAY_S)
        if worker.instance not in self.workers and worker.instance not in self.fleet.busy:
            await self.bring_up(worker.instance, self.fleet.pools.get(worker.instance, pool))

    async def take_down(self, instance: str) -> None:
        """Crash the worker of an instance, if it has one."""
        if instance in self.workers:
            await self.crash_worker(instance)

    async def bring_up(self, instance: str, pool: str) -> None:
        """Start a new worker on an instance, unless the pool is the spare one."""
        if pool != "idle":
            await self.add_worker(instance, self.fleet.racks[instance], pool)

    def start_node(self, name: str) -> Node:
        """Start a node that uses these stand-ins."""
        return self.nodes.start(name, self.addresses, self.node_module)

    def set_account(self, name: str, *keys: str, weight: float = 10.0, cpu: int = 0) -> None:
        """Declare or replace a client account for the next configuration.

        `cpu` is its limit in thousandths of a core.
        """
        limit = {"cpu": cpu, "memMb": 0, "gpu": 0}
        account = {"name": name, "apiKeys": list(keys), "weight": weight, "upperLimit": limit}
        self.accounts = [a for a in self.accounts if a["name"] != name] + [account]

    async def call(
        self, node: Node, method: str, path: str, body: Any = None, key: str = ""
    ) -> tuple[int, Any]:
        """Send a caller's request, with a key if given; return status (0 on error) and body."""
        assert self.session is not None
        headers = {"Host": HOST, "X-Pumicespur-Deadline-Ms": "3000"}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        try:
            async with self.session.request(
                method, f"http://{node.address('callers')}{path}", json=body, headers=headers
            ) as response:
                return response.status, await response.json(content_type=None)
        except aiohttp.ClientError as error:
            return 0, {"error": str(error)}

    async def submit(
        self, node: Node, job: str, steps: list[dict[str, Any]], payload: str = "quick"
    ) -> int:
        """Submit a job to the route `quick`; return the status."""
        body = {"taskSpec": payload, "steps": steps}
        status, _ = await self.call(node, "POST", f"/quick/{job}", body)
        return status

    async def state(self, node: Node, job: str) -> str:
        """Return a job's state, or the response status if it is not 200."""
        status, body = await self.call(node, "GET", f"/quick/{job}")
        return str(body["state"]) if status == 200 else str(status)

    async def wait_state(self, node: Node, job: str, wanted: str) -> None:
        """Wait until a node reports a job in a state."""
        deadline = monotonic() + WAIT_TIMEOUT_S
        job_state = ""
        while monotonic() < deadline:
            job_state = await self.state(node, job)
            if job_state == wanted:
                return
            await asyncio.sleep(CHECK_INTERVAL_S)
        raise AssertionError(
            f"job {job} is shown as {job_state}, not {wanted}\n{self._failure_report()}"
        )

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node reports that it is ready."""

        async def ready() -> bool:
            assert self.session is not None
            address = node.address("readiness")
            if not address:
                return False
            url = f"http://{address}/pumicespur/readiness"
            try:
                async with self.session.get(url) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                # The process has ended; the error below shows its log.
                return False

        deadline = monotonic() + WAIT_TIMEOUT_S
        while not await ready():
            if monotonic() > deadline:
                raise AssertionError(f"{node.name} is not ready: {node.log.read_text()[-2000:]}")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition holds."""
        deadline = monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if monotonic() > deadline:
                raise AssertionError(f"condition not met: {description}\n{self._failure_report()}")
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _failure_report(self) -> str:
        """Return all runs and the ends of the nodes' logs, for the error of a failed wait."""
        runs = "\n".join(str(run) for run in self.history)
        logs = "\n".join(
            node.log.read_text()[-LOG_TAIL_CHARS:] for node in self.nodes.nodes.values()
        )
        return f"{runs}\n{logs}"

    def overlaps(self) -> list[tuple[Run, Run]]:
        """Return pairs of runs of one task that are not allowed.

        The second one started before the first ended, or after the first completed the task.
        """
        found = []
        for first, second in itertools.combinations(self.history, 2):
            if first.task != second.task:
                continue
            first_end = first.ended_at if first.ended_at is not None else float("inf")
            if second.started_at < first_end or first.how == "done":
                found.append((first, second))
        return found

    def owner(self, pool: str = "main") -> str:
        """Return the process that the store records as owner of a pool, empty for none."""
        value = self.store.value(("owners", pool, "owner"))
        if value is None:
            return ""
        return OwnerRecord.from_binary(value).process

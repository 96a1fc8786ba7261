"""A small deployment: the platform's stand-ins, workers that beat, nodes and a client."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp

from pumicespur.schema.jobs_pb import OwnerRecord
from pumicespur.utils import monotonic
from review.harness.nodes import NodeMachine
from standins.hosted import HostedStore, HostedWorker, Run, World

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.harness.record import Record

HOST = "jobs.example"
BEAT_S = 1.5
WAIT_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.02
CLIENT_TIME_BUDGET_S = 3.0


class CannotRunError(Exception):
    """The case could not run as it is meant to."""


class Deployment(World):
    """Stand-ins and nodes; every action is written to the record."""

    def __init__(self, record: Record, store: HostedStore | None = None) -> None:
        super().__init__()
        self.record = record
        if store is not None:
            self.store = store
        self.folder = tempfile.TemporaryDirectory()
        self.machines: dict[str, NodeMachine] = {}
        self.beats: asyncio.Task[None] | None = None
        self.noted_runs: dict[int, tuple[str, bool]] = {}

    async def open(self) -> None:
        """Serve the stand-ins and let the workers beat."""
        await super().open()
        self.beats = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """End all processes and stand-ins."""
        self.note_runs()
        if self.beats is not None:
            self.beats.cancel()
        for machine in self.machines.values():
            machine.close()
        await super().close()
        self.folder.cleanup()

    def configure_routes(self, version: int, routes: list[dict[str, Any]]) -> None:
        """Store a configuration as the operator does; the store's answer is its ack."""
        self.version = version
        services = [
            {"name": "main", "admissionCheck": True, "spare": False},
            {"name": "second", "admissionCheck": True, "spare": False},
            {"name": "idle", "admissionCheck": True, "spare": True},
        ]
        content = {"version": version, "routes": routes, "services": services, "limits": {}}
        self.store.put(("op", "", "config"), json.dumps(content).encode())
        self.record.note(
            "config acknowledged",
            version=version,
            routes={r["name"]: [r["backend"], r["maxAttempts"]] for r in routes},
        )

    async def _beat(self) -> None:
        """Let each worker write its entry about every heartbeat, as the platform's workers do."""
        count = 0
        while True:
            await asyncio.sleep(BEAT_S)
            count += 1
            for worker in list(self.workers.values()):
                if worker.alive:
                    self.store.put(("servers", "", worker.id), beat_entry(worker, count))

    def add_machine(self, name: str) -> NodeMachine:
        """Add a machine without starting its process."""
        number = len(self.machines) + 1
        machine = NodeMachine(name, number, Path(self.folder.name), self.record)
        self.machines[name] = machine
        return machine

    def start(self, name: str, store: str = "", fleet: str = "") -> NodeMachine:
        """Start the process of a machine, which is added if it is new."""
        machine = self.machines.get(name) or self.add_machine(name)
        machine.start(store or self.addresses["store"], fleet or self.addresses["fleet"])
        return machine

    async def wait_machine_ready(self, machine: NodeMachine) -> None:
        """Wait until a machine answers that it is ready."""

        async def ready() -> bool:
            assert self.session is not None
            try:
                url = f"http://{machine.readiness}/pumicespur/readiness"
                async with self.session.get(url) as response:
                    return response.status == 200
            except aiohttp.ClientError:
                # It does not listen yet.
                return False

        deadline = monotonic() + WAIT_TIMEOUT_S
        while not await ready():
            if monotonic() > deadline:
                raise CannotRunError(f"{machine.name} is not ready")
            await asyncio.sleep(CHECK_INTERVAL_S)
        self.record.note("node ready", node=machine.name)

    async def wait_until(
        self, condition: Callable[[], bool], what: str, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds."""
        deadline = monotonic() + timeout_s
        while not condition():
            if monotonic() > deadline:
                raise CannotRunError(f"did not come about: {what}")
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def request(
        self, machine: NodeMachine, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a client's request; return status (0 for no answer) and body."""
        assert self.session is not None
        headers = {"Host": HOST, "X-Pumicespur-Deadline-Ms": str(int(CLIENT_TIME_BUDGET_S * 1000))}
        self.record.note("client sends", node=machine.name, method=method, path=path, body=body)
        try:
            async with self.session.request(
                method,
                f"http://{machine.callers}{path}",
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CLIENT_TIME_BUDGET_S),
            ) as response:
                answer = response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError) as error:
            answer = 0, {"error": repr(error)}
        self.record.note(
            "client answered",
            node=machine.name,
            method=method,
            path=path,
            status=answer[0],
            body=answer[1],
        )
        return answer

    def holder(self, pool: str) -> str:
        """Return the machine that the store records as owner of a pool, empty for none."""
        value = self.store.value(("owners", pool, "owner"))
        return "" if value is None else str(OwnerRecord.from_binary(value).process)

    def note_runs(self) -> None:
        """Write all runs that workers began to the record."""
        for run in self.history:
            self.record.note(
                "run",
                task=run.task,
                run=run.number,
                worker=run.worker,
                pool=self.pool_of(run),
                began=round(run.started_at - self.record.began_at, 3),
                ended=None
                if run.ended_at is None
                else round(run.ended_at - self.record.began_at, 3),
                how=run.how,
                end_noted=None
                if run.acknowledged_at is None
                else round(run.acknowledged_at - self.record.began_at, 3),
                token=run.token,
            )

    def pool_of(self, run: Run) -> str:
        """Return the pool of the worker of a run."""
        return self.worker_pools.get(run.worker, "")

    @property
    def worker_pools(self) -> dict[str, str]:
        """The pool of each worker that exists."""
        return {worker.id: worker.pool for worker in self.workers.values()}


def beat_entry(worker: HostedWorker, count: int) -> bytes:
    """Return a worker's entry with the number of its beat."""
    entry = json.loads(worker.encode_entry())
    entry |= {"callSeq": count, "slots": 8, "version": "v1"}
    return json.dumps(entry).encode()


def route_entry(name: str, pool: str, max_attempts: int = 3) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 600,
        "priority": 0,
        "backend": pool,
        "maxAttempts": max_attempts,
        "stretch": 1.6,
    }

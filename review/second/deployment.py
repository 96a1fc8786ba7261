"""A small deployment on loopback addresses: the project's processes among the project's stand-ins.

The stand-ins are those of `standins/hosted`, with what these scripts need beyond them: the store
refuses a row that is larger than `row_bytes`, workers have a room of their own, tasks take as long
as their job says and report their progress, and workers write their entries again and again.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web

from pumicespur.utils import monotonic, now_ms
from standins.hosted import HostedWorker, Node, Run, World
from standins.hosted._store import HostedStore

if TYPE_CHECKING:
    from collections.abc import Mapping

ROW_BYTES = 65_536
"""`row_bytes` of the pages' example: the largest value of a row, in bytes before base64."""

HEARTBEAT_S = 1.5
"""`heartbeatMs` of the pages' example."""

SECONDS_TO_FINISH = 14.0
"""`finish_s` of Coulee: after that time from the end of the traffic, jobs are asked for."""

WORKER_CPU = 16_000
WORKER_MEMORY_MB = 32_768
"""Capacity of one worker of Coulee."""

CALLER_DEADLINE_MS = 3000

TEMPLATE = Path("deploy/node.ini")

BOUNDS = {
    "bounds.graceS": "6",
    "bounds.configApplyMs": "2000",
    "bounds.holdMaxMs": "10000",
    "bounds.drainMs": "2000",
    "bounds.cancel_ms": "3000",
    "bounds.leaseMs": "3000",
    "bounds.move_s": "1.5",
    "bounds.upkeep_s": "2",
    "limits.cpuShare": "0.537",
    "limits.cores": "2",
    "faultTolerance.zones": "0",
}
"""Figures of Coulee, the smallest deployment, with which the deploy file's template is filled."""


@dataclass(frozen=True)
class Step:
    """One step of a job; its tasks take `work_s` each, or last until their job is cancelled."""

    count: int
    cpu: int
    memory_mb: int = 64
    work_s: float = 0.5
    fields: Mapping[str, Any] = field(default_factory=dict)

    @property
    def lasts(self) -> bool:
        """Whether the tasks keep running until the job is cancelled."""
        return bool(self.fields.get("longRunning"))

    def to_wire(self) -> dict[str, Any]:
        """Return the step as the protocol writes it."""
        return {
            "count": self.count,
            "cpu": self.cpu,
            "memMb": self.memory_mb,
            "estimatedMs": int(self.work_s * 1000),
            **self.fields,
        }


@dataclass
class SubmittedJob:
    """A job that a client has sent."""

    id: str
    route: str
    steps: tuple[Step, ...]
    fails: bool
    sent_at: float
    accepted_at: float | None = None
    """When a 2xx had arrived (monotonic seconds); None if there was none."""
    cancelled_at: float | None = None
    """When the first DELETE was sent (monotonic seconds)."""
    cancel_confirmed_at: float | None = None

    def step_of(self, task: str) -> Step:
        """Return the step of a task, by the task's name."""
        return self.steps[int(task.split(".")[2])]


class SizedStore(HostedStore):
    """A store that refuses rows that are larger than the pages allow, and does nothing then."""

    def __init__(self) -> None:
        super().__init__()
        self.refused_rows: list[tuple[float, str, int]] = []
        """When, for which row and for how many bytes a write was refused."""

    def _commit(self, body: dict[str, Any]) -> web.Response:
        for entry in body["put"]:
            size = len(base64.b64decode(entry["value"]))
            if size > ROW_BYTES:
                row = f"{entry['table']}/{entry['part']}/{entry['privateKey']}"
                self.refused_rows.append((monotonic(), row, size))
                return web.json_response({"error": "the value is too large"}, status=413)
        return super()._commit(body)


class RoomyWorker(HostedWorker):
    """A worker that knows its room, and whose tasks take as long as their job says."""

    deployment: SmallDeployment
    beats: int = 0
    began_at: float = 0.0
    gone_at: float = float("inf")
    """When the worker was up (monotonic seconds)."""

    async def serve(self, port: int = 0) -> None:
        """Listen on a loopback port, by default on a free one."""
        self.began_at = monotonic()
        await super().serve(port)

    async def crash(self) -> None:
        """End this incarnation and all its runs."""
        self.gone_at = monotonic()
        await super().crash()

    def is_up(self, at: float) -> bool:
        """Return whether the worker was up at a monotonic time in seconds."""
        return self.began_at <= at < self.gone_at

    def encode_entry(self) -> bytes:
        """Return the worker's entry in the store, with a rising `callSeq`."""
        self.beats += 1
        entry = json.loads(super().encode_entry())
        return json.dumps(entry | {"callSeq": self.beats}).encode()

    def used(self) -> tuple[int, int]:
        """Return the processor and memory that running tasks take."""
        steps = [self.deployment.jobs[r.task.partition(".")[0]].step_of(r.task) for r in self._runs]
        return sum(s.cpu for s in steps), sum(s.memory_mb for s in steps)

    @property
    def _runs(self) -> list[Run]:
        return list(self.running.values())

    def _process_start(self, body: dict[str, Any], *, is_bounded: bool = True) -> web.Response:
        job = self.deployment.jobs[body["task"].partition(".")[0]]
        step = job.step_of(body["task"])
        cpu, memory_mb = self.used()
        is_new = body["task"] not in self.running
        full = cpu + step.cpu > self.cpu or memory_mb + step.memory_mb > self.memory_mb
        if is_new and full:
            return self._accept_order(body) or self._refuse("room")
        if not self.deployment.takes_ticket(self, body):
            return self._accept_order(body) or self._refuse("ticket")
        return super()._process_start(body, is_bounded=is_bounded)

    def _begin(self, body: dict[str, Any], *, is_bounded: bool) -> None:
        job = self.deployment.jobs[body["task"].partition(".")[0]]
        run = Run(
            body["task"],
            body["run"],
            self.id,
            body["taskSpec"],
            body.get("checkpoint", ""),
            body["fencingToken"],
            monotonic(),
            ticket=body.get("ticket", ""),
        )
        self.running[run.task] = run
        self.history.append(run)
        step = job.step_of(run.task)
        loop = asyncio.get_running_loop()
        if not step.lasts:
            loop.call_later(step.work_s, self._end, run, "failed" if job.fails else "done")
        loop.call_later(0.05, self._check_lease)

    async def _renew_lease(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._check_request(request) or self._accept_order(body)
        if refused is not None:
            return refused
        self._acknowledge(body["lastSeen"])
        if not self.ended and body.get("waitMs"):
            # If no run ends in the requested time, the worker status is sent all the same.
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.run_ended.wait(), body["waitMs"] / 1000)
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "running": [self._describe(run) for run in self._runs],
                "endedAt": self.ended[:500],
                "born": self.born,
            }
        )

    def _describe(self, run: Run) -> list[Any]:
        step = self.deployment.jobs[run.task.partition(".")[0]].step_of(run.task)
        done = 1.0 if step.lasts else (monotonic() - run.started_at) / step.work_s
        return [run.task, run.number, "", min(100, int(100 * done)), 0]


class SmallDeployment(World):
    """A platform with one pool `main` of workers in racks, and the project's processes."""

    worker_type: type[RoomyWorker] = RoomyWorker

    def __init__(self) -> None:
        super().__init__()
        self.store = SizedStore()
        self.evacuations.store = self.store
        self.jobs: dict[str, SubmittedJob] = {}
        self.events: list[tuple[float, str]] = []
        """What was sent and answered, and what was done to the deployment."""
        self.job_numbers = itertools.count(1)
        self.all_workers: list[RoomyWorker] = []
        """Every worker that was ever up, one for each incarnation."""
        self.started_at = monotonic()
        self.beating: asyncio.Task[None] | None = None

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.events.append((monotonic(), text))

    def configure(self, version: int, routes: tuple[str, ...] = ("quick",), **fields: Any) -> None:
        """Write a configuration whose only pool is `main`, so that no instance changes its pool."""
        super().configure(version, routes, **fields)
        config = self.config()
        config["services"] = [entry for entry in config["services"] if entry["name"] == "main"]
        self.put_config(config)

    def config(self) -> dict[str, Any]:
        """Return the newest config."""
        return dict(json.loads(self.store.value(("op", "", "config")) or b"{}"))

    def put_config(self, config: dict[str, Any]) -> None:
        """Write a config, as an operator does."""
        self.store.put(("op", "", "config"), json.dumps(config).encode())

    def takes_ticket(self, worker: RoomyWorker, body: dict[str, Any]) -> bool:
        """Return whether a worker begins a start with the ticket that it brings."""
        return True

    async def open(self) -> None:
        """Start the stand-ins and the workers' heartbeats."""
        await super().open()
        self.beating = asyncio.create_task(self._beat())

    async def close(self) -> None:
        """End all that was started."""
        if self.beating is not None:
            self.beating.cancel()
        await super().close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in list(self.workers.values()):
                if worker.alive:
                    self.store.put(("servers", "", worker.id), worker.encode_entry())

    async def add_workers(self, count: int, per_rack: int = 4) -> None:
        """Start workers, some to each rack."""
        for number in range(count):
            rack = f"r1-{number // per_rack + 1}"
            await self.add_worker(f"m-0a3{number:02x}", rack)

    async def add_worker(self, instance: str, rack: str = "r1-1", pool: str = "main") -> None:
        """Start a new worker on an instance, in a pool; moves between pools do so, too."""
        name = f"i-7f3a{next(self.worker_numbers):04x}"
        worker = self.worker_type(name, pool, instance, rack, self.history)
        await self._bring_up_worker(worker)

    async def _bring_up_worker(self, worker: RoomyWorker, port: int = 0) -> None:
        worker.deployment = self
        worker.cpu, worker.memory_mb = WORKER_CPU, WORKER_MEMORY_MB
        self.all_workers.append(worker)
        await self._start_incarnation(worker, port)
        await self.publish(worker)

    async def lose_worker(self, worker: RoomyWorker) -> None:
        """Let a worker crash for good: its entry goes after three heartbeats of silence."""
        self.note(f"worker {worker.id} of rack {worker.rack} is lost for good")
        self.workers.pop(worker.instance)
        self.fleet.workers.pop(worker.instance, None)
        await worker.crash()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove(("servers", "", worker.id))

    async def restart_behind_cut(self, worker: RoomyWorker, down_s: float) -> RoomyWorker:
        """Let a worker that is cut off crash and start again under its id, still cut off."""
        port = int(worker.address.rpartition(":")[2])
        self.workers.pop(worker.instance)
        await worker.crash()
        await asyncio.sleep(down_s)
        restarted = self.worker_type(
            worker.id, worker.pool, worker.instance, worker.rack, worker.history
        )
        restarted.clock_base_ms = worker.clock_base_ms / 2
        restarted.faults.silent = True
        worker.next_incarnation = restarted
        await self._bring_up_worker(restarted, port)
        return restarted

    def start_node(self, name: str) -> Node:
        """Start a process with the settings that the deploy file's template gives."""
        node = self.nodes.prepare(name, self.addresses)
        node.settings.write_text(fill_template(name, self.addresses))
        self.nodes.launch(node, self.node_module)
        return node

    async def start_nodes(self, count: int) -> list[Node]:
        """Start processes and wait until they are ready and the pool has an owner."""
        nodes = [self.start_node(f"front-{number}") for number in range(1, count + 1)]
        for node in nodes:
            await self.wait_ready(node)
        await self.wait_for(lambda: bool(self.owner()), "the pool has an owner")
        return nodes

    async def send(
        self, node: Node, job: SubmittedJob, body: dict[str, Any] | None, method: str = "POST"
    ) -> int:
        """Send a request about a job and record it with its answer; 0 stands for no answer."""
        assert self.session is not None
        path = f"/{job.route}/{job.id}"
        self.note(f"sent {method} {path} to {node.name}")
        headers = {"Host": "jobs.example", "X-Pumicespur-Deadline-Ms": str(CALLER_DEADLINE_MS)}
        url = f"http://{node.address('callers')}{path}"
        timeout = aiohttp.ClientTimeout(total=CALLER_DEADLINE_MS / 1000)
        try:
            async with self.session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                answer = (await response.read()).decode(errors="replace")
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as failure:
            status, answer = 0, type(failure).__name__
        self.note(f"answered {method} {path} by {node.name}: {status} {answer}")
        return status

    async def submit_job(
        self,
        nodes: list[Node],
        steps: tuple[Step, ...],
        *,
        route: str = "quick",
        fails: bool = False,
        schedule: Mapping[str, int] | None = None,
    ) -> SubmittedJob:
        """Submit a job as a client does: with up to four more tries at other nodes."""
        number = next(self.job_numbers)
        job = SubmittedJob(f"{number:016x}", route, steps, fails, monotonic())
        self.jobs[job.id] = job
        wire = [step.to_wire() for step in steps]
        body = {"taskSpec": "a task", "steps": wire, **(schedule or {})}
        for attempt in range(5):
            status = await self.send(nodes[(number + attempt) % len(nodes)], job, body)
            if 200 <= status < 300:
                job.accepted_at = monotonic()
                break
            if status == 404:
                break
            await asyncio.sleep(0.3)
        return job

    def time_of_day_ms(self) -> int:
        """Return the time of day in milliseconds since 1970."""
        return now_ms()

    async def submit_once(self, node: Node, route: str) -> int:
        """Submit a small job to one process with a single try; return the status."""
        job = SubmittedJob(
            f"{next(self.job_numbers):016x}", route, (Step(1, 500, work_s=0.2),), False, monotonic()
        )
        self.jobs[job.id] = job
        body = {"taskSpec": "a task", "steps": [step.to_wire() for step in job.steps]}
        status = await self.send(node, job, body)
        if 200 <= status < 300:
            job.accepted_at = monotonic()
        return status

    async def cancel_job(self, nodes: list[Node], job: SubmittedJob) -> None:
        """Cancel a job, with up to four more tries."""
        job.cancelled_at = monotonic()
        for attempt in range(5):
            status = await self.send(nodes[attempt % len(nodes)], job, None, "DELETE")
            if 200 <= status < 300 or status == 410:
                job.cancel_confirmed_at = monotonic()
                return
            await asyncio.sleep(0.3)

    async def state_of(self, nodes: list[Node], job: SubmittedJob) -> str:
        """Ask for the state of a job, with up to four more tries."""
        status = 0
        for attempt in range(5):
            node = nodes[attempt % len(nodes)]
            status, answer = await self.call(node, "GET", f"/{job.route}/{job.id}")
            if status == 200:
                self.note(f"answered GET of {job.id} by {node.name}: {answer['state']}")
                return str(answer["state"])
            await asyncio.sleep(0.3)
        self.note(f"answered GET of {job.id}: {status}")
        return str(status)

    def write_record(self, path: Path, verdict: list[str]) -> None:
        """Write what was sent, answered and run, in order of time, and what was found."""
        lines = list(self.events)
        for run in self.history:
            name = f"{run.task} run {run.number} on {run.worker}"
            lines.append((run.started_at, f"run {name} began"))
            if run.ended_at is not None:
                lines.append((run.ended_at, f"run {name} ended: {run.how}"))
        lines.sort(key=lambda line: line[0])
        text = [f"{at - self.started_at:8.3f} {line}" for at, line in lines]
        path.write_text("\n".join([*text, *(f"found: {line}" for line in verdict), ""]))


def fill_template(name: str, addresses: Mapping[str, str]) -> str:
    """Return the settings of a process: the deploy file's template with loopback addresses."""
    values = BOUNDS | {
        "node": name,
        "zone": "regina-a",
        "ip": "127.0.0.1",
        "listen.front": "127.0.0.1:0",
        "listen.ready": "127.0.0.1:0",
        "platform.address": addresses["store"],
        "cloudApi.address": addresses["fleet"],
        "advice": addresses["advice"],
    }
    text = re.sub(r"\{\{([^}]*)\}\}", lambda gap: values.get(gap[1], ""), TEMPLATE.read_text())
    return text.replace("127.0.0.1:9464", "127.0.0.1:0")

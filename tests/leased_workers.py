"""Instances with scripted workers that end their runs when the lease expires, in simulated time."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import TYPE_CHECKING, Any

import anyio
from expression import Error, Ok, Result

from pumicespur.model import (
    FENCED_REASON,
    ActiveRun,
    EndedRun,
    Instance,
    InstanceId,
    InstanceState,
    OtherLife,
    PoolId,
    Refused,
    RunEnd,
    StartedAgain,
    StartOrder,
    TaskName,
    Worker,
    WorkerId,
    WorkerName,
    WorkerStatus,
    worker_id,
)
from pumicespur.store import AnswerLost, ConnectionBroken, NotListening
from pumicespur.utils import monotonic, now_ms
from tests.test_jobs import make_worker

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pumicespur.schema.node_pb import WorkerSettings

LATENCY_S = 0.002
"""Time from the sending of a call to its arrival."""


class Link(Enum):
    """What becomes of the calls to an instance."""

    UP = "up"
    REQUESTS_LOST = "requests lost"
    RESPONSES_LOST = "responses lost"
    PARTITIONED = "partitioned"
    """Only owners in the same part of the network reach the instance, and these no other one."""


class Fate(Enum):
    """What becomes of starts and stops."""

    ANSWERED = "answered"
    RESPONSE_LOST = "response lost"
    REQUEST_LOST = "request lost"


@dataclass(eq=False)
class LeasedWorker:
    """One incarnation of a worker."""

    entry: Worker
    clock_rate: float
    max_lease_ms: float
    began_at: float = field(default_factory=monotonic)
    alive: bool = True
    token: int = 0
    deadline_ms: float = 0.0
    running: dict[TaskName, int] = field(default_factory=dict)
    final: dict[TaskName, int] = field(default_factory=dict)
    """By task, the highest number of a run that has ended or was revoked."""
    ended: dict[int, EndedRun] = field(default_factory=dict)
    ends: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    """Set when a run ends and when the worker dies."""

    def clock_ms(self) -> float:
        """Return the worker's own clock, in milliseconds."""
        return (monotonic() - self.began_at) * self.clock_rate * 1000

    def runs(self) -> dict[TaskName, int]:
        """Return the runs that are active now."""
        if not self.alive:
            return {}
        if self.clock_ms() > self.deadline_ms:
            for task in list(self.running):
                self._end(task, RunEnd.EXPIRED)
        return self.running

    def accept(self, token: int, deadline_ms: int | None) -> Refused | None:
        """Refuse an order with an outdated token; apply the deadline of any other."""
        self.runs()
        if token < self.token:
            return Refused(FENCED_REASON, self.clock_ms())
        self.token = token
        latest_ms = self.clock_ms() + self.max_lease_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms or 0.0, latest_ms))
        return None

    def begin(self, order: StartOrder) -> Refused | None:
        """Start a run unless it is not in time or has been revoked."""
        if self.running.get(order.task) == order.run:
            return None
        if order.run <= self.final.get(order.task, 0):
            return Refused("old", self.clock_ms())
        if order.deadline_ms < self.clock_ms():
            return Refused("late", self.clock_ms())
        self.running[order.task] = order.run
        return None

    def stop(self, task: TaskName, run: int) -> None:
        """Stop a run or revoke its start."""
        if self.running.get(task) == run:
            self._end(task, RunEnd.STOPPED)
        elif task not in self.running:
            self.final[task] = max(run, self.final.get(task, 0))

    def drop_ends(self, last_seen: int) -> None:
        """Drop the ends that the owner has recorded."""
        self.ended = {number: end for number, end in self.ended.items() if number > last_seen}

    def status(self) -> WorkerStatus:
        """Return the status; long-running tasks work at once."""
        running = [ActiveRun(task, run, "", 100, 0.0) for task, run in self.runs().items()]
        return WorkerStatus(self.clock_ms(), running, list(self.ended.values()))

    def die(self) -> None:
        """End this incarnation with all its runs."""
        self.alive = False
        self.changed.set()

    def _end(self, task: TaskName, how: RunEnd) -> None:
        run = self.running.pop(task)
        self.final[task] = max(run, self.final.get(task, 0))
        self.ends += 1
        self.ended[self.ends] = EndedRun(self.ends, task, run, how, "")
        self.changed.set()
        self.changed = anyio.Event()


@dataclass(eq=False)
class ModelInstance:
    """An instance, with a worker unless that has died or the instance moves."""

    id: InstanceId
    pool: PoolId
    clock_rate: float
    worker: LeasedWorker | None = None
    name: WorkerName | None = None
    """Name of the worker that runs or last ran there."""
    link: Link = Link.UP
    dark: bool = False
    """Whether calls get no answer while no worker runs; otherwise connections are refused."""
    moving: bool = False

    def describe(self, entry: Worker) -> Instance:
        """Return the instance as the platform lists it; one without a worker is shown as down."""
        state = InstanceState.DOWN if self.worker is None else InstanceState.UP
        return Instance(
            self.id,
            self.pool,
            InstanceState.MOVING if self.moving else state,
            entry.data_hall,
            entry.rack,
            entry.labels,
            entry.capacity,
            None if self.worker is None else self.name,
        )


class LeasedWorkers:
    """The instances of a platform, and the calls to their workers."""

    def __init__(self, instances: Iterable[ModelInstance], settings: WorkerSettings) -> None:
        self.instances = {instance.id: instance for instance in instances}
        self.settings = settings
        self.entries: dict[WorkerName, Worker] = {}
        """What the store lists."""
        self.fate = Fate.ANSWERED
        self.partitioned: set[int] = set()
        """Fencing tokens of the owners in that part of the network."""
        self.names = itertools.count()
        self.findings: list[str] = []
        self.events: list[str] = []

    def note(self, event: str) -> None:
        """Record an event, for the report of a violation."""
        self.events.append(f"{monotonic():9.3f} s  {event}")

    def create(self, instance: ModelInstance, name: WorkerName | None = None) -> LeasedWorker:
        """Start a worker, by default one with a new name; the store does not list it yet."""
        instance.name = name or WorkerName(f"{instance.id}-{next(self.names)}")
        started_ms = now_ms()
        entry = replace(
            make_worker(worker_id(instance.name, started_ms), f"r1-{instance.id}"),
            pool=instance.pool,
            instance=instance.id,
        )
        instance.worker = LeasedWorker(entry, instance.clock_rate, self.settings.longest_lease_ms)
        self.note(f"{entry.id} starts in pool {instance.pool}")
        return instance.worker

    def publish(self, worker: LeasedWorker) -> None:
        """List a worker in the store, if it still runs."""
        if worker.alive:
            self.entries[worker.entry.name] = worker.entry

    def withdraw(self, worker: WorkerId) -> None:
        """Remove the entry of an incarnation from the store."""
        found = [name for name, entry in self.entries.items() if entry.id == worker]
        for name in found:
            del self.entries[name]

    def die(self, instance: ModelInstance, *, dark: bool) -> None:
        """End the worker of an instance."""
        if instance.worker is not None:
            running = sorted(instance.worker.runs())
            self.note(f"{instance.worker.entry.id} dies, dark: {dark}, with {running}")
            instance.dark = dark
            instance.worker.die()
            instance.worker = None

    def workers(self) -> list[LeasedWorker]:
        """Return the workers that run."""
        return [i.worker for i in self.instances.values() if i.worker is not None]

    def running(self) -> set[TaskName]:
        """Return the tasks that have a run now."""
        return {task for worker in self.workers() for task in worker.runs()}

    def list_all(self) -> list[Instance]:
        """Return the instances as the platform lists them."""
        entry = make_worker("w")
        return [instance.describe(entry) for instance in self.instances.values()]

    async def start(self, worker: Worker, token: int, order: StartOrder) -> Result[None, Any]:
        """Order a start."""

        def apply(incarnation: LeasedWorker) -> Result[None, Any]:
            refused = incarnation.accept(token, order.deadline_ms)
            if refused is None:
                self._note_begin(incarnation, order)
                refused = incarnation.begin(order)
            return Ok(None) if refused is None else Error(refused)

        what = f"start {order.task}/{order.run}"
        return await self._order(worker, token, order.timeout_s, apply, what)

    def _note_begin(self, incarnation: LeasedWorker, order: StartOrder) -> None:
        """Report a start of a task that has another run."""
        for worker in self.workers():
            run = worker.runs().get(order.task)
            if run is not None and (worker, run) != (incarnation, order.run):
                self.findings.append(
                    f"{order.task} runs twice at once: run {order.run} on {incarnation.entry.id}, "
                    f"run {run} on {worker.entry.id}"
                )

    async def stop(self, worker: Worker, token: int, task: TaskName, run: int) -> Result[None, Any]:
        """Order a stop."""

        def apply(incarnation: LeasedWorker) -> Result[None, Any]:
            refused = incarnation.accept(token, None)
            if refused is None:
                incarnation.stop(task, run)
            return Ok(None) if refused is None else Error(refused)

        timeout_s = self.settings.call_timeout_s
        return await self._order(worker, token, timeout_s, apply, f"stop {task}/{run}")

    async def _order(
        self,
        worker: Worker,
        token: int,
        timeout_s: float,
        apply: Callable[[LeasedWorker], Result[None, Any]],
        what: str,
    ) -> Result[None, Any]:
        fate = self.fate
        if fate is Fate.REQUEST_LOST:
            await anyio.sleep(timeout_s)
            return Error(AnswerLost("the request is lost"))
        incarnation = await self._deliver(worker, token, timeout_s)
        if not isinstance(incarnation, LeasedWorker):
            self.note(f"{what} to {worker.id}: {incarnation!r}")
            return Error(incarnation)
        response = apply(incarnation)
        self.note(f"{what} executed by {incarnation.entry.id}, {fate.value}: {response}")
        if fate is Fate.RESPONSE_LOST:
            await anyio.sleep(timeout_s)
            return Error(AnswerLost("the response is lost"))
        lost = await self._lose_response(worker, token, incarnation, timeout_s)
        return response if lost is None else Error(lost)

    async def renew_leases(
        self, worker: Worker, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> Result[WorkerStatus, Any]:
        """Renew the leases of a worker's runs and return its status."""
        timeout_s = wait_s + self.settings.call_timeout_s
        incarnation = await self._deliver(worker, token, timeout_s)
        if not isinstance(incarnation, LeasedWorker):
            return Error(incarnation)
        refused = incarnation.accept(token, deadline_ms)
        if refused is not None:
            return Error(refused)
        incarnation.drop_ends(last_seen)
        if wait_s and not incarnation.ended:
            with anyio.move_on_after(wait_s):
                await incarnation.changed.wait()
        timeout_s = self.settings.call_timeout_s
        lost = await self._lose_response(worker, token, incarnation, timeout_s)
        if lost is not None:
            return Error(lost)
        status = incarnation.status()
        return Ok(status) if incarnation.entry.id == worker.id else Error(StartedAgain())

    def _loses_requests(self, instance: ModelInstance, token: int) -> bool:
        """Whether requests of an owner do not arrive at an instance."""
        if instance.link is Link.REQUESTS_LOST:
            return True
        return (instance.link is Link.PARTITIONED) != (token in self.partitioned)

    async def _deliver(self, worker: Worker, token: int, timeout_s: float) -> Any:
        """Return the incarnation that receives a call, or the error of the call."""
        await anyio.sleep(LATENCY_S)
        instance = self.instances[worker.instance]
        silent = instance.worker is None and instance.dark
        if silent or self._loses_requests(instance, token):
            await anyio.sleep(timeout_s)
            return AnswerLost("no response")
        if instance.worker is None:
            return NotListening("refused")
        return instance.worker if instance.name == worker.name else OtherLife()

    async def _lose_response(
        self, worker: Worker, token: int, incarnation: LeasedWorker, timeout_s: float
    ) -> AnswerLost | None:
        """Return the error if the response does not arrive."""
        await anyio.sleep(LATENCY_S)
        instance = self.instances[worker.instance]
        lost = instance.link is Link.RESPONSES_LOST or self._loses_requests(instance, token)
        if incarnation.alive and not lost:
            return None
        if not incarnation.alive and not instance.dark and not lost:
            return ConnectionBroken("closed")
        await anyio.sleep(timeout_s)
        return AnswerLost("no response")

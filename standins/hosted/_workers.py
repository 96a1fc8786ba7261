"""A worker's stand-in: leased runs, ends until acknowledged, fencing, orders done late."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web

from pumicespur.utils import monotonic
from standins.hosted._serving import Served

if TYPE_CHECKING:
    from collections.abc import Callable

LAST = 10**9
"""A duration that no test outlives, in seconds."""

WORKER_CPU = 4000
"""Room of a worker, in thousandths of a core."""

CRASHING_PAYLOAD = "crashes"
"""The first task of each step of a job with this payload brings down the worker that starts it."""

FIRST_CLOCK_MS = 10_000_000.0
"""What the clock of a worker's first life shows at its start; each further one shows less."""

CRASH_AFTER_S = 0.01
"""Time from such a start to the crash; its answer is on its way by then."""


@dataclass
class Run:
    """One run of a task, as its worker saw it."""

    task: str
    number: int
    worker: str
    payload: str
    checkpoint: str
    token: int
    started_at: float
    """Monotonic time, as for the end."""
    ended_at: float | None = None
    how: str = ""
    acknowledged_at: float | None = None
    """When the pool's owner confirmed the end; from then on it stands for good."""
    stop_ordered_at: float | None = None
    ticket: str = ""
    """The advising service's permission that the start brought."""
    figure: float = 0.0
    """What the worker tells of the run: latency in ms or processor use."""
    pace: int = 100
    """Share of its speed at which the run may work, in percent."""
    since_leaving_s: float | None = None
    """How long the store had known at the start that the worker leaves; None if it did not."""


@dataclass
class WorkerFaults:
    """What goes wrong; a test sets it while the worker runs."""

    silent: bool = False
    late_starts_s: float = 0.0
    """Starts get no answer and are done after this time."""
    late_starts_unbarred: bool = False
    """What stops keep late starts from is forgotten by the worker's next life, which does them."""
    fail_all: bool = False


_births = itertools.count(int(time.time() * 1000))


@dataclass
class HostedWorker:
    """One life of a worker; `history` is shared by all and outlives it."""

    id: str
    pool: str
    instance: str
    rack: str
    history: list[Run]
    cpu: int = WORKER_CPU
    rooms: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, WORKER_CPU)])
    """What the room was since when: monotonic time and thousandths of a core."""
    memory_mb: int = 8000
    task_s: float = 0.05
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    address: str = ""
    born: int = field(default_factory=lambda: next(_births))
    """Start of this life, in milliseconds since 1970; no two lives are alike."""
    next_life: HostedWorker | None = None
    """The worker that started again under the same id."""
    highest_token: int = 0
    deadline_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)
    """The highest run of each task that was stopped or ended here."""
    count: int = 0
    alive: bool = True
    leaving_at: float | None = None
    """When the store took the worker's word that it leaves (monotonic seconds)."""
    clock_rate: float = 1.0
    """Speed of the worker's own clock; it may run slow."""
    clock_base_ms: float = FIRST_CLOCK_MS
    """What the clock showed when its speed last changed."""
    clock_set_at: float = field(default_factory=monotonic)
    """Monotonic time of that change, in seconds."""
    ends: dict[int, Run] = field(default_factory=dict)
    """Ends that nobody has confirmed yet, by their numbers."""
    news: asyncio.Event = field(default_factory=asyncio.Event)
    on_crash: Callable[[], None] | None = None
    """Called when a task brings the worker down."""
    served: Served | None = None

    def clock_ms(self) -> float:
        """Return the worker's own clock."""
        since_ms = (monotonic() - self.clock_set_at) * 1000
        return self.clock_base_ms + since_ms * self.clock_rate

    def slow_clock(self, rate: float) -> None:
        """Let the clock run at another speed from now on, without a step."""
        self.clock_base_ms = self.clock_ms()
        self.clock_set_at = monotonic()
        self.clock_rate = rate

    def start_again(self) -> HostedWorker:
        """Make the next life under the same id: it knows nothing, and its clock is set back."""
        again = HostedWorker(self.id, self.pool, self.instance, self.rack, self.history, self.cpu)
        again.rooms = self.rooms
        again.task_s = self.task_s
        again.clock_base_ms = FIRST_CLOCK_MS / 2
        self.next_life = again
        return again

    async def serve(self, port: int = 0) -> None:
        """Listen at a port, by default at a free one."""
        app = web.Application()
        app.router.add_post("/pumicespur/run-start", self._start)
        app.router.add_post("/pumicespur/run-stop", self._stop)
        app.router.add_post("/pumicespur/hold", self._hold)
        app.router.add_post("/pumicespur/pace", self._pace)
        self.served = Served(app)
        await self.served.open(port)
        self.address = self.served.address

    def description(self) -> bytes:
        """Return what the worker keeps in the store about itself."""
        return json.dumps(
            {
                "backend": self.pool,
                "address": self.address,
                "zone": "hall",
                "state": "ready" if self.leaving_at is None else "draining",
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb},
                "labels": ["a", self.rack],
                "machine": self.instance,
                "callSeq": 0,
                "born": self.born,
            }
        ).encode()

    def resize(self, cpu: int) -> None:
        """Have another room from now on; what runs goes on."""
        self.cpu = cpu
        self.rooms.append((monotonic(), cpu))

    async def crash(self) -> None:
        """End this life with all that it runs."""
        self.alive = False
        for run in self.running.values():
            run.ended_at = monotonic()
            run.how = "gone"
        self.running.clear()
        if self.served is not None:
            await self.served.close()

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.ended_at = monotonic()
        run.how = how
        self.refused[run.task] = max(run.number, self.refused.get(run.task, 0))
        self.count += 1
        checkpoint = f"after-{run.number}" if how == "stopped" else ""
        self.ends[self.count] = run
        self.ended.append([self.count, run.task, run.number, how, checkpoint])
        self.news.set()
        self.news = asyncio.Event()

    def _note_order(self, body: dict[str, Any]) -> web.Response | None:
        """Refuse an order under an older token; take the deadline of any other."""
        if body.get("fencingToken", 0) < self.highest_token:
            return self._refuse("fence")
        self.highest_token = body.get("fencingToken", 0)
        if self.clock_ms() > self.deadline_ms:
            # The lease lapsed, so the ends before it can't be confirmed any more.
            self.ends.clear()
        self.deadline_ms = max(self.deadline_ms, body.get("deadlineMs") or 0)
        return None

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms(), "reason": reason}, status=409)

    async def _gate(self, request: web.Request) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if request.headers.get("X-Pumicespur-Expect-Instance") != self.id:
            return web.Response(status=421)
        return None

    async def _start(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._gate(request)
        if refused is not None:
            return refused
        if self.faults.late_starts_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_starts_s, self._take_late_start, body)
            await asyncio.sleep(3600)
        return self._take_start(body)

    def _take_late_start(self, body: dict[str, Any]) -> None:
        """Do a start late; if the worker has started again since, its next life does it.

        What a life was told to refuse is not carried over to the next one, unless a test asks.
        """
        life = self
        while life.next_life is not None:
            barred = body["run"] <= life.refused.get(body["task"], 0)
            if barred and not self.faults.late_starts_unbarred:
                return
            life = life.next_life
        if life.alive:
            life._take_start(body)

    def _take_start(self, body: dict[str, Any]) -> web.Response:
        refused = self._note_order(body)
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return web.json_response({"clockMs": self.clock_ms()})
        if number <= self.refused.get(task, 0):
            return self._refuse("old")
        if body["deadlineMs"] < self.clock_ms():
            return self._refuse("late")
        self._begin(body)
        return web.json_response({"clockMs": self.clock_ms()})

    def _begin(self, body: dict[str, Any]) -> None:
        run = Run(
            body["task"],
            body["run"],
            self.id,
            body["taskSpec"],
            body.get("checkpoint", ""),
            body["fencingToken"],
            monotonic(),
            ticket=body.get("ticket", ""),
            since_leaving_s=None if self.leaving_at is None else monotonic() - self.leaving_at,
        )
        self.running[run.task] = run
        self.history.append(run)
        loop = asyncio.get_running_loop()
        if self._brings_down(run) and self.on_crash is not None:
            loop.call_later(CRASH_AFTER_S, self.on_crash)
            return
        lasts_s = LAST if run.payload == "lasts" else self.task_s
        if lasts_s < LAST:
            how = "failed" if self.faults.fail_all or run.payload == "fails" else "done"
            loop.call_later(lasts_s, self._end, run, how)
        loop.call_later(0.05, self._check_lease)

    def _brings_down(self, run: Run) -> bool:
        return run.payload == CRASHING_PAYLOAD and run.task.endswith(".0")

    def _check_lease(self) -> None:
        if not self.alive or not self.running:
            return
        if self.clock_ms() > self.deadline_ms:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
            return
        asyncio.get_running_loop().call_later(0.02, self._check_lease)

    async def _stop(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._gate(request) or self._note_order(body)
        if refused is not None:
            return refused
        run = self.running.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.stop_ordered_at = run.stop_ordered_at or monotonic()
            asyncio.get_running_loop().call_later(0.02, self._end, run, "stopped")
        elif run is None:
            known = self.refused.get(body["task"], 0)
            self.refused[body["task"]] = max(body["run"], known)
        return web.json_response({"clockMs": self.clock_ms()})

    async def _pace(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._gate(request) or self._note_order(body)
        if refused is not None:
            return refused
        run = self.running.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.pace = body["percent"]
        return web.json_response({"clockMs": self.clock_ms()})

    def _acknowledge(self, number: int) -> None:
        self.ended = [end for end in self.ended if end[0] > number]
        for confirmed in [n for n in self.ends if n <= number]:
            self.ends.pop(confirmed).acknowledged_at = monotonic()

    async def _hold(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._gate(request) or self._note_order(body)
        if refused is not None:
            return refused
        self._acknowledge(body["lastSeen"])
        if not self.ended and body.get("waitMs"):
            # If nothing ends in the time asked for, the account is answered all the same.
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.news.wait(), body["waitMs"] / 1000)
        running = [[r.task, r.number, "", 100, r.figure] for r in self.running.values()]
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "running": running,
                "endedAt": self.ended,
                "born": self.born,
            }
        )

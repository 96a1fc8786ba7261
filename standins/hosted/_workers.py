"""The stand-in for a worker: runs under a lease, acknowledged run ends, fencing, late orders."""

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
from standins.hosted._halls import DEFAULT_HALL
from standins.hosted._serving import AppServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from standins.hosted._halls import HallEvacuations

ENDLESS_S = 10**9
"""Duration longer than any test."""

WORKER_CPU = 4000
"""Capacity of a new worker, in thousandths of a core."""

LASTING_PAYLOAD = "lasts"
FILLING_PAYLOAD = "fills its worker"
"""The tasks of jobs with these payloads run until they are stopped."""

CRASHING_PAYLOAD = "crashes"
"""The first task of each step of a job with this payload crashes the worker that starts it."""

FAILS_TWICE_PAYLOAD = "fails twice"
"""The first two runs of each task of a job with this payload end as failed."""

INITIAL_CLOCK_MS = 10_000_000.0
"""Clock of a worker's first incarnation at its start; later incarnations start at a lower time."""

COLD_SLOWDOWN = 2.0
"""Factor by which tasks take longer on a cold worker."""

CRASH_DELAY_S = 0.01
"""Time from the start of such a task to the crash, so that the start still gets its response."""


@dataclass
class Run:
    """One run of a task, as seen by its worker."""

    task: str
    number: int
    worker: str
    payload: str
    checkpoint: str
    token: int
    started_at: float
    """Monotonic time in seconds, as are all times of a run."""
    ended_at: float | None = None
    how: str = ""
    """How the run ended, empty while it is running."""
    acknowledged_at: float | None = None
    """When the pool's owner acknowledged the end, which is final from then on."""
    stop_ordered_at: float | None = None
    ticket: str = ""
    """The admission ticket of the start order."""
    measurement: float = 0.0
    """Latency in ms or CPU usage, as the worker reports it."""
    speed_percent: int = 100
    """Throttle of the run: its speed in percent of full speed."""
    since_leaving_s: float | None = None
    """How long before the start the worker had published that it leaves; None if it had not."""
    since_evacuation_s: float | None = None
    """How long before the start the worker's data hall was evacuated; None if it was not."""


@dataclass
class WorkerFaults:
    """Faults of the worker, which a test sets while it runs."""

    silent: bool = False
    """Whether requests get no response."""
    late_starts_s: float = 0.0
    """Start orders get no response and are carried out after this time; 0 for at once."""
    late_starts_ignore_stops: bool = False
    """Whether the next incarnation carries out late starts that a stop order had revoked."""
    fail_all: bool = False
    """Whether all runs that end by themselves fail."""


_start_times_ms = itertools.count(int(time.time() * 1000))


@dataclass
class HostedWorker:
    """One incarnation of a worker; `history` is shared by all workers and outlives them."""

    id: str
    pool: str
    instance: str
    rack: str
    history: list[Run]
    cpu: int = WORKER_CPU
    capacities: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, WORKER_CPU)])
    """Changes of capacity: monotonic time, and from then on thousandths of a core."""
    memory_mb: int = 8000
    task_s: float = 0.05
    hall: str = DEFAULT_HALL
    evacuations: HallEvacuations | None = None
    """The operators' evacuations of data halls, by which starts are recorded."""
    cold_until: float = 0.0
    """Monotonic time in seconds until which tasks take longer."""
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    address: str = ""
    born: int = field(default_factory=lambda: next(_start_times_ms))
    """Start time of this incarnation, in ms since 1970; unique to it."""
    next_incarnation: HostedWorker | None = None
    """The worker that was restarted under the same id."""
    highest_token: int = 0
    deadline_ms: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    final_runs: dict[str, int] = field(default_factory=dict)
    """By task, the highest number of a run that was stopped or has ended here."""
    last_end_number: int = 0
    alive: bool = True
    leaving_at: float | None = None
    """Monotonic time in seconds at which the worker published that it leaves."""
    clock_rate: float = 1.0
    """Speed of the worker's own clock relative to real time."""
    clock_base_ms: float = INITIAL_CLOCK_MS
    """Time of the clock when its speed last changed."""
    clock_set_at: float = field(default_factory=monotonic)
    """Monotonic time of that change, in seconds."""
    unacknowledged: dict[int, Run] = field(default_factory=dict)
    """Runs whose end can still be acknowledged, by the number of the end."""
    run_ended: asyncio.Event = field(default_factory=asyncio.Event)
    on_crash: Callable[[], None] | None = None
    """Called when a task crashes the worker."""
    server: AppServer | None = None

    def clock_ms(self) -> float:
        """Return the time of the worker's own clock."""
        since_ms = (monotonic() - self.clock_set_at) * 1000
        return self.clock_base_ms + since_ms * self.clock_rate

    def set_clock_rate(self, rate: float) -> None:
        """Change the speed of the clock from now on; its time does not jump."""
        self.clock_base_ms = self.clock_ms()
        self.clock_set_at = monotonic()
        self.clock_rate = rate

    def make_next_incarnation(self) -> HostedWorker:
        """Return the next incarnation: same id, no state, and a clock that is set back."""
        restarted = HostedWorker(
            self.id, self.pool, self.instance, self.rack, self.history, self.cpu
        )
        restarted.capacities = self.capacities
        restarted.hall = self.hall
        restarted.task_s = self.task_s
        restarted.clock_base_ms = INITIAL_CLOCK_MS / 2
        self.next_incarnation = restarted
        return restarted

    async def serve(self, port: int = 0) -> None:
        """Listen on a loopback port, by default on a free one."""
        app = web.Application()
        app.router.add_post("/pumicespur/run-start", self._start)
        app.router.add_post("/pumicespur/run-stop", self._stop)
        app.router.add_post("/pumicespur/hold", self._renew_lease)
        app.router.add_post("/pumicespur/pace", self._throttle)
        self.server = AppServer(app)
        await self.server.open(port)
        self.address = self.server.address

    def encode_entry(self) -> bytes:
        """Return the worker's entry in the store."""
        entry = {
            "backend": self.pool,
            "address": self.address,
            "zone": self.hall,
            "state": "ready" if self.leaving_at is None else "draining",
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb},
            "labels": ["a", self.rack],
            "machine": self.instance,
            "callSeq": 0,
            "born": self.born,
        }
        cold_s = self.cold_until - monotonic()
        if cold_s > 0:
            entry["coldRemainingMs"] = int(cold_s * 1000)
        return json.dumps(entry).encode()

    def resize(self, cpu: int) -> None:
        """Change the capacity from now on; present runs continue."""
        self.cpu = cpu
        self.capacities.append((monotonic(), cpu))

    async def crash(self) -> None:
        """End this incarnation and all its runs."""
        self.alive = False
        for run in self.running.values():
            run.ended_at = monotonic()
            run.how = "gone"
        self.running.clear()
        if self.server is not None:
            await self.server.close()

    def _end(self, run: Run, how: str) -> None:
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.ended_at = monotonic()
        run.how = how
        self.final_runs[run.task] = max(run.number, self.final_runs.get(run.task, 0))
        self.last_end_number += 1
        checkpoint = f"after-{run.number}" if how == "stopped" else ""
        self.unacknowledged[self.last_end_number] = run
        self.ended.append([self.last_end_number, run.task, run.number, how, checkpoint])
        self.run_ended.set()
        self.run_ended = asyncio.Event()

    def _accept_order(self, body: dict[str, Any]) -> web.Response | None:
        """Refuse an order with an older fencing token; apply the lease deadline of any other."""
        if body.get("fencingToken", 0) < self.highest_token:
            return self._refuse("fence")
        self.highest_token = body.get("fencingToken", 0)
        if self.clock_ms() > self.deadline_ms:
            # The lease has expired, so earlier ends can't be acknowledged any more.
            self.unacknowledged.clear()
        self.deadline_ms = max(self.deadline_ms, body.get("deadlineMs") or 0)
        return None

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response({"clockMs": self.clock_ms(), "reason": reason}, status=409)

    async def _check_request(self, request: web.Request) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if request.headers.get("X-Pumicespur-Expect-Instance") != self.id:
            return web.Response(status=421)
        return None

    async def _start(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._check_request(request)
        if refused is not None:
            return refused
        if self.faults.late_starts_s:
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.late_starts_s, self._process_late_start, body)
            await asyncio.sleep(3600)
        return self._process_start(body)

    def _process_late_start(self, body: dict[str, Any]) -> None:
        """Carry out a late start order, in the latest incarnation if the worker has restarted.

        If a stop order revoked the run in an earlier incarnation, the start is dropped, unless a
        test sets `late_starts_ignore_stops`. The clock of a later incarnation is set back, so that
        the order's deadline does not bound the start there, nor does an evacuation.
        """
        incarnation = self
        while incarnation.next_incarnation is not None:
            revoked = body["run"] <= incarnation.final_runs.get(body["task"], 0)
            if revoked and not self.faults.late_starts_ignore_stops:
                return
            incarnation = incarnation.next_incarnation
        if incarnation.alive:
            incarnation._process_start(body, is_bounded=incarnation is self)

    def _process_start(self, body: dict[str, Any], *, is_bounded: bool = True) -> web.Response:
        refused = self._accept_order(body)
        if refused is not None:
            return refused
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current.number == number:
            return web.json_response({"clockMs": self.clock_ms()})
        if number <= self.final_runs.get(task, 0):
            return self._refuse("old")
        if body["deadlineMs"] < self.clock_ms():
            return self._refuse("late")
        self._begin(body, is_bounded=is_bounded)
        return web.json_response({"clockMs": self.clock_ms()})

    def _begin(self, body: dict[str, Any], *, is_bounded: bool) -> None:
        """Start a run; a start that its deadline did not bound is not held against evacuations."""
        evacuations = self.evacuations if is_bounded else None
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
            since_evacuation_s=None if evacuations is None else evacuations.age_s(self.hall),
        )
        self.running[run.task] = run
        self.history.append(run)
        loop = asyncio.get_running_loop()
        if self._crashes_worker(run) and self.on_crash is not None:
            loop.call_later(CRASH_DELAY_S, self.on_crash)
            return
        slowdown = COLD_SLOWDOWN if monotonic() < self.cold_until else 1.0
        lasts = run.payload in (LASTING_PAYLOAD, FILLING_PAYLOAD)
        duration_s = ENDLESS_S if lasts else self.task_s * slowdown
        if duration_s < ENDLESS_S:
            how = "failed" if self.faults.fail_all or _fails(run) else "done"
            loop.call_later(duration_s, self._end, run, how)
        loop.call_later(0.05, self._check_lease)

    def _crashes_worker(self, run: Run) -> bool:
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
        refused = await self._check_request(request) or self._accept_order(body)
        if refused is not None:
            return refused
        run = self.running.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.stop_ordered_at = run.stop_ordered_at or monotonic()
            asyncio.get_running_loop().call_later(0.02, self._end, run, "stopped")
        elif run is None:
            known = self.final_runs.get(body["task"], 0)
            self.final_runs[body["task"]] = max(body["run"], known)
        return web.json_response({"clockMs": self.clock_ms()})

    async def _throttle(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        refused = await self._check_request(request) or self._accept_order(body)
        if refused is not None:
            return refused
        run = self.running.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.speed_percent = body["percent"]
        return web.json_response({"clockMs": self.clock_ms()})

    def _acknowledge(self, number: int) -> None:
        self.ended = [end for end in self.ended if end[0] > number]
        for confirmed in [n for n in self.unacknowledged if n <= number]:
            self.unacknowledged.pop(confirmed).acknowledged_at = monotonic()

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
        running = [[r.task, r.number, "", 100, r.measurement] for r in self.running.values()]
        return web.json_response(
            {
                "clockMs": self.clock_ms(),
                "running": running,
                "endedAt": self.ended,
                "born": self.born,
            }
        )


def _fails(run: Run) -> bool:
    """Return whether a run fails through its task's own fault."""
    return run.payload == "fails" or (run.payload == FAILS_TWICE_PAYLOAD and run.number <= 2)

"""Callers that submit, query and cancel jobs over persistent connections and record responses."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

import aiohttp

from pumicespur.utils import monotonic
from soak._accounts import ACCOUNT_NAMES, KEYED_ROUTE, KeyProbe
from standins.hosted import CRASHING_PAYLOAD, FAILS_TWICE_PAYLOAD, FILLING_PAYLOAD, HOST

if TYPE_CHECKING:
    from soak._plan import Plan
    from soak._world import SoakWorld

RESPONSE_TIMEOUT_S = 3.0
"""Time that a caller waits for a response."""

SHORT_TIMEOUT_S = 0.6
"""Time for a response that is given up early."""

MAX_SUBMIT_ATTEMPTS = 5
"""Number of times that a caller sends the same job."""

NO_RESPONSE = 0
"""Status recorded for a request whose connection broke or timed out."""

RETRYABLE_STATUSES = frozenset({NO_RESPONSE, 502, 504})
"""Statuses after which callers send the same job again."""

REFUSAL_STATUSES = frozenset({401, 429, 503})

LONG_RUNNING_RATIO = 0.12
CANCEL_RATIO = 0.12
QUERY_RATIO = 0.35
"""Shares of a caller's actions; the others submit short jobs."""

SPECULATIVE_RATIO = 0.3
"""Share of short jobs whose tasks may run twice at once, as in the users' workloads."""

KEYED_RATIO = 0.5
"""Share of short jobs that are submitted with a client account's key."""

BURST_JOBS = 12
"""Jobs in one burst: three times the account's weight, which is in jobs per second."""

PROBE_INTERVAL_S = 0.2
"""Pause between checks whether every node serves the added routes."""

CRASHING_JOB_TIMEOUT_S = 12.0
"""Max time for which a caller waits until a job that crashes workers has failed; enough unless much
else goes wrong."""

TASK_CPU_MILLIS = 500
"""CPU capacity that each task requests."""

HIGH_TURN_FACTOR = 5.0
LOW_TURN_FACTOR = 1 / 20
"""Rate of a caller in high and low turns of demand, relative to its mean."""

HIGH_TURN_RATIO = (1 - LOW_TURN_FACTOR) / (HIGH_TURN_FACTOR - LOW_TURN_FACTOR)
"""Share of time that is a high turn."""

MAX_REPEATED_JOBS = 8
"""Newest accepted jobs of a caller whose ids it sends again."""

MAX_LONG_RUNNING_JOBS = 3
"""Long-running jobs that one caller has at the same time; each occupies several workers."""


class JobKind(Enum):
    """Kind of a job; the value is the payload of its tasks."""

    SHORT = "short"
    LONG_RUNNING = "lasts"
    FAILING = FAILS_TWICE_PAYLOAD
    """The first two runs of each task fail, fewer than callers are promised attempts."""
    FILLING = FILLING_PAYLOAD
    """The tasks run until the job is cancelled; nobody minds where some of them don't."""
    HOPELESS = "hopeless"
    """The job can never start."""
    CRASHING = CRASHING_PAYLOAD
    """The first task crashes each worker that starts it."""


@dataclass(frozen=True)
class Exchange:
    """One request as seen by its caller; times are in monotonic seconds."""

    method: str
    path: str
    node: str
    pid: int
    """Process id of the node when the request was sent."""
    sent_at: float
    ended_at: float
    status: int
    state: str = ""
    """State of the job, if the response contained one."""
    reason: str = ""
    """Reason for a refusal, if the response contained one."""


@dataclass
class SentJob:
    """A job and all requests of its caller about it."""

    id: str
    kind: JobKind
    steps: list[dict[str, Any]]
    exchanges: list[Exchange] = field(default_factory=list)
    account: str = ""
    """The job's client account; empty on the public route."""
    cancel_began_at: float | None = None
    """When the caller first began to cancel the job, whether or not there was an answer yet."""

    @property
    def path(self) -> str:
        """The path at which the job is submitted and queried."""
        return f"/{KEYED_ROUTE if self.account else 'quick'}/{self.id}"

    @property
    def body(self) -> dict[str, Any]:
        """The body with which the job is submitted."""
        return {"taskSpec": self.kind.value, "steps": self.steps}

    @property
    def submissions(self) -> list[Exchange]:
        """The attempts to submit the job."""
        return [e for e in self.exchanges if e.method == "POST"]

    @property
    def accepted_at(self) -> float | None:
        """The time at which the caller first knew that the job was accepted."""
        return min((e.ended_at for e in self.submissions if e.status == 200), default=None)

    @property
    def is_refused(self) -> bool:
        """Whether every attempt was refused, so that the job must never run."""
        return all(e.status in REFUSAL_STATUSES for e in self.submissions)

    @property
    def cancel_sent_at(self) -> float | None:
        """The time at which the caller first asked to cancel the job."""
        answered = [e.sent_at for e in self.exchanges if e.method == "DELETE"]
        began = [] if self.cancel_began_at is None else [self.cancel_began_at]
        return min(began + answered, default=None)

    @property
    def cancel_answered_at(self) -> float | None:
        """The time at which the caller first knew that the job is cancelled or does not exist."""
        answered = [
            e.ended_at for e in self.exchanges if e.method == "DELETE" and e.status in (200, 410)
        ]
        return min(answered, default=None)

    @property
    def cancelled_at(self) -> float | None:
        """The time at which the cancellation was first confirmed."""
        confirmed = [e.ended_at for e in self.exchanges if e.method == "DELETE" and e.status == 200]
        return min(confirmed, default=None)

    def task_count(self, step: int) -> int:
        """Return the number of tasks of a step."""
        return int(self.steps[step]["count"])


class Caller:
    """A caller that stays with one node until a request to it fails."""

    def __init__(self, number: int, plan: Plan, world: SoakWorld) -> None:
        self.number = number
        self.plan = plan
        self.world = world
        self.random = random.Random(plan.seed * 1000 + number)
        self.jobs: list[SentJob] = []
        self.route_probes: list[Exchange] = []
        """Requests for routes that configurations add and remove."""
        self.key_probes: list[KeyProbe] = []
        self.account_random = random.Random(plan.seed * 1000 + number + 500)
        """Separate generator, so that plans saved before there were accounts still cause the same
        actions."""
        self.repeat_random = random.Random(plan.seed * 1000 + number + 700)
        """Separate for the same reason."""
        self.node_names = sorted(world.links)
        self.repeat_nodes = itertools.cycle(self.node_names)
        self.preferred_index = number % len(self.node_names)
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def run(self, until: float) -> None:
        """Act at random until the given monotonic time."""
        pause_s = self.plan.deployment.callers / self.plan.deployment.submissions_per_s / 2
        began = monotonic()
        while monotonic() < until:
            await self._act()
            drawn_s = self.random.uniform(0.2, 1.8) * pause_s
            await self._pause(drawn_s, monotonic() - began)

    async def _pause(self, mean_s: float, since_s: float) -> None:
        """Pause as long as the turn of demand says, at most until the next turn."""
        turn_s = self.plan.deployment.turn_s
        if not turn_s:
            await asyncio.sleep(mean_s)
            return
        into_s, high_s = since_s % turn_s, turn_s * HIGH_TURN_RATIO
        factor, ends_s = (
            (HIGH_TURN_FACTOR, high_s) if into_s < high_s else (LOW_TURN_FACTOR, turn_s)
        )
        await asyncio.sleep(min(mean_s / factor, ends_s - into_s))

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def _act(self) -> None:
        drawn = self.random.random()
        long_running = [
            j for j in self.jobs if j.kind is JobKind.LONG_RUNNING and not j.cancel_sent_at
        ]
        if drawn < QUERY_RATIO:
            await self._query()
        elif drawn < QUERY_RATIO + CANCEL_RATIO and self.jobs:
            await self.cancel(self.random.choice(self.jobs))
        elif (
            drawn < QUERY_RATIO + CANCEL_RATIO + LONG_RUNNING_RATIO
            and len(long_running) < MAX_LONG_RUNNING_JOBS
        ):
            await self._submit(JobKind.LONG_RUNNING, [_long_running_step()])
        else:
            await self._submit(JobKind.SHORT, self._short_steps())

    async def _query(self) -> None:
        if self.jobs and self.random.random() < 0.5:
            await self.query(self.random.choice(self.jobs))
            return
        newest = self.world.version
        version = self.random.choice([newest, max(1, newest - 1)])
        self.route_probes.append(await self._send("GET", f"/v{version}/", None))

    async def probe_added_routes(self, min_age_s: float) -> None:
        """Repeatedly request from every node the newest route added at least `min_age_s` ago."""
        while True:
            until = monotonic() - min_age_s
            due = [route for route, added_at in self.world.added_routes.items() if added_at < until]
            for name in self.node_names if due else ():
                self.route_probes.append(await self._send("GET", f"/{due[-1]}/", None, name))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def submit_crashing_job(self) -> None:
        """Submit a job that crashes workers and wait until it is given up."""
        await self._submit(JobKind.CRASHING, [{"count": 2, "cpu": TASK_CPU_MILLIS, "memMb": 100}])
        job = self.jobs[-1]
        until = monotonic() + CRASHING_JOB_TIMEOUT_S
        while job.accepted_at is not None and monotonic() < until:
            if (await self.query(job)).state == "failed":
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def submit_failing_job(self) -> None:
        """Submit a job without a key whose tasks fail at first."""
        await self._submit(JobKind.FAILING, [_burst_step()], "")

    async def submit_steps(self, kind: JobKind, steps: list[dict[str, Any]]) -> SentJob:
        """Submit a job without a key."""
        return await self._submit(kind, steps, "")

    async def query(self, job: SentJob) -> Exchange:
        """Query the state of a job."""
        exchange = await self._send("GET", job.path, None, key=self._api_key(job.account))
        job.exchanges.append(exchange)
        return exchange

    async def cancel(self, job: SentJob) -> None:
        """Cancel a job, which may be unknown to the node."""
        if job.cancel_began_at is None:
            job.cancel_began_at = monotonic()
        exchange = await self._send("DELETE", job.path, None, key=self._api_key(job.account))
        job.exchanges.append(exchange)

    async def resubmit(self) -> None:
        """Send an accepted job again, at the next node; newer jobs are more likely."""
        accepted = [job for job in self.jobs if job.accepted_at is not None and not job.account]
        if not accepted:
            return
        job = accepted[-self.repeat_random.randint(1, min(MAX_REPEATED_JOBS, len(accepted)))]
        node = next(self.repeat_nodes)
        job.exchanges.append(await self._send("POST", job.path, job.body, node))

    async def submit_once(self) -> SentJob:
        """Submit a job without a key once, and wait only for a short time."""
        job = SentJob(f"{self.repeat_random.getrandbits(64):016x}", JobKind.SHORT, [_burst_step()])
        self.jobs.append(job)
        exchange = await self._send("POST", job.path, job.body, timeout_s=SHORT_TIMEOUT_S)
        job.exchanges.append(exchange)
        return job

    def _api_key(self, account: str) -> str:
        return self.world.account_history.current_key(account) if account else ""

    async def submit_burst(self, account: str) -> None:
        """Submit many jobs of one account in a row."""
        for _ in range(BURST_JOBS):
            await self._submit(JobKind.SHORT, [_burst_step()], account)

    async def probe_keys(self) -> None:
        """Repeatedly send requests with valid, revoked and unknown keys."""
        while True:
            keys = self.world.account_history.keys
            key = self.account_random.choice([*(validity.key for validity in keys), "key-unknown"])
            path = f"/{KEYED_ROUTE}/{self.account_random.getrandbits(64):016x}"
            node = self.account_random.choice(self.node_names)
            exchange = await self._send("GET", path, None, node, key)
            self.key_probes.append(KeyProbe(key, exchange))
            await asyncio.sleep(PROBE_INTERVAL_S / 2)

    async def _submit(
        self, kind: JobKind, steps: list[dict[str, Any]], account: str | None = None
    ) -> SentJob:
        name = f"{self.random.getrandbits(64):016x}"
        if account is None:
            keyed = kind is JobKind.SHORT and self.account_random.random() < KEYED_RATIO
            account = self.account_random.choice(ACCOUNT_NAMES) if keyed else ""
        job = SentJob(name, kind, steps, account=account)
        self.jobs.append(job)
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            exchange = await self._send("POST", job.path, job.body, key=self._api_key(account))
            job.exchanges.append(exchange)
            if exchange.status not in RETRYABLE_STATUSES:
                break
            self.preferred_index += 1
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
        return job

    def _short_steps(self) -> list[dict[str, Any]]:
        first = {
            "count": self.random.randint(1, 4),
            "cpu": TASK_CPU_MILLIS,
            "memMb": 100,
            "estimatedMs": 250,
        }
        if self.random.random() < SPECULATIVE_RATIO:
            first["speculative"] = True
        if self.random.random() < 0.5:
            return [first]
        return [first, {**first, "count": self.random.randint(1, 3), "dependsOn": [0]}]

    async def _send(
        self,
        method: str,
        path: str,
        body: Any,
        node: str = "",
        key: str = "",
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> Exchange:
        """Send a request to the given or the preferred node; prefer the next node if it fails."""
        name = node or self.node_names[self.preferred_index % len(self.node_names)]
        pid = self.world.nodes.nodes[name].process.pid
        headers = {"Host": HOST, "X-Pumicespur-Deadline-Ms": str(int(timeout_s * 1000))}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        url = f"http://{self.world.links[name].callers.address}{path}"
        sent_at = monotonic()
        status, state, reason = NO_RESPONSE, "", ""
        try:
            async with self.session.request(method, url, json=body, headers=headers) as response:
                content = await response.json(content_type=None)
                status, state = response.status, str(content.get("state", ""))
                reason = str(content.get("error", ""))
        except (aiohttp.ClientError, OSError, TimeoutError):
            # The outcome of the request is unknown, which the exchange records as `NO_RESPONSE`.
            self.preferred_index += 1
        return Exchange(method, path, name, pid, sent_at, monotonic(), status, state, reason)


def _burst_step() -> dict[str, Any]:
    return {"count": 2, "cpu": TASK_CPU_MILLIS, "memMb": 100, "estimatedMs": 250}


def _long_running_step() -> dict[str, Any]:
    return {
        "count": 3,
        "cpu": TASK_CPU_MILLIS,
        "memMb": 100,
        "longRunning": True,
        "may_miss": 1,
        "antiAffinity": 1,
    }

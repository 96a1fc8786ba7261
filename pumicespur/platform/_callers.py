"""The HTTP server for callers and for the platform's readiness checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
from aiohttp import web
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.listeners import bound_to, listen_at
from pumicespur.model import (
    ANYONE,
    AccountId,
    Cancellation,
    JobId,
    Submission,
    digest_signs,
    key_digest,
)
from pumicespur.schema.jobs_pb import JobPhase, JobRecord, StepRecord
from pumicespur.utils import METRICS, monotonic, now_ms

if TYPE_CHECKING:
    from pumicespur.model import Configuration, KeyDigest, Route
    from pumicespur.store import Fault

log = Logger(__name__)

READINESS_PATH = "/pumicespur/readiness"
DEADLINE_HEADER = "X-Pumicespur-Deadline-Ms"
"""Time that a caller waits for an answer, in milliseconds."""

BEARER = "Bearer"
"""The scheme in which callers show their keys (RFC 6750)."""

ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")
ANSWER_RESERVE_S = 0.15
"""Kept back from a caller's time so that the final answer still reaches it."""

GIVE_UP_SHARE = 0.5
"""Share of a caller's time after which a refusal is given, so that another try has time."""

COME_BACK_S = "1"
"""When a refused caller may try again: about the time until a lost owner is replaced."""

PHASES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


class _Step(msgspec.Struct):
    count: int = 0
    cpu: int = 0
    memory_mb: int = msgspec.field(name="memMb", default=0)
    gpu: int = 0
    estimated_ms: float = msgspec.field(name="estimatedMs", default=0)
    depends_on: list[int] = msgspec.field(name="dependsOn", default=[])
    checkpoints: bool = msgspec.field(name="checkpointing", default=False)
    gang: bool = False
    same_rack: bool = msgspec.field(name="sameRack", default=False)
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = msgspec.field(name="antiAffinity", default=0)
    speculative: bool = False
    long_running: bool = msgspec.field(name="longRunning", default=False)
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


class _Job(msgspec.Struct):
    payload: str = msgspec.field(name="taskSpec", default="")
    steps: list[_Step] = []
    repeats: int = msgspec.field(name="repeatCount", default=0)
    first_ms: float = msgspec.field(name="initialDelayMs", default=0)
    interval_ms: float = msgspec.field(name="intervalMs", default=0)


_JOB = msgspec.json.Decoder(_Job)


class JobDesk(Protocol):
    """What callers may ask of jobs; times to give up are monotonic seconds."""

    async def submit(self, route: Route, record: JobRecord, give_up_at: float) -> Submission:
        """Record a job."""

    async def state(
        self, route: Route, caller: AccountId, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        """Read how far a job is; None tells that there is no such job for the caller."""

    async def cancel(
        self, route: Route, caller: AccountId, job: JobId, give_up_at: float
    ) -> Cancellation:
        """Record that a job is not wanted any more."""


class CallerContext(Protocol):
    """What the server needs of the process."""

    @property
    def jobs(self) -> JobDesk:
        """Return where jobs are handed in and asked for."""

    def current_configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""

    def is_ready(self) -> bool:
        """Tell whether the process serves callers."""

    def configuration_outdated(self) -> bool:
        """Tell whether the configuration in force is too old to answer by."""

    def newer_configuration_known(self) -> bool:
        """Tell whether others have a configuration in force that is not here yet."""

    def note_refused(self, job: JobId, digest: KeyDigest | None, version: int) -> None:
        """Remember that a call was refused for its key, by which configuration."""

    def store_answers(self) -> bool:
        """Tell whether the store answered lately; without it nothing can be taken or told."""

    def is_stopping(self) -> bool:
        """Tell whether connections are to be closed after their answer."""

    async def waiting_jobs(self, route: Route) -> int | None:
        """Return how many jobs wait on a route, or None if that is not known."""


class CallerServer:
    """Translates callers' requests into calls of the job service."""

    def __init__(self, context: CallerContext) -> None:
        self.context = context
        self.in_flight = 0
        self.runners: list[web.ServerRunner] = []

    async def listen(self, callers: str, readiness: str) -> dict[str, str]:
        """Serve at two addresses, IP number and port each; return where each is bound."""
        bound = {}
        for name, address, handler in (
            ("callers", callers, self._serve_caller),
            ("readiness", readiness, self._serve_check),
        ):
            runner = await listen_at(address, handler)
            self.runners.append(runner)
            bound[name] = bound_to(runner)
        return bound

    async def aclose(self) -> None:
        """Close all listeners and connections."""
        for runner in self.runners:
            await runner.cleanup()

    async def _serve_check(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.context.is_ready() else 503)

    async def _serve_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        started = monotonic()
        try:
            response = await self._answer(request)
        finally:
            self.in_flight -= 1
            METRICS.callers.observe({"method": request.method}, monotonic() - started)
        if self.context.is_stopping():
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        configuration = self.context.current_configuration()
        if configuration is None:
            return _refuse(503, "no configuration yet")
        if self.context.configuration_outdated():
            # 404 would tell a caller not to come back, on the word of a configuration that others
            # have replaced.
            return _refuse(503, "the configuration here is out of date; nothing was done")
        path = request.raw_path.partition("?")[0]
        route = configuration.match(request.headers.get("Host", "").lower(), path)
        if route is None:
            return _refuse(404, "no such route")
        name = path[len(route.path_prefix) :]
        if (name or request.method != "GET") and not is_job_id(name):
            return _refuse(404, "no such job")
        caller = self._caller(request, route, configuration, JobId(name))
        if caller is None:
            if self.context.newer_configuration_known():
                # The key may be one of those that it adds.
                return _refuse(503, "a newer configuration is on its way; nothing was done")
            return _refuse(401, "no key that is in force")
        if not name:
            return await self._count(route)
        if not self.context.store_answers():
            return _refuse(503, "the store does not answer; nothing was done")
        give_up_at = monotonic() + _patience_s(request, route)
        match request.method:
            case "POST":
                limit = configuration.limits.max_body_bytes
                record = JobRecord(id=name, route=route.name, account=caller)
                return await self._submit(request, route, record, give_up_at, limit)
            case "GET":
                return await self._state(route, caller, JobId(name), give_up_at)
            case "DELETE":
                return await self._cancel(route, caller, JobId(name), give_up_at)
            case _:
                return _refuse(405, "no such method")

    def _caller(
        self, request: web.BaseRequest, route: Route, configuration: Configuration, job: JobId
    ) -> AccountId | None:
        """Return whose call it is; None if it needs a key and has none that is in force."""
        if route.public:
            return ANYONE
        key = bearer_key(request.headers.get("Authorization", ""))
        digest = None if key is None else key_digest(key)
        caller = None if digest is None else configuration.keys.get(digest)
        if caller is None:
            self.context.note_refused(job, digest, configuration.version)
            log.warning(
                "call refused",
                job=job,
                route=route.name,
                method=request.method,
                key=None if digest is None else digest_signs(digest),
                version=configuration.version,
            )
        return caller

    async def _count(self, route: Route) -> web.Response:
        waiting = await self.context.waiting_jobs(route)
        if waiting is None:
            return _refuse(503, "the pool has no owner at present")
        return _json(200, {"pending": waiting})

    async def _submit(
        self,
        request: web.BaseRequest,
        route: Route,
        record: JobRecord,
        give_up_at: float,
        limit: int,
    ) -> web.Response:
        if (request.content_length or 0) > limit:
            return _refuse(413, f"more than {limit} bytes")
        body = await request.read()
        if len(body) > limit:
            return _refuse(413, f"more than {limit} bytes")
        match decode_job(record, body):
            case Result(tag="error", error=reason):
                log.warning("job refused", job=record.id, route=route.name, reason=reason)
                return _refuse(400, reason)
            case Result(ok=job):
                outcome = await self.context.jobs.submit(route, job, give_up_at)
                METRICS.jobs.inc({"outcome": outcome.value})
        match outcome:
            case Submission.ACCEPTED:
                return _json(200, {"state": "queued"})
            case Submission.NOT_TAKEN:
                return _refuse(503, "the job was not taken")
            case Submission.UNKNOWN:
                return _refuse(504, "whether the job was taken is not known; ask again")
            case Submission.FOREIGN:
                return _refuse(409, "the id can't be used")

    async def _state(
        self, route: Route, caller: AccountId, job: JobId, give_up_at: float
    ) -> web.Response:
        answer = await self.context.jobs.state(route, caller, job, give_up_at)
        match answer:
            case Result(tag="ok", ok=None):
                return _refuse(410, "no such job")
            case Result(tag="ok", ok=phase):
                return _json(200, {"state": PHASES[phase or JobPhase.QUEUED]})
            case Result(error=fault):
                log.warning("state not read", job=job, route=route.name, reason=str(fault))
                return _refuse(503, "the state can't be read at present")

    async def _cancel(
        self, route: Route, caller: AccountId, job: JobId, give_up_at: float
    ) -> web.Response:
        outcome = await self.context.jobs.cancel(route, caller, job, give_up_at)
        match outcome:
            case Cancellation.DONE:
                return _json(200, {"state": "cancelled"})
            case Cancellation.NO_SUCH_JOB:
                return _refuse(410, "no such job to cancel")
            case Cancellation.UNKNOWN:
                return _refuse(504, "whether the job is cancelled is not known; ask again")


def is_job_id(name: str) -> bool:
    """Tell whether a job may have a name."""
    return len(name) == ID_LENGTH and set(name) <= HEX_DIGITS


def bearer_key(header: str) -> str | None:
    """Return the key of an `Authorization` header; None if there is none in its proper form."""
    scheme, _, key = header.partition(" ")
    return key.strip() or None if scheme.lower() == BEARER.lower() else None


def decode_job(job: JobRecord, body: bytes) -> Result[JobRecord, str]:
    """Read what a caller submits for a job, or tell what is wrong with it."""
    try:
        found = _JOB.decode(body)
    except msgspec.MsgspecError as failure:
        return Error(f"not a job: {failure}")
    if not found.steps:
        return Error("steps: a job needs at least one")
    for number, step in enumerate(found.steps):
        if step.count < 1:
            return Error(f"steps[{number}].count: is {step.count}, needs at least 1")
        if any(not 0 <= earlier < number for earlier in step.depends_on):
            return Error(f"steps[{number}].dependsOn: names a step that is not an earlier one")
    job.payload = found.payload
    job.steps = [_step(step) for step in found.steps]
    job.repeats = found.repeats
    job.first_due_ms = int(found.first_ms)
    job.interval_ms = int(found.interval_ms)
    job.accepted_ms = now_ms()
    return Ok(job)


def _step(step: _Step) -> StepRecord:
    return StepRecord(
        count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.memory_mb,
        accelerators=step.gpu,
        estimated_ms=int(step.estimated_ms),
        depends_on=step.depends_on,
        checkpoints=step.checkpoints,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.requires,
        data_rack=step.affinity,
        max_per_worker=step.anti_affinity,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        latency_objective_ms=int(step.target_ms),
        fills=step.fills,
        may_miss=step.may_miss,
    )


def _patience_s(request: web.BaseRequest, route: Route) -> float:
    """Return how long to try for a caller: a share of its own time, less the way back."""
    try:
        asked_s = float(request.headers.get(DEADLINE_HEADER, "")) / 1000
    except ValueError:
        # A caller that names no time gets the route's.
        asked_s = route.timeout_s
    return max(0.0, min(asked_s, route.timeout_s) * GIVE_UP_SHARE - ANSWER_RESERVE_S)


def _json(status: int, body: dict[str, str | int]) -> web.Response:
    content = msgspec.json.encode(body)
    return web.Response(status=status, body=content, content_type="application/json")


def _refuse(status: int, reason: str) -> web.Response:
    response = _json(status, {"error": reason})
    if status in (503, 504):
        response.headers["Retry-After"] = COME_BACK_S
    if status == 401:
        response.headers["WWW-Authenticate"] = BEARER
    return response

"""HTTP servers for callers and for the platform's readiness checks."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING, Protocol

import msgspec
from aiohttp import web
from expression import Error, Ok, Result
from logbook import Logger

from pumicespur.listeners import bound_address, start_server
from pumicespur.model import (
    ANONYMOUS_ACCOUNT,
    AccountId,
    CancellationOutcome,
    JobId,
    SubmissionOutcome,
    digest_prefix,
    key_digest,
)
from pumicespur.platform._retry_after import retry_after_s
from pumicespur.schema.jobs_pb import JobPhase, JobRecord, StepRecord
from pumicespur.utils import METRICS, monotonic, now_ms

if TYPE_CHECKING:
    from pumicespur.model import Configuration, KeyDigest, Route
    from pumicespur.store import Fault

log = Logger(__name__)

READINESS_PATH = "/pumicespur/readiness"
DEADLINE_HEADER = "X-Pumicespur-Deadline-Ms"
"""Header that says how long a caller waits for a response, in milliseconds."""

BEARER_SCHEME = "Bearer"
"""Authentication scheme of callers' keys (RFC 6750)."""

JOB_ID_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdef")
RESPONSE_MARGIN_S = 0.15
"""Part of a caller's time limit that is reserved for sending the response."""

DEFAULT_TIME_LIMIT_S = 3.0
"""Time limit assumed where a caller states none: the usual one."""

GIVE_UP_RATIO = 0.5
"""Share of a caller's time after which the request is refused, which leaves time for a retry."""

PHASE_NAMES = {
    JobPhase.QUEUED: "queued",
    JobPhase.RUNNING: "running",
    JobPhase.COMPLETED: "completed",
    JobPhase.FAILED: "failed",
    JobPhase.CANCELLED: "cancelled",
}


class _StepBody(msgspec.Struct):
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


class _JobBody(msgspec.Struct):
    payload: str = msgspec.field(name="taskSpec", default="")
    steps: list[_StepBody] = []
    repeats: int = msgspec.field(name="repeatCount", default=0)
    first_ms: float = msgspec.field(name="initialDelayMs", default=0)
    interval_ms: float = msgspec.field(name="intervalMs", default=0)


_JOB_DECODER = msgspec.json.Decoder(_JobBody)


class JobApi(Protocol):
    """What callers can do with jobs; `give_up_at` is in monotonic seconds."""

    async def submit(self, route: Route, record: JobRecord, give_up_at: float) -> SubmissionOutcome:
        """Record a job."""

    def describe_size_limit(self) -> str:
        """Return why a job is too large, for its caller."""

    async def phase(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> Result[JobPhase | None, Fault]:
        """Return the phase of a job, or None if the caller has no such job."""

    async def cancel(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> CancellationOutcome:
        """Record the cancellation of a job."""


class CallerContext(Protocol):
    """What the server needs from the process."""

    @property
    def jobs(self) -> JobApi:
        """The object that carries out requests about jobs."""

    def current_configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""

    def is_ready(self) -> bool:
        """Return whether the process is ready for callers."""

    def is_configuration_outdated(self) -> bool:
        """Return whether the configuration in force is too old to serve callers by."""

    def is_newer_configuration_known(self) -> bool:
        """Return whether others have put a configuration in force that has not arrived here yet."""

    def note_refused(self, job: JobId, digest: KeyDigest | None, version: int) -> None:
        """Note a call refused for its key, and the version of the configuration that decided it."""

    def is_store_responding(self) -> bool:
        """Return whether calls to the store succeed, or have failed only for a short time.

        Otherwise no job can be accepted or read.
        """

    def store_failing_for_s(self) -> float:
        """Return how long calls to the store have failed, in seconds."""

    def is_stopping(self) -> bool:
        """Return whether connections are to be closed after their response."""

    async def waiting_jobs(self, route: Route) -> int | None:
        """Return the number of jobs waiting on a route, or None if it is not known."""


class CallerServer:
    """A server that translates callers' requests into calls of `JobApi`."""

    def __init__(self, context: CallerContext) -> None:
        self.context = context
        self.in_flight = 0
        self.runners: list[web.ServerRunner] = []

    async def listen(self, callers: str, readiness: str) -> dict[str, str]:
        """Listen at two addresses (IP number and port); return the bound addresses by name."""
        bound = {}
        for name, address, handler in (
            ("callers", callers, self._serve_caller),
            ("readiness", readiness, self._serve_readiness),
        ):
            runner = await start_server(address, handler)
            self.runners.append(runner)
            bound[name] = bound_address(runner)
        return bound

    async def aclose(self) -> None:
        """Close all listeners and connections."""
        for runner in self.runners:
            await runner.cleanup()

    async def _serve_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.context.is_ready() else 503)

    async def _serve_caller(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        started_at = monotonic()
        try:
            response = await self._handle(request)
        finally:
            self.in_flight -= 1
            METRICS.caller_latency.observe({"method": request.method}, monotonic() - started_at)
        if response.status in (503, 504):
            self._state_retry_time(request, response)
        if self.context.is_stopping():
            response.force_close()
        return response

    def _state_retry_time(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        limit_s = _requested_time_s(request, DEFAULT_TIME_LIMIT_S)
        wait_s = retry_after_s(self.context.store_failing_for_s(), limit_s, random.random())
        response.headers["Retry-After"] = str(wait_s)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        configuration = self.context.current_configuration()
        if configuration is None:
            return _error_response(503, "no configuration yet")
        if self.context.is_configuration_outdated():
            # A route that is unknown here may exist in a newer configuration, but a 404 would tell
            # the caller not to retry.
            return _error_response(503, "the configuration here is out of date; nothing was done")
        path = request.raw_path.partition("?")[0]
        route = configuration.match(request.headers.get("Host", "").lower(), path)
        if route is None:
            return _error_response(404, "no such route")
        name = path[len(route.path_prefix) :]
        if (name or request.method != "GET") and not is_job_id(name):
            return _error_response(404, "no such job")
        caller = self._authenticate(request, route, configuration, JobId(name))
        if caller is None:
            if self.context.is_newer_configuration_known():
                # The newer configuration may add this key.
                return _error_response(503, "a newer configuration is on its way; nothing was done")
            return _error_response(401, "no key that is in force")
        if not name:
            return await self._count_waiting(route)
        if not self.context.is_store_responding():
            return _error_response(503, "the store does not answer; nothing was done")
        give_up_at = monotonic() + _time_limit_s(request, route)
        match request.method:
            case "POST":
                limit = configuration.limits.max_body_bytes
                record = JobRecord(id=name, route=route.name, account=caller)
                return await self._submit(request, route, record, give_up_at, limit)
            case "GET":
                return await self._read_state(route, caller, JobId(name), give_up_at)
            case "DELETE":
                return await self._cancel(route, caller, JobId(name), give_up_at)
            case _:
                return _error_response(405, "no such method")

    def _authenticate(
        self, request: web.BaseRequest, route: Route, configuration: Configuration, job: JobId
    ) -> AccountId | None:
        """Return the account of a caller, or None if the route needs a key and none is in force."""
        if route.public:
            return ANONYMOUS_ACCOUNT
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
                key=None if digest is None else digest_prefix(digest),
                version=configuration.version,
            )
        return caller

    async def _count_waiting(self, route: Route) -> web.Response:
        waiting = await self.context.waiting_jobs(route)
        if waiting is None:
            return _error_response(503, "the pool has no owner at present")
        return _json_response(200, {"pending": waiting})

    async def _submit(
        self,
        request: web.BaseRequest,
        route: Route,
        record: JobRecord,
        give_up_at: float,
        limit: int,
    ) -> web.Response:
        if (request.content_length or 0) > limit:
            return _error_response(413, f"more than {limit} bytes")
        body = await request.read()
        if len(body) > limit:
            return _error_response(413, f"more than {limit} bytes")
        match decode_job(record, body):
            case Result(tag="error", error=reason):
                log.warning("job refused", job=record.id, route=route.name, reason=reason)
                return _error_response(400, reason)
            case Result(ok=job):
                outcome = await self.context.jobs.submit(route, job, give_up_at)
                METRICS.jobs.inc({"outcome": outcome.value})
        match outcome:
            case SubmissionOutcome.ACCEPTED:
                return _json_response(200, {"state": "queued"})
            case SubmissionOutcome.NOT_ACCEPTED:
                return _error_response(503, "the job was not taken")
            case SubmissionOutcome.TOO_LARGE:
                return _error_response(413, self.context.jobs.describe_size_limit())
            case SubmissionOutcome.UNKNOWN:
                return _error_response(504, "whether the job was taken is not known; ask again")
            case SubmissionOutcome.OTHER_ACCOUNT | SubmissionOutcome.CANCELLED_BEFORE:
                return _error_response(409, "the id can't be used")

    async def _read_state(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> web.Response:
        result = await self.context.jobs.phase(route, account, job, give_up_at)
        match result:
            case Result(tag="ok", ok=None):
                return _error_response(410, "no such job")
            case Result(tag="ok", ok=phase):
                return _json_response(200, {"state": PHASE_NAMES[phase or JobPhase.QUEUED]})
            case Result(error=error):
                log.warning("state not read", job=job, route=route.name, reason=str(error))
                return _error_response(503, "the state can't be read at present")

    async def _cancel(
        self, route: Route, account: AccountId, job: JobId, give_up_at: float
    ) -> web.Response:
        outcome = await self.context.jobs.cancel(route, account, job, give_up_at)
        match outcome:
            case CancellationOutcome.DONE:
                return _json_response(200, {"state": "cancelled"})
            case CancellationOutcome.NO_SUCH_JOB:
                return _error_response(410, "no such job to cancel")
            case CancellationOutcome.UNKNOWN:
                return _error_response(504, "whether the job is cancelled is not known; ask again")


def is_job_id(name: str) -> bool:
    """Return whether a text is a valid id of a job."""
    return len(name) == JOB_ID_LENGTH and set(name) <= HEX_DIGITS


def bearer_key(header: str) -> str | None:
    """Return the key in an `Authorization` header, or None if it holds no bearer key."""
    scheme, _, key = header.partition(" ")
    return key.strip() or None if scheme.lower() == BEARER_SCHEME.lower() else None


def decode_job(job: JobRecord, body: bytes) -> Result[JobRecord, str]:
    """Fill in a job from a request body, or return what is wrong with the body."""
    try:
        submitted = _JOB_DECODER.decode(body)
    except msgspec.MsgspecError as failure:
        return Error(f"not a job: {failure}")
    if not submitted.steps:
        return Error("steps: a job needs at least one")
    for index, step in enumerate(submitted.steps):
        if step.count < 1:
            return Error(f"steps[{index}].count: is {step.count}, needs at least 1")
        if any(not 0 <= earlier < index for earlier in step.depends_on):
            return Error(f"steps[{index}].dependsOn: names a step that is not an earlier one")
    job.payload = submitted.payload
    job.steps = [_step_record(step) for step in submitted.steps]
    job.repeats = submitted.repeats
    job.first_due_ms = int(submitted.first_ms)
    job.interval_ms = int(submitted.interval_ms)
    job.accepted_ms = now_ms()
    return Ok(job)


def _step_record(step: _StepBody) -> StepRecord:
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


def _time_limit_s(request: web.BaseRequest, route: Route) -> float:
    """Return the time limit for processing a request.

    It is `GIVE_UP_RATIO` of the caller's, less `RESPONSE_MARGIN_S`.
    """
    limit_s = min(_requested_time_s(request, route.timeout_s), route.timeout_s)
    return max(0.0, limit_s * GIVE_UP_RATIO - RESPONSE_MARGIN_S)


def _requested_time_s(request: web.BaseRequest, default_s: float) -> float:
    """Return how long a caller waits for a response, or a default without a valid header."""
    try:
        requested_s = float(request.headers.get(DEADLINE_HEADER, "")) / 1000
    except ValueError:
        return default_s
    return requested_s if math.isfinite(requested_s) else default_s


def _json_response(status: int, body: dict[str, str | int]) -> web.Response:
    content = msgspec.json.encode(body)
    return web.Response(status=status, body=content, content_type="application/json")


def _error_response(status: int, reason: str) -> web.Response:
    response = _json_response(status, {"error": reason})
    if status == 401:
        response.headers["WWW-Authenticate"] = BEARER_SCHEME
    return response

"""Orders to workers: start, stop and throttle tasks, renew leases, read what runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import (
    ActiveRun,
    EndedRun,
    OtherLife,
    Refused,
    RunEnd,
    StartedAgain,
    TaskName,
    WorkerName,
    WorkerStatus,
    worker_id,
    worker_name,
)
from pumicespur.platform._declarations import StartTimeMs, decode_start_time
from pumicespur.platform._http import JSON_HEADERS, HttpClient, Response, decode_body
from pumicespur.store import AnswerLost, Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.model import StartOrder, Worker, WorkerId
    from pumicespur.schema.node_pb import WorkerSettings

EXPECT_WORKER_HEADER = "X-Pumicespur-Expect-Instance"
OTHER_INCARNATION_STATUS = 421
"""HTTP status of a response from another incarnation of the worker, or from another worker."""

START_PATH = "/pumicespur/run-start"
STOP_PATH = "/pumicespur/run-stop"
RENEW_LEASES_PATH = "/pumicespur/hold"
THROTTLE_PATH = "/pumicespur/pace"
ADVICE_PATH = "/pumicespur/advise"
ADVICE_TIMEOUT_S = 2.0
"""A few times the duration of a call with 100 workers."""


class _StartRequest(msgspec.Struct, omit_defaults=True):
    task: str
    run: int
    payload: str = msgspec.field(name="taskSpec")
    deadline_ms: int = msgspec.field(name="deadlineMs")
    token: int = msgspec.field(name="fencingToken")
    checkpoint: str = ""
    ticket: str = ""


class _StopRequest(msgspec.Struct):
    task: str
    run: int
    token: int = msgspec.field(name="fencingToken")


class _ThrottleRequest(msgspec.Struct):
    task: str
    run: int
    percent: int
    token: int = msgspec.field(name="fencingToken")


class _RenewRequest(msgspec.Struct, omit_defaults=True):
    token: int = msgspec.field(name="fencingToken")
    last_seen: int = msgspec.field(name="lastSeen")
    deadline_ms: int | None = msgspec.field(name="deadlineMs", default=None)
    wait_ms: int = msgspec.field(name="waitMs", default=0)


class _OrderResponse(msgspec.Struct):
    clock_ms: float | None = msgspec.field(name="clockMs", default=None)
    reason: str = ""


class _StatusResponse(msgspec.Struct):
    born: StartTimeMs = msgspec.UNSET
    clock_ms: float = msgspec.field(name="clockMs", default=0)
    reason: str = ""
    running: list[list[str | int | float]] = []
    ended: list[tuple[int, str, int, str, str]] = msgspec.field(name="endedAt", default=[])


class _AdviceRequest(msgspec.Struct):
    step: str
    workers: list[str]


class _AdviceResponse(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


_ENCODER = msgspec.json.Encoder()
_ORDER_DECODER = msgspec.json.Decoder(_OrderResponse)
_STATUS_DECODER = msgspec.json.Decoder(_StatusResponse)
_ADVICE_DECODER = msgspec.json.Decoder(_AdviceResponse)

MIN_RUNNING_FIELDS = 4
"""Fields of a running entry that every deployment sends; a fifth, a measured value, is optional."""


class WorkerOrders:
    """Orders to workers; each call names the worker that it is meant for.

    A restarted worker keeps its name, so an order may be carried out by a later incarnation.
    Only a worker status says which incarnation sent it.
    """

    def __init__(
        self, settings: WorkerSettings, client: HttpClient, watch_client: HttpClient
    ) -> None:
        self.settings = settings
        self.client = client
        self.watch_client = watch_client
        """Connections for calls that wait at the worker, so that these never delay an order."""

    async def start(
        self, worker: Worker, token: int, order: StartOrder
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        """Start a run of a task; a repeated start of the same run has no effect."""
        body = _StartRequest(
            task=order.task,
            run=order.run,
            payload=order.payload,
            deadline_ms=order.deadline_ms,
            token=token,
            checkpoint=order.checkpoint,
            ticket=order.ticket,
        )
        return await self._order(worker, START_PATH, body, order.timeout_s)

    async def stop(
        self, worker: Worker, token: int, task: TaskName, run: int
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        """Stop a run, or revoke it if its start has not arrived yet."""
        body = _StopRequest(task, run, token)
        return await self._order(worker, STOP_PATH, body, self.settings.call_timeout_s)

    async def throttle(
        self, worker: Worker, token: int, task: TaskName, run: int, percent: int
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        """Throttle a run to a percentage of its speed."""
        body = _ThrottleRequest(task, run, percent, token)
        return await self._order(worker, THROTTLE_PATH, body, self.settings.call_timeout_s)

    async def renew_leases(
        self, worker: Worker, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> Result[WorkerStatus, OtherLife | StartedAgain | Refused | Unavailable | AnswerLost]:
        """Renew the lease of all runs, acknowledge ends, and read the worker's status."""
        body = _RenewRequest(token, last_seen, deadline_ms, int(wait_s * 1000))
        timeout_s = wait_s + self.settings.call_timeout_s
        result = await self._call(self.watch_client, worker, RENEW_LEASES_PATH, body, timeout_s)
        match result:
            case Result(tag="ok", ok=Response(status=200, body=content)):
                match decode_body(_decode_status, content):
                    case Result(tag="ok", ok=(start_time_ms, status)):
                        return _check_incarnation(worker, start_time_ms, status)
                    case Result(error=error):
                        return Error(error)
            case Result(tag="ok", ok=refusal):
                return Error(_order_error(refusal))
            case Result(error=error):
                return Error(error)

    async def request_tickets(
        self, step: str, workers: Sequence[WorkerId]
    ) -> Result[tuple[dict[WorkerId, str], float], Unavailable | AnswerLost]:
        """Request admission tickets for a step; return them by worker, and their validity (s)."""
        ids = {worker_name(worker): worker for worker in workers}
        body = _ENCODER.encode(_AdviceRequest(step, list(ids)))
        url = f"http://{self.settings.advice}{ADVICE_PATH}"
        result = await self.client.call(
            "POST", url, ADVICE_TIMEOUT_S, body=body, headers=JSON_HEADERS
        )
        match result:
            case Result(tag="ok", ok=Response(status=200, body=content)):
                return decode_body(_ADVICE_DECODER.decode, content).map(
                    lambda advised: (
                        {
                            ids[WorkerName(name)]: ticket
                            for name, ticket in advised.good
                            if name in ids
                        },
                        advised.valid_ms / 1000,
                    )
                )
            case Result(tag="ok", ok=refusal):
                return Error(Unavailable(f"advice refused with {refusal.status}"))
            case Result(error=error):
                return Error(error)

    async def _order(
        self, worker: Worker, path: str, body: msgspec.Struct, timeout_s: float
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        result = await self._call(self.client, worker, path, body, timeout_s)
        match result:
            case Result(tag="ok", ok=Response(status=200)):
                return Ok(None)
            case Result(tag="ok", ok=refusal):
                return Error(_order_error(refusal))
            case Result(error=error):
                return Error(error)

    async def _call(
        self,
        client: HttpClient,
        worker: Worker,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> Result[Response, Unavailable | AnswerLost]:
        headers = {**JSON_HEADERS, EXPECT_WORKER_HEADER: worker.name}
        url = f"http://{worker.address}{path}"
        content = _ENCODER.encode(body)
        return await client.call("POST", url, timeout_s, body=content, headers=headers)


def _order_error(response: Response) -> OtherLife | Refused:
    if response.status == OTHER_INCARNATION_STATUS:
        return OtherLife()
    try:
        decoded = _ORDER_DECODER.decode(response.body)
    except msgspec.MsgspecError:
        # Without a valid body, the status code is the reason.
        decoded = _OrderResponse()
    return Refused(decoded.reason or str(response.status), decoded.clock_ms)


def _check_incarnation(
    worker: Worker, start_time_ms: int | None, status: WorkerStatus
) -> Result[WorkerStatus, StartedAgain | AnswerLost]:
    """Return the status if the expected incarnation sent it; another one does not know its runs."""
    if worker_id(worker.name, start_time_ms) == worker.id:
        return Ok(status)
    if start_time_ms is None:
        return Error(AnswerLost("the worker status does not say which incarnation sent it"))
    return Error(StartedAgain())


def _decode_status(content: bytes) -> tuple[int | None, WorkerStatus]:
    """Return the start time of the incarnation that sent a worker status, and the status."""
    decoded = _STATUS_DECODER.decode(content)
    running = [_decode_running(entry) for entry in decoded.running]
    ended = [
        EndedRun(number, TaskName(task), run, RunEnd(how), checkpoint)
        for number, task, run, how, checkpoint in decoded.ended
    ]
    return decode_start_time(decoded.born), WorkerStatus(decoded.clock_ms, running, ended)


def _decode_running(entry: list[str | int | float]) -> ActiveRun:
    task, run, checkpoint, percent = entry[:MIN_RUNNING_FIELDS]
    measurement = float(entry[MIN_RUNNING_FIELDS]) if len(entry) > MIN_RUNNING_FIELDS else 0.0
    return ActiveRun(TaskName(str(task)), int(run), str(checkpoint), int(percent), measurement)

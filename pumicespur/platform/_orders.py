"""Orders to workers: start, stop and pace tasks, extend their leases, read what runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import (
    Account,
    OtherLife,
    Refused,
    RunEnd,
    Running,
    StartedAgain,
    TaskEnd,
    TaskName,
    WorkerName,
    worker_id,
    worker_name,
)
from pumicespur.platform._declarations import Birth, decode_birth
from pumicespur.platform._http import JSON_HEADERS, Answer, HttpCaller, understand
from pumicespur.store import AnswerLost, Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.model import StartOrder, Worker, WorkerId
    from pumicespur.schema.node_pb import WorkerSettings

EXPECT_WORKER_HEADER = "X-Pumicespur-Expect-Instance"
OTHER_LIFE = 421
"""Status with which another life of a worker, or another worker, answers."""

START_PATH = "/pumicespur/run-start"
STOP_PATH = "/pumicespur/run-stop"
HOLD_PATH = "/pumicespur/hold"
PACE_PATH = "/pumicespur/pace"
ADVISE_PATH = "/pumicespur/advise"
ADVICE_TIMEOUT_S = 2.0
"""Some times what one call with 100 workers takes."""


class _Start(msgspec.Struct, omit_defaults=True):
    task: str
    run: int
    payload: str = msgspec.field(name="taskSpec")
    deadline_ms: int = msgspec.field(name="deadlineMs")
    token: int = msgspec.field(name="fencingToken")
    checkpoint: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct):
    task: str
    run: int
    token: int = msgspec.field(name="fencingToken")


class _Pace(msgspec.Struct):
    task: str
    run: int
    percent: int
    token: int = msgspec.field(name="fencingToken")


class _Hold(msgspec.Struct, omit_defaults=True):
    token: int = msgspec.field(name="fencingToken")
    last_seen: int = msgspec.field(name="lastSeen")
    deadline_ms: int | None = msgspec.field(name="deadlineMs", default=None)
    wait_ms: int = msgspec.field(name="waitMs", default=0)


class _Taken(msgspec.Struct):
    clock_ms: float | None = msgspec.field(name="clockMs", default=None)
    reason: str = ""


class _Account(msgspec.Struct):
    born: Birth = msgspec.UNSET
    clock_ms: float = msgspec.field(name="clockMs", default=0)
    reason: str = ""
    running: list[list[str | int | float]] = []
    ended: list[tuple[int, str, int, str, str]] = msgspec.field(name="endedAt", default=[])


class _Advise(msgspec.Struct):
    step: str
    workers: list[str]


class _Advised(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0.0


_ENCODER = msgspec.json.Encoder()
_TAKEN = msgspec.json.Decoder(_Taken)
_ACCOUNT = msgspec.json.Decoder(_Account)
_ADVISED = msgspec.json.Decoder(_Advised)

PLAIN_ENTRY = 4
"""Fields of a running entry that every deployment sends; a fifth is a measured figure."""


class WorkerOrders:
    """Orders to workers; each call names the worker it is meant for.

    The name outlives a crash, so that an order may be done by a later life; only an account tells
    which life gives it.
    """

    def __init__(self, settings: WorkerSettings, caller: HttpCaller, watcher: HttpCaller) -> None:
        self.settings = settings
        self.caller = caller
        self.watcher = watcher
        """Connections for calls that wait, so that they never hold up an order."""

    async def start(
        self, worker: Worker, token: int, order: StartOrder
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        """Start a task; starting the same run again changes nothing."""
        body = _Start(
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
        """Stop a run; one that is not there yet is kept from starting."""
        body = _Stop(task, run, token)
        return await self._order(worker, STOP_PATH, body, self.settings.call_timeout_s)

    async def pace(
        self, worker: Worker, token: int, task: TaskName, run: int, percent: int
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        """Let a run work at a share of its speed."""
        body = _Pace(task, run, percent, token)
        return await self._order(worker, PACE_PATH, body, self.settings.call_timeout_s)

    async def hold(
        self, worker: Worker, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> Result[Account, OtherLife | StartedAgain | Refused | Unavailable | AnswerLost]:
        """Extend the lease of all that runs, acknowledge ends, and read the worker's account."""
        body = _Hold(token, last_seen, deadline_ms, int(wait_s * 1000))
        timeout_s = wait_s + self.settings.call_timeout_s
        answer = await self._call(self.watcher, worker, HOLD_PATH, body, timeout_s)
        match answer:
            case Result(tag="ok", ok=Answer(status=200, body=content)):
                match understand(_read_account, content):
                    case Result(tag="ok", ok=(born_ms, account)):
                        return _of_life(worker, born_ms, account)
                    case Result(error=fault):
                        return Error(fault)
            case Result(tag="ok", ok=refusal):
                return Error(_fault(refusal))
            case Result(error=fault):
                return Error(fault)

    async def advise(
        self, step: str, workers: Sequence[WorkerId]
    ) -> Result[tuple[dict[WorkerId, str], float], Unavailable | AnswerLost]:
        """Ask which workers may run a step; return their tickets and how long these hold (s)."""
        lives = {worker_name(worker): worker for worker in workers}
        body = _ENCODER.encode(_Advise(step, list(lives)))
        url = f"http://{self.settings.advice}{ADVISE_PATH}"
        answer = await self.caller.call(
            "POST", url, ADVICE_TIMEOUT_S, body=body, headers=JSON_HEADERS
        )
        match answer:
            case Result(tag="ok", ok=Answer(status=200, body=content)):
                return understand(_ADVISED.decode, content).map(
                    lambda advised: (
                        {
                            lives[WorkerName(name)]: ticket
                            for name, ticket in advised.good
                            if name in lives
                        },
                        advised.valid_ms / 1000,
                    )
                )
            case Result(tag="ok", ok=refusal):
                return Error(Unavailable(f"advice refused with {refusal.status}"))
            case Result(error=fault):
                return Error(fault)

    async def _order(
        self, worker: Worker, path: str, body: msgspec.Struct, timeout_s: float
    ) -> Result[None, OtherLife | Refused | Unavailable | AnswerLost]:
        answer = await self._call(self.caller, worker, path, body, timeout_s)
        match answer:
            case Result(tag="ok", ok=Answer(status=200)):
                return Ok(None)
            case Result(tag="ok", ok=refusal):
                return Error(_fault(refusal))
            case Result(error=fault):
                return Error(fault)

    async def _call(
        self,
        caller: HttpCaller,
        worker: Worker,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> Result[Answer, Unavailable | AnswerLost]:
        headers = {**JSON_HEADERS, EXPECT_WORKER_HEADER: worker.name}
        url = f"http://{worker.address}{path}"
        content = _ENCODER.encode(body)
        return await caller.call("POST", url, timeout_s, body=content, headers=headers)


def _fault(answer: Answer) -> OtherLife | Refused:
    if answer.status == OTHER_LIFE:
        return OtherLife()
    try:
        taken = _TAKEN.decode(answer.body)
    except msgspec.MsgspecError:
        # A refusal without a body names its reason by the status alone.
        taken = _Taken()
    return Refused(taken.reason or str(answer.status), taken.clock_ms)


def _of_life(
    worker: Worker, born_ms: int | None, account: Account
) -> Result[Account, StartedAgain | AnswerLost]:
    """Return the account if the life gives it that was meant; no other one knows its runs."""
    if worker_id(worker.name, born_ms) == worker.id:
        return Ok(account)
    if born_ms is None:
        return Error(AnswerLost("the account does not tell which life gives it"))
    return Error(StartedAgain())


def _read_account(content: bytes) -> tuple[int | None, Account]:
    """Return when the life began that gives an account, and the account."""
    found = _ACCOUNT.decode(content)
    running = [_running(entry) for entry in found.running]
    ended = [
        TaskEnd(number, TaskName(task), run, RunEnd(how), checkpoint)
        for number, task, run, how, checkpoint in found.ended
    ]
    return decode_birth(found.born), Account(found.clock_ms, running, ended)


def _running(entry: list[str | int | float]) -> Running:
    task, run, checkpoint, percent = entry[:PLAIN_ENTRY]
    figure = float(entry[PLAIN_ENTRY]) if len(entry) > PLAIN_ENTRY else 0.0
    return Running(TaskName(str(task)), int(run), str(checkpoint), int(percent), figure)

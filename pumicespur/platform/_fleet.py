"""The platform's list of instances, and orders to move them or take them down."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import DataHall, Instance, InstanceId, InstanceState, PoolId, WorkerName
from pumicespur.platform._declarations import WireCapacity, rack_of
from pumicespur.platform._http import JSON_HEADERS, Answer, HttpCaller, Transfer, understand
from pumicespur.store import NeverDone, Unavailable

if TYPE_CHECKING:
    from pumicespur.schema.node_pb import FleetSettings
    from pumicespur.store import AnswerLost

HOLDER_HEADER = "X-Pumicespur-Lease-Holder"
TOKEN_HEADER = "X-Pumicespur-Fencing-Token"
LIST_PATH = "/pumicespur/machines"
MOVE_PATH = "/pumicespur/machine-move"
MAINTENANCE_PATH = "/pumicespur/machine-upkeep"
TIMEOUT_S = 1.0
"""Some times the usual answer of the platform; a late answer counts as lost."""

_STATES = {
    "up": InstanceState.UP,
    "moving": InstanceState.MOVING,
    "upkeep": InstanceState.MAINTENANCE,
    "down": InstanceState.DOWN,
}


class _Machine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str
    labels: list[str] = []
    capacity: WireCapacity = msgspec.field(default_factory=WireCapacity)
    id: str | None = None
    """The worker that runs there."""


class _Machines(msgspec.Struct):
    machines: list[_Machine] = []
    next_page: str | None = msgspec.field(name="nextToken", default=None)


class _Move(msgspec.Struct):
    machine: str
    pool: str


class _Maintenance(msgspec.Struct):
    machine: str
    wave: int


class _Refusal(msgspec.Struct):
    reason: str = ""


_MACHINES = msgspec.json.Decoder(_Machines)
_REFUSAL = msgspec.json.Decoder(_Refusal)
_ENCODER = msgspec.json.Encoder()


class FleetOrders:
    """Reads the list of instances and gives orders under a holder's fencing token."""

    def __init__(self, settings: FleetSettings, holder: str, caller: HttpCaller) -> None:
        self.settings = settings
        self.holder = holder
        self.caller = caller
        self.base = f"http://{settings.address}"

    async def list_instances(self) -> Result[list[Instance], Unavailable | AnswerLost]:
        """Read the whole list, page by page."""
        instances: list[Instance] = []
        page = ""
        while True:
            url = self.base + LIST_PATH + (f"?pageToken={quote(page)}" if page else "")
            answer = await self.caller.read(url, Transfer(TIMEOUT_S))
            match answer:
                case Result(tag="ok", ok=Answer(status=200, body=content)):
                    match understand(_MACHINES.decode, content):
                        case Result(tag="error", error=fault):
                            return Error(fault)
                        case Result(ok=found):
                            instances += [_instance(machine) for machine in found.machines]
                            page = found.next_page or ""
                    if not page:
                        return Ok(instances)
                case Result(tag="ok", ok=refusal):
                    return Error(Unavailable(f"list refused with {refusal.status}"))
                case Result(error=fault):
                    return Error(fault)

    async def move(
        self, token: int, instance: InstanceId, pool: PoolId
    ) -> Result[None, Unavailable | AnswerLost]:
        """Move an instance to another pool; whatever runs there dies."""
        return await self._order(MOVE_PATH, token, _Move(instance, pool))

    async def maintain(
        self, token: int, instance: InstanceId, wave: int
    ) -> Result[None, Unavailable | AnswerLost]:
        """Take an instance down for maintenance; whatever runs there dies."""
        return await self._order(MAINTENANCE_PATH, token, _Maintenance(instance, wave))

    async def _order(
        self, path: str, token: int, body: msgspec.Struct
    ) -> Result[None, Unavailable | AnswerLost]:
        headers = {**JSON_HEADERS, HOLDER_HEADER: self.holder, TOKEN_HEADER: str(token)}
        content = _ENCODER.encode(body)
        answer = await self.caller.call(
            "POST", self.base + path, TIMEOUT_S, body=content, headers=headers
        )
        match answer:
            case Result(tag="ok", ok=Answer(status=200)):
                return Ok(None)
            case Result(tag="ok", ok=Answer(status=400) as refusal):
                return Error(NeverDone(_reason(refusal)))
            case Result(tag="ok", ok=refusal):
                return Error(Unavailable(_reason(refusal)))
            case Result(error=fault):
                return Error(fault)


def _reason(refusal: Answer) -> str:
    try:
        return _REFUSAL.decode(refusal.body).reason or str(refusal.status)
    except msgspec.MsgspecError:
        # A refusal without a body names its reason by the status alone.
        return str(refusal.status)


def _instance(machine: _Machine) -> Instance:
    return Instance(
        id=InstanceId(machine.machine),
        pool=PoolId(machine.pool),
        state=_STATES.get(machine.state, InstanceState.DOWN),
        data_hall=DataHall(machine.zone),
        rack=rack_of(machine.labels),
        labels=frozenset(machine.labels),
        capacity=machine.capacity.decode(),
        worker=WorkerName(machine.id) if machine.id else None,
    )

"""The platform's list of instances, and orders to move instances or take them down."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import DataHall, Instance, InstanceId, InstanceState, PoolId, WorkerName
from pumicespur.platform._declarations import WireCapacity, find_rack
from pumicespur.platform._http import (
    JSON_HEADERS,
    UNACKNOWLEDGED_TIMEOUT_S,
    HttpClient,
    Response,
    Transfer,
    decode_body,
)
from pumicespur.store import NeverDone, Unavailable

if TYPE_CHECKING:
    from pumicespur.schema.node_pb import FleetSettings
    from pumicespur.store import AnswerLost

HOLDER_HEADER = "X-Pumicespur-Lease-Holder"
TOKEN_HEADER = "X-Pumicespur-Fencing-Token"
LIST_PATH = "/pumicespur/machines"
MOVE_PATH = "/pumicespur/machine-move"
MAINTENANCE_PATH = "/pumicespur/machine-upkeep"
CALL_TIMEOUT_S = 1.0
"""A few times the platform's usual response time; a later response counts as lost."""

ORDER_LIFETIME_S = max(CALL_TIMEOUT_S, UNACKNOWLEDGED_TIMEOUT_S)
"""Longest time between the sending of an order and its arrival: a longer one resets the connection,
also if the process is killed or frozen."""

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


class _MachinesResponse(msgspec.Struct):
    machines: list[_Machine] = []
    next_page: str | None = msgspec.field(name="nextToken", default=None)


class _MoveRequest(msgspec.Struct):
    machine: str
    pool: str


class _MaintenanceRequest(msgspec.Struct):
    machine: str
    wave: int


class _RefusalResponse(msgspec.Struct):
    reason: str = ""


_MACHINES_DECODER = msgspec.json.Decoder(_MachinesResponse)
_REFUSAL_DECODER = msgspec.json.Decoder(_RefusalResponse)
_ENCODER = msgspec.json.Encoder()


class FleetOrders:
    """Calls that list instances and order changes; orders carry `holder` and its fencing token."""

    def __init__(self, settings: FleetSettings, holder: str, client: HttpClient) -> None:
        self.settings = settings
        self.holder = holder
        self.client = client
        self.base_url = f"http://{settings.address}"

    async def list_instances(self) -> Result[list[Instance], Unavailable | AnswerLost]:
        """Return all instances, read page by page."""
        instances: list[Instance] = []
        page = ""
        while True:
            url = self.base_url + LIST_PATH + (f"?pageToken={quote(page)}" if page else "")
            result = await self.client.read(url, Transfer(CALL_TIMEOUT_S))
            match result:
                case Result(tag="ok", ok=Response(status=200, body=content)):
                    match decode_body(_MACHINES_DECODER.decode, content):
                        case Result(tag="error", error=error):
                            return Error(error)
                        case Result(ok=decoded):
                            instances += [_decode_instance(machine) for machine in decoded.machines]
                            page = decoded.next_page or ""
                    if not page:
                        return Ok(instances)
                case Result(tag="ok", ok=refusal):
                    return Error(Unavailable(f"list refused with {refusal.status}"))
                case Result(error=error):
                    return Error(error)

    async def move(
        self, token: int, instance: InstanceId, pool: PoolId
    ) -> Result[None, Unavailable | AnswerLost]:
        """Move an instance to another pool; what runs on it is killed."""
        return await self._order(MOVE_PATH, token, _MoveRequest(instance, pool))

    async def maintain(
        self, token: int, instance: InstanceId, wave: int
    ) -> Result[None, Unavailable | AnswerLost]:
        """Take an instance down for maintenance; what runs on it is killed."""
        return await self._order(MAINTENANCE_PATH, token, _MaintenanceRequest(instance, wave))

    async def _order(
        self, path: str, token: int, body: msgspec.Struct
    ) -> Result[None, Unavailable | AnswerLost]:
        headers = {**JSON_HEADERS, HOLDER_HEADER: self.holder, TOKEN_HEADER: str(token)}
        content = _ENCODER.encode(body)
        result = await self.client.call(
            "POST", self.base_url + path, CALL_TIMEOUT_S, body=content, headers=headers
        )
        match result:
            case Result(tag="ok", ok=Response(status=200)):
                return Ok(None)
            case Result(tag="ok", ok=Response(status=400) as refusal):
                return Error(NeverDone(_refusal_reason(refusal)))
            case Result(tag="ok", ok=refusal):
                return Error(Unavailable(_refusal_reason(refusal)))
            case Result(error=error):
                return Error(error)


def _refusal_reason(refusal: Response) -> str:
    try:
        return _REFUSAL_DECODER.decode(refusal.body).reason or str(refusal.status)
    except msgspec.MsgspecError:
        # Without a valid body, the status code is the reason.
        return str(refusal.status)


def _decode_instance(machine: _Machine) -> Instance:
    return Instance(
        id=InstanceId(machine.machine),
        pool=PoolId(machine.pool),
        state=_STATES.get(machine.state, InstanceState.UNKNOWN),
        data_hall=DataHall(machine.zone),
        rack=find_rack(machine.labels),
        labels=frozenset(machine.labels),
        capacity=machine.capacity.decode(),
        worker=WorkerName(machine.id) if machine.id else None,
    )

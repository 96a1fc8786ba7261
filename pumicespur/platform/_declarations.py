"""Rows that operators and workers write into the store: configuration, waves, worker entries."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import (
    AccountId,
    AdviceSettings,
    CallerLimits,
    Capacity,
    ClientAccount,
    Configuration,
    DataHall,
    HallEvacuation,
    InstanceId,
    KeyDigest,
    PoolId,
    PoolSettings,
    Rack,
    Route,
    RouteName,
    Wave,
    Worker,
    WorkerName,
    WorkerState,
    key_digest,
    worker_id,
)

if TYPE_CHECKING:
    from pumicespur.store import Row

CONFIGURATION_KEY = "op//config"
WAVE_PREFIX = "op//wave/"
EVACUATION_PREFIX = "op//evacuate/"
"""Start of the keys of evacuations; the name of the data hall follows."""

OPERATORS_TABLE = "op"
WORKERS_TABLE = "servers"

ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
"""IP number and port, the only supported form of address."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
"""A quantity; messages between processes carry it as a signed 32-bit number."""

LimitAmount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""An account's limit; its maximum is above any fleet's capacity and exact in JSON."""

StartTimeMs = Annotated[int, msgspec.Meta(ge=1)] | msgspec.UnsetType
"""Start time of a worker's incarnation, in milliseconds since 1970; unset if not given."""

RACK_NUMBER_CHARS = frozenset("0123456789-")


class _Advice(msgspec.Struct):
    valid_ms: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str = msgspec.field(name="pathPrefix")
    backend: str
    """The pool that runs the route's jobs."""
    timeout_ms: float = msgspec.field(name="timeoutMs", default=3000)
    objective_ms: float = msgspec.field(name="targetLatencyMs", default=0)
    priority: int = 0
    max_attempts: int = msgspec.field(name="maxAttempts", default=1)
    stretch: float = 1.0
    advice: _Advice | None = None
    public: bool | None = None
    """Callers need no key. Unset counts as true if no accounts are declared: nobody has a key."""


class _Service(msgspec.Struct):
    name: str
    guarded: bool = msgspec.field(name="admissionCheck", default=False)
    spare: bool = False


class _AccountLimit(msgspec.Struct):
    cpu: LimitAmount = 0
    """Thousandths of a core."""
    memory_mb: LimitAmount = msgspec.field(name="memMb", default=0)
    gpu: LimitAmount = 0

    def decode(self) -> Capacity:
        return Capacity(self.cpu, self.memory_mb, self.gpu)


class _Account(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    keys: list[Annotated[str, msgspec.Meta(min_length=1)]] = msgspec.field(
        name="apiKeys", default=[]
    )
    weight: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    limit: _AccountLimit = msgspec.field(name="upperLimit", default_factory=_AccountLimit)


class _Limits(msgspec.Struct):
    body_bytes: int = msgspec.field(name="maxBodyBytes", default=262_144)
    idle_ms: float = msgspec.field(name="idleTimeoutMs", default=15_000)


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    accounts: list[_Account] = msgspec.field(name="tenants", default=[])


class _Wave(msgspec.Struct):
    wave: int
    machines: list[str]
    duration_s: float = msgspec.field(name="durationS", default=0)
    at_once: int = msgspec.field(name="upperLimit", default=1)


class WireCapacity(msgspec.Struct):
    """Capacity in worker entries and in the list of instances."""

    cpu: Amount = 0
    """Thousandths of a core."""
    memory_mb: Amount = msgspec.field(name="memMb", default=0)
    gpu: Amount = 0

    def decode(self) -> Capacity:
        """Return the capacity in the model's form."""
        return Capacity(self.cpu, self.memory_mb, self.gpu)


class _WorkerState(Enum):
    READY = "ready"
    DRAINING = "draining"


class _Worker(msgspec.Struct):
    backend: str
    """The pool."""
    address: Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
    zone: str
    """The data hall."""
    state: _WorkerState
    capacity: WireCapacity
    labels: list[str] = []
    machine: str = ""
    """The instance that the worker runs on."""
    born: StartTimeMs = msgspec.UNSET
    remaining_ms: float | None = msgspec.field(name="remainingMs", default=None)
    cold_ms: float | None = msgspec.field(name="coldRemainingMs", default=None)
    """For how much longer the worker is slow after its start."""


_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_WAVE_DECODER = msgspec.json.Decoder(_Wave)
_WORKER_DECODER = msgspec.json.Decoder(_Worker)
_WORKER_STATES = {
    _WorkerState.READY: WorkerState.READY,
    _WorkerState.DRAINING: WorkerState.DRAINING,
}

Declared = TypeVar("Declared")


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode the operators' configuration, or return what is wrong with it."""
    match _decode(_CONFIGURATION_DECODER, value, "configuration"):
        case Result(tag="error", error=reason):
            return Error(reason)
        case Result(ok=decoded):
            pass
    match _index_keys(decoded.accounts):
        case Result(tag="error", error=reason):
            return Error(f"configuration: {reason}")
        case Result(ok=keys):
            pass
    accounts = {AccountId(a.name): _decode_account(a) for a in decoded.accounts}
    routes = {RouteName(route.name): _decode_route(route, not accounts) for route in decoded.routes}
    pools = {
        PoolId(s.name): PoolSettings(PoolId(s.name), s.guarded, s.spare) for s in decoded.services
    }
    limits = CallerLimits(decoded.limits.body_bytes, decoded.limits.idle_ms / 1000)
    return Ok(Configuration(decoded.version, routes, pools, limits, accounts, keys))


def decode_wave(value: bytes) -> Result[Wave, str]:
    """Decode a wave, or return what is wrong with it."""
    match _decode(_WAVE_DECODER, value, "wave"):
        case Result(tag="error", error=reason):
            return Error(reason)
        case Result(ok=decoded):
            pass
    instances = tuple(InstanceId(name) for name in decoded.machines)
    return Ok(Wave(decoded.wave, instances, decoded.duration_s, decoded.at_once))


def decode_evacuation(row: Row) -> Result[HallEvacuation, str]:
    """Decode the evacuation of a data hall, or return what is wrong with it.

    The key alone tells the hall; operators may write anything as the row's value.
    """
    hall = row.key.removeprefix(EVACUATION_PREFIX)
    if not row.key.startswith(EVACUATION_PREFIX) or not hall:
        return Error("the key names no data hall")
    if hall != hall.strip() or not hall.isprintable():
        return Error("the name of the data hall has spaces around it or unprintable characters")
    return Ok(HallEvacuation(DataHall(hall), row.version))


def encode_wave_state(completed: bool) -> bytes:
    """Encode the state of a wave for the operators."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})


def wave_state_key(number: int) -> str:
    """Return the key of the row from which operators read the state of a wave."""
    return f"status//wave/{number}"


def decode_start_time(start_time: StartTimeMs) -> int | None:
    """Return the start time of an incarnation in milliseconds since 1970; None if it is unset."""
    return None if isinstance(start_time, msgspec.UnsetType) else start_time


def decode_worker(name: WorkerName, value: bytes) -> Result[Worker, str]:
    """Decode a worker's entry, or return what is wrong with it.

    Other writers may have stored anything in the table.
    """
    return _decode(_WORKER_DECODER, value, f"worker {name}").map(
        lambda decoded: Worker(
            id=worker_id(name, decode_start_time(decoded.born)),
            pool=PoolId(decoded.backend),
            address=decoded.address,
            data_hall=DataHall(decoded.zone),
            state=_WORKER_STATES[decoded.state],
            capacity=decoded.capacity.decode(),
            labels=frozenset(decoded.labels),
            rack=find_rack(decoded.labels),
            instance=InstanceId(decoded.machine),
            leaves_in_s=None if decoded.remaining_ms is None else decoded.remaining_ms / 1000,
            cold_for_s=max(0.0, (decoded.cold_ms or 0.0) / 1000),
        )
    )


def _decode(
    decoder: msgspec.json.Decoder[Declared], value: bytes, what: str
) -> Result[Declared, str]:
    try:
        return Ok(decoder.decode(value))
    except (msgspec.MsgspecError, RecursionError) as failure:
        return Error(f"{what}: {failure}")


def find_rack(labels: list[str]) -> Rack:
    """Return the label that names the rack: one character, then digits and hyphens."""
    for label in labels:
        if len(label) > 1 and set(label[1:]) <= RACK_NUMBER_CHARS:
            return Rack(label)
    return Rack("")


def _index_keys(accounts: list[_Account]) -> Result[dict[KeyDigest, AccountId], str]:
    """Return the account of each key, or where a name or key is repeated, without showing a key."""
    accounts_by_key: dict[KeyDigest, AccountId] = {}
    names: set[str] = set()
    for index, account in enumerate(accounts):
        if account.name in names:
            return Error(f"$.tenants[{index}].name: {account.name!r} stands twice")
        names.add(account.name)
        for key_index, key in enumerate(account.keys):
            first_account = accounts_by_key.setdefault(key_digest(key), AccountId(account.name))
            if first_account != account.name:
                return Error(
                    f"$.tenants[{index}].apiKeys[{key_index}]: is also a key of {first_account!r}"
                )
    return Ok(accounts_by_key)


def _decode_account(account: _Account) -> ClientAccount:
    return ClientAccount(AccountId(account.name), account.weight, account.limit.decode())


def _decode_route(route: _Route, public: bool) -> Route:
    """Convert a route; `public` applies if the route does not set it."""
    advice = None
    if route.advice is not None:
        declared = route.advice
        advice = AdviceSettings(declared.valid_ms / 1000)
    return Route(
        name=RouteName(route.name),
        host=route.host,
        path_prefix=route.prefix,
        pool=PoolId(route.backend),
        timeout_s=route.timeout_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        latency_objective_s=route.objective_ms / 1000,
        advice=advice,
        public=public if route.public is None else route.public,
    )

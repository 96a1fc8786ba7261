"""What operators and workers keep in the store: configuration, waves, workers' descriptions."""

from __future__ import annotations

from enum import Enum
from typing import Annotated, TypeVar

import msgspec
from expression import Error, Ok, Result

from pumicespur.model import (
    AccountId,
    Advice,
    CallerLimits,
    Capacity,
    ClientAccount,
    Configuration,
    DataHall,
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

CONFIGURATION_KEY = "op//config"
WAVE_PREFIX = "op//wave/"
OPERATORS_TABLE = "op"
WORKERS_TABLE = "servers"

ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
"""IP number and port, the only form of address that is spoken to."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
"""How much there is of something; messages between processes carry no more."""

LimitAmount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""The most that an account may have; larger than any fleet, exact in JSON."""

Birth = Annotated[int, msgspec.Meta(ge=1)] | msgspec.UnsetType
"""Start of a worker's life, in milliseconds since 1970; unset where the platform tells none."""

RACK_LABEL_DIGITS = frozenset("0123456789-")


class _Advice(msgspec.Struct):
    decide_ms: float = 0.0
    each_ms: float = 0.0
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
    """Missing where the operators declare no accounts, so that nobody has a key."""


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
    """Capacity as workers and the instance list write it."""

    cpu: Amount = 0
    """Thousandths of a core."""
    memory_mb: Amount = msgspec.field(name="memMb", default=0)
    gpu: Amount = 0

    def decode(self) -> Capacity:
        """Return the product's form."""
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
    born: Birth = msgspec.UNSET
    remaining_ms: float | None = msgspec.field(name="remainingMs", default=None)


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_WAVE = msgspec.json.Decoder(_Wave)
_WORKER = msgspec.json.Decoder(_Worker)
_WORKER_STATES = {
    _WorkerState.READY: WorkerState.READY,
    _WorkerState.DRAINING: WorkerState.DRAINING,
}

Declared = TypeVar("Declared")


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Read the operators' configuration, or tell what is wrong with it."""
    match _decode(_CONFIGURATION, value, "configuration"):
        case Result(tag="error", error=reason):
            return Error(reason)
        case Result(ok=found):
            pass
    match _digests(found.accounts):
        case Result(tag="error", error=reason):
            return Error(f"configuration: {reason}")
        case Result(ok=keys):
            pass
    accounts = {AccountId(a.name): _account(a) for a in found.accounts}
    routes = {RouteName(route.name): _route(route, not accounts) for route in found.routes}
    pools = {
        PoolId(s.name): PoolSettings(PoolId(s.name), s.guarded, s.spare) for s in found.services
    }
    limits = CallerLimits(found.limits.body_bytes, found.limits.idle_ms / 1000)
    return Ok(Configuration(found.version, routes, pools, limits, accounts, keys))


def decode_wave(value: bytes) -> Result[Wave, str]:
    """Read a wave, or tell what is wrong with it."""
    match _decode(_WAVE, value, "wave"):
        case Result(tag="error", error=reason):
            return Error(reason)
        case Result(ok=found):
            pass
    instances = tuple(InstanceId(name) for name in found.machines)
    return Ok(Wave(found.wave, instances, found.duration_s, found.at_once))


def encode_wave_state(completed: bool) -> bytes:
    """Write how far a wave is, as the operators read it."""
    return msgspec.json.encode({"state": "completed" if completed else "running"})


def wave_state_key(number: int) -> str:
    """Return the row in which operators look for the state of a wave."""
    return f"status//wave/{number}"


def decode_birth(born: Birth) -> int | None:
    """Return a birth in the product's form."""
    return None if isinstance(born, msgspec.UnsetType) else born


def decode_worker(name: WorkerName, value: bytes) -> Result[Worker, str]:
    """Read a worker's description, or tell what is wrong with it.

    Others may write into the table too, so that anything may stand there.
    """
    return _decode(_WORKER, value, f"worker {name}").map(
        lambda found: Worker(
            id=worker_id(name, decode_birth(found.born)),
            pool=PoolId(found.backend),
            address=found.address,
            data_hall=DataHall(found.zone),
            state=_WORKER_STATES[found.state],
            capacity=found.capacity.decode(),
            labels=frozenset(found.labels),
            rack=rack_of(found.labels),
            instance=InstanceId(found.machine),
            leaves_in_s=None if found.remaining_ms is None else found.remaining_ms / 1000,
        )
    )


def _decode(
    decoder: msgspec.json.Decoder[Declared], value: bytes, what: str
) -> Result[Declared, str]:
    try:
        return Ok(decoder.decode(value))
    except (msgspec.MsgspecError, RecursionError) as failure:
        return Error(f"{what}: {failure}")


def rack_of(labels: list[str]) -> Rack:
    """Pick the label that names the rack: a letter, then digits and hyphens."""
    for label in labels:
        if len(label) > 1 and set(label[1:]) <= RACK_LABEL_DIGITS:
            return Rack(label)
    return Rack("")


def _digests(accounts: list[_Account]) -> Result[dict[KeyDigest, AccountId], str]:
    """Return whose each key is, or where a name or key stands twice; no key is shown."""
    found: dict[KeyDigest, AccountId] = {}
    names: set[str] = set()
    for place, account in enumerate(accounts):
        if account.name in names:
            return Error(f"$.tenants[{place}].name: {account.name!r} stands twice")
        names.add(account.name)
        for number, key in enumerate(account.keys):
            owner = found.setdefault(key_digest(key), AccountId(account.name))
            if owner != account.name:
                return Error(f"$.tenants[{place}].apiKeys[{number}]: is also a key of {owner!r}")
    return Ok(found)


def _account(account: _Account) -> ClientAccount:
    return ClientAccount(AccountId(account.name), account.weight, account.limit.decode())


def _route(route: _Route, public: bool) -> Route:
    """Translate a route; `public` holds where the route does not say."""
    advice = None
    if route.advice is not None:
        told = route.advice
        advice = Advice(told.decide_ms / 1000, told.each_ms / 1000, told.valid_ms / 1000)
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

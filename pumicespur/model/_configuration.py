"""The operators' configuration: routes, pools and waves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model._accounts import AccountId, ClientAccount, KeyDigest
    from pumicespur.model._ids import InstanceId, PoolId, RouteName


@dataclass(frozen=True)
class Advice:
    """What the advising service takes for a call, and how long its word holds, in seconds."""

    decide_s: float
    each_s: float
    valid_s: float


@dataclass(frozen=True)
class Route:
    """A queue of jobs, as callers address it."""

    name: RouteName
    host: str
    path_prefix: str
    pool: PoolId
    timeout_s: float
    priority: int
    max_attempts: int
    stretch: float
    """A job is in time within this many times its longest chain of work."""
    latency_objective_s: float
    advice: Advice | None = None
    public: bool = True
    """Callers need no key."""


@dataclass(frozen=True)
class PoolSettings:
    """What the operators say of a pool."""

    id: PoolId
    guarded: bool
    """Its workers refuse what does not fit."""
    spare: bool
    """Its instances are switched off and cost nothing."""


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send."""

    max_body_bytes: int = 262_144
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of all that operators declare about routes and pools."""

    version: int
    routes: dict[RouteName, Route]
    pools: dict[PoolId, PoolSettings]
    limits: CallerLimits = CallerLimits()
    accounts: dict[AccountId, ClientAccount] = field(default_factory=dict)
    keys: dict[KeyDigest, AccountId] = field(default_factory=dict, repr=False)
    by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        """Order each host's routes so that the longest prefix comes first."""
        for route in self.routes.values():
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Find the route of a request by its host and the longest prefix of its path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True)
class Wave:
    """A request that instances go down for maintenance, so many at once."""

    number: int
    instances: tuple[InstanceId, ...]
    duration_s: float
    max_parallel: int

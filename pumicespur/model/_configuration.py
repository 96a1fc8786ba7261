"""The operators' configuration: routes, pools, client accounts and waves."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model._accounts import AccountId, ClientAccount, KeyDigest
    from pumicespur.model._ids import InstanceId, PoolId, RouteName


@dataclass(frozen=True)
class AdviceSettings:
    """Settings of the placement advice service; present where starts need admission tickets."""

    valid_s: float
    """Validity of the admission tickets, in seconds."""


@dataclass(frozen=True)
class Route:
    """A route: the host and path prefix to which callers submit jobs, and their settings."""

    name: RouteName
    host: str
    path_prefix: str
    pool: PoolId
    timeout_s: float
    priority: int
    max_attempts: int
    stretch: float
    """Max duration of an on-time job, as a multiple of the duration of its critical path."""
    latency_objective_s: float
    advice: AdviceSettings | None = None
    public: bool = True
    """Whether callers need no key."""


@dataclass(frozen=True)
class PoolSettings:
    """A pool as the operators declare it."""

    id: PoolId
    has_admission_check: bool
    """Whether its workers refuse tasks that do not fit (admission check)."""
    spare: bool
    """Whether its instances are switched off and cost nothing."""


@dataclass(frozen=True)
class CallerLimits:
    """Limits on what callers may send."""

    max_body_bytes: int = 262_144
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Configuration:
    """One version of the operators' declarations of routes, pools and client accounts."""

    version: int
    routes: dict[RouteName, Route]
    pools: dict[PoolId, PoolSettings]
    limits: CallerLimits = CallerLimits()
    accounts: dict[AccountId, ClientAccount] = field(default_factory=dict)
    keys: dict[KeyDigest, AccountId] = field(default_factory=dict, repr=False)
    by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        """Index the routes by host, with the longest path prefix first."""
        for route in self.routes.values():
            self.by_host.setdefault(route.host, []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a request by its host and the longest matching prefix of its path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True)
class Wave:
    """An operators' request to take instances down for maintenance, at most so many in parallel."""

    number: int
    instances: tuple[InstanceId, ...]
    duration_s: float
    max_parallel: int

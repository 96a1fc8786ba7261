"""Data types of the request path: requests, results of attempts, outcomes and counts."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.schema.fleet_pb import Urgency
    from pumicespur.structure import PoolId, TeamId

Headers: TypeAlias = list[tuple[str, str]]

REQUEST_ID_HEADER = "pumicespur-request-id"
OUTCOME_HEADER = "pumicespur-outcome"
LEAVING_HEADER = "pumicespur-leaving"
LOAD_HEADER = "pumicespur-load"
TIMEOUT_HEADER = "pumicespur-timeout-ms"
URGENCY_HEADER = "pumicespur-urgency"
TEAM_HEADER = "pumicespur-team"
POOL_HEADER = "pumicespur-pool"
KEY_HEADER = "idempotency-key"


@dataclass(frozen=True)
class CallerRequest:
    """A caller's whole request."""

    id: str
    pool: PoolId
    method: str
    target: str
    headers: Headers
    body: bytes
    urgency: Urgency
    team: TeamId
    # The monotonic time, in seconds, by which the caller wants the response.
    deadline: float
    # The caller's idempotency key if the request must run at most once, empty otherwise.
    key: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether running the request twice does no harm."""
        return not self.key

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - monotonic()

    def digest(self) -> bytes:
        """Return a hash that identifies a repeated delivery of the same request."""
        parts = (self.method.encode(), self.pool.encode(), self.target.encode(), self.body)
        return hashlib.sha256(b"\0".join(parts)).digest()


@dataclass(frozen=True)
class Answered:
    """The backend server's whole response to this very request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent."""

    reason: str


@dataclass(frozen=True)
class Declined:
    """The backend server reported that it did not run the request."""

    reason: str
    leaving: bool


@dataclass(frozen=True)
class Lost:
    """The request may have been sent, and no whole response to it was received."""

    reason: str


AttemptResult: TypeAlias = Answered | NotSent | Declined | Lost


@dataclass(frozen=True)
class NotRun:
    """The request did not run and, if it has a key, never will under that key."""

    status: int
    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True)
class Unknown:
    """Whether the request ran is not known; it may be sent again with the same key."""

    status: int
    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True)
class AlreadyRan:
    """The request ran before, and its response was too large to be stored."""

    status: int
    reason: str = "ran before; its answer is not kept"


Outcome: TypeAlias = Answered | NotRun | Unknown | AlreadyRan


@dataclass
class RequestCounts:
    """Counts of requests by outcome, and of attempts, since the process started.

    The field names are part of the state dump.
    """

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    already_ran: int = 0
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    by_reason: dict[str, int] = field(default_factory=dict)

    def count(self, outcome: Outcome) -> None:
        """Count a request by its outcome."""
        match outcome:
            case Answered():
                self.answered += 1
            case NotRun(reason=reason):
                self.not_run += 1
                self._count_reason(reason)
            case Unknown(reason=reason):
                self.unknown += 1
                self._count_reason(reason)
            case AlreadyRan():
                self.already_ran += 1

    def _count_reason(self, reason: str) -> None:
        short = reason.partition(":")[0]
        self.by_reason[short] = self.by_reason.get(short, 0) + 1

"""What the request path passes around: requests, attempts' results and outcomes."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.schema.fleet_pb import Urgency
    from pumicespur.structure import PoolId, TeamId

Headers: TypeAlias = list[tuple[str, str]]

REQUEST_ID = "pumicespur-request-id"
OUTCOME = "pumicespur-outcome"
LEAVING = "pumicespur-leaving"
LOAD = "pumicespur-load"
DEADLINE = "pumicespur-timeout-ms"
URGENCY = "pumicespur-urgency"
TEAM = "pumicespur-team"
POOL = "pumicespur-pool"
KEY = "idempotency-key"


@dataclass(frozen=True)
class CallerRequest:
    """One caller's request, whole."""

    id: str
    pool: PoolId
    method: str
    target: str
    headers: Headers
    body: bytes
    urgency: Urgency
    team: TeamId
    # The monotonic time by which the caller wants the answer.
    deadline: float
    # The caller's key if the request must not be repeated, empty otherwise.
    key: str = ""

    @property
    def repeatable(self) -> bool:
        """Whether running the request twice does no harm."""
        return not self.key

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - monotonic()

    def digest(self) -> bytes:
        """Return a hash by which a repeat of the same request is known."""
        parts = (self.method.encode(), self.pool.encode(), self.target.encode(), self.body)
        return hashlib.sha256(b"\0".join(parts)).digest()


@dataclass(frozen=True)
class Answered:
    """The backend server's whole answer to this very request."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process."""

    reason: str


@dataclass(frozen=True)
class Declined:
    """The backend server says that it did not run the request."""

    reason: str
    leaving: bool


@dataclass(frozen=True)
class Lost:
    """The request may have left, and no whole answer to it came back."""

    reason: str


AttemptResult: TypeAlias = Answered | NotSent | Declined | Lost


@dataclass(frozen=True)
class NotRun:
    """The request did not run and never will, under its key if it has one."""

    status: int
    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True)
class Unknown:
    """Whether the request ran is not known; the same key may be sent again."""

    status: int
    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True)
class AlreadyRan:
    """The request ran before, and its answer was too large to keep."""

    status: int
    reason: str = "ran before; its answer is not kept"


Outcome: TypeAlias = Answered | NotRun | Unknown | AlreadyRan


@dataclass
class RequestCounts:
    """How many requests ended in each way, since the process started."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    already_ran: int = 0
    attempts: int = 0
    retries: int = 0
    hedges: int = 0
    by_reason: dict[str, int] = field(default_factory=dict)

    def count(self, outcome: Outcome) -> None:
        """Count a request's end."""
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

"""Rows, conditions, transactions and listings, independent of the platform's encoding."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.schema.platform_pb import ListedInstance, TaskUsage


@dataclass(frozen=True)
class Row:
    """A row of the table service; version 0 means that it does not exist."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True)
class Page:
    """Rows at one time, and the version from which changes can be followed."""

    rows: list[Row]
    version: int
    superseded: int = 0
    """Number of older states of these rows that the same response held."""
    receiving_s: float = 0.0
    """Transfer time of the response after its first bytes, in seconds."""
    complete: bool = True
    """Whether the response held all rows, not only as many as fit into it."""


@dataclass(frozen=True)
class TableProgress:
    """How far a table is known: every change up to a version, as of a monotonic time.

    A change that the store accepted before `asked_at` is known; a later one may or may not be.
    """

    version: int = 0
    asked_at: float = float("-inf")
    """When the request was sent whose response showed it (monotonic seconds)."""

    def age_s(self, now: float) -> float:
        """Return the staleness of what is known, in seconds."""
        return now - self.asked_at


@dataclass(frozen=True)
class Condition:
    """A requirement that a row has exactly this version; 0 requires that it does not exist."""

    key: str
    version: int


@dataclass(frozen=True)
class Write:
    """A new value for a row, or its deletion when the value is None."""

    key: str
    value: bytes | None


@dataclass
class Transaction:
    """Writes that are applied together, and only if all conditions hold."""

    conditions: list[Condition] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(frozen=True)
class Listing:
    """The platform's instances at `seen_at` (monotonic seconds)."""

    instances: dict[str, ListedInstance]
    seen_at: float


@dataclass(frozen=True)
class UsageListing:
    """The platform's task usage at `seen_at` (monotonic seconds)."""

    tasks: list[TaskUsage]
    seen_at: float

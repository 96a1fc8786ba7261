"""Rows, conditions and listings, free of how the platform writes them."""

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
    """Rows as of one moment, and the version from which changes can be followed."""

    rows: list[Row]
    version: int
    superseded: int = 0
    """Older states of these rows that were handed out with them."""
    receiving_s: float = 0.0
    """How long the answer was on its way after its first bytes."""
    complete: bool = True
    """Whether it holds all that there was when it was given, not only as much as fits."""


@dataclass(frozen=True)
class Reading:
    """How far a table is known: every change up to a version, as of a monotonic time.

    A change that the store took before `asked_at` is known; a later one may be or not.
    """

    version: int = 0
    asked_at: float = float("-inf")
    """When the answer was asked for that tells so (monotonic seconds)."""

    def age_s(self, now: float) -> float:
        """Return for how long changes may have gone unheard, in seconds."""
        return now - self.asked_at


@dataclass(frozen=True)
class Condition:
    """Holds when the row has exactly this version; 0 asks that it does not exist."""

    key: str
    version: int


@dataclass(frozen=True)
class Write:
    """A new value for a row, or its deletion when the value is None."""

    key: str
    value: bytes | None


@dataclass
class Transaction:
    """Writes that happen together, and only if all conditions hold."""

    conditions: list[Condition] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)


@dataclass(frozen=True)
class Listing:
    """The platform's instances as they were at `seen_at` on this process's monotonic clock."""

    instances: dict[str, ListedInstance]
    seen_at: float


@dataclass(frozen=True)
class UsageListing:
    """The platform's task usage as it was at `seen_at` on this process's monotonic clock."""

    tasks: list[TaskUsage]
    seen_at: float

"""Errors that a call to the platform returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from pumicespur.store._rows import Row


@dataclass(frozen=True)
class Conflict:
    """An error: nothing was written, since the conditions on these keys did not hold."""

    keys: tuple[str, ...]
    rows: tuple[Row, ...] = ()
    """The present rows of these keys, where the platform returns them."""


@dataclass(frozen=True)
class Unavailable:
    """An error: the platform did not process the call; nothing was written."""

    reason: str


class NeverDone(Unavailable):
    """An error: the platform will not carry out the request, now or later."""


class NotListening(Unavailable):
    """An error: nothing listens at the address, so the process that did has ended."""


class HistoryGone(Unavailable):
    """An error: changes since the requested version are gone; all rows have to be read again."""


@dataclass(frozen=True)
class AnswerLost:
    """An error: the call may have reached the platform; whether it took effect is unknown."""

    reason: str


class ConnectionBroken(AnswerLost):
    """An error: the peer closed the connection before it responded, as when its process ends."""


Fault: TypeAlias = Conflict | Unavailable | AnswerLost


def describe_fault(fault: Fault) -> str:
    """Return what a person needs to read of an error."""
    match fault:
        case Conflict(keys=keys):
            return f"changed by others: {', '.join(keys)}"
        case Unavailable(reason=reason) | AnswerLost(reason=reason):
            return reason

"""How a call to the platform may fail."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from pumicespur.store._rows import Row


@dataclass(frozen=True)
class Conflict:
    """Nothing was written: the conditions on these keys did not hold."""

    keys: tuple[str, ...]
    rows: tuple[Row, ...] = ()
    """The rows of these keys as they are, where the platform tells them."""


@dataclass(frozen=True)
class Unavailable:
    """The call did not reach the platform; nothing was written."""

    reason: str


class NeverDone(Unavailable):
    """The platform does not do what was asked, now or later."""


class HistoryGone(Unavailable):
    """Changes since the asked version are no longer kept; read all rows again."""


@dataclass(frozen=True)
class AnswerLost:
    """The call may have reached the platform; whether it took effect is not known."""

    reason: str


Fault: TypeAlias = Conflict | Unavailable | AnswerLost

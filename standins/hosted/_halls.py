"""Data halls of the platform, and their evacuations by operators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from standins.hosted._store import HostedStore, RowPlace

DEFAULT_HALL = "hall"
"""Data hall of every rack that a test does not assign to another one."""


@dataclass
class HallEvacuationPeriod:
    """The time during which a data hall was evacuated, in monotonic seconds."""

    hall: str
    began_at: float
    """When the store had taken the operator's row."""
    ended_at: float = float("inf")

    @property
    def is_open(self) -> bool:
        """Whether the evacuation is in force."""
        return self.ended_at == float("inf")


class HallEvacuations:
    """Evacuates data halls as an operator does, by rows of the store."""

    def __init__(self, store: HostedStore) -> None:
        self.store = store
        self.periods: list[HallEvacuationPeriod] = []
        """Every evacuation, also those that are over."""

    def begin(self, hall: str) -> None:
        """Write the row of a hall; writing it again does not begin another evacuation."""
        self.store.put(_row_place(hall), b"{}")
        if self.current(hall) is None:
            self.periods.append(HallEvacuationPeriod(hall, monotonic()))

    def end(self, hall: str) -> None:
        """Remove the row of a hall if it is evacuated."""
        period = self.current(hall)
        if period is not None:
            period.ended_at = monotonic()
            self.store.remove(_row_place(hall))

    def current(self, hall: str) -> HallEvacuationPeriod | None:
        """Return the evacuation of a hall that is in force, if any."""
        return next((p for p in reversed(self.periods) if p.hall == hall and p.is_open), None)

    def evacuated_halls(self) -> set[str]:
        """Return the halls whose evacuation is in force."""
        return {period.hall for period in self.periods if period.is_open}

    def age_s(self, hall: str) -> float | None:
        """Return for how long a hall has been evacuated, None if it is not."""
        period = self.current(hall)
        return None if period is None else monotonic() - period.began_at


def _row_place(hall: str) -> RowPlace:
    return ("op", "", f"evacuate/{hall}")

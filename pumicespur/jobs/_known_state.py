"""The state that an owner's orders depend on, and how stale it may be.

An owner places a task by the tables it has read, records the placement, and then orders the start.
Once the store has confirmed that a worker is draining, a job is cancelled or a data hall is
evacuated, the platform allows starts there only for a limited time (`drain_ms`, `cancel_ms`,
`evacuate_ms`). A read shows every change that was confirmed before the read was requested, so a
start is in time if it begins within that limit after the request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.store import TableProgress

if TYPE_CHECKING:
    from pumicespur.schema.node_pb import WorkerSettings

START_CALL_RATIO = 0.25
"""Share of the time allowed for the call of a start; the rest is for the age of the tables."""


def start_timeout_s(settings: WorkerSettings) -> float:
    """Return the timeout of the call of a start, in seconds."""
    allowed_ms = min(settings.drain_ms, settings.evacuate_ms or settings.drain_ms)
    return min(settings.call_timeout_s, START_CALL_RATIO * allowed_ms / 1000)


def workers_max_age_s(settings: WorkerSettings) -> float:
    """Return the maximum age of the list of workers for starts, in seconds."""
    return settings.drain_ms / 1000 - start_timeout_s(settings)


def submissions_max_age_s(settings: WorkerSettings) -> float:
    """Return the maximum age of the known cancellations for starts, in seconds."""
    return settings.cancel_ms / 1000 - start_timeout_s(settings)


def evacuations_max_age_s(settings: WorkerSettings) -> float:
    """Return the maximum age of the known evacuations of data halls for starts, in seconds."""
    return settings.evacuate_ms / 1000 - start_timeout_s(settings)


@dataclass(frozen=True)
class KnownState:
    """Versions and ages of the tables that an owner's orders depend on."""

    workers: TableProgress = field(default_factory=TableProgress)
    """The workers, whether they leave, their capacity and labels."""
    submissions: TableProgress = field(default_factory=TableProgress)
    """The jobs of the pool and their cancellations."""
    configuration: int = -1
    """Version of the configuration in force here."""
    evacuations: TableProgress | None = None
    """The evacuated data halls; None on a platform that evacuates none."""

    def staleness_reason(self, settings: WorkerSettings, now: float) -> str:
        """Return which table is too old for a start to be ordered; empty if none is."""
        if self.workers.age_s(now) > workers_max_age_s(settings):
            return "the list of workers is out of date"
        if self.submissions.age_s(now) > submissions_max_age_s(settings):
            return "cancellations may be unheard"
        evacuations = self.evacuations
        if evacuations and evacuations.age_s(now) > evacuations_max_age_s(settings):
            return "evacuations may be unheard"
        return ""

    def valid_for_s(self, settings: WorkerSettings, now: float) -> float:
        """Return for how long a start that depends on this state may still begin, in seconds."""
        valid_s = min(
            settings.drain_ms / 1000 - self.workers.age_s(now),
            settings.cancel_ms / 1000 - self.submissions.age_s(now),
        )
        if self.evacuations is None:
            return valid_s
        return min(valid_s, settings.evacuate_ms / 1000 - self.evacuations.age_s(now))

    def describe(self, now: float) -> dict[str, float]:
        """Return versions and ages in seconds, for a log line."""
        described = {
            "workers_version": self.workers.version,
            "workers_age_s": round(self.workers.age_s(now), 3),
            "submissions_version": self.submissions.version,
            "submissions_age_s": round(self.submissions.age_s(now), 3),
            "configuration": self.configuration,
        }
        if self.evacuations is not None:
            described["evacuations_version"] = self.evacuations.version
            described["evacuations_age_s"] = round(self.evacuations.age_s(now), 3)
        return described

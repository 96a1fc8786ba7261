"""What an owner knows of the world when it gives an order, and how old that may be.

A start is decided on what was read, recorded, and then ordered. A worker that says it leaves, or a
caller that cancels, has to be heeded within a time that the platform sets, counted from the store's
confirmation. What was asked for at some moment shows all that was confirmed before; so a start is
in time if it begins before that moment is as long ago as the time allowed.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.store import Reading

if TYPE_CHECKING:
    from pumicespur.schema.node_pb import WorkerSettings

START_CALL_RATIO = 0.25
"""Share of the time allowed that the call of a start may take; the rest is for what it rests on."""


def start_timeout_s(settings: WorkerSettings) -> float:
    """Return how long the call of a start is waited for, in seconds."""
    return min(settings.call_timeout_s, START_CALL_RATIO * settings.drain_ms / 1000)


def workers_max_age_s(settings: WorkerSettings) -> float:
    """Return the age of the list of workers up to which starts are ordered, in seconds."""
    return settings.drain_ms / 1000 - start_timeout_s(settings)


def submissions_max_age_s(settings: WorkerSettings) -> float:
    """Return the age of what is known of cancellations up to which starts are ordered (s)."""
    return settings.cancel_ms / 1000 - start_timeout_s(settings)


@dataclass(frozen=True)
class KnownState:
    """How far an owner knows the tables that its orders rest on."""

    workers: Reading = field(default_factory=Reading)
    """Workers: which there are, whether they leave, their room and labels."""
    submissions: Reading = field(default_factory=Reading)
    """Jobs of the pool: which there are, and which were cancelled."""
    configuration: int = -1
    """Version of the configuration in force here."""

    def staleness_reason(self, settings: WorkerSettings, now: float) -> str:
        """Return what is known too little of for a start to be ordered; empty if nothing is."""
        if self.workers.age_s(now) > workers_max_age_s(settings):
            return "the list of workers is out of date"
        if self.submissions.age_s(now) > submissions_max_age_s(settings):
            return "cancellations may be unheard"
        return ""

    def valid_for_s(self, settings: WorkerSettings, now: float) -> float:
        """Return for how long a start that rests on them may still begin, in seconds."""
        return min(
            settings.drain_ms / 1000 - self.workers.age_s(now),
            settings.cancel_ms / 1000 - self.submissions.age_s(now),
        )

    def describe(self, now: float) -> dict[str, float]:
        """Return versions and ages in seconds, for a log line."""
        return {
            "workers_version": self.workers.version,
            "workers_age_s": round(self.workers.age_s(now), 3),
            "submissions_version": self.submissions.version,
            "submissions_age_s": round(self.submissions.age_s(now), 3),
            "configuration": self.configuration,
        }

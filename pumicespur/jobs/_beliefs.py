"""What an owner knows of the world when it gives an order, and how old that is."""

from __future__ import annotations

from dataclasses import dataclass, field

from pumicespur.store import Reading


@dataclass(frozen=True)
class Beliefs:
    """How far an owner knows the tables that its orders rest on."""

    workers: Reading = field(default_factory=Reading)
    """Workers: which there are, whether they leave, their room and labels."""
    submissions: Reading = field(default_factory=Reading)
    """Jobs of the pool: which there are, and which were cancelled."""
    configuration: int = -1
    """Version of the configuration in force here."""

    def describe(self, now: float) -> dict[str, float]:
        """Return versions and ages in seconds, for a log line."""
        return {
            "workers_version": self.workers.version,
            "workers_age_s": round(self.workers.age_s(now), 3),
            "submissions_version": self.submissions.version,
            "submissions_age_s": round(self.submissions.age_s(now), 3),
            "configuration": self.configuration,
        }

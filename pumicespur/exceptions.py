"""Errors whose messages are meant for the user."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.schema.operators_pb import Finding


class PumicespurError(Exception):
    """Base class of all expected failures; printed as one line, without a traceback."""

    exit_code = 1


class ConfigurationError(PumicespurError):
    """Invalid settings or declarations; carries every finding."""

    exit_code = 2

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = list(findings)
        super().__init__(f"{len(self.findings)} problem(s) found, nothing was changed")


class ConflictError(PumicespurError):
    """Somebody else changed the same sections first."""

    exit_code = 3


class UnreachableError(PumicespurError):
    """A process or the platform did not respond; whether a change took effect may be unknown."""

    exit_code = 4

"""Remembers calls refused for their key, so that operators can tell callers the reason."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.model import digest_prefix

if TYPE_CHECKING:
    from pumicespur.model import JobId, KeyDigest
    from pumicespur.view import FleetView

MAX_REFUSALS = 2_000
"""Refused calls that are remembered: some minutes of a caller that makes ten attempts a second."""


@dataclass(frozen=True)
class KeyRefusal:
    """A refused call: its key, and the version of the configuration that was in force."""

    digest: KeyDigest | None
    version: int


class KeyRefusals:
    """The newest refused calls of this process, by job id."""

    def __init__(self) -> None:
        self.newest: OrderedDict[JobId, KeyRefusal] = OrderedDict()

    def note(self, job: JobId, digest: KeyDigest | None, version: int) -> None:
        """Note a refused call."""
        self.newest.pop(job, None)
        self.newest[job] = KeyRefusal(digest, version)
        while len(self.newest) > MAX_REFUSALS:
            self.newest.popitem(last=False)

    def describe(self, job: JobId, view: FleetView) -> dict[str, object] | None:
        """Describe why the newest call for an id was refused here; None if none was."""
        refusal = self.newest.get(job)
        if refusal is None:
            return None
        return {
            "job": job,
            "refused": _reason(refusal, view),
            "key": None if refusal.digest is None else digest_prefix(refusal.digest),
            "configuration_version": refusal.version,
        }


def _reason(refusal: KeyRefusal, view: FleetView) -> str:
    if refusal.digest is None:
        return "no key was shown"
    revoked_by = view.revoked_keys.get(refusal.digest)
    if revoked_by is not None:
        return f"the key was taken away by configuration {revoked_by}"
    if refusal.digest in view.configuration.keys:
        return f"the key was not known yet; configuration {view.configuration.version} has it"
    return "no configuration of this process's life has held the key"

"""The record of one play: what was sent, answered and run, with times from its start."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines of `record.txt`, each written at once."""

    def __init__(self, path: Path) -> None:
        self.began_at = monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the play."""
        return monotonic() - self.began_at

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        shown = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {shown}".rstrip() + "\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        self.file.close()

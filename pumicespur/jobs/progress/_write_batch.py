"""Writes of one commit, kept below what the store accepts in one transaction."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.store import Write

MAX_WRITES = 90
"""The store accepts 100 entries; conditions and the commit's own row are three of them."""

MAX_BYTES = 250_000
"""Size of all values. The store accepts 1 MB in base64, four times as much; a smaller commit is
answered sooner, and leases are renewed only while commits are answered."""


@dataclass
class WriteBatch:
    """Writes that fit into one transaction."""

    writes: list[Write] = field(default_factory=list)
    value_bytes: int = 0

    def add(self, write: Write) -> bool:
        """Add a write; return False if the batch has no room for it."""
        return self.add_all([write])

    def add_all(self, writes: Iterable[Write]) -> bool:
        """Add writes that are to be recorded together; return False if there is no room for all."""
        added = list(writes)
        value_bytes = self.value_bytes + sum(len(write.value or b"") for write in added)
        if len(self.writes) + len(added) > MAX_WRITES or value_bytes > MAX_BYTES:
            return False
        self.writes += added
        self.value_bytes = value_bytes
        return True

"""Counts the calls and bytes that a process spends on each table of the store."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class StoreUse:
    """Totals since the start; bytes are those of request and response bodies."""

    calls: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)

    def note(self, table: str, sent: int, received: int) -> None:
        """Count one call, with or without a response."""
        self.calls[table] += 1
        self.sent_bytes[table] += sent
        self.received_bytes[table] += received

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the totals by table."""
        return {
            table: {
                "calls": calls,
                "sent_bytes": self.sent_bytes[table],
                "received_bytes": self.received_bytes[table],
            }
            for table, calls in sorted(self.calls.items())
        }

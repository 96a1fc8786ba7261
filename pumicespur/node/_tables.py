"""The tables in which processes tell each other that they live and what they own."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import ProcessId

HEARTBEATS_TABLE = "heartbeats"
"""Heartbeats that all processes hear: of owners, and of those that begin, stop or gave pools up."""

PRESENCE_TABLE = "presence"
"""Heartbeats of processes that own nothing; read only when a pool lacks an owner."""

REPORTS_TABLE = "reports"
"""What owners tell of their pools; only owners follow it."""


def newest_key(table: str, process: ProcessId) -> str:
    """Return a process's row; each lies in a part of its own.

    A slow store takes the writes of one part in turn.
    """
    return f"{table}/{process}/newest"

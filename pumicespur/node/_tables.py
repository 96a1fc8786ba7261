"""Names the tables in which processes publish heartbeats and reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import ProcessId

HEARTBEATS_TABLE = "heartbeats"
"""Heartbeats that all processes follow: of owners, and of processes that start, stop or gave up
pools."""

PRESENCE_TABLE = "presence"
"""Heartbeats of processes that own nothing; read only when a pool lacks an owner."""

REPORTS_TABLE = "reports"
"""Reports of owners on their pools; only owners follow it."""


def process_row_key(table: str, process: ProcessId) -> str:
    """Return the key of a process's row, which is in a partition of its own.

    A slow store processes the writes to one partition one after the other.
    """
    return f"{table}/{process}/newest"

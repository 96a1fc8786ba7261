"""Rows that other writers leave in the workers' table."""

from __future__ import annotations

import json

USUAL_ENTRY: dict[str, object] = {
    "backend": "main",
    "address": "127.0.0.1:9",
    "zone": "hall",
    "state": "ready",
    "capacity": {"cpu": 64_000, "memMb": 64_000},
    "labels": ["a", "r1-1"],
    "machine": "m-foreign",
    "born": 1_776_052_017_694,
}
"""A valid entry of a worker with much free capacity, at an address where nothing listens."""


def _entry_with(**changes: object) -> bytes:
    return json.dumps({**USUAL_ENTRY, **changes}).encode()


def _entry_without(field: str) -> bytes:
    return json.dumps(
        {name: value for name, value in USUAL_ENTRY.items() if name != field}
    ).encode()


FOREIGN_ENTRIES = (
    _entry_without("address"),
    _entry_without("capacity"),
    _entry_without("state"),
    _entry_without("born"),
    _entry_with(born=1_776_052_017.5),
    _entry_with(born="1776052017694"),
    _entry_with(address=9),
    _entry_with(capacity=[64_000]),
    _entry_with(labels=None),
    _entry_with(state="resting"),
    _entry_with(backend="nowhere"),
    b"",
    b"null",
    b"[" * 50_000,
    b"\x00\xff\xfe not text at all",
)
"""Entries with missing or mistyped fields, unknown states or pools, or values that are no JSON."""

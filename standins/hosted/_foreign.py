"""Entries of other writers in the workers' table."""

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
"""Looks like a worker with much room, at an address where nobody listens."""


def _changed(**changes: object) -> bytes:
    return json.dumps({**USUAL_ENTRY, **changes}).encode()


def _without(field: str) -> bytes:
    return json.dumps(
        {name: value for name, value in USUAL_ENTRY.items() if name != field}
    ).encode()


FOREIGN_ENTRIES = (
    _without("address"),
    _without("capacity"),
    _without("state"),
    _without("born"),
    _changed(born=1_776_052_017.5),
    _changed(born="1776052017694"),
    _changed(address=9),
    _changed(capacity=[64_000]),
    _changed(labels=None),
    _changed(state="resting"),
    _changed(backend="nowhere"),
    b"",
    b"null",
    b"[" * 50_000,
    b"\x00\xff\xfe not text at all",
)
"""Fields missing or of another type, states and pools that nobody knows, and what is no text."""

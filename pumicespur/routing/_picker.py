"""Choose a backend server for one attempt."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.routing._backend import Backend

EJECTED_SHARE = 0.5
"""At most this share of a pool is left out for failures; beyond it, all are tried again."""


def eligible(backends: Sequence[Backend], avoid: Collection[str] = ()) -> list[Backend]:
    """Return the backend servers that may get new work, ejected ones left out if few."""
    staying = [backend for backend in backends if not backend.leaving]
    healthy = [backend for backend in staying if not backend.ejected]
    if len(healthy) < len(staying) * (1 - EJECTED_SHARE):
        healthy = staying
    fresh = [backend for backend in healthy if backend.id not in avoid]
    return fresh or healthy


def pick_least_loaded(backends: Sequence[Backend], avoid: Collection[str] = ()) -> Backend | None:
    """Return the least loaded backend server with room, ties broken by chance."""
    open_ones = [backend for backend in eligible(backends, avoid) if backend.has_room]
    if not open_ones:
        return None
    return min(open_ones, key=lambda backend: (backend.load(), random.random()))

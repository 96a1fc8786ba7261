"""Choose a backend server for one attempt."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.routing._backend import Backend

EJECTED_SHARE = 0.5
"""At most this share of a pool is left out for failures; beyond it, all are tried again."""


SAMPLE = 16
"""Backend servers looked at for one choice. The best of a few drawn by chance is nearly as
little loaded as the best of all (Mitzenmacher, "The power of two choices", 2001), and the
cost of a choice does not grow with the pool."""


def eligible(backends: Sequence[Backend], avoid: Collection[str] = ()) -> list[Backend]:
    """Return the backend servers that may get new work, ejected ones left out if few."""
    staying = [backend for backend in backends if not backend.leaving]
    healthy = [backend for backend in staying if not backend.ejected]
    if len(healthy) < len(staying) * (1 - EJECTED_SHARE):
        healthy = staying
    fresh = [backend for backend in healthy if backend.id not in avoid]
    return fresh or healthy


def pick_least_loaded(backends: Sequence[Backend], avoid: Collection[str] = ()) -> Backend | None:
    """Return a backend server with room and little load, None if none has room.

    A large pool is sampled; only when nothing in the sample has room are all looked at.
    """
    if len(backends) > SAMPLE:
        chosen = _least_loaded(random.sample(backends, SAMPLE), avoid)
        if chosen is not None:
            return chosen
    return _least_loaded(backends, avoid)


def _least_loaded(backends: Sequence[Backend], avoid: Collection[str]) -> Backend | None:
    open_ones = [backend for backend in eligible(backends, avoid) if backend.has_room]
    if not open_ones:
        return None
    return min(open_ones, key=lambda backend: (backend.load(), random.random()))

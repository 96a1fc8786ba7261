"""Select a backend server for one attempt."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.routing._backend import Backend

MAX_EJECTED_RATIO = 0.5
"""Ratio of a pool's backend servers that may be ejected for failures. When more are, ejection
is ignored for the whole pool."""


SAMPLE_SIZE = 16
"""Backend servers compared for one selection. The least loaded of a small random sample is
nearly as little loaded as that of all (Mitzenmacher, "The power of two choices", 2001), and
the cost of a selection does not grow with the pool."""


def select_eligible(backends: Sequence[Backend], avoid: Collection[str] = ()) -> list[Backend]:
    """Return the backend servers that may get new requests.

    Excluded are those that leave, ejected ones unless they exceed `MAX_EJECTED_RATIO`, and
    those in `avoid` while any other remains.
    """
    active = [backend for backend in backends if not backend.leaving]
    healthy = [backend for backend in active if not backend.is_ejected]
    if len(healthy) < len(active) * (1 - MAX_EJECTED_RATIO):
        healthy = active
    untried = [backend for backend in healthy if backend.id not in avoid]
    return untried or healthy


def pick_least_loaded(backends: Sequence[Backend], avoid: Collection[str] = ()) -> Backend | None:
    """Return a backend server with free capacity and little load, None if none has capacity.

    A large pool is sampled; all its backend servers are compared only when none in the
    sample has free capacity.
    """
    if len(backends) > SAMPLE_SIZE:
        chosen = _find_least_loaded(random.sample(backends, SAMPLE_SIZE), avoid)
        if chosen is not None:
            return chosen
    return _find_least_loaded(backends, avoid)


def _find_least_loaded(backends: Sequence[Backend], avoid: Collection[str]) -> Backend | None:
    available = [
        backend for backend in select_eligible(backends, avoid) if backend.has_free_capacity
    ]
    if not available:
        return None
    return min(available, key=lambda backend: (backend.load(), random.random()))

"""Which peers a process links to.

All processes stand on a ring, ordered by a hash of their names. Each links to those 1, 2,
4, 8 ... places on, as in Chord (Stoica et al., 2001): news reaches everyone in at most
log2(n) steps, and a process has log2(n) links out and about as many in. Two processes
that see different members choose different links, which does no harm: any link serves.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


def choose_links(me: str, members: Collection[str]) -> list[str]:
    """Return the members to link to, this process itself left out."""
    ring = sorted({*members, me}, key=_place)
    mine = ring.index(me)
    links: list[str] = []
    step = 1
    while step < len(ring):
        links.append(ring[(mine + step) % len(ring)])
        step *= 2
    return links


def _place(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()

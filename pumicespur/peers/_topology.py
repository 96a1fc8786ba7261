"""Choice of the peers that a process links to.

All processes form a ring, ordered by a hash of their ids. Each links to those 1, 2, 4, 8 ...
positions further on, as in Chord (Stoica et al., 2001): an update reaches every process in at most
log2(n) steps, and a process has log2(n) outgoing links and about as many incoming ones. Two
processes that know different members choose different links, which does no harm, since updates pass
over any link.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection


def choose_links(own_id: str, members: Collection[str]) -> list[str]:
    """Return the members to link to, without this process itself."""
    ring = sorted({*members, own_id}, key=_ring_key)
    own_position = ring.index(own_id)
    links: list[str] = []
    step = 1
    while step < len(ring):
        links.append(ring[(own_position + step) % len(ring)])
        step *= 2
    return links


def _ring_key(name: str) -> bytes:
    return hashlib.sha256(name.encode()).digest()

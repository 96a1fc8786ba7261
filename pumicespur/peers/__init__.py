"""Communication between Pumicespur's processes: membership, heartbeats and new revisions."""

from __future__ import annotations

from pumicespur.peers._links import PeerNetwork
from pumicespur.peers._members import MemberList
from pumicespur.peers._topology import choose_links

__all__ = ["MemberList", "PeerNetwork", "choose_links"]

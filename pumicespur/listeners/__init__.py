"""HTTP listeners of the role `node`, on aiohttp; `pumicespur.servers` has the other roles'."""

from __future__ import annotations

from pumicespur.listeners._listeners import bound_to, listen_at

__all__ = ["bound_to", "listen_at"]

"""HTTP listeners of the role `node`, on aiohttp; `pumicespur.servers` has the other roles'."""

from __future__ import annotations

from pumicespur.listeners._listeners import bound_address, start_server

__all__ = ["bound_address", "start_server"]

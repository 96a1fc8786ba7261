"""HTTP servers of the roles `entry` and `manager` and of the stand-ins, on hypercorn."""

from __future__ import annotations

from pumicespur.servers._servers import bound_address, hypercorn_config, listen, serve_app

__all__ = ["bound_address", "hypercorn_config", "listen", "serve_app"]

"""HTTP servers of the project's own interfaces, on hypercorn."""

from __future__ import annotations

from pumicespur.servers._servers import bound_address, hypercorn_config, listen, serve_app

__all__ = ["bound_address", "hypercorn_config", "listen", "serve_app"]

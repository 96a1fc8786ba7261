"""The role `node`: one process that serves callers and may own pools."""

from __future__ import annotations

from pumicespur.node._process import NodeProcess

__all__ = ["NodeProcess"]

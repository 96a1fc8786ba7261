"""What a process believes of the fleet; jobs, maintenance and node read it."""

from __future__ import annotations

from pumicespur.view._view import NodeView, SeenOwner, SeenProcess, SeenReport

__all__ = ["NodeView", "SeenOwner", "SeenProcess", "SeenReport"]

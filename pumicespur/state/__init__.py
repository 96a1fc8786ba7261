"""The replicated log of decisions, kept in the platform's table service."""

from __future__ import annotations

from pumicespur.state._lease import Lease
from pumicespur.state._log import Log, Uncertain
from pumicespur.state._replica import Replica

__all__ = ["Lease", "Log", "Replica", "Uncertain"]

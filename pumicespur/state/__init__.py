"""The replicated log of decisions in the platform's table service, and the planner's lease."""

from __future__ import annotations

from pumicespur.state._keys import CLAIM_PREFIX
from pumicespur.state._lease import Lease
from pumicespur.state._log import Log, Uncertain
from pumicespur.state._replica import Replica
from pumicespur.state._retention import Retention

__all__ = ["CLAIM_PREFIX", "Lease", "Log", "Replica", "Retention", "Uncertain"]

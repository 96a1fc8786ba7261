"""The two long-running roles, put together from their parts."""

from __future__ import annotations

from pumicespur.processes._entry import EntryProcess
from pumicespur.processes._manager import ManagerProcess

__all__ = ["EntryProcess", "ManagerProcess"]

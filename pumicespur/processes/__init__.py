"""The two long-running roles, entry and manager."""

from __future__ import annotations

from pumicespur.processes._entry import EntryProcess
from pumicespur.processes._manager import ManagerProcess

__all__ = ["EntryProcess", "ManagerProcess"]

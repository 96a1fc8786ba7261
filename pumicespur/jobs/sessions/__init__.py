"""Dealings of a pool's owner with its workers: sessions, starts, leases, restarts and stops."""

from __future__ import annotations

from pumicespur.jobs.sessions._lease import EarlierLeases
from pumicespur.jobs.sessions._orphaned_tasks import OrphanedTasks
from pumicespur.jobs.sessions._restarts import Restarts
from pumicespur.jobs.sessions._session import WorkerSession

__all__ = ["EarlierLeases", "OrphanedTasks", "Restarts", "WorkerSession"]

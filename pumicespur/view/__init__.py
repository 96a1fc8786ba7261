"""The known state of the fleet in one process, which jobs, maintenance and node read."""

from __future__ import annotations

from pumicespur.view._view import (
    EndedWorkers,
    FleetView,
    SeenOwner,
    SeenProcess,
    SeenReport,
    newest_reports,
)

__all__ = ["EndedWorkers", "FleetView", "SeenOwner", "SeenProcess", "SeenReport", "newest_reports"]

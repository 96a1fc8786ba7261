"""Placement of waiting tasks on workers."""

from __future__ import annotations

from pumicespur.jobs.placement._gang_reservation import GangReservations
from pumicespur.jobs.placement._held_workers import has_lost_runs, is_ejected
from pumicespur.jobs.placement._placement import assign, order_groups, place_groups
from pumicespur.jobs.placement._same_rack import review_racks

__all__ = [
    "GangReservations",
    "assign",
    "has_lost_runs",
    "is_ejected",
    "order_groups",
    "place_groups",
    "review_racks",
]

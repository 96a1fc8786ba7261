"""The planner: availability of pools, maintenance waves, moves of instances, placement of tasks."""

from __future__ import annotations

from pumicespur.planning._availability import Availability, PoolAvailability
from pumicespur.planning._decision import decide
from pumicespur.planning._lifecycle import advance_instances
from pumicespur.planning._moves import plan_moves
from pumicespur.planning._order_dispatch import OrderDispatcher
from pumicespur.planning._placement import plan_placements
from pumicespur.planning._planner import Planner
from pumicespur.planning._round import Decision, PlanInput
from pumicespur.planning._usage import UsageTracker, own_tasks
from pumicespur.planning._waves import is_in_window, plan_waves

__all__ = [
    "Availability",
    "Decision",
    "OrderDispatcher",
    "PlanInput",
    "Planner",
    "PoolAvailability",
    "UsageTracker",
    "advance_instances",
    "decide",
    "is_in_window",
    "own_tasks",
    "plan_moves",
    "plan_placements",
    "plan_waves",
]

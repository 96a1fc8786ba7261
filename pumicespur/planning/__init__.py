"""The decisions: who is available, what may go down, who moves, where tasks run."""

from __future__ import annotations

from pumicespur.planning._availability import Availability, PoolAvailability
from pumicespur.planning._decision import decide
from pumicespur.planning._effects import Effects
from pumicespur.planning._lifecycle import advance
from pumicespur.planning._moves import plan_moves
from pumicespur.planning._placement import plan_placements
from pumicespur.planning._planner import Planner
from pumicespur.planning._round import Decision, PlanInput
from pumicespur.planning._usage import UsageBook, own_tasks
from pumicespur.planning._waves import in_window, plan_waves

__all__ = [
    "Availability",
    "Decision",
    "Effects",
    "PlanInput",
    "Planner",
    "PoolAvailability",
    "UsageBook",
    "advance",
    "decide",
    "in_window",
    "own_tasks",
    "plan_moves",
    "plan_placements",
    "plan_waves",
]

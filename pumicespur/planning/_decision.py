"""The decisions of one planning round, as a function of its input and without side effects."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.planning._availability import Availability
from pumicespur.planning._lifecycle import advance_instances
from pumicespur.planning._moves import plan_moves
from pumicespur.planning._placement import plan_placements
from pumicespur.planning._round import Decision
from pumicespur.planning._waves import plan_waves

if TYPE_CHECKING:
    from pumicespur.planning._round import PlanInput


def decide(plan_input: PlanInput) -> Decision:
    """Decide one round: continue what was started, then plan waves, moves and placements.

    Waves are planned before moves, because a wave has a time window and a move can wait.
    """
    decision = Decision()
    advance_instances(plan_input, decision)
    availability = Availability(plan_input.fleet, plan_input.listed, decision.assignments)
    plan_waves(plan_input, availability, decision)
    plan_moves(plan_input, availability, decision)
    plan_placements(plan_input, decision)
    return decision

"""One planning round, from what is known to what is decided; nothing is done here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.planning._availability import Availability
from pumicespur.planning._lifecycle import advance
from pumicespur.planning._moves import plan_moves
from pumicespur.planning._placement import plan_placements
from pumicespur.planning._round import Decision
from pumicespur.planning._waves import plan_waves

if TYPE_CHECKING:
    from pumicespur.planning._round import PlanInput


def decide(known: PlanInput) -> Decision:
    """Decide one round: finish what runs, then waves, moves and placements.

    Waves go before moves, because a wave has a window and a move can wait.
    """
    decision = Decision()
    advance(known, decision)
    available = Availability(known.fleet, known.listed, decision.assignments)
    plan_waves(known, available, decision)
    plan_moves(known, available, decision)
    plan_placements(known, decision)
    return decision

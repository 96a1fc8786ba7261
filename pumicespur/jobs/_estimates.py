"""How long tasks really take, from what callers declare and what earlier tasks took."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import RouteName

PRIOR_TASKS = 8.0
"""Tasks that the assumption of sound estimates counts for; a few jobs outweigh it."""

PRIOR_SPREAD = 0.25
"""Variance of the logarithms of the estimates that the assumption brings along."""

MEMORY_TASKS = 400.0
"""Tasks after which older ones count less; some seconds of a busy route."""

LEAST_MS = 1.0
"""Shortest time that is told apart from none."""


@dataclass
class RouteEstimates:
    """A line through the logarithms of declared and measured times, with a prior of slope one."""

    weight: float = 0.0
    declared: float = 0.0
    taken: float = 0.0
    declared_squared: float = 0.0
    product: float = 0.0
    """Sums over the tasks so far, each times its weight."""

    def note(self, declared_ms: float, taken_ms: float) -> None:
        """Learn from one task."""
        x = math.log(max(LEAST_MS, declared_ms))
        y = math.log(max(LEAST_MS, taken_ms))
        kept = 1.0 - 1.0 / MEMORY_TASKS
        self.weight = self.weight * kept + 1.0
        self.declared = self.declared * kept + x
        self.taken = self.taken * kept + y
        self.declared_squared = self.declared_squared * kept + x * x
        self.product = self.product * kept + x * y

    def corrected_ms(self, declared_ms: float) -> float:
        """Return the time to expect of a task, in milliseconds."""
        x = math.log(max(LEAST_MS, declared_ms))
        if not self.weight:
            return declared_ms
        mean_x = self.declared / self.weight
        mean_y = self.taken / self.weight
        spread = self.declared_squared - self.weight * mean_x * mean_x
        common = self.product - self.weight * mean_x * mean_y
        prior = PRIOR_TASKS * PRIOR_SPREAD
        slope = (common + prior) / (spread + prior)
        trust = self.weight / (self.weight + PRIOR_TASKS)
        learnt = mean_y + slope * (x - mean_x)
        return math.exp(trust * learnt + (1.0 - trust) * x)


class Estimates:
    """The estimates of each route of a pool."""

    def __init__(self) -> None:
        self.routes: defaultdict[RouteName, RouteEstimates] = defaultdict(RouteEstimates)

    def note(self, route: RouteName, declared_ms: float, taken_ms: float) -> None:
        """Learn from a task that ended well."""
        self.routes[route].note(declared_ms, taken_ms)

    def corrected_ms(self, route: RouteName, declared_ms: float) -> float:
        """Return the time to expect of a task of a route, in milliseconds."""
        return self.routes[route].corrected_ms(declared_ms)

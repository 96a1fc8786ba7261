"""Expected durations of tasks, from declared estimates and the durations of earlier tasks."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import RouteName

PRIOR_WEIGHT = 8.0
"""Weight of the prior, that declared estimates are right, in tasks; a few jobs outweigh it."""

PRIOR_VARIANCE = 0.25
"""Variance of the logarithms of declared durations in the prior."""

DECAY_TASKS = 400.0
"""Time constant of the decay of older tasks, in tasks; a few seconds of a busy route."""

MIN_DURATION_MS = 1.0
"""Lower bound of durations, since the regression takes logarithms."""


@dataclass
class RouteEstimator:
    """Linear regression of log actual on log declared durations, with a prior of slope one."""

    weight: float = 0.0
    sum_declared: float = 0.0
    sum_actual: float = 0.0
    sum_declared_squared: float = 0.0
    sum_product: float = 0.0
    """Weighted sums over the tasks so far, of logarithms."""

    def add_task(self, declared_ms: float, actual_ms: float) -> None:
        """Add a completed task to the regression."""
        x = math.log(max(MIN_DURATION_MS, declared_ms))
        y = math.log(max(MIN_DURATION_MS, actual_ms))
        decay = 1.0 - 1.0 / DECAY_TASKS
        self.weight = self.weight * decay + 1.0
        self.sum_declared = self.sum_declared * decay + x
        self.sum_actual = self.sum_actual * decay + y
        self.sum_declared_squared = self.sum_declared_squared * decay + x * x
        self.sum_product = self.sum_product * decay + x * y

    def expected_ms(self, declared_ms: float) -> float:
        """Return the expected duration of a task, in milliseconds."""
        x = math.log(max(MIN_DURATION_MS, declared_ms))
        if not self.weight:
            return declared_ms
        mean_x = self.sum_declared / self.weight
        mean_y = self.sum_actual / self.weight
        spread = self.sum_declared_squared - self.weight * mean_x * mean_x
        common = self.sum_product - self.weight * mean_x * mean_y
        prior = PRIOR_WEIGHT * PRIOR_VARIANCE
        slope = (common + prior) / (spread + prior)
        confidence = self.weight / (self.weight + PRIOR_WEIGHT)
        fitted = mean_y + slope * (x - mean_x)
        return math.exp(confidence * fitted + (1.0 - confidence) * x)


@dataclass
class ColdSlowdown:
    """The factor by which cold workers are slower, learnt from the tasks that began on them."""

    tasks: float = 0.0
    sum_logs: float = 0.0
    """Weighted sums over the tasks so far."""

    def add_task(self, expected_ms: float, actual_ms: float) -> None:
        """Add a completed task that began on a cold worker."""
        decay = 1.0 - 1.0 / DECAY_TASKS
        ratio = max(MIN_DURATION_MS, actual_ms) / max(MIN_DURATION_MS, expected_ms)
        self.tasks = self.tasks * decay + 1.0
        self.sum_logs = self.sum_logs * decay + math.log(ratio)

    def factor(self) -> float | None:
        """Return the mean factor; None before the first task."""
        return math.exp(self.sum_logs / self.tasks) if self.tasks else None


class DurationEstimates:
    """Expected task durations for each route of a pool."""

    def __init__(self) -> None:
        self.routes: defaultdict[RouteName, RouteEstimator] = defaultdict(RouteEstimator)

    def add_task(self, route: RouteName, declared_ms: float, actual_ms: float) -> None:
        """Add a completed task of a route."""
        self.routes[route].add_task(declared_ms, actual_ms)

    def expected_ms(self, route: RouteName, declared_ms: float) -> float:
        """Return the expected duration of a task of a route, in milliseconds."""
        return self.routes[route].expected_ms(declared_ms)

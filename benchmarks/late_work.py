"""Compare orders of placement within a pool: what callers get on the same loads."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias
from unittest.mock import patch

from benchmarks._report import percentile, print_section, print_table
from pumicespur.jobs._feasibility import is_overdue
from pumicespur.jobs.placement import _placement
from tests.pool_play import BUSY, CALM, HOT, OVERLOAD, PEAKS, Outcome, PoolPlay

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs._job import StepGroup
    from tests.pool_play import Load

SEEDS = (1, 2, 3)

LOADS = {"peaks": PEAKS, "overload": OVERLOAD, "hot account": HOT, "busy": BUSY, "calm": CALM}

Key: TypeAlias = tuple[bool, float, str, int, int]

DEADLINE_KEY = _placement._priority_key
"""The product's order: earliest deadline, late work after a delay."""


def begun_key(group: StepGroup, now_ms: float, goes_first: bool) -> tuple[bool, bool, Key]:
    """Return a sort key: jobs that have begun and can be in time go before the others."""
    begun = not is_overdue(group, now_ms) and any(task.run for task in group.job.tasks)
    return (not goes_first, not begun, DEADLINE_KEY(group, now_ms, goes_first))


def slack_key(group: StepGroup, now_ms: float, goes_first: bool) -> Key:
    """Return a sort key: the least time left beyond the expected remaining time goes first."""
    waits, deadline_ms, job, repeat, step = DEADLINE_KEY(group, now_ms, goes_first)
    return (waits, deadline_ms - group.job.critical_paths_ms[step], job, repeat, step)


ORDERS: dict[str, Callable[[StepGroup, float, bool], object]] = {
    "earliest deadline": DEADLINE_KEY,
    "begun first": begun_key,
    "least slack": slack_key,
}


def play(load: Load, key: Callable[[StepGroup, float, bool], object]) -> list[Outcome]:
    """Play a load with each seed in an order."""
    with patch.object(_placement, "_priority_key", key):
        return [PoolPlay(load, seed).run() for seed in SEEDS]


def make_row(load: str, order: str, outcomes: list[Outcome]) -> list[str]:
    """Return a table row with the figures of each seed."""
    small_waits_s = [percentile(outcome.small_waits_s, 0.95) for outcome in outcomes]
    return [
        load,
        order,
        ", ".join(f"{outcome.ratio_in_time:.3f}" for outcome in outcomes),
        ", ".join(f"{outcome.worst_ratio_in_time:.2f}" for outcome in outcomes),
        ", ".join(f"{outcome.small_ratio_in_time:.3f}" for outcome in outcomes),
        ", ".join(f"{wait_s:.1f}" for wait_s in small_waits_s),
        ", ".join(f"{outcome.longest_late_wait_s:.1f}" for outcome in outcomes),
    ]


def main() -> None:
    """Print the table for all loads and orders."""
    print_section("Order within a pool")
    titles = [
        "load",
        "order",
        "in time",
        "worst account",
        "small accounts",
        "their wait (95 of 100), s",
        "longest late wait, s",
    ]
    rows = [
        make_row(name, order, play(load, key))
        for name, load in LOADS.items()
        for order, key in ORDERS.items()
    ]
    print_table(titles, rows)


if __name__ == "__main__":
    main()

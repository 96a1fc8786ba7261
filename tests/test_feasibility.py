"""Tests of late work: what is late, how long it waits, and what callers get in an overloaded pool.

They guard against late work that never runs, and against late work that makes other work late.
"""

from __future__ import annotations

import unittest
from contextlib import contextmanager
from dataclasses import replace
from functools import cache
from typing import TYPE_CHECKING
from unittest.mock import patch

from pumicespur.jobs._feasibility import (
    LONG_OVERDUE_AFTER_S,
    LONG_OVERDUE_RATIO,
    is_long_overdue,
    is_overdue,
    select_going_first,
)
from pumicespur.jobs.placement import _placement, order_groups
from pumicespur.schema.jobs_pb import StepRecord
from soak.mutant import Mutant, apply_mutant
from tests.pool_play import (
    ACCOUNTS,
    BATCH,
    CALM,
    HOT,
    LOOKUP,
    OVERLOAD,
    PEAKS,
    Kind,
    Load,
    Outcome,
    PoolPlay,
)
from tests.test_jobs import make_pool, make_record, make_worker, run_all, submit

if TYPE_CHECKING:
    from collections.abc import Iterator

SEEDS = (1, 2, 3)

STEP = StepRecord(count=1, cpu_millis=1000, estimated_ms=1000)

FULL_OF_TIMELY_WORK = Load(rest=1.1, duration_s=40.0)
"""Just enough that work that can be in time always waits."""

LONGEST_WAIT_S = LONG_OVERDUE_AFTER_S + (2 * BATCH.task_ms + 2 * 1.2 * BATCH.task_ms) / 1000 + 0.2
"""Longest wait of a lone late job: the bound counts from its deadline, the wait from the latest
start that would have been in time; then each of its two steps waits for a running task to end, and
for a round."""


@cache
def play_bounded(load: Load) -> list[Outcome]:
    """Play a load with each seed."""
    return [PoolPlay(load, seed).run() for seed in SEEDS]


@contextmanager
def unbounded_wait() -> Iterator[None]:
    """Apply the soak's mutant without the bound of the wait of late work."""
    with patch.object(_placement, "is_long_overdue"):
        apply_mutant(Mutant.LATE_WORK_STARVES)
        yield


def play_unbounded(load: Load) -> list[Outcome]:
    """Play a load without the bound of the wait of late work."""
    with unbounded_wait():
        return [PoolPlay(load, seed).run() for seed in SEEDS]


class FeasibilityTest(unittest.TestCase):
    """Which steps are late, and which go first."""

    def test_steps_without_a_deadline_are_never_late(self) -> None:
        # A long-running step that counted as late would wait behind every short one.
        record = make_record(replace_step(long_running=True))
        group = submit(make_pool(), record).groups[0]
        self.assertFalse(is_overdue(group, 1e9))
        self.assertFalse(is_long_overdue(group, 1e9))

    def test_late_work_goes_first_after_the_maximum_wait(self) -> None:
        group = submit(make_pool(), make_record(STEP)).groups[0]
        first_ms = group.job.deadline_ms + LONG_OVERDUE_AFTER_S * 1000
        self.assertFalse(is_long_overdue(group, first_ms - 1))
        self.assertTrue(is_long_overdue(group, first_ms))

    def test_late_work_goes_first_whatever_its_priority_and_share(self) -> None:
        # Less urgent jobs beyond their account's share waited up to 40 s behind work in time.
        pool = make_pool(make_worker("w"))
        late = submit(pool, make_record(STEP, job="1" * 16))
        late.priority, late.exceeds_share = 1, True
        now_ms = late.deadline_ms + LONG_OVERDUE_AFTER_S * 1000
        fresh = submit(pool, make_record(STEP, job="0" * 16, accepted_ms=int(now_ms)))
        before = [group.job for group in order_groups(pool.jobs.values(), now_ms - 1)]
        after = [group.job for group in order_groups(pool.jobs.values(), now_ms)]
        self.assertEqual(([fresh, late], [late, fresh]), (before, after))

    def test_late_work_goes_first_only_up_to_its_share(self) -> None:
        # Without the share, a pool overloaded by a third had 52 instead of 76 of 100 jobs in time.
        pool = make_pool(make_worker("w", cpu=20_000))
        submit(pool, make_record(replace_step(count=20), job="1" * 16))
        self.assertEqual(20, len(run_all(pool)))
        late = submit(pool, make_record(STEP, job="2" * 16)).groups[0]
        self.assertEqual({late}, select_going_first([late], pool.jobs.values(), 0.0))
        self.assertEqual(set(), select_going_first([late], pool.jobs.values(), 1e9))

    def test_late_work_goes_first_where_nothing_runs(self) -> None:
        # After an outage all work may be long overdue: one step goes first, not all of it at once.
        pool = make_pool(make_worker("w"))
        jobs = [submit(pool, make_record(STEP, job=digit * 16)) for digit in "12"]
        groups = [job.groups[0] for job in jobs]
        self.assertEqual({groups[0]}, select_going_first(groups, pool.jobs.values(), 1e9))


def replace_step(**fields: int | bool) -> StepRecord:
    """Make a step like `STEP` but for some fields."""
    values = {"count": 1, "cpu_millis": 1000, "estimated_ms": 1000, **fields}
    return StepRecord(**values)  # type: ignore[arg-type]


class WaitBoundTest(unittest.TestCase):
    """A single late job in a pool that is kept full by work that can be in time."""

    def longest_wait_s(self, kind: Kind, *, exceeds_share: bool) -> float:
        """Play a job that could not start before it was late; return for how long it waits then."""
        play = PoolPlay(FULL_OF_TIMELY_WORK, seed=1)
        while play.now_ms < 5_000:
            play.play_round()
        job = play.submit(kind, ACCOUNTS[1])
        job.exceeds_share = exceeds_share
        job.deadline_ms = play.now_ms
        play.run()
        return max(play.late_wait_s(group) for group in job.groups)

    def test_it_starts_within_the_bound(self) -> None:
        for kind in (LOOKUP, BATCH):
            for exceeds_share in (False, True):
                with self.subTest(kind=kind.route.name, exceeds_share=exceeds_share):
                    wait_s = self.longest_wait_s(kind, exceeds_share=exceeds_share)
                    self.assertLessEqual(wait_s, LONGEST_WAIT_S)

    def test_finds_late_work_that_starves(self) -> None:
        with unbounded_wait():
            wait_s = self.longest_wait_s(BATCH, exceeds_share=True)
        self.assertGreater(wait_s, LONGEST_WAIT_S)


class PlayTest(unittest.TestCase):
    """The play itself."""

    def test_order_of_placement_does_not_change_the_load(self) -> None:
        # Orders were once compared on different loads, since run times were drawn at starts.
        def submitted(play: PoolPlay) -> list[tuple[str, int]]:
            play.run()
            return [(job.account, job.record.accepted_ms) for job in play.jobs]

        load = replace(PEAKS, duration_s=10.0)
        by_deadline = submitted(PoolPlay(load, seed=1))
        with patch.object(_placement, "is_overdue", lambda *arguments: False):
            self.assertEqual(by_deadline, submitted(PoolPlay(load, seed=1)))
        self.assertNotEqual(by_deadline, submitted(PoolPlay(load, seed=2)))


class OverloadTest(unittest.TestCase):
    """What callers get in a minute of rounds, each with three seeds."""

    def test_peaks_leave_most_jobs_in_time_and_none_late_for_long(self) -> None:
        for outcome in play_bounded(PEAKS):
            self.assertGreater(outcome.ratio_in_time, 0.65)
            self.assertLess(outcome.longest_late_wait_s, LONG_OVERDUE_AFTER_S)

    def test_bound_shortens_the_longest_wait_in_lasting_overload(self) -> None:
        for bounded, unbounded in zip(
            play_bounded(OVERLOAD), play_unbounded(OVERLOAD), strict=True
        ):
            self.assertLess(bounded.longest_late_wait_s, 0.95 * unbounded.longest_late_wait_s)

    def test_bound_costs_few_jobs_their_deadline(self) -> None:
        # Without a limit to its share, late work took the place of a third of the work in time.
        for load in (OVERLOAD, HOT, PEAKS):
            for bounded, unbounded in zip(play_bounded(load), play_unbounded(load), strict=True):
                cost = unbounded.ratio_in_time - bounded.ratio_in_time
                self.assertLess(cost, LONG_OVERDUE_RATIO / 2)

    def test_nothing_is_late_without_overload(self) -> None:
        for outcome in play_bounded(CALM):
            self.assertEqual(1.0, outcome.ratio_in_time)

    def test_urgent_work_beyond_a_share_waits_for_less_urgent_work_of_others(self) -> None:
        # Lookups of a hot account beyond its share went before batch jobs of all other accounts.
        pool = make_pool(make_worker("w"))
        beyond = submit(pool, make_record(STEP, job="0" * 16))
        beyond.exceeds_share = True
        other = submit(pool, make_record(STEP, job="1" * 16, accepted_ms=-1))
        other.priority = 1
        groups = order_groups(pool.jobs.values(), 0.0)
        self.assertEqual([other, beyond], [group.job for group in groups])

    def test_hot_account_leaves_the_others_in_time(self) -> None:
        # The hot account sends eight times its usual; the pool can serve all the others.
        for outcome in play_bounded(HOT):
            self.assertGreater(outcome.small_ratio_in_time, 0.92)
            waits_s = sorted(outcome.small_waits_s)
            self.assertLess(waits_s[len(waits_s) // 2], 2 * LOOKUP.task_ms / 1000)


if __name__ == "__main__":
    unittest.main()

"""Tests of the metrics and descriptions of accounts for operators."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from pumicespur.jobs.reports import (
    MAX_NAMED_ACCOUNTS,
    describe_accounts,
    describe_limit_block,
    update_account_metrics,
)
from pumicespur.model import AccountId, Capacity, ClientAccount
from pumicespur.schema.jobs_pb import JobRecord, PartReport, PoolReport, StepRecord
from pumicespur.utils import METRICS
from tests.test_jobs import make_pool, make_worker, run_all, submit
from tests.test_limits import B

if TYPE_CHECKING:
    from pumicespur.jobs._pool import PoolState


class AccountReportTest(unittest.TestCase):
    """Metrics and descriptions of accounts."""

    def make(self, count: int) -> PoolState:
        pool = make_pool(make_worker("w-1", cpu=1_000_000))
        names = [AccountId(f"account-{number:03}") for number in range(count)]
        limit = Capacity(2_000, 0)
        pool.limits.set_accounts({name: ClientAccount(name, 1.0, limit) for name in names})
        step = StepRecord(count=3, cpu_millis=1_000)
        for number, name in enumerate(names):
            job = JobRecord(id=f"{number:016x}", route="quick", steps=[step], account=name)
            submit(pool, job)
        run_all(pool)
        return pool

    def test_largest_are_named_and_the_rest_is_summed(self) -> None:
        pool = self.make(MAX_NAMED_ACCOUNTS + 7)
        pool.limits.blocked_accounts.clear()
        told = describe_accounts(pool)
        self.assertEqual(MAX_NAMED_ACCOUNTS + 1, len(told))
        self.assertEqual({"tasks": 14, "cpu_millis": 14_000}, told["(others)"])

    def test_series_are_bounded_and_old_ones_removed(self) -> None:
        for _ in range(2):
            METRICS.clear_pools()
            update_account_metrics(self.make(MAX_NAMED_ACCOUNTS + 7))
        self.assertEqual(MAX_NAMED_ACCOUNTS + 1, len(METRICS.account_cpu.values))

    def test_describes_a_job_blocked_by_a_limit(self) -> None:
        pool = self.make(1)
        job = next(iter(pool.jobs.values()))
        elsewhere = PartReport(account=job.account, held=400_000)
        told = describe_limit_block(pool, job, {B: PoolReport(pool=B, parts=[elsewhere])})
        held = told["held_by_limit"]
        assert isinstance(held, dict)
        self.assertEqual({"main": 1.0, "b": 0.4}, held["parts"])
        self.assertEqual(1.0, held["used"])

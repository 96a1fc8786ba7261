"""Metrics and descriptions of accounts in owned pools, for operators."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pumicespur.jobs._account_usage import ResourceUsage
from pumicespur.jobs._ledger import WHOLE_LIMIT
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import AccountId, PoolId
    from pumicespur.schema.jobs_pb import PoolReport

MAX_NAMED_ACCOUNTS = 20
"""Accounts that are listed by name, those with the highest usage. The rest is summed up, which
bounds the size of dumps and metrics."""

OTHERS = "(others)"


def _largest(pool: PoolState) -> tuple[list[tuple[AccountId, ResourceUsage]], ResourceUsage]:
    """Return the accounts with the highest processor usage, and the sum of all others."""
    sums = sorted(
        pool.limits.usage.sums.items(), key=lambda entry: (-entry[1].cpu_millis, entry[0])
    )
    others = ResourceUsage()
    for _, used in sums[MAX_NAMED_ACCOUNTS:]:
        others = replace(
            others,
            cpu_millis=others.cpu_millis + used.cpu_millis,
            memory_mb=others.memory_mb + used.memory_mb,
            accelerators=others.accelerators + used.accelerators,
            tasks=others.tasks + used.tasks,
        )
    return sums[:MAX_NAMED_ACCOUNTS], others


def update_account_metrics(pool: PoolState) -> None:
    """Update the gauges of accounts."""
    largest, others = _largest(pool)
    for account, used in largest:
        labels = {"pool": pool.pool, "account": account}
        METRICS.account_cpu.set(labels, used.cpu_millis)
        if account in pool.limits.allotments:
            METRICS.account_allotment.set(
                labels, pool.limits.allotments[account].ledger.allotment / WHOLE_LIMIT
            )
    METRICS.account_cpu.set({"pool": pool.pool, "account": OTHERS}, others.cpu_millis)


def describe_accounts(pool: PoolState) -> dict[str, dict[str, object]]:
    """Return the usage and the limits of accounts in a pool, for JSON."""
    largest, others = _largest(pool)
    described = {str(account): _describe(pool, account, used) for account, used in largest}
    for account in sorted(pool.limits.blocked_accounts)[:MAX_NAMED_ACCOUNTS]:
        used = pool.limits.usage.of(account)
        described.setdefault(account, _describe(pool, account, used))
    if others.tasks:
        described[OTHERS] = {"tasks": others.tasks, "cpu_millis": others.cpu_millis}
    return described


def _describe(pool: PoolState, account: AccountId, used: ResourceUsage) -> dict[str, object]:
    limits = pool.limits
    limit = limits.limit_of(account)
    described: dict[str, object] = {
        "tasks": used.tasks,
        "cpu_millis": used.cpu_millis,
        "memory_mb": used.memory_mb,
        "limit_cpu_millis": limit.cpu_millis,
        "limit_memory_mb": limit.memory_mb,
    }
    allotment = limits.allotments.get(account)
    if allotment is not None:
        described["part"] = allotment.ledger.allotment / WHOLE_LIMIT
        described["used"] = used.share_of(limit) / WHOLE_LIMIT
        described["withheld"] = allotment.withheld / WHOLE_LIMIT
        described["lacking"] = allotment.shortfall / WHOLE_LIMIT
    return described


def describe_limit_block(
    pool: PoolState, job: Job, reports: Mapping[PoolId, PoolReport]
) -> dict[str, object]:
    """Describe whether an account's limit blocks a job, and if so the pools' known allotments."""
    described: dict[str, object] = {"beyond_share": job.exceeds_share}
    if job.account not in pool.limits.blocked_accounts:
        return described
    held = {
        str(other): part.held / WHOLE_LIMIT
        for other, report in reports.items()
        for part in report.parts
        if part.account == job.account
    }
    used = pool.limits.usage.of(job.account)
    held[pool.pool] = pool.limits.allotment_of(job.account).ledger.allotment / WHOLE_LIMIT
    described["held_by_limit"] = _describe(pool, job.account, used) | {"parts": held}
    return described

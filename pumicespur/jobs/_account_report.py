"""What operators are told of accounts in the pools that a process owns."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from pumicespur.jobs._account_use import Use
from pumicespur.jobs._ledger import WHOLE
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import AccountId, PoolId
    from pumicespur.schema.jobs_pb import PoolReport

ACCOUNTS_TOLD = 20
"""Accounts that are told of by name: those with the most running. The rest is summed, so that no
number of accounts swells a dump or a page of metrics."""

OTHERS = "(others)"


def _largest(pool: PoolState) -> tuple[list[tuple[AccountId, Use]], Use]:
    """Return the accounts with the most running, and the sum of all others."""
    sums = sorted(pool.limits.use.sums.items(), key=lambda entry: (-entry[1].cpu_millis, entry[0]))
    others = Use()
    for _, used in sums[ACCOUNTS_TOLD:]:
        others = replace(
            others,
            cpu_millis=others.cpu_millis + used.cpu_millis,
            memory_mb=others.memory_mb + used.memory_mb,
            accelerators=others.accelerators + used.accelerators,
            tasks=others.tasks + used.tasks,
        )
    return sums[:ACCOUNTS_TOLD], others


def count_accounts(pool: PoolState) -> None:
    """Bring the gauges of accounts in line."""
    largest, others = _largest(pool)
    for account, used in largest:
        labels = {"pool": pool.pool, "account": account}
        METRICS.account_cpu.set(labels, used.cpu_millis)
        if account in pool.limits.parts:
            METRICS.account_part.set(labels, pool.limits.parts[account].ledger.part / WHOLE)
    METRICS.account_cpu.set({"pool": pool.pool, "account": OTHERS}, others.cpu_millis)


def describe_accounts(pool: PoolState) -> dict[str, dict[str, object]]:
    """Return what accounts have running in a pool and what of their limits it holds."""
    largest, others = _largest(pool)
    found = {str(account): _describe(pool, account, used) for account, used in largest}
    for account in sorted(pool.limits.lacking)[:ACCOUNTS_TOLD]:
        used = pool.limits.use.of(account)
        found.setdefault(account, _describe(pool, account, used))
    if others.tasks:
        found[OTHERS] = {"tasks": others.tasks, "cpu_millis": others.cpu_millis}
    return found


def _describe(pool: PoolState, account: AccountId, used: Use) -> dict[str, object]:
    limits = pool.limits
    limit = limits.limit_of(account)
    told: dict[str, object] = {
        "tasks": used.tasks,
        "cpu_millis": used.cpu_millis,
        "memory_mb": used.memory_mb,
        "limit_cpu_millis": limit.cpu_millis,
        "limit_memory_mb": limit.memory_mb,
    }
    part = limits.parts.get(account)
    if part is not None:
        told["part"] = part.ledger.part / WHOLE
        told["used"] = used.share_of(limit) / WHOLE
        told["withheld"] = part.withheld / WHOLE
        told["lacking"] = part.lacking / WHOLE
    return told


def describe_hold(
    pool: PoolState, job: Job, reports: Mapping[PoolId, PoolReport]
) -> dict[str, object]:
    """Tell whether an account's limit holds a job's tasks back, and which pools have its parts."""
    told: dict[str, object] = {"beyond_share": job.beyond_share}
    if job.account not in pool.limits.lacking:
        return told
    held = {
        str(other): part.held / WHOLE
        for other, report in reports.items()
        for part in report.parts
        if part.account == job.account
    }
    used = pool.limits.use.of(job.account)
    held[pool.pool] = pool.limits.part_of(job.account).ledger.part / WHOLE
    told["held_by_limit"] = _describe(pool, job.account, used) | {"parts": held}
    return told

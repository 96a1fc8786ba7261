"""What each account has running in a pool, or may have running."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.jobs._ledger import WHOLE_LIMIT

if TYPE_CHECKING:
    from pumicespur.model import AccountId, Capacity
    from pumicespur.schema.jobs_pb import LeftRun, StepRecord


@dataclass
class ResourceUsage:
    """A sum over tasks, in thousandths of a core, in MB and in accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: int = 0

    def add(self, task: StepRecord | LeftRun, count: int = 1) -> None:
        """Count tasks that are alike; a negative number counts them no longer."""
        self.cpu_millis += count * task.cpu_millis
        self.memory_mb += count * task.memory_mb
        self.accelerators += count * task.accelerators
        self.tasks += count

    def share_of(self, limit: Capacity, more: StepRecord | None = None, count: int = 1) -> int:
        """Return the share of a limit, by what is nearest to it; of `WHOLE`, rounded up.

        `count` tasks like `more` are counted as well. What has no limit takes no share.
        """
        cpu, memory, accelerators = self.cpu_millis, self.memory_mb, self.accelerators
        if more is not None:
            cpu += count * more.cpu_millis
            memory += count * more.memory_mb
            accelerators += count * more.accelerators
        shares = (
            _share_of(cpu, limit.cpu_millis),
            _share_of(memory, limit.memory_mb),
            _share_of(accelerators, limit.accelerators),
        )
        return max(shares)

    def count_fitting(self, limit: Capacity, task: StepRecord, max_count: int) -> int:
        """Return how many more such tasks a limit has room for, `most` at most."""
        left = (
            _count_fitting(limit.cpu_millis, self.cpu_millis, task.cpu_millis, max_count),
            _count_fitting(limit.memory_mb, self.memory_mb, task.memory_mb, max_count),
            _count_fitting(limit.accelerators, self.accelerators, task.accelerators, max_count),
        )
        return min(left)


def _count_fitting(limit: int, used: int, each: int, max_count: int) -> int:
    if not limit or not each:
        return max_count
    return max(0, min(max_count, (limit - used) // each))


def _share_of(amount: int, limit: int) -> int:
    return -(-amount * WHOLE_LIMIT // limit) if limit else 0


class AccountUsage:
    """Sums by account. What may have been started counts until it is known to be over."""

    def __init__(self) -> None:
        self.sums: defaultdict[AccountId, ResourceUsage] = defaultdict(ResourceUsage)

    def add(self, account: AccountId, task: StepRecord | LeftRun, count: int) -> None:
        """Count tasks of an account, or, by a negative number, count them no longer."""
        if not account:
            return
        used = self.sums[account]
        used.add(task, count)
        if not used.tasks:
            del self.sums[account]

    def of(self, account: AccountId) -> ResourceUsage:
        """Return what an account has."""
        return self.sums.get(account, NO_USAGE)


NO_USAGE = ResourceUsage()
"""The use of an account that has nothing running."""

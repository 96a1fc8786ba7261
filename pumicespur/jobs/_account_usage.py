"""Resources used by each account in a pool."""

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
    """Resources of a sum of tasks: thousandths of a core, MB and accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: int = 0

    def add(self, task: StepRecord | LeftRun, count: int = 1) -> None:
        """Add `count` equal tasks; a negative count removes them."""
        self.cpu_millis += count * task.cpu_millis
        self.memory_mb += count * task.memory_mb
        self.accelerators += count * task.accelerators
        self.tasks += count

    def share_of(self, limit: Capacity, more: StepRecord | None = None, count: int = 1) -> int:
        """Return the used share of a limit in units of `WHOLE_LIMIT`, rounded up.

        The share is that of the resource nearest to its limit; resources without a limit are
        ignored. `count` further tasks of the step `more` are included.
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
        """Return how many more such tasks fit the limit, up to `max_count`."""
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
    """Usage by account. Runs that may have started count until they are known to be over."""

    def __init__(self) -> None:
        self.sums: defaultdict[AccountId, ResourceUsage] = defaultdict(ResourceUsage)

    def add(self, account: AccountId, task: StepRecord | LeftRun, count: int) -> None:
        """Add `count` equal tasks of an account; a negative count removes them."""
        if not account:
            return
        used = self.sums[account]
        used.add(task, count)
        if not used.tasks:
            del self.sums[account]

    def of(self, account: AccountId) -> ResourceUsage:
        """Return the usage of an account."""
        return self.sums.get(account, NO_USAGE)


NO_USAGE = ResourceUsage()
"""Usage of an account without tasks."""

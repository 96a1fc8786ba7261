"""Demand of a pool's jobs, its forecast, and the number of workers that it requires."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from pumicespur.jobs._feasibility import is_overdue
from pumicespur.jobs._job import TaskState

if TYPE_CHECKING:
    from collections.abc import Set

    from pumicespur.jobs._account_usage import ResourceUsage
    from pumicespur.jobs._estimates import DurationEstimates
    from pumicespur.jobs._job import Job, StepGroup
    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import AccountId, Capacity, WorkerId
    from pumicespur.schema.jobs_pb import StepRecord

PEAK_RETENTION_S = 3.0
"""Time for which the highest demand of a load peak is retained: two moves of an instance."""

AVERAGING_S = 1.0
"""Time over which demand is averaged, since single large jobs come and go faster than instances
can be moved."""

FORECAST_S = 1.5
"""Time by which growing demand is forecast: the duration of a move."""

WAITING_WEIGHT = 0.5
"""Weight of a waiting task: waiting tasks can run one after another and still finish in time."""

TARGET_UTILIZATION_RATIO = 0.8
"""Share of its workers' capacity that a pool plans to use; tasks seldom fill a worker entirely."""

MIN_WORKERS = 4
"""Minimum number of workers that a pool requests: an idle pool can still start work when one of
them is lost and another is down."""

PEAK_END_RATIO = 0.5
"""A load peak is over once the arriving work falls below this share of its recent maximum; the
arrivals of a steady peak vary by a third."""

ARRIVAL_AVERAGING_S = 1.5
"""Shortest time over which a job's work is spread: a few jobs of a slow route."""

ARRIVAL_FORECAST_S = 2.0
"""Time by which growing arrivals are forecast: the report to the fleet leader, the move of an
instance and the first response of its worker."""


@dataclass(frozen=True)
class Demand:
    """Resources requested by tasks, in thousandths of a core and in MB."""

    cpu_millis: int = 0
    memory_mb: int = 0


@dataclass(frozen=True)
class PoolDemand:
    """Demand of the running tasks of a pool and of those that are ready to start."""

    short: Demand = Demand()
    """Running short tasks before their job's deadline, and waiting ones that are not overdue, with
    `WAITING_WEIGHT`."""
    long_running: Demand = Demand()
    """Long-running tasks, running or waiting."""
    waiting: Demand = Demand()
    """Waiting short tasks that can still finish in time, at their full weight."""
    overdue: Demand = Demand()
    """Waiting short tasks that can no longer finish in time, at their full weight."""


@dataclass
class DemandSum:
    """A running sum of demand."""

    cpu_millis: int = 0
    memory_mb: int = 0

    def add(self, spec: StepRecord, count: float) -> None:
        """Add tasks of a step; best-effort tasks request no processor time."""
        self.cpu_millis += 0 if spec.fills else int(count * spec.cpu_millis)
        self.memory_mb += int(count * spec.memory_mb)

    def total(self) -> Demand:
        """Return the sum."""
        return Demand(self.cpu_millis, self.memory_mb)


@dataclass
class DemandTracker:
    """The recent demand of short tasks."""

    samples: deque[tuple[float, Demand]] = field(default_factory=deque)
    """Monotonic times in seconds, oldest first."""
    means: deque[tuple[float, Demand]] = field(default_factory=deque)
    """Means over `AVERAGING_S`, in the same form."""

    def add_sample(self, now: float, demand: Demand) -> None:
        """Add a sample."""
        self.samples.append((now, demand))
        while now - self.samples[0][0] > AVERAGING_S:
            self.samples.popleft()
        count = len(self.samples)
        cpu = sum(sample.cpu_millis for _, sample in self.samples) // count
        memory = sum(sample.memory_mb for _, sample in self.samples) // count
        self.means.append((now, Demand(cpu, memory)))
        while now - self.means[0][0] > PEAK_RETENTION_S:
            self.means.popleft()

    def trend(self) -> Demand:
        """Return the latest mean, extrapolated by `FORECAST_S` if it grows."""
        if not self.means:
            return Demand()
        now, latest = self.means[-1]
        earlier = next(demand for at, demand in self.means if now - at <= AVERAGING_S)
        growth = FORECAST_S / AVERAGING_S
        cpu = latest.cpu_millis + growth * max(0, latest.cpu_millis - earlier.cpu_millis)
        memory = latest.memory_mb + growth * max(0, latest.memory_mb - earlier.memory_mb)
        return Demand(int(cpu), int(memory))

    def forecast(self) -> Demand:
        """Return the larger of the recent maximum and the trend."""
        trend = self.trend()
        peak_cpu = max((demand.cpu_millis for _, demand in self.means), default=0)
        peak_memory = max((demand.memory_mb for _, demand in self.means), default=0)
        return Demand(max(peak_cpu, trend.cpu_millis), max(peak_memory, trend.memory_mb))


@dataclass(frozen=True)
class Arrival:
    """A submitted job's work and the time over which it is spread."""

    accepted_ms: int
    cpu_millis: float
    """Thousandths of a core that the job keeps busy for its duration."""
    duration_ms: float


@dataclass(frozen=True)
class ArrivalSample:
    """Arriving work measured at a time of day in milliseconds."""

    at_ms: int
    cpu_millis: int


@dataclass
class ArrivalTracker:
    """Recently submitted work, whether it has started or not."""

    entries: deque[Arrival] = field(default_factory=deque)
    """Oldest first."""
    samples: deque[ArrivalSample] = field(default_factory=deque)
    """Measurements of the last seconds, oldest first."""

    def add_job(self, job: Job, estimates: DurationEstimates) -> None:
        """Add a job; long-running and scheduled work is left out, since it causes no load peaks."""
        if job.record.repeats:
            return
        work = sum(
            spec.count * spec.cpu_millis * estimates.expected_ms(job.route, spec.estimated_ms)
            for spec in job.record.steps
            if not spec.long_running
        )
        if work:
            # A long job is spread over its critical path; otherwise a single job with much work
            # would look like a load peak.
            duration_ms = max(ARRIVAL_AVERAGING_S * 1000, max(job.critical_paths_ms))
            self.entries.append(Arrival(job.record.accepted_ms, work / duration_ms, duration_ms))

    def cpu_millis(self, now_ms: int) -> int:
        """Return how much processor capacity recently submitted work keeps busy.

        In thousandths of a core.
        """
        self.entries = deque(e for e in self.entries if now_ms - e.accepted_ms <= e.duration_ms)
        return round(sum(entry.cpu_millis for entry in self.entries))

    def measure(self, now_ms: int) -> int:
        """Return the arriving work in thousandths of a core and add it to the samples."""
        cpu_millis = self.cpu_millis(now_ms)
        self.samples.append(ArrivalSample(now_ms, cpu_millis))
        while now_ms - self.samples[0].at_ms > PEAK_RETENTION_S * 1000:
            self.samples.popleft()
        return cpu_millis

    def forecast(self) -> int:
        """Return the arriving work, extrapolated by `ARRIVAL_FORECAST_S` if it grows.

        In thousandths of a core. The largest new job is excluded from the growth, because a single
        job is no trend.
        """
        if not self.samples:
            return 0
        latest = self.samples[-1]
        since_ms = latest.at_ms - AVERAGING_S * 1000
        earlier = next(sample for sample in self.samples if sample.at_ms >= since_ms)
        new = [e.cpu_millis for e in self.entries if e.accepted_ms >= since_ms]
        growth = latest.cpu_millis - earlier.cpu_millis - max(new, default=0)
        return latest.cpu_millis + int(max(0, growth) * ARRIVAL_FORECAST_S / AVERAGING_S)

    def is_falling(self) -> bool:
        """Whether arrivals have fallen below `PEAK_END_RATIO` of their recent maximum."""
        if not self.samples:
            return False
        peak = max(sample.cpu_millis for sample in self.samples)
        return self.samples[-1].cpu_millis < PEAK_END_RATIO * peak


class LimitHeadroom:
    """What accounts can still start within their limits; more workers don't help beyond that."""

    def __init__(self, limits: PoolLimits) -> None:
        self.limits = limits
        self.planned: dict[AccountId, ResourceUsage] = {}

    def reserve(self, account: AccountId, spec: StepRecord, count: int) -> int:
        """Reserve headroom for waiting tasks; return how many of them fit the account's limit."""
        if not account or not count:
            return count
        limit = self.limits.limit_of(account)
        planned = self.planned.get(account)
        if planned is None:
            planned = self.planned[account] = replace(self.limits.usage.of(account))
        fitting = planned.count_fitting(limit, spec, count)
        planned.add(spec, fitting)
        return fitting


def measure_demand(pool: PoolState, now_ms: float) -> PoolDemand:
    """Return the demand of running tasks and of those that are ready to start."""
    short = DemandSum()
    long_running = DemandSum()
    waiting = DemandSum()
    overdue = DemandSum()
    headroom = LimitHeadroom(pool.limits)
    evacuated = {load.worker.id for load in pool.loads.values() if load.hall_evacuated}
    for job in pool.jobs.values():
        if job.ended:
            continue
        for group in job.ready_groups(now_ms):
            spec = group.spec
            if not pool.fits_anywhere(spec):
                # More workers don't help a task that is larger than each of them.
                continue
            startable = headroom.reserve(job.account, spec, len(group.waiting()))
            started = len(group.tasks) - group.done - len(group.waiting())
            # Tasks in evacuated halls stay where they run, so no other workers are needed for them.
            started -= _count_on_workers(group, evacuated)
            if spec.long_running:
                long_running.add(spec, started + startable)
            elif is_overdue(group, now_ms):
                if now_ms <= job.deadline_ms:
                    # After their job's deadline, running tasks do not count, so that a pool with a
                    # backlog does not keep its workers from the load peak of another pool.
                    short.add(spec, started)
                overdue.add(spec, startable)
            else:
                short.add(spec, started + WAITING_WEIGHT * startable)
                waiting.add(spec, startable)
    return PoolDemand(short.total(), long_running.total(), waiting.total(), overdue.total())


def _count_on_workers(group: StepGroup, workers: Set[WorkerId]) -> int:
    """Count the tasks of a group that are on some workers."""
    return sum(1 for task in group.tasks if task.worker in workers) if workers else 0


def count_required_workers(
    pool: PoolState, short: Demand, long_running: Demand, capacity: Capacity
) -> int:
    """Return how many workers of a capacity the demand of a pool requires."""
    cpu = (short.cpu_millis + long_running.cpu_millis) / max(1, capacity.cpu_millis)
    memory = (short.memory_mb + long_running.memory_mb) / max(1, capacity.memory_mb)
    by_demand = math.ceil(max(cpu, memory) / TARGET_UTILIZATION_RATIO)
    return max(by_demand, count_min_workers(pool))


def count_min_workers(pool: PoolState) -> int:
    """Return how many workers a pool with work requires, however small its demand is."""
    return max(MIN_WORKERS, _count_spread_workers(pool))


def _count_spread_workers(pool: PoolState) -> int:
    """Return the workers required by the most widely spread step, plus one to move a task to."""
    widest = 0
    for job in pool.jobs.values():
        for group in job.groups:
            if not job.ended and group.spec.max_per_worker and _is_unfinished(group):
                widest = max(widest, math.ceil(len(group.tasks) / group.spec.max_per_worker) + 1)
    return widest


def _is_unfinished(group: StepGroup) -> bool:
    return any(task.state is not TaskState.DONE for task in group.tasks)

"""How many workers a pool needs, from what its jobs ask for now and how that changes."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState
from pumicespur.jobs._placement import is_overdue

if TYPE_CHECKING:
    from pumicespur.jobs._account_usage import ResourceUsage
    from pumicespur.jobs._estimates import DurationEstimates
    from pumicespur.jobs._job import Job, StepGroup
    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import AccountId, Capacity
    from pumicespur.schema.jobs_pb import StepRecord

PEAK_RETENTION_S = 3.0
"""Time for which a peak keeps its workers: two moves of an instance."""

AVERAGING_S = 1.0
"""Time over which demand is averaged; single large jobs come and go faster than moves."""

FORECAST_S = 1.5
"""Time by which growth is foreseen: that of a move."""

WAITING_WEIGHT = 0.5
"""Weight of a waiting task: those that wait may run in turn and still be in time."""

FILL_SHARE = 0.8
"""Share of its workers that a pool plans to use; tasks seldom fill a worker to the brim."""

MIN_WORKERS = 4
"""Workers kept in an idle pool: one may be lost and one down while a third takes work."""

PEAK_END_RATIO = 0.5
"""Share of the highest arrivals of the last seconds below which a peak is taken to end; arrivals
of a steady peak vary by a third."""

ARRIVAL_AVERAGING_S = 1.5
"""Time over which arriving work is averaged; a few jobs of a slow route."""

ARRIVAL_FORECAST_S = 2.0
"""Time by which growing arrivals are foreseen: word of them to the fleet's holder, the move of an
instance and its worker's first answer."""


@dataclass(frozen=True)
class Demand:
    """What tasks ask for, in thousandths of a core and in MB."""

    cpu_millis: int = 0
    memory_mb: int = 0


@dataclass(frozen=True)
class PoolDemand:
    """What the tasks of a pool ask for whose turn has come."""

    short: Demand = Demand()
    long_running: Demand = Demand()
    waiting: Demand = Demand()
    """The part of `short` that has no worker yet and can still be in time, at its full weight."""
    overdue: Demand = Demand()
    """What has no worker yet and can't be in time any more, at its full weight."""


@dataclass
class DemandSum:
    """A demand that is being added up."""

    cpu_millis: int = 0
    memory_mb: int = 0

    def add(self, spec: StepRecord, count: float) -> None:
        """Count tasks of a step; those that fill ask for no processor time."""
        self.cpu_millis += 0 if spec.fills else int(count * spec.cpu_millis)
        self.memory_mb += int(count * spec.memory_mb)

    def total(self) -> Demand:
        """Return the sum."""
        return Demand(self.cpu_millis, self.memory_mb)


@dataclass
class DemandTracker:
    """The demand of short tasks over the last seconds."""

    samples: deque[tuple[float, Demand]] = field(default_factory=deque)
    """Monotonic times in seconds, oldest first."""
    means: deque[tuple[float, Demand]] = field(default_factory=deque)
    """Likewise, averaged."""

    def note(self, now: float, demand: Demand) -> None:
        """Take a sample."""
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
        """Return the mean of the last second, or where its growth leads if it grows."""
        if not self.means:
            return Demand()
        now, newest = self.means[-1]
        before = next(demand for at, demand in self.means if now - at <= AVERAGING_S)
        growth = FORECAST_S / AVERAGING_S
        cpu = newest.cpu_millis + growth * max(0, newest.cpu_millis - before.cpu_millis)
        memory = newest.memory_mb + growth * max(0, newest.memory_mb - before.memory_mb)
        return Demand(int(cpu), int(memory))

    def forecast(self) -> Demand:
        """Return the larger of the latest peak and where growth leads."""
        trend = self.trend()
        peak_cpu = max((demand.cpu_millis for _, demand in self.means), default=0)
        peak_memory = max((demand.memory_mb for _, demand in self.means), default=0)
        return Demand(max(peak_cpu, trend.cpu_millis), max(peak_memory, trend.memory_mb))


@dataclass(frozen=True)
class Arrival:
    """A job's work as it came, and the time over which that work is spread."""

    accepted_ms: int
    cpu_millis: float
    """Thousandths of a core that the job keeps busy while it lasts."""
    duration_ms: float


@dataclass(frozen=True)
class ArrivalSample:
    """What was found to arrive at a time of day in milliseconds."""

    at_ms: int
    cpu_millis: int


@dataclass
class ArrivalTracker:
    """The work that callers handed in lately, whether it has begun or not."""

    entries: deque[Arrival] = field(default_factory=deque)
    """Oldest first."""
    samples: deque[ArrivalSample] = field(default_factory=deque)
    """What was measured in the last seconds, oldest first."""

    def note(self, job: Job, estimates: DurationEstimates) -> None:
        """Count a job; long-running and timed work does not come in peaks."""
        if job.record.repeats:
            return
        work = sum(
            spec.count * spec.cpu_millis * estimates.corrected_ms(job.route, spec.estimated_ms)
            for spec in job.record.steps
            if not spec.long_running
        )
        if work:
            # A long job is no larger a share of what arrives than of what it keeps busy: one of
            # 25 s of work in two steps looked like a peak of 77 workers.
            duration_ms = max(ARRIVAL_AVERAGING_S * 1000, max(job.critical_paths_ms))
            self.entries.append(Arrival(job.record.accepted_ms, work / duration_ms, duration_ms))

    def cpu_millis(self, now_ms: int) -> int:
        """Return the processor time that such work keeps busy, in thousandths of a core."""
        self.entries = deque(e for e in self.entries if now_ms - e.accepted_ms <= e.duration_ms)
        return round(sum(entry.cpu_millis for entry in self.entries))

    def measure(self, now_ms: int) -> int:
        """Return the processor time that arrives and remember it, to tell how it changes."""
        cpu_millis = self.cpu_millis(now_ms)
        self.samples.append(ArrivalSample(now_ms, cpu_millis))
        while now_ms - self.samples[0].at_ms > PEAK_RETENTION_S * 1000:
            self.samples.popleft()
        return cpu_millis

    def forecast(self) -> int:
        """Return what will arrive by the time that more workers are there, if growth goes on.

        The largest new job counts for no growth: one job alone is no trend.
        """
        if not self.samples:
            return 0
        newest = self.samples[-1]
        since_ms = newest.at_ms - AVERAGING_S * 1000
        before = next(figure for figure in self.samples if figure.at_ms >= since_ms)
        new = [e.cpu_millis for e in self.entries if e.accepted_ms >= since_ms]
        growth = newest.cpu_millis - before.cpu_millis - max(new, default=0)
        return newest.cpu_millis + int(max(0, growth) * ARRIVAL_FORECAST_S / AVERAGING_S)

    def is_falling(self) -> bool:
        """Whether less than a share of what was measured a moment ago arrives now."""
        if not self.samples:
            return False
        most = max(figure.cpu_millis for figure in self.samples)
        return self.samples[-1].cpu_millis < PEAK_END_RATIO * most


class LimitHeadroom:
    """What accounts may still start; no number of workers helps what waits beyond that."""

    def __init__(self, limits: PoolLimits) -> None:
        self.limits = limits
        self.planned: dict[AccountId, ResourceUsage] = {}

    def reserve(self, account: AccountId, spec: StepRecord, count: int) -> int:
        """Return how many of some waiting tasks their account's limit has room for."""
        if not account or not count:
            return count
        limit = self.limits.limit_of(account)
        planned = self.planned.get(account)
        if planned is None:
            planned = self.planned[account] = replace(self.limits.usage.of(account))
        fitting = planned.count_fitting(limit, spec, count)
        planned.add(spec, fitting)
        return fitting


def current_demand(pool: PoolState, now_ms: float) -> PoolDemand:
    """Return what tasks ask for whose turn has come."""
    short = DemandSum()
    long_running = DemandSum()
    waiting = DemandSum()
    overdue = DemandSum()
    headroom = LimitHeadroom(pool.limits)
    for job in pool.jobs.values():
        if job.ended:
            continue
        for group in job.ready_groups(now_ms):
            spec = group.spec
            if not pool.fits_anywhere(spec):
                # No number of workers helps a task that is larger than each of them.
                continue
            idle = headroom.reserve(job.account, spec, len(group.waiting()))
            begun = len(group.tasks) - group.done - len(group.waiting())
            if spec.long_running:
                long_running.add(spec, begun + idle)
            elif is_overdue(group, now_ms):
                short.add(spec, begun)
                overdue.add(spec, idle)
            else:
                short.add(spec, begun + WAITING_WEIGHT * idle)
                waiting.add(spec, idle)
    return PoolDemand(short.total(), long_running.total(), waiting.total(), overdue.total())


def required_workers(pool: PoolState, short: Demand, long_running: Demand, room: Capacity) -> int:
    """Return how many workers of a size the pool's present work takes."""
    cpu = (short.cpu_millis + long_running.cpu_millis) / max(1, room.cpu_millis)
    memory = (short.memory_mb + long_running.memory_mb) / max(1, room.memory_mb)
    by_demand = math.ceil(max(cpu, memory) / FILL_SHARE)
    return max(MIN_WORKERS, by_demand, _spread_workers(pool))


def _spread_workers(pool: PoolState) -> int:
    """Return how many workers the widest spread step takes, and one more to move to."""
    widest = 0
    for job in pool.jobs.values():
        for group in job.groups:
            if not job.ended and group.spec.max_per_worker and _is_unfinished(group):
                widest = max(widest, math.ceil(len(group.tasks) / group.spec.max_per_worker) + 1)
    return widest


def _is_unfinished(group: StepGroup) -> bool:
    return any(task.state is not TaskState.DONE for task in group.tasks)

"""How many workers a pool requests from the fleet leader, and log lines that explain it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.jobs._demand import (
    ArrivalTracker,
    Demand,
    DemandTracker,
    PoolDemand,
    count_min_workers,
    count_required_workers,
    measure_demand,
)
from pumicespur.jobs.reports import measure_waiting_work
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState
    from pumicespur.schema.jobs_pb import PoolReport

log = Logger(__name__)

LOAD_LOG_INTERVAL_S = 1.0
"""Interval between log lines about the load of a busy pool."""


class PoolSizer:
    """Tracks the demand of a pool and fills it into the pool's reports."""

    def __init__(self, pool: PoolState, request_report: Callable[[], None]) -> None:
        self.pool = pool
        self.request_report = request_report
        """Requests a report at once."""
        self.demand = DemandTracker()
        self.arrivals = ArrivalTracker()
        self.current = PoolDemand()
        self.load_logged_at = float("-inf")
        self.reported_workers = 0
        """Busy workers in the last report."""

    def update(self, now: float) -> None:
        """Measure the pool's demand; request a report at once if it needs more busy workers."""
        self.current = measure_demand(self.pool, now_ms())
        self.demand.add_sample(now, self.current.short)
        if now - self.load_logged_at >= LOAD_LOG_INTERVAL_S:
            self.load_logged_at = now
            self._log_load(now)
        busy = self._count_busy_workers(self.current.waiting)
        if busy > self.reported_workers:
            self.reported_workers = busy
            self.request_report()

    def fill_report(self, report: PoolReport) -> None:
        """Fill the pool's requested size into a report.

        Work that can no longer finish in time takes no instances from other pools, but keeps those
        that no other pool requests. Otherwise it would hold instances that another pool needs at
        the start of its load peak.
        """
        demand = measure_demand(self.pool, now_ms())
        report.busy_workers = self._count_busy_workers(demand.waiting)
        all_waiting = Demand(
            demand.waiting.cpu_millis + demand.overdue.cpu_millis,
            demand.waiting.memory_mb + demand.overdue.memory_mb,
        )
        report.wanted_workers = max(report.busy_workers, self._count_workers(all_waiting))
        if not self.arrivals.is_falling():
            # The recent maximum bridges pauses within a load peak. It no longer counts after the
            # peak's end: otherwise workers stay idle here while the next pool waits for them.
            peak_workers = self._count_workers(self.demand.forecast())
            report.wanted_workers = max(report.wanted_workers, peak_workers)
        self.reported_workers = report.busy_workers
        report.arriving_cpu_millis = self.arrivals.cpu_millis(now_ms())

    def note_arrival(self, job: Job) -> None:
        """Count a submitted job, unless one of its steps fits on no worker.

        A job beyond its account's fair share is no reason to take instances from other pools.
        """
        if not job.exceeds_share and all(
            self.pool.fits_anywhere(spec) for spec in job.record.steps
        ):
            self.arrivals.add_job(job, self.pool.estimates)

    def _count_busy_workers(self, waiting: Demand) -> int:
        """Return how many workers the arriving and the waiting work requires.

        Once arrivals fall, running tasks are left out, because they end on the workers they have.
        The pool thus gives up instances as soon as the load peak is over.
        """
        self.arrivals.measure(now_ms())
        cpu_millis = max(self.arrivals.forecast(), waiting.cpu_millis)
        memory_mb = waiting.memory_mb
        if not self.arrivals.is_falling():
            trend = self.demand.trend()
            cpu_millis = max(cpu_millis, trend.cpu_millis)
            memory_mb = max(memory_mb, trend.memory_mb)
        return self._count_workers(Demand(cpu_millis, memory_mb))

    def _count_workers(self, short: Demand) -> int:
        """Return how many workers of median capacity a demand requires.

        Without any worker, whose capacity is not known, a pool with work requests its minimum.
        """
        if not self.pool.loads:
            has_work = any(not job.ended for job in self.pool.jobs.values())
            return count_min_workers(self.pool) if has_work else 0
        capacities = [load.worker.capacity for load in self.pool.loads.values()]
        capacities.sort(key=lambda capacity: capacity.cpu_millis)
        return count_required_workers(
            self.pool, short, self.current.long_running, capacities[len(capacities) // 2]
        )

    def _log_load(self, now: float) -> None:
        """Log what decides the pool's requested size, unless the pool is idle."""
        waiting = measure_waiting_work(self.pool, now_ms())
        waiting_tasks = waiting.timely_tasks + waiting.overdue_tasks
        if not waiting_tasks and not self.current.short.cpu_millis:
            return
        log.info(
            "pool load",
            pool=self.pool.pool,
            workers=len(self.pool.loads),
            open_workers=sum(1 for load in self.pool.loads.values() if load.can_accept_tasks(now)),
            wanted_workers=self._count_workers(self.demand.forecast()),
            busy_workers=self.reported_workers,
            arriving_cpu_millis=self.arrivals.cpu_millis(now_ms()),
            waiting_tasks=waiting_tasks,
            overdue_tasks=waiting.overdue_tasks,
            longest_overdue_wait_s=waiting.longest_overdue_wait_s,
            short_cpu_millis=self.current.short.cpu_millis,
            long_running_cpu_millis=self.current.long_running.cpu_millis,
            used_cpu_millis=sum(load.cpu_millis for load in self.pool.loads.values()),
            **self._describe_cold_workers(now),
        )

    def _describe_cold_workers(self, now: float) -> dict[str, float]:
        """Return the number of cold workers and how many times slower they are, once known."""
        cold = sum(1 for load in self.pool.loads.values() if load.is_cold(now))
        factor = self.pool.cold_slowdown.factor()
        described: dict[str, float] = {"cold_workers": cold} if cold or factor else {}
        return described if factor is None else described | {"cold_factor": round(factor, 2)}

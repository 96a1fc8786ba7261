"""How many workers a pool asks the fleet's holder for, and the log lines that tell why."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.jobs._demand import (
    ArrivalTracker,
    Demand,
    DemandTracker,
    PoolDemand,
    current_demand,
    required_workers,
)
from pumicespur.utils import now_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs._job import Job
    from pumicespur.jobs._pool import PoolState
    from pumicespur.schema.jobs_pb import PoolReport

log = Logger(__name__)

LOAD_LOG_INTERVAL_S = 1.0
"""Pause between log lines about a busy pool's load."""


class PoolSizer:
    """Follows what a pool's work asks for."""

    def __init__(self, pool: PoolState, request_report: Callable[[], None]) -> None:
        self.pool = pool
        self.request_report = request_report
        """Asks for a heartbeat at once."""
        self.demand = DemandTracker()
        self.arrivals = ArrivalTracker()
        self.current = PoolDemand()
        self.load_logged_at = float("-inf")
        self.reported_workers = 0
        """Workers that the last report asked for."""

    def update(self, now: float) -> None:
        """Take a look at the pool's work; a need that grows is told at once."""
        self.current = current_demand(self.pool, now_ms())
        self.demand.note(now, self.current.short)
        if now - self.load_logged_at >= LOAD_LOG_INTERVAL_S:
            self.load_logged_at = now
            self._log_load(now)
        busy = self._busy_workers(self.current.waiting)
        if busy > self.reported_workers:
            self.reported_workers = busy
            self.request_report()

    def fill_report(self, report: PoolReport) -> None:
        """Fill in what the other processes hear of the pool's size.

        Work that can't be in time any more takes no instance from a pool whose work can. It keeps
        those that nobody else asks for. With such work counted like any other, a pool kept 116 of
        180 instances for it through the onset of the next pool's peak, which had 24 for 7 s.
        """
        demand = current_demand(self.pool, now_ms())
        report.busy_workers = self._busy_workers(demand.waiting)
        left = Demand(
            demand.waiting.cpu_millis + demand.overdue.cpu_millis,
            demand.waiting.memory_mb + demand.overdue.memory_mb,
        )
        report.wanted_workers = max(report.busy_workers, self._workers_for(left))
        if not self.arrivals.is_falling():
            # Kept on after a peak for as long as a pause within one might last, workers stood
            # idle while the next pool waited for them.
            remembered = self._workers_for(self.demand.forecast())
            report.wanted_workers = max(report.wanted_workers, remembered)
        self.reported_workers = report.busy_workers
        report.arriving_cpu_millis = self.arrivals.cpu_millis(now_ms())

    def note_arrival(self, job: Job) -> None:
        """Count a job that was handed in, unless no worker could carry it.

        What goes beyond its account's share is no reason to take instances from other pools.
        """
        if not job.exceeds_share and all(
            self.pool.fits_anywhere(spec) for spec in job.record.steps
        ):
            self.arrivals.note(job, self.pool.estimates)

    def _busy_workers(self, waiting: Demand) -> int:
        """Return how many workers what arrives and what waits will take.

        Once less arrives, what runs is left out: it ends where it is. So a pool gives what it
        took as soon as its callers turn away.
        """
        self.arrivals.measure(now_ms())
        cpu_millis = max(self.arrivals.forecast(), waiting.cpu_millis)
        memory_mb = waiting.memory_mb
        if not self.arrivals.is_falling():
            trend = self.demand.trend()
            cpu_millis = max(cpu_millis, trend.cpu_millis)
            memory_mb = max(memory_mb, trend.memory_mb)
        return self._workers_for(Demand(cpu_millis, memory_mb))

    def _workers_for(self, short: Demand) -> int:
        """Return how many workers the pool's work takes; 0 while that is not known."""
        if not self.pool.loads:
            return 0
        capacities = [load.worker.capacity for load in self.pool.loads.values()]
        capacities.sort(key=lambda room: room.cpu_millis)
        return required_workers(
            self.pool, short, self.current.long_running, capacities[len(capacities) // 2]
        )

    def _log_load(self, now: float) -> None:
        """Log what the pool's size is decided by, unless there is nothing to do."""
        waiting = self.pool.count_waiting_tasks(now_ms())
        if not waiting and not self.current.short.cpu_millis:
            return
        log.info(
            "pool load",
            pool=self.pool.pool,
            workers=len(self.pool.loads),
            open_workers=sum(1 for load in self.pool.loads.values() if load.accepts_tasks(now)),
            wanted_workers=self._workers_for(self.demand.forecast()),
            busy_workers=self.reported_workers,
            arriving_cpu_millis=self.arrivals.cpu_millis(now_ms()),
            waiting_tasks=waiting,
            short_cpu_millis=self.current.short.cpu_millis,
            lasting_cpu_millis=self.current.long_running.cpu_millis,
            used_cpu_millis=sum(load.cpu_millis for load in self.pool.loads.values()),
        )

"""Counters, gauges and histograms of a process, served at its metrics address."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]
"""Upper bounds of the buckets of latency histograms, from the time of one store call to a caller's
time limit."""


class Metrics:
    """All metrics of a process; label values are pool or account names or from small fixed sets."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.jobs = Counter("pumicespur_jobs_total", "Submitted jobs by outcome.")
        self.task_ends = Counter(
            "pumicespur_task_ends_total", "Ended runs by pool and how they ended."
        )
        self.task_starts = Counter(
            "pumicespur_task_starts_total", "Ordered starts by pool and outcome."
        )
        self.withdrawn_starts = Counter(
            "pumicespur_task_starts_undone_total",
            "Placed starts that were not ordered, by pool and what had come to speak against them.",
        )
        self.runs_lost = Counter(
            "pumicespur_runs_lost_total", "Runs that were lost with their worker, by pool."
        )
        self.takeovers = Counter("pumicespur_takeovers_total", "Pools taken by this process.")
        self.lost_pools = Counter("pumicespur_pools_lost_total", "Pools that another process took.")
        self.store_calls = Gauge("pumicespur_store_calls", "Calls to the store, by table.")
        self.store_bytes = Gauge(
            "pumicespur_store_bytes", "Bytes sent to and received from the store, by table."
        )
        self.owned_jobs = Gauge("pumicespur_owned_jobs", "Open jobs of the pools owned, by pool.")
        self.account_cpu = Gauge(
            "pumicespur_account_cpu_millis",
            "What accounts have running in the pools owned, by pool and account; the rest summed.",
        )
        self.account_allotment = Gauge(
            "pumicespur_account_part",
            "Share of its limit that a pool holds for an account, by pool and account.",
        )
        self.waiting_tasks = Gauge(
            "pumicespur_waiting_tasks",
            "Waiting tasks of the pools owned, by pool and whether they can still be in time.",
        )
        self.longest_overdue_wait = Gauge(
            "pumicespur_longest_overdue_wait_seconds",
            "Longest wait of work that can no longer be in time, by pool.",
        )
        self.tasks_without_run = Gauge(
            "pumicespur_tasks_without_run",
            "Long-running tasks of the pools owned that may run and have no known run, by pool.",
        )
        self.longest_time_without_run = Gauge(
            "pumicespur_longest_time_without_run_seconds",
            "Longest time for which one of these tasks has had no known run, by pool.",
        )
        self.refused_keys = Counter(
            "pumicespur_refused_keys_total", "Calls refused for their key, by why."
        )
        self.failed_reads = Counter(
            "pumicespur_readings_broken_off_total",
            "Readings of the store without an answer, by whether bytes were coming.",
        )
        self.configuration_version = Gauge(
            "pumicespur_configuration_version", "Configuration in force, and newest heard of."
        )
        self.evacuated_halls = Gauge(
            "pumicespur_evacuated_halls", "Data halls that operators evacuate, as known here."
        )
        self.evacuated_tasks = Gauge(
            "pumicespur_evacuated_hall_tasks",
            "Tasks that are left in evacuated data halls, by pool owned.",
        )
        self.refused_rows = Counter(
            "pumicespur_refused_rows_total",
            "Rows that the store will never accept as they are, by table.",
        )
        self.commit_latency = Histogram(
            "pumicespur_commit_seconds", "Time until a commit is recorded.", buckets=BUCKETS_S
        )
        self.known_state_ages = Histogram(
            "pumicespur_start_belief_age_seconds",
            "Age of what a start rested on when it was ordered, by table.",
            buckets=BUCKETS_S,
        )
        self.caller_latency = Histogram(
            "pumicespur_caller_seconds", "Time until a caller is answered.", buckets=BUCKETS_S
        )
        for series in (
            self.jobs,
            self.task_ends,
            self.task_starts,
            self.withdrawn_starts,
            self.runs_lost,
            self.takeovers,
            self.lost_pools,
            self.store_calls,
            self.store_bytes,
            self.owned_jobs,
            self.account_cpu,
            self.account_allotment,
            self.waiting_tasks,
            self.longest_overdue_wait,
            self.tasks_without_run,
            self.longest_time_without_run,
            self.refused_keys,
            self.failed_reads,
            self.configuration_version,
            self.evacuated_halls,
            self.evacuated_tasks,
            self.refused_rows,
            self.commit_latency,
            self.known_state_ages,
            self.caller_latency,
        ):
            self.registry.register(series)

    def clear_pools(self) -> None:
        """Drop the series of accounts and tasks by pool, so that only those set again remain."""
        for series in (
            self.account_cpu,
            self.account_allotment,
            self.waiting_tasks,
            self.longest_overdue_wait,
            self.tasks_without_run,
            self.longest_time_without_run,
        ):
            series.values.store.clear()

    def clear_evacuated_tasks(self) -> None:
        """Drop the series of all pools, so that only pools that are set again remain."""
        self.evacuated_tasks.values.store.clear()

    def render_page(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page as text, and its HTTP headers."""
        content, headers = render(self.registry, ["text/plain"])
        return content, headers


METRICS = Metrics()
"""The metrics of this process."""

"""Checks of the promises by the records of callers, workers and platform.

The product's own state is not used.
"""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._accounts import find_key_violations, find_runs_over_limit
from soak._callers import NO_RESPONSE, TASK_CPU_MILLIS, JobKind
from soak._run_history import (
    group_by_task,
    has_exhausted_attempts,
    is_completed,
    is_running_at,
    runs_of_step,
    step_completed_at,
)
from soak._world import MAINTENANCE_DURATION_S
from standins.hosted import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from soak._callers import Caller, Exchange, SentJob
    from soak._faults import Injector
    from soak._world import SoakWorld
    from standins.hosted import FleetOrder, Run

CANCEL_TIMEOUT_S = 2.0
"""Time after a confirmed cancellation by which the job's tasks have ended, without faults: a lease
and two polls."""

CANCEL_START_TIMEOUT_S = 2.0
"""Time after the answer to a cancelling, from which on no task of the job may start; `cancel_ms` of
the nodes' settings."""

DRAIN_TIMEOUT_S = 1.2
"""Time after a worker's announcement that it leaves, from which on no task may start on it;
`drain_ms` of the nodes' settings."""

EVACUATE_TIMEOUT_S = 1.5
"""Time after the store has taken an evacuation, from which on no task may start in that data hall;
`evacuate_ms` of the nodes' settings."""

MAX_UNAVAILABLE_S = 1.5
"""Time for which a long-running task may be unavailable before it counts towards the budget:
a worker's lease in the soak, and the time to start the task again."""

CONFIGURE_TIMEOUT_S = 1.5
"""Time by which a configuration is in force on every node, without faults."""

OUT_OF_DATE_PREFIX = "the configuration here is out of date"
"""Start of the reason with which a process refuses requests while it lacks a configuration."""

MIN_FAULT_FREE_S = 2.0
"""Time without faults before time limits apply."""

MAX_CRASHING_STARTS = 5
"""Max starts of a task that crashes workers: callers are promised at most two after three lost
workers."""

CAPACITY_UPDATE_TIMEOUT_S = 1.5
"""Time by which a reduced worker capacity is known, without faults."""

ORDER_TIMEOUT_S = 0.5
"""Time by which an order for an instance has ended its worker."""

SPECULATION_TIMEOUT_S = 1.0
"""Time after a confirmed end during which another start of a speculative task is accepted."""


@dataclass(frozen=True)
class Finding:
    """A broken promise."""

    promise: str
    detail: str


class Checker:
    """Checks the promises; call `check` at any time and `check_settled` at the end of a run."""

    def __init__(self, world: SoakWorld, callers: list[Caller], injector: Injector) -> None:
        self.world = world
        self.callers = callers
        self.injector = injector
        self.findings: set[Finding] = set()

    @property
    def jobs(self) -> dict[str, SentJob]:
        """Every job that a caller has sent, by id."""
        return {job.id: job for caller in self.callers for job in caller.jobs}

    def check(self) -> None:
        """Check the promises that hold at any time."""
        runs = group_by_task(self.world.history)
        for check in (
            self._check_single_runs(runs),
            self._check_attempts(runs),
            self._check_crashing_jobs(runs),
            self._check_capacity(),
            self._check_leaving_workers(),
            self._check_evacuated_halls(),
            self._check_account_limits(),
            self._check_api_keys(),
            self._check_runs_requested(),
            self._check_step_order(runs),
            self._check_reported_states(runs),
            self._check_cancellations(),
            self._check_starts_after_cancellations(),
            self._check_budgets(runs),
            self._check_fleet_orders(),
            self._check_configuration_order(),
            self._check_added_routes(),
            self._check_written_sizes(),
            self._check_processes(),
        ):
            self.findings.update(check)

    def check_settled(self) -> None:
        """Check all promises, also those that hold once all faults are over."""
        self.check()
        for check in (self._check_nothing_lost(), self._check_waves_completed()):
            self.findings.update(check)

    def _check_single_runs(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for task, task_runs in runs.items():
            speculative = self._is_speculative(task)
            for before, after in zip(task_runs, task_runs[1:], strict=False):
                ended_at = before.ended_at if before.ended_at is not None else float("inf")
                if after.started_at < ended_at and not speculative:
                    yield Finding("no task runs twice at once", f"{task} {before} {after}")
            done = next((r for r in task_runs if r.how == "done" and r.acknowledged_at), None)
            if done is None or done.acknowledged_at is None:
                continue
            final_at = (
                done.acknowledged_at + SPECULATION_TIMEOUT_S if speculative else done.started_at
            )
            if task_runs[-1].started_at > final_at:
                yield Finding("a task that is done does not run again", f"{task} {task_runs[-1]}")

    def _is_speculative(self, task: str) -> bool:
        job = self.jobs.get(task.partition(".")[0])
        return job is not None and bool(job.steps[int(task.split(".")[2])].get("speculative"))

    def _check_attempts(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for task, task_runs in runs.items():
            failed = [r for r in task_runs if r.how == "failed" and r.acknowledged_at]
            if len(failed) >= MAX_ATTEMPTS and task_runs[-1].started_at > failed[-1].started_at:
                yield Finding("attempts are bounded", task)

    def _check_crashing_jobs(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            task_runs = runs.get(f"{job.id}.0.0.0", [])
            if job.kind is JobKind.CRASHING and len(task_runs) > MAX_CRASHING_STARTS:
                yield Finding("a task that brings workers down is given up", str(task_runs[-1]))

    def _check_capacity(self) -> Iterator[Finding]:
        """Check that no start exceeds the capacity that the worker was known to have."""
        by_worker = defaultdict(list)
        for run in self.world.history:
            by_worker[run.worker].append(run)
        for worker, runs in by_worker.items():
            for run in runs:
                used = sum(self._cpu_millis(r) for r in runs if is_running_at(r, run.started_at))
                if used > self._max_known_capacity(worker, run.started_at):
                    yield Finding("no start brings a worker over its room", str(run))

    def _cpu_millis(self, run: Run) -> int:
        """Return what a run's task asks for, in thousandths of a core."""
        job, _, step, _ = run.task.split(".")
        sent = self.jobs.get(job)
        return (
            TASK_CPU_MILLIS if sent is None else sent.steps[int(step)].get("cpu", TASK_CPU_MILLIS)
        )

    def _max_known_capacity(self, worker: str, at: float) -> float:
        """Return the max capacity that a worker had lately, or ever if faults hid changes.

        The unit is thousandths of a core.
        """
        capacities = self.world.capacities[worker]
        if self.injector.fault_free_since(at) > at - CAPACITY_UPDATE_TIMEOUT_S:
            return max(cpu_millis for _, cpu_millis in capacities)
        since = max(
            (began for began, _ in capacities if began <= at - CAPACITY_UPDATE_TIMEOUT_S),
            default=0.0,
        )
        return max(cpu_millis for began, cpu_millis in capacities if began >= since)

    def _in_force_since(self, at: float) -> float:
        """Return the time since which declarations may have been in force at a given time.

        Without a long enough time free of faults before it, any declaration may be in force.
        """
        is_settled = (
            self.injector.fault_free_since(at) + MIN_FAULT_FREE_S < at - CONFIGURE_TIMEOUT_S
        )
        return at - CONFIGURE_TIMEOUT_S if is_settled else float("-inf")

    def _check_leaving_workers(self) -> Iterator[Finding]:
        """Check that workers stop getting tasks after their announcement.

        This holds during faults too, because the worker refuses an order that arrives too late.
        """
        for run in self.world.starts_on_leaving(DRAIN_TIMEOUT_S):
            yield Finding("nothing starts on a worker that leaves", str(run))

    def _check_evacuated_halls(self) -> Iterator[Finding]:
        """Check that nothing starts in a data hall once its evacuation is binding.

        This holds during faults too, because the worker refuses an order that arrives too late.
        """
        for run in self.world.starts_in_evacuated_halls(EVACUATE_TIMEOUT_S):
            age_s = f"{run.since_evacuation_s:.3f} s after the evacuation"
            yield Finding(
                "no start in an evacuated hall",
                f"{run.task} run {run.number} on {run.worker}, {age_s}",
            )

    def _check_account_limits(self) -> Iterator[Finding]:
        details = find_runs_over_limit(
            self.world.account_history,
            self.jobs,
            self.world.history,
            self._in_force_since,
            TASK_CPU_MILLIS,
        )
        for detail in details:
            yield Finding("an account keeps to its limit", detail)

    def _check_api_keys(self) -> Iterator[Finding]:
        probes = [probe for caller in self.callers for probe in caller.key_probes]
        for detail in find_key_violations(self.world.account_history, probes, self._in_force_since):
            yield Finding("keys count while they are in force", detail)

    def _check_runs_requested(self) -> Iterator[Finding]:
        jobs = self.jobs
        for run in self.world.history:
            job = jobs.get(run.task.partition(".")[0])
            if job is None:
                yield Finding("only what was asked for runs", str(run))
            elif run.payload != job.kind.value:
                yield Finding("a task gets its own payload", str(run))
            elif job.submissions and job.is_refused:
                yield Finding("a refused job does not run", f"{run} {job.submissions}")

    def _check_step_order(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            for number, step in enumerate(job.steps):
                for earlier in step.get("dependsOn", []):
                    ended = step_completed_at(runs, job, earlier)
                    for run in runs_of_step(runs, job, number):
                        if ended is None or run.started_at < ended:
                            yield Finding("steps run in order", str(run))

    def _check_reported_states(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            accepted_at = job.accepted_at
            cancel_at = job.cancel_sent_at or float("inf")
            for exchange in job.exchanges:
                unknown = exchange.method == "GET" and exchange.status == 410
                if unknown and accepted_at is not None and exchange.sent_at > accepted_at:
                    yield Finding("an accepted job is known", str(exchange))
                if exchange.state == "completed" and not is_completed(runs, job):
                    yield Finding("a completed job has ended", str(exchange))
                if exchange.state == "cancelled" and exchange.ended_at < cancel_at:
                    yield Finding("only callers cancel", str(exchange))
                crashes = job.kind is JobKind.CRASHING
                if (
                    exchange.state == "failed"
                    and not crashes
                    and not has_exhausted_attempts(runs, job)
                ):
                    yield Finding("a failed job has used its attempts", str(exchange))

    def _check_cancellations(self) -> Iterator[Finding]:
        now = monotonic()
        for run in self.world.history:
            job = self.jobs.get(run.task.partition(".")[0])
            if job is None or job.cancelled_at is None:
                continue
            due_from = max(job.cancelled_at, run.started_at, self.injector.fault_free_since(now))
            if run.ended_at is None and now > due_from + MIN_FAULT_FREE_S + CANCEL_TIMEOUT_S:
                yield Finding("tasks of a cancelled job end", str(run))

    def _check_starts_after_cancellations(self) -> Iterator[Finding]:
        """Check that nothing starts once the answer to a job's cancelling is binding.

        This holds during faults too, because the worker refuses an order that arrives too late.
        """
        for run in self.world.history:
            job = self.jobs.get(run.task.partition(".")[0])
            answered_at = None if job is None else job.cancel_answered_at
            if answered_at is not None and run.started_at > answered_at + CANCEL_START_TIMEOUT_S:
                age_s = f"{run.started_at - answered_at:.3f} s after the answer"
                yield Finding("nothing starts after its cancelling", f"{run} {age_s}")

    def _check_budgets(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            if job.kind is not JobKind.LONG_RUNNING:
                continue
            members = [runs.get(f"{job.id}.0.0.{n}", []) for n in range(job.task_count(0))]
            for task_runs in members:
                others = [other for other in members if other is not task_runs]
                for run in task_runs:
                    yield from self._check_budget_at_stop(job, run, others)

    def _check_budget_at_stop(
        self, job: SentJob, run: Run, others: list[list[Run]]
    ) -> Iterator[Finding]:
        """Check the budget when an order ended a run, unless the job was being cancelled."""
        at = self._ordered_end_at(run)
        if at is None or at > (job.cancel_sent_at or float("inf")):
            return
        unavailable = sum(1 for other in others if self._is_unavailable(other, at))
        if unavailable >= int(job.steps[0]["may_miss"]):
            yield Finding(
                "budgets hold", f"{run} ended by order while {unavailable} others were away"
            )

    def _ordered_end_at(self, run: Run) -> float | None:
        """Return when an order ended a run, None if it ended otherwise.

        It counts from its end: of two that were ordered to stop together, neither is away when the
        second order is sent.
        """
        if run.how == "stopped":
            return run.ended_at
        if run.how == "gone" and run.ended_at is not None:
            # A worker may restart under its id, so the order may be for a later incarnation.
            ordered = [o.at for o in self.world.fleet.orders if o.worker == run.worker]
            return next((at for at in ordered if abs(run.ended_at - at) < ORDER_TIMEOUT_S), None)
        return None

    def _is_unavailable(self, task_runs: list[Run], at: float) -> bool:
        """Return whether a task was unavailable because of an order or for too long.

        Too long is longer than `MAX_UNAVAILABLE_S`.
        """
        if any(is_running_at(run, at) for run in task_runs):
            return False
        ended = [r for r in task_runs if r.ended_at is not None and r.ended_at <= at]
        if not ended:
            return False
        last = max(ended, key=lambda run: run.ended_at or 0.0)
        ordered = self._ordered_end_at(last) is not None
        return ordered or at - (last.ended_at or at) > MAX_UNAVAILABLE_S

    def _check_fleet_orders(self) -> Iterator[Finding]:
        orders = self.world.fleet.orders
        for before, after in zip(orders, orders[1:], strict=False):
            if after.token < before.token:
                yield Finding("orders for instances keep to one holder", f"{before} {after}")
            if after.token == before.token and after.holder != before.holder:
                yield Finding("a token has one holder", f"{before} {after}")
        max_parallel = min((wave.max_parallel for wave in self.injector.waves), default=0)
        if len(self.injector.waves) == 1:
            yield from _check_wave_limit([o for o in orders if o.kind == "maintain"], max_parallel)

    def _check_waves_completed(self) -> Iterator[Finding]:
        ordered = {o.instance for o in self.world.fleet.orders if o.kind == "maintain"}
        for wave in self.injector.waves:
            status = self.world.store.value(("status", "", f"wave/{wave.number}")) or b"{}"
            if json.loads(status).get("state") != "completed":
                yield Finding("waves come to an end", str(wave))
            elif not ordered >= set(wave.instances):
                yield Finding("a completed wave has maintained all", str(wave))

    def _check_configuration_order(self) -> Iterator[Finding]:
        """Check that no process goes back to an older configuration.

        Each version has a route of its own, so a served route shows the version in force.
        """
        known: dict[int, tuple[int, float]] = {}
        probes = [probe for probe in self._route_probes() if probe.path.startswith("/v")]
        for exchange in sorted(probes, key=lambda exchange: exchange.ended_at):
            version = int(exchange.path.strip("/").removeprefix("v"))
            newest, since = known.get(exchange.pid, (0, 0.0))
            if exchange.status in (NO_RESPONSE, 404):
                continue
            if version < newest and exchange.sent_at > since:
                yield Finding("configurations are not undone", str(exchange))
            if version > newest:
                known[exchange.pid] = (version, exchange.ended_at)

    def _check_added_routes(self) -> Iterator[Finding]:
        """Check that permanent routes are served in time while there are no unplanned faults."""
        for exchange in self._route_probes():
            added_at = self.world.added_routes.get(exchange.path.strip("/"))
            refused = exchange.status == 404 or exchange.reason.startswith(OUT_OF_DATE_PREFIX)
            if added_at is None or not refused:
                continue
            due_from = max(
                added_at + CONFIGURE_TIMEOUT_S,
                self.injector.fault_free_since(exchange.sent_at) + MIN_FAULT_FREE_S,
            )
            if exchange.sent_at > due_from:
                yield Finding("an added route is served in time", str(exchange))

    def _route_probes(self) -> Iterable[Exchange]:
        return (probe for caller in self.callers for probe in caller.route_probes)

    def _check_processes(self) -> Iterator[Finding]:
        for node in self.world.started_nodes:
            if node.process.poll() is not None and node.process.pid not in self.world.expected_ends:
                ended = f"{node.name} {node.process.pid} with status {node.process.returncode}"
                yield Finding("processes end only when asked", ended)
        for node in self.world.nodes.nodes.values():
            text = node.log.read_text()
            if "Traceback" in text:
                yield Finding("no process meets an error it does not expect", node.name)
            if any(validity.key in text for validity in self.world.account_history.keys):
                yield Finding("no key stands in a log", node.name)

    def _check_written_sizes(self) -> Iterator[Finding]:
        for reason in self.world.store.refused_transactions[:1]:
            yield Finding("what is written has a size that the store accepts", reason)

    def _check_nothing_lost(self) -> Iterator[Finding]:
        all_halls = set(self.world.halls.values())
        if all_halls and all_halls <= self.world.evacuations.evacuated_halls():
            # Nothing may start anywhere, so what waits is not lost.
            return
        running = {run.task for run in self.world.history if run.ended_at is None}
        for job in self.jobs.values():
            if job.accepted_at is None or job.cancel_sent_at is not None:
                continue
            ends = job.kind in (JobKind.SHORT, JobKind.FAILING)
            if ends and job.exchanges[-1].state not in ("completed", "failed"):
                yield Finding("accepted jobs complete", f"{job.id} {job.exchanges[-1]}")
            if job.kind is JobKind.CRASHING and job.exchanges[-1].state != "failed":
                yield Finding("a job that brings workers down is given up", str(job.exchanges[-1]))
            if job.kind is JobKind.LONG_RUNNING:
                missing = {f"{job.id}.0.0.{n}" for n in range(job.task_count(0))} - running
                if missing:
                    yield Finding("lasting tasks are at work", str(sorted(missing)))


def _check_wave_limit(orders: list[FleetOrder], max_parallel: int) -> Iterator[Finding]:
    for order in orders:
        down = [o for o in orders if o.at <= order.at < o.at + MAINTENANCE_DURATION_S]
        if len(down) > max_parallel:
            yield Finding("a wave keeps to its limit", str(down))

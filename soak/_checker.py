"""The promises, judged from what callers, workers and the platform saw; never the product."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._accounts import keys_misjudged, runs_over_limit
from soak._callers import TASK_CPU, UNANSWERED, JobKind
from soak._histories import all_done, by_task, done_at, has_failed, is_at_work, runs_of
from soak._world import MAINTENANCE_S
from standins.hosted import MAX_ATTEMPTS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from soak._callers import Caller, Exchange, SentJob
    from soak._faults import Injector
    from soak._world import SoakWorld
    from standins.hosted import FleetOrder, Run

CANCEL_S = 2.0
"""Time after a confirmed cancellation, in calm, in which its tasks end: a lease and two looks."""

DRAIN_S = 1.2
"""Time after a worker's word that it leaves until nothing may start there (nodes' settings)."""

STOP_S = 0.4
"""Time by which a stop may be carried out after it was ordered."""

AWAY_S = 1.5
"""Time for which a lasting task may be away before it counts for the budget: a lease of a
worker in a soak, and the time that its start takes."""

CONFIGURED_S = 1.5
"""Time after which a configuration is in force everywhere, in calm."""

OUT_OF_DATE = "the configuration here is out of date"
"""How a refusal begins by which a process says that it lacks a configuration."""

SETTLED_S = 2.0
"""Calm that time-bound promises ask for beforehand."""

CRASHING_STARTS = 5
"""Starts of a task that brings workers down: three, and two more until it is given up."""

ROOM_S = 1.5
"""Time after which a room that has shrunk is known, in calm."""

ORDER_S = 0.5
"""Time by which an order for an instance has taken its worker down."""

SPECULATION_S = 1.0
"""Time after a confirmed end in which a speculative task may still start elsewhere."""


@dataclass(frozen=True)
class Finding:
    """A promise that was broken."""

    promise: str
    detail: str


class Checker:
    """Judges a run; `check` may be called at any time, `check_settled` at its end."""

    def __init__(self, world: SoakWorld, callers: list[Caller], injector: Injector) -> None:
        self.world = world
        self.callers = callers
        self.injector = injector
        self.findings: set[Finding] = set()

    @property
    def jobs(self) -> dict[str, SentJob]:
        """Return every job that a caller has sent."""
        return {job.id: job for caller in self.callers for job in caller.jobs}

    def check(self) -> None:
        """Judge what holds at any moment."""
        runs = by_task(self.world.history)
        for check in (
            self._once(runs),
            self._attempts(runs),
            self._crashes(runs),
            self._rooms(),
            self._leaving(),
            self._limits(),
            self._keys(),
            self._asked_for(),
            self._steps_in_order(runs),
            self._states(runs),
            self._cancelled_stay_so(),
            self._budgets(runs),
            self._fleet_orders(),
            self._configurations(),
            self._routes_added(),
            self._processes(),
        ):
            self.findings.update(check)

    def check_settled(self) -> None:
        """Judge what has to be so once all faults lie behind."""
        self.check()
        for check in (self._nothing_lost(), self._waves_done()):
            self.findings.update(check)

    def _once(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for task, found in runs.items():
            speculative = self._may_run_beside_itself(task)
            for before, after in zip(found, found[1:], strict=False):
                ended_at = before.ended_at if before.ended_at is not None else float("inf")
                if after.started_at < ended_at and not speculative:
                    yield Finding("no task runs twice at once", f"{task} {before} {after}")
            done = next((r for r in found if r.how == "done" and r.acknowledged_at), None)
            if done is None or done.acknowledged_at is None:
                continue
            final_at = done.acknowledged_at + SPECULATION_S if speculative else done.started_at
            if found[-1].started_at > final_at:
                yield Finding("a task that is done does not run again", f"{task} {found[-1]}")

    def _may_run_beside_itself(self, task: str) -> bool:
        job = self.jobs.get(task.partition(".")[0])
        return job is not None and bool(job.steps[int(task.split(".")[2])].get("speculative"))

    def _attempts(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for task, found in runs.items():
            failed = [r for r in found if r.how == "failed" and r.acknowledged_at]
            if len(failed) >= MAX_ATTEMPTS and found[-1].started_at > failed[-1].started_at:
                yield Finding("attempts are bounded", task)

    def _crashes(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            found = runs.get(f"{job.id}.0.0.0", [])
            if job.kind is JobKind.CRASHING and len(found) > CRASHING_STARTS:
                yield Finding("a task that brings workers down is given up", str(found[-1]))

    def _rooms(self) -> Iterator[Finding]:
        """Judge that no start brings a worker over its room, as far as that could be known."""
        by_worker = defaultdict(list)
        for run in self.world.history:
            by_worker[run.worker].append(run)
        for worker, runs in by_worker.items():
            for run in runs:
                beside = [r for r in runs if is_at_work(r, run.started_at)]
                if len(beside) * TASK_CPU > self._room(worker, run.started_at):
                    yield Finding("no start brings a worker over its room", str(run))

    def _room(self, worker: str, at: float) -> float:
        """Return the largest room that a worker had lately, or ever if it could not be known."""
        rooms = self.world.rooms[worker]
        if self.injector.calm_since(at) > at - ROOM_S:
            return max(cpu for _, cpu in rooms)
        since = max((began for began, _ in rooms if began <= at - ROOM_S), default=0.0)
        return max(cpu for began, cpu in rooms if began >= since)

    def _known_since(self, at: float) -> float:
        """Return since when declarations may have been in force at a time; all before a calm."""
        calm = self.injector.calm_since(at) + SETTLED_S < at - CONFIGURED_S
        return at - CONFIGURED_S if calm else float("-inf")

    def _leaving(self) -> Iterator[Finding]:
        """Judge without excuses: an order that comes too late is one that the worker refuses."""
        for run in self.world.starts_on_leaving(DRAIN_S):
            yield Finding("nothing starts on a worker that leaves", str(run))

    def _limits(self) -> Iterator[Finding]:
        found = runs_over_limit(
            self.world.book, self.jobs, self.world.history, self._known_since, TASK_CPU
        )
        for detail in found:
            yield Finding("an account keeps to its limit", detail)

    def _keys(self) -> Iterator[Finding]:
        probes = [probe for caller in self.callers for probe in caller.key_probes]
        for detail in keys_misjudged(self.world.book, probes, self._known_since):
            yield Finding("keys count while they are in force", detail)

    def _asked_for(self) -> Iterator[Finding]:
        jobs = self.jobs
        for run in self.world.history:
            job = jobs.get(run.task.partition(".")[0])
            if job is None:
                yield Finding("only what was asked for runs", str(run))
            elif run.payload != job.kind.value:
                yield Finding("a task gets its own payload", str(run))
            elif job.submissions and job.refused:
                yield Finding("a refused job does not run", f"{run} {job.submissions}")

    def _steps_in_order(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            for number, step in enumerate(job.steps):
                for earlier in step.get("dependsOn", []):
                    ended = done_at(runs, job, earlier)
                    for run in runs_of(runs, job, number):
                        if ended is None or run.started_at < ended:
                            yield Finding("steps run in order", str(run))

    def _states(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            accepted_at = job.accepted_at
            cancel_at = job.cancel_sent_at or float("inf")
            for seen in job.exchanges:
                unknown = seen.method == "GET" and seen.status == 410
                if unknown and accepted_at is not None and seen.sent_at > accepted_at:
                    yield Finding("an accepted job is known", str(seen))
                if seen.state == "completed" and not all_done(runs, job):
                    yield Finding("a completed job has ended", str(seen))
                if seen.state == "cancelled" and seen.ended_at < cancel_at:
                    yield Finding("only callers cancel", str(seen))
                crashes = job.kind is JobKind.CRASHING
                if seen.state == "failed" and not crashes and not has_failed(runs, job):
                    yield Finding("a failed job has used its attempts", str(seen))

    def _cancelled_stay_so(self) -> Iterator[Finding]:
        now = monotonic()
        for run in self.world.history:
            job = self.jobs.get(run.task.partition(".")[0])
            if job is None or job.cancelled_at is None:
                continue
            calm_at = max(job.cancelled_at, run.started_at, self.injector.calm_since(now))
            if run.ended_at is None and now > calm_at + SETTLED_S + CANCEL_S:
                yield Finding("tasks of a cancelled job end", str(run))

    def _budgets(self, runs: dict[str, list[Run]]) -> Iterator[Finding]:
        for job in self.jobs.values():
            if job.kind is not JobKind.LASTING:
                continue
            members = [runs.get(f"{job.id}.0.0.{n}", []) for n in range(job.size_of(0))]
            for found in members:
                others = [other for other in members if other is not found]
                for run in found:
                    yield from self._stopped_within_budget(job, run, others)

    def _stopped_within_budget(
        self, job: SentJob, run: Run, others: list[list[Run]]
    ) -> Iterator[Finding]:
        """Judge an end that an order caused, unless the job was to be cancelled."""
        at = self._ended_by_order_at(run)
        if at is None or at > (job.cancel_sent_at or float("inf")):
            return
        away = sum(1 for other in others if self._is_away(other, at))
        if away >= int(job.steps[0]["may_miss"]):
            yield Finding("budgets hold", f"{run} ended by order while {away} others were away")

    def _ended_by_order_at(self, run: Run) -> float | None:
        if run.how == "stopped":
            return run.stop_ordered_at
        if run.how == "gone" and run.ended_at is not None:
            # A worker may start again under its id, so that an order may be for a later life.
            ordered = [o.at for o in self.world.fleet.orders if o.worker == run.worker]
            return next((at for at in ordered if abs(run.ended_at - at) < ORDER_S), None)
        return None

    def _is_away(self, found: list[Run], at: float) -> bool:
        """Whether a task was away by an order, or for longer than any cause excuses."""
        if any(is_at_work(run, at) for run in found):
            return False
        ended = [r for r in found if r.ended_at is not None and r.ended_at <= at]
        if not ended:
            return False
        last = max(ended, key=lambda run: run.ended_at or 0.0)
        ordered = self._ended_by_order_at(last) is not None
        return ordered or at - (last.ended_at or at) > AWAY_S

    def _fleet_orders(self) -> Iterator[Finding]:
        orders = self.world.fleet.orders
        for before, after in zip(orders, orders[1:], strict=False):
            if after.token < before.token:
                yield Finding("orders for instances keep to one holder", f"{before} {after}")
            if after.token == before.token and after.holder != before.holder:
                yield Finding("a token has one holder", f"{before} {after}")
        at_once = min((wave.at_once for wave in self.injector.waves), default=0)
        if len(self.injector.waves) == 1:
            yield from _within_limit([o for o in orders if o.kind == "maintain"], at_once)

    def _waves_done(self) -> Iterator[Finding]:
        ordered = {o.instance for o in self.world.fleet.orders if o.kind == "maintain"}
        for wave in self.injector.waves:
            told = self.world.store.value(("status", "", f"wave/{wave.number}")) or b"{}"
            if json.loads(told).get("state") != "completed":
                yield Finding("waves come to an end", str(wave))
            elif not ordered >= set(wave.instances):
                yield Finding("a completed wave has maintained all", str(wave))

    def _configurations(self) -> Iterator[Finding]:
        """Judge by routes that exist in one version each, life by life of the processes."""
        known: dict[int, tuple[int, float]] = {}
        probes = [probe for probe in self._probes() if probe.path.startswith("/v")]
        for seen in sorted(probes, key=lambda exchange: exchange.ended_at):
            version = int(seen.path.strip("/").removeprefix("v"))
            newest, since = known.get(seen.life, (0, 0.0))
            if seen.status in (UNANSWERED, 404):
                continue
            if version < newest and seen.sent_at > since:
                yield Finding("configurations are not undone", str(seen))
            if version > newest:
                known[seen.life] = (version, seen.ended_at)

    def _routes_added(self) -> Iterator[Finding]:
        """Judge by routes that all later configurations have, while nothing unplanned strikes."""
        for seen in self._probes():
            added_at = self.world.added.get(seen.path.strip("/"))
            refused = seen.status == 404 or seen.reason.startswith(OUT_OF_DATE)
            if added_at is None or not refused:
                continue
            calm_at = max(
                added_at + CONFIGURED_S, self.injector.calm_since(seen.sent_at) + SETTLED_S
            )
            if seen.sent_at > calm_at:
                yield Finding("an added route is served in time", str(seen))

    def _probes(self) -> Iterable[Exchange]:
        return (probe for caller in self.callers for probe in caller.probes)

    def _processes(self) -> Iterator[Finding]:
        for node in self.world.lives:
            if node.process.poll() is not None and node.process.pid not in self.world.expected_ends:
                yield Finding("processes end only when asked", f"{node.name} {node.process.pid}")
        for node in self.world.nodes.nodes.values():
            text = node.log.read_text()
            if "Traceback" in text:
                yield Finding("no process meets an error it does not expect", node.name)
            if any(life.key in text for life in self.world.book.lives):
                yield Finding("no key stands in a log", node.name)

    def _nothing_lost(self) -> Iterator[Finding]:
        running = {run.task for run in self.world.history if run.ended_at is None}
        for job in self.jobs.values():
            if job.accepted_at is None or job.cancel_sent_at is not None:
                continue
            if job.kind is JobKind.SHORT and job.exchanges[-1].state not in ("completed", "failed"):
                yield Finding("accepted jobs complete", f"{job.id} {job.exchanges[-1]}")
            if job.kind is JobKind.CRASHING and job.exchanges[-1].state != "failed":
                yield Finding("a job that brings workers down is given up", str(job.exchanges[-1]))
            if job.kind is JobKind.LASTING:
                missing = {f"{job.id}.0.0.{n}" for n in range(job.size_of(0))} - running
                if missing:
                    yield Finding("lasting tasks are at work", str(sorted(missing)))


def _within_limit(orders: list[FleetOrder], at_once: int) -> Iterator[Finding]:
    for order in orders:
        down = [o for o in orders if o.at <= order.at < o.at + MAINTENANCE_S]
        if len(down) > at_once:
            yield Finding("a wave keeps to its limit", str(down))

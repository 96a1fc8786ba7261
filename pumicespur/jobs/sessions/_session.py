"""A session with each worker of an owned pool: renews its lease and applies its status."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._crash_attribution import (
    COMMON_CAUSE_WINDOW_S,
    QUARANTINE_POLL_TIMEOUT_S,
    count_unproven_suspects,
    note_run_time,
)
from pumicespur.jobs._job import TaskState
from pumicespur.jobs._journal import OwnershipLostError
from pumicespur.jobs.sessions._lease import WorkerLease
from pumicespur.jobs.sessions._restarts import started_recently
from pumicespur.jobs.sessions._starts import WorkerStarts
from pumicespur.jobs.sessions._stops import UnwantedRuns, mark_stalled
from pumicespur.model import (
    FENCED_REASON,
    OtherLife,
    Refused,
    StartedAgain,
    WorkerStatus,
    start_time_ms,
)
from pumicespur.store import AnswerLost, ConnectionBroken, NotListening, Unavailable
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._pool import RunKey
    from pumicespur.jobs.sessions._interfaces import SessionOwner
    from pumicespur.jobs.sessions._lease import EarlierLeases
    from pumicespur.model import ActiveRun, TaskName, Worker, WorkerName

log = Logger(__name__)

RETRY_DELAY_S = 0.15
"""Pause after a call that failed; a few round trips."""

UNCONFIRMED_POLL_DELAY_S = 0.02
"""Pause before the next poll while starts are unconfirmed; a few response times."""

LEASE_EXPIRY_MARGIN_S = 0.3
"""Extra time after a lease expires, for late timers and for the worker to end its tasks."""

MAX_LISTED_ENDS = 500
"""Most ends in one status; one with so many may leave out others."""

MAX_CONCURRENT_STOPS = 16
"""Most stops of unwanted runs under way to a worker; with calls of some milliseconds, thousands a
second."""

ACTIVE_PERCENT = 100
"""Progress that a long-running task reports while it works."""


class WorkerSession:
    """The owner's session with one incarnation of a worker."""

    def __init__(self, owner: SessionOwner, worker: Worker, earlier: EarlierLeases) -> None:
        self.owner = owner
        self.id = worker.id
        self.load = owner.pool.add_worker(worker)
        self.lease = WorkerLease(owner.settings.workers.clock_drift, earlier)
        self.starts = WorkerStarts(self)
        self.seen = 0
        """Number of the newest end that was processed."""
        self.recorded = 0
        """Number of the newest end that is recorded."""
        self.acknowledged = 0
        """Number up to which the worker may drop its ends, see `_end_to_acknowledge`."""
        self.has_retained_ends = False
        """Whether the last status listed ends that can't be acknowledged yet.

        The worker then responds to the next poll at once, so the poll is delayed instead.
        """
        self.unwanted_runs = UnwantedRuns()
        self.unwanted_stops: set[RunKey] = set()
        """Unwanted runs of which a stop is under way or waits for its turn."""
        self.stop_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STOPS)
        self.changed = anyio.Event()
        self.failures = 0
        """Consecutive failed calls."""
        self.gone = False
        self.restarted = False
        """Whether the worker restarted, which leaves unconfirmed starts to its next incarnation."""
        self.to_revoke: list[RunKey] = []
        """Runs revoked on an earlier incarnation that must be revoked on this one too."""
        self.loss_attributed = False
        """Whether tasks carry the loss of this worker, to be retracted if it responds again."""

    async def run(self) -> None:
        """Poll the worker until its incarnation ends."""
        while not self.gone:
            await self._revoke_again()
            await self._wait_until_recorded()
            now = monotonic()
            if not self.owner.may_renew_leases(now):
                self.load.reachable = False
                await anyio.sleep(RETRY_DELAY_S)
            elif not await self._poll(now):
                await anyio.sleep(RETRY_DELAY_S)
            self._check_lease_expiry()
        self.owner.drop_session(self.id)

    async def _revoke_again(self) -> None:
        """Revoke runs on a new incarnation before anything else, repeated until it confirms."""
        for run in list(self.to_revoke):
            stopped = await self.owner.orders.stop(self.load.worker, self.owner.token, *run)
            if not stopped.is_ok():
                return
            self.to_revoke.remove(run)

    async def _wait_until_recorded(self) -> None:
        if self.seen > self.recorded:
            self.changed = anyio.Event()
            with anyio.move_on_after(self.owner.settings.workers.watch_s):
                await self.changed.wait()
        elif self.has_retained_ends:
            await anyio.sleep(UNCONFIRMED_POLL_DELAY_S)

    def note_recorded(self, number: int) -> None:
        """Note that the ends up to a number are recorded."""
        self.recorded = max(self.recorded, number)
        self._update_acknowledged()
        self.changed.set()

    def _update_acknowledged(self) -> None:
        """Allow the worker to drop recorded ends while no start is unconfirmed."""
        if not self.starts.unconfirmed.tasks:
            self.acknowledged = self.recorded

    def _end_to_acknowledge(self) -> int:
        """Return the number up to which the worker may drop its ends; 0 for none.

        Each incarnation numbers its ends from one. If the worker restarted meanwhile, it would
        drop unread ends of its own with these numbers. Its ends matter only if an unconfirmed
        start reached it, so nothing is acknowledged while one exists, not even what was
        acknowledged before.
        """
        return 0 if self.starts.unconfirmed.tasks else self.acknowledged

    async def _poll(self, now: float) -> bool:
        """Renew the lease and read the status; return whether to poll again at once."""
        settings = self.owner.settings.workers
        wait_s = settings.watch_s if self.lease.clock_ms is not None else 0.0
        if self.load.reserved or count_unproven_suspects(self.load):
            wait_s = min(wait_s, QUARANTINE_POLL_TIMEOUT_S)
        if self.seen > self.acknowledged or self.starts.unresolved or self.failures:
            wait_s = 0.0
        # A worker that did not respond gets no new deadline, so that its lease does expire. The
        # next response may come from another incarnation, which numbers its ends anew and whose
        # clock starts anew: it must not drop unread ends, nor run for long by an old deadline.
        silent = self.failures > 0
        deadline = None if silent else self.lease.grant(now, settings.lease_s)
        last_seen = 0 if silent else self._end_to_acknowledge()
        response = await self.owner.orders.renew_leases(
            self.load.worker, self.owner.token, last_seen, deadline, wait_s
        )
        match response:
            case Result(tag="ok", ok=status):
                self.failures = 0
                self._log_inconsistencies(status, last_seen)
                if self.lease.clock_ms is None and not started_recently(self.load.worker, settings):
                    self.lease.note_fenced(monotonic(), settings.lease_s)
                self.lease.note_clock(status.clock_ms, monotonic())
                await self._apply_status(status, now)
                return not self.starts.unresolved
            case Result(error=OtherLife()):
                self.end("another incarnation responded")
                return True
            case Result(error=StartedAgain()):
                self.end_restarted(leased=deadline is not None)
                return True
            case Result(error=Refused(reason=reason)) if reason == FENCED_REASON:
                raise OwnershipLostError(f"worker {self.id} has seen a newer token")
            case Result(error=Refused() | Unavailable() | AnswerLost() as error):
                self.note_failure(error)
        return False

    def _log_inconsistencies(self, status: WorkerStatus, acknowledged: int) -> None:
        """Log a clock that went back or ends listed again, which one incarnation can't report."""
        clock_ms = self.lease.clock_ms or 0.0
        again = [end.number for end in status.ended if end.number <= acknowledged]
        if status.clock_ms >= clock_ms and not again:
            return
        log.warning(
            "worker status inconsistent",
            pool=self.owner.pool.pool,
            worker=self.id,
            clock_back_ms=round(max(0.0, clock_ms - status.clock_ms)),
            ends_repeated=len(again),
            acknowledged=acknowledged,
        )

    def note_failure(self, error: Refused | Unavailable | AnswerLost) -> None:
        """Note a failed call; until the worker responds it gets no tasks and no lease renewal."""
        if self.failures == 0:
            silent = not isinstance(error, ConnectionBroken | NotListening)
            self.owner.pool.note_unresponsive(self.load, monotonic(), silent=silent)
        self.failures += 1
        if self.load.reachable or self.failures == 1:
            log.warning(
                "worker unreachable", pool=self.owner.pool.pool, worker=self.id, reason=str(error)
            )
        self.load.reachable = False

    async def _apply_status(self, status: WorkerStatus, sent_at: float) -> None:
        if not self.load.reachable:
            log.info("worker reachable", pool=self.owner.pool.pool, worker=self.id)
            self.load.reachable = True
            self.owner.wake()
        if self.loss_attributed:
            # The worker was only unreachable, so no task has crashed it.
            self.loss_attributed = False
            self.owner.pool.retract_losses(self.load)
        now = monotonic()
        for end in status.ended:
            if end.number > self.seen:
                self.seen = end.number
                self.owner.note_end(self.id, end, now)
        running = {(run.task, run.run): run for run in status.running}
        self.owner.pool.resolve_inherited(self.id, running)
        self.owner.pool.resolve_earlier_incarnations(self.load, running)
        self._update_running_tasks(running, sent_at, now)
        if len(status.ended) < MAX_LISTED_ENDS:
            self.starts.doubt_unlisted(running, sent_at)
        self._note_unknown_runs(running)
        self.starts.unconfirmed.remove_confirmed(self.id, running)
        self._update_acknowledged()
        self.has_retained_ends = bool(status.ended and self.starts.unconfirmed.tasks)
        await self.starts.resolve(running, sent_at)
        for name, run in self.unwanted_runs.choose(self.owner.pool, self.load, running, now):
            self.owner.spawn(self.stop_unwanted, name, run, "run not wanted on this worker")
        for task in mark_stalled(self.load, now):
            self.owner.spawn(self.stop, task.name, task.run, "no progress")

    def _update_running_tasks(
        self, running: dict[tuple[TaskName, int], ActiveRun], sent_at: float, now: float
    ) -> None:
        for task in list(self.load.tasks):
            found = running.get((task.name, task.run))
            if task.job.ended or task.worker != self.id:
                if found is None and not self.starts.may_arrive(task):
                    self.load.remove(task)
                    self.owner.wake()
                continue
            if found is None:
                continue
            if task.state is TaskState.STARTING:
                self.starts.confirm(task)
            note_run_time(self.load, task, sent_at - task.first_seen_at)
            if task.percent != found.percent:
                task.progressed_at = now
            task.percent = found.percent
            if found.percent == ACTIVE_PERCENT and task.stopping_run != task.run:
                task.unavailable_since = None
            task.checkpoint = found.checkpoint
            task.measurement = found.measurement

    def _note_unknown_runs(self, running: Iterable[tuple[TaskName, int]]) -> None:
        """Note whether the worker has runs whose resources are not counted.

        These are runs of jobs that had ended before this process took the pool.
        """
        counted = {(task.name, task.run) for task in self.load.tasks}
        unknown = any(run not in counted for run in running)
        if self.load.has_unknown_runs and not unknown:
            self.owner.wake()
        self.load.has_unknown_runs = unknown

    async def stop_unwanted(self, name: TaskName, run: int, reason: str) -> None:
        """Order a run to stop that no job wants, some at a time; it is not ordered twice at once.

        A worker that is sent hundreds of stops at once answers few of them in time, and those
        without an answer are sent again.
        """
        if (name, run) in self.unwanted_stops:
            return
        self.unwanted_stops.add((name, run))
        try:
            async with self.stop_limiter:
                if not self.gone:
                    await self.stop(name, run, reason)
        finally:
            self.unwanted_stops.discard((name, run))

    async def stop(self, name: TaskName, run: int, reason: str) -> None:
        """Order a run to stop; a later worker status shows when it has stopped."""
        log.info("stop ordered", task=name, run=run, worker=self.id, reason=reason)
        response = await self.owner.orders.stop(self.load.worker, self.owner.token, name, run)
        match response:
            case Result(error=error):
                log.warning("stop not answered", task=name, worker=self.id, reason=str(error))

    async def throttle(self, task: Task, percent: int) -> None:
        """Limit a best-effort task to a percentage of its speed."""
        run = task.run
        response = await self.owner.orders.throttle(
            self.load.worker, self.owner.token, task.name, run, percent
        )
        accepted = response.is_ok()
        log.info(
            "throttle ordered", task=task.name, worker=self.id, percent=percent, accepted=accepted
        )
        if accepted and task.run == run:
            task.speed_percent = percent

    def _check_lease_expiry(self) -> None:
        """Requeue the worker's tasks once its lease has certainly expired."""
        if self.gone or self.load.reachable or self.failures == 0:
            return
        if monotonic() < self.lease.expires_at() + LEASE_EXPIRY_MARGIN_S:
            return
        if not self.load.listed:
            self.end("not listed and its lease has expired")
            return
        # The worker may only be unreachable and come back, so a crash is not certain.
        self._lose_runs("its lease has expired", ended=False)
        self.owner.pool.resolve_inherited(self.id)
        for task in list(self.load.tasks):
            self.starts.unresolved.pop(task, None)
            self.load.remove(task)
            if task.worker == self.id and not task.job.ended:
                self.starts.requeue_if_unchanged(task, task.run, "the worker's lease has expired")

    def end_if_over(self, ended: Container[WorkerName], as_of: float, now: float) -> None:
        """End the session if its worker had ended by a time at which it was unreachable already.

        Other workers that were lost with it may be noticed a little later, and tell whether one of
        its tasks can have been the cause.
        """
        unreachable_since = self.load.unresponsive_since
        if self.gone or self.failures == 0 or self.load.worker.name not in ended:
            return
        if unreachable_since > as_of:
            return
        if now - unreachable_since < COMMON_CAUSE_WINDOW_S:
            return
        for task in self.starts.unconfirmed.tasks:
            # The start may still be on its way to a later incarnation at the same address.
            self.owner.note_revoked(self.id, (task.name, task.run))
        if start_time_ms(self.id) is not None:
            # Without a start time, a later incarnation has the same id. The call that failed first
            # carried a deadline, which may reach a later incarnation.
            self.owner.note_restart(self.id, leased=True)
        self.end("it runs on no instance")

    def end(self, reason: str) -> None:
        """Note that this incarnation of the worker has ended with all its runs."""
        if self.gone:
            return
        self.gone = True
        log.info("worker gone", pool=self.owner.pool.pool, worker=self.id, reason=reason)
        self._lose_runs(reason, ended=True)
        self.owner.pool.drop_worker(
            self.id, self.starts.unconfirmed.tasks if self.restarted else ()
        )
        self.owner.wake()

    def end_restarted(self, *, leased: bool) -> None:
        """Note that the worker restarted; its next incarnation adopts the unconfirmed starts.

        `leased` tells that a deadline for this incarnation may have reached the next one.
        """
        if not self.gone:
            self.restarted = True
            self.owner.note_restart(self.id, leased=leased or bool(self.starts.unconfirmed.tasks))
            self.end("it has restarted")

    def _lose_runs(self, reason: str, *, ended: bool) -> None:
        """Note and log the runs lost with the worker and the tasks that may have crashed it."""
        lost = [task for task in self.load.tasks if task.is_current_run(self.id, task.run)]
        if self.failures == 0:
            self.owner.pool.note_unresponsive(self.load, monotonic(), silent=True)
        suspected = self.owner.pool.note_lost_runs(self.load, self.starts.pending, ended=ended)
        self.loss_attributed = self.loss_attributed or bool(suspected)
        for task in lost:
            log.warning(
                "run lost",
                pool=self.owner.pool.pool,
                job=task.job.id,
                task=task.name,
                run=task.run,
                worker=self.id,
                instance=self.load.worker.instance,
                state=task.state.value,
                ran_s=self._observed_run_time_s(task),
                suspected=task in suspected,
                workers_lost=len(task.losses),
                others_lost=len(lost) - 1,
                evacuating=self.load.evacuating,
                connection_broken=self.load.connection_broken,
                reason=reason,
            )
            METRICS.runs_lost.inc({"pool": self.owner.pool.pool})

    def _observed_run_time_s(self, task: Task) -> float | None:
        """Return the time for which the worker is known to have run a task; None if unknown."""
        if task.state is not TaskState.RUNNING or not task.started_at:
            return None
        return round(max(0.0, self.lease.last_seen_at - task.started_at), 3)

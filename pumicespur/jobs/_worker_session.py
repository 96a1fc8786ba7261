"""One task for each worker of an owned pool: extend its lease, take in what it tells."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._crash_attribution import (
    QUARANTINE_POLL_TIMEOUT_S,
    count_unproven_suspects,
    note_running,
)
from pumicespur.jobs._job import TaskState
from pumicespur.jobs._journal import OwnershipLostError
from pumicespur.jobs._lease import WorkerLease
from pumicespur.jobs._stops import UnwantedRuns, mark_stalled
from pumicespur.jobs._worker_starts import WorkerStarts
from pumicespur.model import FENCED, Account, OtherLife, Refused, StartedAgain
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._lease import EarlierLeases
    from pumicespur.jobs._pool import RunKey
    from pumicespur.jobs._session_owner import SessionOwner
    from pumicespur.model import Running, TaskName, Worker

log = Logger(__name__)

RETRY_DELAY_S = 0.15
"""Pause after a call that failed; a few round trips."""

UNCONFIRMED_POLL_DELAY_S = 0.02
"""Pause before an status is asked for again that did not tell of every start; a few answers."""

LEASE_EXPIRY_MARGIN_S = 0.3
"""Time beyond the end of a lease that a worker is given to end its tasks and a late timer."""

ACTIVE_PERCENT = 100
"""Percent of a long-running task that is at work."""


class WorkerSession:
    """The owner's dealings with one life of a worker."""

    def __init__(self, owner: SessionOwner, worker: Worker, earlier: EarlierLeases) -> None:
        self.owner = owner
        self.id = worker.id
        self.load = owner.pool.add_worker(worker)
        self.lease = WorkerLease(owner.settings.workers.clock_drift, earlier)
        self.starts = WorkerStarts(self)
        self.seen = 0
        """Number of the newest end that was taken in."""
        self.recorded = 0
        """Number of the newest end that is recorded."""
        self.acknowledged = 0
        """Number up to which the worker may be told to drop its ends, see `_end_to_acknowledge`."""
        self.has_retained_ends = False
        """The last status listed ends that can't be dropped yet; the next one comes at once."""
        self.unwanted_runs = UnwantedRuns()
        self.changed = anyio.Event()
        self.failures = 0
        """Looks in a row that got no response."""
        self.gone = False
        self.restarted = False
        """The worker has another life, to which open starts were left."""
        self.to_revoke: list[RunKey] = []
        """Runs that an earlier life was told to refuse and this one has to refuse as well."""
        self.loss_attributed = False
        """Tasks carry the worker's loss, which is taken back if it answers again."""

    async def run(self) -> None:
        """Follow the worker until its life is over."""
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
        self.owner.forget(self.id)

    async def _revoke_again(self) -> None:
        """Tell a next life what it has to refuse, before anything else and until it has heard."""
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
        """Let the worker drop the ends that are recorded, once no start is open."""
        if not self.starts.unconfirmed.tasks:
            self.acknowledged = self.recorded

    def _end_to_acknowledge(self) -> int:
        """Return up to which end the worker is told to drop what it lists; 0 for none.

        A life that began meanwhile would drop its own ends under these numbers, unread. It has
        ended nothing that matters unless an open start reached it, so that none is named while
        there is one, not even what was dropped before.
        """
        return 0 if self.starts.unconfirmed.tasks else self.acknowledged

    async def _poll(self, now: float) -> bool:
        """Extend the lease and read the status; return whether to look again at once."""
        settings = self.owner.settings.workers
        wait_s = settings.watch_s if self.lease.clock_ms is not None else 0.0
        if self.load.reserved or count_unproven_suspects(self.load):
            wait_s = min(wait_s, QUARANTINE_POLL_TIMEOUT_S)
        if self.seen > self.acknowledged or self.starts.unresolved or self.failures:
            wait_s = 0.0
        # A worker that did not response is promised nothing more, so that its lease does end. What
        # answers next may be another life: it must not drop its own ends under the numbers of
        # before, nor go on for long by a deadline on a clock that it has set back.
        silent = self.failures > 0
        deadline = None if silent else self.lease.grant(now, settings.lease_s)
        last_seen = 0 if silent else self._end_to_acknowledge()
        response = await self.owner.orders.hold(
            self.load.worker, self.owner.token, last_seen, deadline, wait_s
        )
        match response:
            case Result(tag="ok", ok=status):
                self.failures = 0
                self._log_inconsistencies(status, last_seen)
                self.lease.note_clock(status.clock_ms, monotonic())
                await self._apply_status(status, now)
                return not self.starts.unresolved
            case Result(error=OtherLife()):
                self.end("another life answers")
                return True
            case Result(error=StartedAgain()):
                self.end_restarted(leased=deadline is not None)
                return True
            case Result(error=Refused(reason=reason)) if reason == FENCED:
                raise OwnershipLostError(f"worker {self.id} has seen a newer token")
            case Result(error=error):
                self.note_failure(str(error))
                return False

    def _log_inconsistencies(self, status: Account, acknowledged: int) -> None:
        """Log what a worker can't tell that is the same life as before."""
        clock_ms = self.lease.clock_ms or 0.0
        again = [end.number for end in status.ended if end.number <= acknowledged]
        if status.clock_ms >= clock_ms and not again:
            return
        log.warning(
            "worker contradicts itself",
            pool=self.owner.pool.pool,
            worker=self.id,
            clock_back_ms=round(max(0.0, clock_ms - status.clock_ms)),
            ends_told_again=len(again),
            acknowledged=acknowledged,
        )

    def note_failure(self, reason: str) -> None:
        """Note a call without an response: nothing more is given or promised for now."""
        if self.failures == 0:
            self.owner.pool.note_silence(self.load, monotonic())
        self.failures += 1
        if self.load.reachable or self.failures == 1:
            log.warning("worker lost", pool=self.owner.pool.pool, worker=self.id, reason=reason)
        self.load.reachable = False

    async def _apply_status(self, status: Account, sent_at: float) -> None:
        if not self.load.reachable:
            log.info("worker answers", pool=self.owner.pool.pool, worker=self.id)
            self.load.reachable = True
            self.owner.wake()
        if self.loss_attributed:
            # It lives: what was lost with it was cut off, and nothing brought it down.
            self.loss_attributed = False
            self.owner.pool.retract_losses(self.load)
        now = monotonic()
        for end in status.ended:
            if end.number > self.seen:
                self.seen = end.number
                self.owner.note_end(self.id, end, now)
        running = {(run.task, run.run): run for run in status.running}
        self.owner.pool.resolve_inherited(self.id, running)
        self._update_running_tasks(running, sent_at, now)
        self._note_unknown_runs(running)
        self.starts.unconfirmed.remove_confirmed(self.id, running)
        self._update_acknowledged()
        self.has_retained_ends = bool(status.ended and self.starts.unconfirmed.tasks)
        await self.starts.resolve(running, sent_at)
        for name, run in self.unwanted_runs.choose(self.owner.pool, self.load, running, now):
            self.owner.spawn(self.stop, name, run, "not wanted here")
        for task in mark_stalled(self.load, now):
            self.owner.spawn(self.stop, task.name, task.run, "it stands still")

    def _update_running_tasks(
        self, running: dict[tuple[TaskName, int], Running], sent_at: float, now: float
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
            note_running(self.load, task, sent_at - task.first_seen_at)
            if task.percent != found.percent:
                task.progressed_at = now
            task.percent = found.percent
            if found.percent == ACTIVE_PERCENT and task.stopping_run != task.run:
                task.unavailable_since = None
            task.checkpoint = found.checkpoint
            task.measurement = found.figure

    def _note_unknown_runs(self, running: Iterable[tuple[TaskName, int]]) -> None:
        """Note whether the worker carries runs whose room is not counted.

        Such are those of jobs that had ended before this process took the pool.
        """
        counted = {(task.name, task.run) for task in self.load.tasks}
        unknown = any(run not in counted for run in running)
        if self.load.has_unknown_runs and not unknown:
            self.owner.wake()
        self.load.has_unknown_runs = unknown

    async def stop(self, name: TaskName, run: int, reason: str) -> None:
        """Order a run to stop; the worker's status shows when it has."""
        log.info("stop ordered", task=name, run=run, worker=self.id, reason=reason)
        response = await self.owner.orders.stop(self.load.worker, self.owner.token, name, run)
        match response:
            case Result(error=error):
                log.warning("stop not answered", task=name, worker=self.id, reason=str(error))

    async def throttle(self, task: Task, percent: int) -> None:
        """Let a filling task work at a share of its speed."""
        run = task.run
        response = await self.owner.orders.pace(
            self.load.worker, self.owner.token, task.name, run, percent
        )
        taken = response.is_ok()
        log.info("pace ordered", task=task.name, worker=self.id, percent=percent, taken=taken)
        if taken and task.run == run:
            task.speed_percent = percent

    def _check_lease_expiry(self) -> None:
        """Let tasks wait again once the worker's lease is surely over."""
        if self.gone or self.load.reachable or self.failures == 0:
            return
        if monotonic() < self.lease.expires_at() + LEASE_EXPIRY_MARGIN_S:
            return
        if not self.load.listed:
            self.end("not listed and its lease is over")
            return
        # It may be cut off and come back, so that nothing is proved yet.
        self._lose_runs("its lease is over", ended=False)
        self.owner.pool.resolve_inherited(self.id)
        for task in list(self.load.tasks):
            self.starts.unresolved.pop(task, None)
            self.load.remove(task)
            if task.worker == self.id and not task.job.ended:
                self.starts.requeue_if_unchanged(task, task.run, "the worker's lease is over")

    def end(self, reason: str) -> None:
        """Note that this life of the worker is over, with all that it ran."""
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
        """Note that the worker has started again; open starts are left to its next life.

        `leased` tells that a deadline meant for this life may have reached the next one.
        """
        if not self.gone:
            self.restarted = True
            self.owner.note_restart(self.id, leased=leased or bool(self.starts.unconfirmed.tasks))
            self.end("it has started again")

    def _lose_runs(self, reason: str, *, ended: bool) -> None:
        """Note and log what the worker takes along, and which of it may have brought it down."""
        lost = [task for task in self.load.tasks if task.is_current_run(self.id, task.run)]
        if self.failures == 0:
            self.owner.pool.note_silence(self.load, monotonic())
        blamed = self.owner.pool.note_lost_runs(self.load, self.starts.pending, ended=ended)
        self.loss_attributed = self.loss_attributed or bool(blamed)
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
                ran_s=round(max(0.0, self.lease.last_seen_at - task.started_at), 3),
                blamed=task in blamed,
                workers_lost=len(task.losses),
                beside=len(lost) - 1,
                emptied=self.load.evacuating,
                reason=reason,
            )
            METRICS.runs_lost.inc({"pool": self.owner.pool.pool})

"""The owner of a pool: loads its state, records decisions, then sends the recorded orders."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

from pumicespur.jobs._advice_client import AdviceClient
from pumicespur.jobs._allotment_exchange import AllotmentExchange
from pumicespur.jobs._availability import tasks_to_move
from pumicespur.jobs._job import Job, Task, TaskState
from pumicespur.jobs._journal import Journal, Ownership, OwnershipLostError
from pumicespur.jobs._known_state import KnownState, start_timeout_s
from pumicespur.jobs._pool import PoolState
from pumicespur.jobs._pool_sizing import PoolSizer
from pumicespur.jobs._throttle import choose_speed_changes
from pumicespur.jobs.progress import ProgressRecorder, WriteBatch
from pumicespur.jobs.reports import MissingRuns, describe_inherited_runs, report_pool
from pumicespur.jobs.sessions import OrphanedTasks, Restarts, WorkerSession
from pumicespur.jobs.submissions import SubmissionFollower
from pumicespur.model import WorkerId, WorkerState
from pumicespur.utils import METRICS, monotonic, now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Sequence
    from typing import Any

    from anyio.abc import TaskGroup

    from pumicespur.config import NodeSettings
    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._pool import RunKey
    from pumicespur.jobs.sessions import EarlierLeases
    from pumicespur.model import EndedRun, Worker
    from pumicespur.platform import PlatformTable, WorkerOrders
    from pumicespur.schema.jobs_pb import PartRecord, PoolReport
    from pumicespur.store import Write
    from pumicespur.view import FleetView

log = Logger(__name__)

COMMIT_DELAY_S = 0.004
"""Time to gather changes into one commit; about one response time of the store."""

MAX_ALLOTMENTS_PER_COMMIT = 40
"""One row each; they leave room for as many rows of jobs."""

IDLE_COMMIT_INTERVAL_S = 1.0
"""How often an owner with nothing to record confirms that it still owns the pool."""

MAX_ROUND_INTERVAL_S = 0.25
"""Longest pause between placement rounds, for work that becomes due by time alone."""

MAX_EVACUATION_AGE_S = 3.0
"""Maximum age of the fleet leader's evacuation list; a few heartbeats."""

MAX_ENDED_WORKERS_AGE_S = 3.0
"""Maximum age of the fleet leader's report on ended workers; a few heartbeats."""

WORKERS_POLL_INTERVAL_S = 0.01
"""Pause between checks whether the list of workers is known."""

MOVE_DELAY_S = 1.5
"""Delay of moves after a takeover, so that stops ordered by the previous owner take effect."""

RETENTION_MS = 180_000
"""How long the state of an ended job is kept; callers may query it for 120 s."""


@dataclass
class Batch:
    """The writes of one commit, and the actions that follow once it is recorded."""

    rows: WriteBatch = field(default_factory=WriteBatch)
    ended: list[Job] = field(default_factory=list)
    starts: list[tuple[Task, int, WorkerId]] = field(default_factory=list)
    acknowledged: list[tuple[WorkerSession, int]] = field(default_factory=list)
    allotments: list[PartRecord] = field(default_factory=list)


class PoolOwner:
    """Runs one pool for as long as this process owns it."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        table: PlatformTable,
        orders: WorkerOrders,
        ownership: Ownership,
        earlier_leases: EarlierLeases,
        request_report: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.table = table
        self.orders = orders
        self.ownership = ownership
        self.token = ownership.token
        self.earlier_leases = earlier_leases
        self.pool = PoolState(
            ownership.pool,
            distinguishes_cold_workers=settings.workers.evacuate_ms > 0,
            spread_halls=settings.fleet.tolerated_halls > 0,
        )
        self.journal = Journal(table, ownership)
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self.restarts = Restarts(settings.workers, earlier_leases)
        self.orphans = OrphanedTasks(self.pool, self.sessions, self.restarts, earlier_leases)
        self.request_report = request_report
        """Requests an immediate report to the other processes."""
        self.sizer = PoolSizer(self.pool, request_report)
        self.recorder = ProgressRecorder(ownership.pool, settings.store.row_bytes)
        self.submissions = SubmissionFollower(
            self.pool,
            table,
            view,
            settings,
            self.wake,
            self.sizer.note_arrival,
            self.recorder,
        )
        self.allotments = AllotmentExchange(self.pool.limits, table, view, request_report)
        self.missing_runs = MissingRuns(self)
        self.start_block_reason = ""
        """Why tasks are not placed at present; empty if they are."""
        self.has_evacuated_halls = False
        """Whether data halls were evacuated when the workers were last marked."""
        self.stopping = False
        self.stopped = anyio.Event()
        self.ready = False
        self.changed = anyio.Event()
        self.tasks: TaskGroup | None = None

    def wake(self) -> None:
        """Request a round."""
        self.changed.set()

    def apply_allotment_reports(self) -> None:
        """Apply other owners' reports on allotments; request a round only if an allotment changed.

        A round for every report would keep the owner of an overloaded pool busy with placement.
        """
        if self.ready and self.allotments.apply_reports(monotonic()):
            self.wake()

    def apply_evacuated_halls(self) -> None:
        """Apply a change of the evacuated data halls, before any order that may rely on it."""
        self._mark_evacuated_halls()
        self.wake()

    def spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Run a coroutine concurrently with the rounds, for as long as the pool is owned."""
        if self.tasks is not None:
            self.tasks.start_soon(function, *arguments)

    def known_state(self) -> KnownState:
        """Return the current versions and ages of the tables that orders depend on."""
        evacuates = self.settings.workers.evacuate_ms > 0
        return KnownState(
            workers=self.view.workers_progress,
            submissions=self.submissions.table_progress,
            configuration=self.view.configuration.version,
            evacuations=self.view.evacuations_progress if evacuates else None,
        )

    def may_renew_leases(self, now: float) -> bool:
        """Whether leases may be renewed.

        They may be renewed only until `owner_silence_s` after the last confirmed commit was sent,
        as a successor relies on that, and not while stopping.
        """
        silence_s = self.settings.workers.owner_silence_s
        return not self.stopping and now - self.journal.confirmed_at < silence_s

    async def run(self) -> None:
        """Own the pool until it is lost, or released after `stop`."""
        try:
            # The reads are independent. Each waits for a few responses of the store, half a second
            # with a slow store, so they run concurrently.
            async with anyio.create_task_group() as readers:
                readers.start_soon(self.journal.load)
                readers.start_soon(self.allotments.load)
                readers.start_soon(self.submissions.load)
            self._log_takeover()
            await self._wait_for_workers()
            async with anyio.create_task_group() as self.tasks:
                self.sync_workers()
                self.ready = True
                self.tasks.start_soon(self.submissions.follow)
                self.tasks.start_soon(self.submissions.cleanup.run)
                self.tasks.start_soon(self._end_lost_runs)
                self.tasks.start_soon(AdviceClient(self.pool, self.orders).run)
                await self._run_rounds()
                self.tasks.cancel_scope.cancel()
        except* OwnershipLostError as lost:
            reason = str(lost.exceptions[0])
            METRICS.lost_pools.inc({})
            log.warning("pool lost", pool=self.pool.pool, token=self.token, reason=reason)
        finally:
            self.stopped.set()

    async def stop(self) -> None:
        """Release the pool: start no more tasks, record all changes, mark its row as released."""
        self.stopping = True
        self.wake()
        await self.stopped.wait()

    async def _wait_for_workers(self) -> None:
        """Wait for the list of workers, since tasks on unlisted workers are requeued."""
        if self.view.workers_known:
            return
        while not self.view.workers_known and not self.stopping:
            await anyio.sleep(WORKERS_POLL_INTERVAL_S)
        runs = describe_inherited_runs(self.pool, self.view.workers)
        log.info("workers known", pool=self.pool.pool, token=self.token, **runs)

    def _log_takeover(self) -> None:
        METRICS.takeovers.inc({})
        self.missing_runs.note_takeover(now_ms())
        listed = self.view.workers if self.view.workers_known else None
        leased_s = max(0.0, self.earlier_leases.until - monotonic())
        log.info(
            "pool taken",
            pool=self.pool.pool,
            token=self.token,
            jobs=len(self.pool.jobs),
            ended=len(self.submissions.ended),
            submissions_version=self.submissions.table_progress.version,
            earlier_leases_s=round(leased_s, 3),
            **describe_inherited_runs(self.pool, listed),
        )

    def sync_workers(self) -> None:
        """Open and end worker sessions to match the workers that the store lists for this pool."""
        if self.tasks is None:
            return
        listed = {w.id: w for w in self.view.workers.values() if w.pool == self.ownership.pool}
        # Ended incarnations come first: the next ones adopt their unconfirmed starts.
        for session in list(self.sessions.values()):
            if session.id not in listed:
                self._note_unlisted(session)
        current = self.restarts.current_incarnations(listed)
        self._open_sessions([worker for worker in current if worker.id not in self.sessions])
        for worker in current:
            known = self.sessions.get(worker.id)
            if known is not None:
                if known.load.worker.state is not worker.state:
                    log.info(
                        "worker drains" if worker.state is WorkerState.DRAINING else "worker ready",
                        pool=self.pool.pool,
                        worker=worker.id,
                        leaves_in_s=worker.leaves_in_s,
                    )
                self.pool.add_worker(worker)
        self._mark_evacuated_halls()
        self.wake()

    def _note_unlisted(self, session: WorkerSession) -> None:
        session.load.listed = False
        if self._has_next_incarnation(session):
            session.end_restarted(leased=True)
        elif self._has_successor(session):
            session.end("its instance runs another worker")

    def note_restart(self, worker: WorkerId, *, leased: bool) -> None:
        """Note that an incarnation of a worker has ended, even if the store still lists it."""
        self.restarts.note_ended(worker, monotonic(), leased=leased)

    def note_revoked(self, worker: WorkerId, run: RunKey) -> None:
        """Note that a run was revoked whose start order may still be executed late."""
        self.restarts.note_revoked(worker, run, monotonic())

    def _open_sessions(self, workers: Sequence[Worker]) -> None:
        """Open sessions for incarnations that have none yet."""
        if not workers:
            return
        assigned = self.pool.assigned_tasks()
        lost = self.pool.lost_workers()
        for worker in workers:
            self._open_session(worker, assigned.get(worker.name, ()), worker.id in lost)

    def _open_session(self, worker: Worker, tasks: Iterable[Task], loss_attributed: bool) -> None:
        """Open a session that adopts the starts left by an earlier owner or incarnation."""
        session = WorkerSession(self, worker, self.restarts.unknown_leases(worker, monotonic()))
        session.loss_attributed = loss_attributed
        for task in tasks:
            session.starts.adopt(task, self.ownership.acquired_at)
        session.to_revoke = self.restarts.revoked_runs(worker, monotonic())
        self.pool.adopt_inherited(session.load)
        self.sessions[worker.id] = session
        self.spawn(session.run)

    def _has_next_incarnation(self, session: WorkerSession) -> bool:
        """Whether the store lists another live incarnation of the worker, in a known pool."""
        found = self.view.workers.get(session.load.worker.name)
        pools = self.view.configuration.pools
        if found is None or found.id == session.id or self.restarts.has_ended(found.id):
            return False
        return found.pool in pools or found.pool == self.ownership.pool

    def _has_successor(self, session: WorkerSession) -> bool:
        """Whether the store lists another worker on the same instance, in a known pool."""
        instance = session.load.worker.instance
        pools = self.view.configuration.pools
        return bool(instance) and any(
            w.instance == instance and w.pool in pools for w in self.view.workers.values()
        )

    def _session_of(self, task: Task) -> WorkerSession | None:
        return self.sessions.get(task.worker) if task.worker else None

    def drop_session(self, worker: WorkerId) -> None:
        """Drop the session of an ended incarnation."""
        self.sessions.pop(worker, None)

    async def _end_lost_runs(self) -> None:
        """End the runs of workers without an answer once they are known to be over."""
        while True:
            now = monotonic()
            self._apply_ended_workers(now)
            if self.orphans.requeue_expired(now):
                self.wake()
            await anyio.sleep(MAX_ROUND_INTERVAL_S)

    def _apply_ended_workers(self, now: float) -> None:
        """Apply which workers the fleet leader has found to run on no instance."""
        ended = self.view.ended_workers(MAX_ENDED_WORKERS_AGE_S)
        if not ended.names or not self.table.clock.known:
            return
        as_of = min(now, self.table.clock.latest_before(ended.as_of_ms))
        for session in list(self.sessions.values()):
            session.end_if_over(ended.names, as_of, now)
        if self.orphans.requeue_ended(ended.names, as_of, now):
            self.wake()

    def note_end(self, worker: WorkerId, end: EndedRun, now: float) -> None:
        """Process the end of a run; it is acknowledged once it is recorded."""
        task = self.pool.find_task(end.task)
        log.info(
            "task ended",
            job=str(end.task).partition(".")[0],
            task=end.task,
            run=end.run,
            newest_run=task.run if task else None,
            worker=worker,
            how=end.outcome.value,
        )
        METRICS.task_ends.inc({"pool": self.pool.pool, "how": end.outcome.value})
        self.pool.note_end(worker, end, now)
        if task is not None and task.job.ended:
            log.info("job ended", job=task.job.id, phase=task.job.phase.name)
        self.wake()

    async def _run_rounds(self) -> None:
        """Repeat rounds: place tasks, record changes, then send the recorded orders."""
        while True:
            with anyio.move_on_after(MAX_ROUND_INTERVAL_S):
                await self.changed.wait()
            await anyio.sleep(COMMIT_DELAY_S)
            self.changed = anyio.Event()
            if not self.stopping:
                self._mark_evacuated_halls()
                self._evacuate()
                self._apply_configuration(monotonic())
                self.allotments.apply_reports(monotonic())
                if self._may_start(monotonic()):
                    self.pool.place(monotonic(), now_ms())
                self.allotments.report_new_shortfalls()
                self.sizer.update(monotonic())
                self._throttle()
            batch = self._collect_batch()
            idle_s = monotonic() - self.journal.confirmed_at
            writes = batch.rows.writes
            if writes or idle_s > IDLE_COMMIT_INTERVAL_S:
                refused = await self.journal.commit(writes)
                if refused:
                    self._withhold(batch, refused)
            self._execute_batch(batch)
            if self.stopping and not self.pool.dirty:
                await self.journal.release(self.settings.process.id)
                return

    def _apply_configuration(self, now: float) -> None:
        """Apply the configuration in force; mark limits stale once newer ones must be in force."""
        self.pool.apply_configuration(self.view.configuration)
        limits = self.pool.limits
        limits.set_accounts(self.view.configuration.accounts)
        settings = self.settings
        allowed_s = settings.process.configuration_ms / 1000 - start_timeout_s(settings.workers)
        stale = self.view.configuration_behind_s(now) > allowed_s
        if stale != limits.stale:
            limits.stale = stale
            log.warning(
                "limits out of date" if stale else "limits up to date",
                pool=self.pool.pool,
                configuration=self.view.configuration.version,
                newest=self.view.newest_known_version(),
            )

    def _may_start(self, now: float) -> bool:
        """Whether the known state is fresh enough to place tasks; leases are renewed regardless."""
        reason = self.known_state().staleness_reason(self.settings.workers, now)
        if reason != self.start_block_reason:
            self.start_block_reason = reason
            log.warning(
                "starts suspended" if reason else "starts resumed",
                pool=self.pool.pool,
                reason=reason,
                **self.known_state().describe(now),
            )
        return not reason

    def _throttle(self) -> None:
        """Throttle best-effort tasks beside tasks close to or above their latency objective.

        They speed up again once the latency is well below the objective.
        """
        for task, percent in choose_speed_changes(self.pool.loads.values(), monotonic()):
            session = self._session_of(task)
            if session is not None:
                self.spawn(session.throttle, task, percent)

    def _evacuate(self) -> None:
        """Keep new tasks off workers to be evacuated and move long-running ones away."""
        self._update_worker_evacuations()
        now = monotonic()
        if now - self.ownership.acquired_at < MOVE_DELAY_S:
            return
        for task in tasks_to_move(self.pool, now):
            session = self._session_of(task)
            if session is not None:
                task.stop_sent_at = now
                task.stopping_run = task.run
                task.unavailable_since = now
                self.spawn(session.stop, task.name, task.run, "its worker is being evacuated")

    def _update_worker_evacuations(self) -> None:
        """Update which workers are to be evacuated; report evacuated ones at once."""
        names = self.view.workers_to_evacuate(MAX_EVACUATION_AGE_S)
        now = monotonic()
        needs_report = False
        for load in self.pool.loads.values():
            wanted = None if names is None else load.worker.name in names
            if load.update_evacuation(wanted, now):
                needs_report = True
            if load.evacuating and not load.tasks and load.reported_tasks:
                needs_report = True
        if needs_report:
            self.request_report()

    def _mark_evacuated_halls(self) -> None:
        """Mark the workers in evacuated data halls, which get no new tasks."""
        halls = self.view.evacuated_halls
        if not halls and not self.has_evacuated_halls:
            return
        self.has_evacuated_halls = bool(halls)
        for load in self.pool.loads.values():
            load.hall_evacuated = load.worker.data_hall in halls

    def _collect_batch(self) -> Batch:
        """Collect changes for a commit; acknowledge ends only if it includes every change."""
        batch = Batch()
        now = now_ms()
        batch.allotments = self.pool.limits.take_changed(MAX_ALLOTMENTS_PER_COMMIT)
        batch.rows.add_all(self.allotments.write(record) for record in batch.allotments)
        recorded = self.recorder.collect(self.pool.dirty, now, batch.rows)
        batch.ended = [job for job in recorded if job.ended]
        newly_placed, self.pool.newly_placed = self.pool.newly_placed, []
        for task in dict.fromkeys(newly_placed):
            if task.state is not TaskState.PLACED or not task.worker:
                continue
            if self._is_recorded(task):
                batch.starts.append((task, task.run, task.worker))
            else:
                self.pool.newly_placed.append(task)
        if not self.pool.dirty:
            batch.acknowledged = [
                (session, session.seen)
                for session in self.sessions.values()
                if session.seen > session.recorded
            ]
        if not batch.rows.writes:
            self._drop_expired(batch, now)
        return batch

    def _is_recorded(self, task: Task) -> bool:
        """Whether the start of a task may be ordered once the collected writes are recorded."""
        members = task.group.tasks if task.spec.gang else [task]
        return all(self.recorder.is_recorded(member, self.pool.dirty) for member in members)

    def _drop_expired(self, batch: Batch, now: int) -> None:
        """Delete jobs past their retention: the submission row first, then the progress rows."""
        cleanup = self.submissions.cleanup
        for job, at in self.submissions.ended.items():
            if now - at > RETENTION_MS and job not in cleanup.removing:
                cleanup.remove(job)
        for job in cleanup.take_removed():
            self.submissions.ended.pop(job, None)
            self.recorder.remove(job)
        self.recorder.collect_removals(batch.rows)

    def _withhold(self, batch: Batch, refused: Sequence[Write]) -> None:
        """Take out of a batch what rests on rows that the store will never accept.

        The tasks of such a job keep their places until it is recorded; an ended one is stopped.
        """
        known = {*self.pool.jobs.values(), *batch.ended}
        jobs = self.recorder.note_refused(refused, known, now_ms())
        batch.ended = [job for job in batch.ended if job not in jobs]
        self.pool.newly_placed += [task for task, _, _ in batch.starts if task.job in jobs]
        batch.starts = [start for start in batch.starts if start[0].job not in jobs]
        keys = {write.key for write in refused}
        batch.allotments = [a for a in batch.allotments if self.allotments.write(a).key not in keys]
        for job in jobs:
            if job.ended:
                self._stop_tasks(job)

    def _execute_batch(self, batch: Batch) -> None:
        now = now_ms()
        # The commit may have taken long: apply what was received meanwhile before sending orders.
        self._mark_evacuated_halls()
        self._update_worker_evacuations()
        self._apply_configuration(monotonic())
        self.allotments.note_recorded(batch.allotments)
        for job in batch.ended:
            self.submissions.ended[job.id] = now
            self.pool.jobs.pop(job.id, None)
            self._stop_tasks(job)
            self.submissions.cleanup.compact(job.id, job.route, job.account)
        for session, number in batch.acknowledged:
            session.note_recorded(number)
        for task, run, worker in batch.starts:
            if worker in self.sessions:
                self.spawn(self.sessions[worker].starts.order, task, run)
            elif task.run == run and task.worker == worker:
                self.pool.requeue(task)
        if self.pool.dirty or self.pool.limits.changed:
            self.wake()

    def stop_gang(self, group: StepGroup, run: int) -> None:
        """Stop the other members of a gang after one did not start; all of them start again."""
        for task in group.tasks:
            session = self._session_of(task)
            if session is not None and task.run == run:
                self.spawn(session.stop, task.name, run, "a member of its gang did not start")

    def _stop_tasks(self, job: Job) -> None:
        for task in job.tasks:
            session = self._session_of(task)
            if session is not None:
                reason = f"job {job.phase.name.lower()}"
                self.spawn(session.stop_unwanted, task.name, task.run, reason)

    def report(self) -> PoolReport:
        """Return the pool's report to other processes."""
        report = report_pool(self.pool, self.token)
        self.sizer.fill_report(report)
        report.parts = self.allotments.report()
        report.missing_workers = list(self.orphans.names())
        return report

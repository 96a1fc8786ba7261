"""The starts ordered on one incarnation of a worker, from placement until they are resolved."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs._job import TaskState, WorkerLoss
from pumicespur.jobs._journal import OwnershipLostError
from pumicespur.jobs._known_state import start_timeout_s
from pumicespur.jobs.placement import is_ejected
from pumicespur.jobs.sessions._unconfirmed_starts import UnconfirmedStarts, UnresolvedStart
from pumicespur.model import FENCED_REASON, OtherLife, Refused, StartOrder
from pumicespur.store import AnswerLost, Unavailable
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from collections.abc import Container

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._known_state import KnownState
    from pumicespur.jobs.sessions._interfaces import Session
    from pumicespur.model import ActiveRun, TaskName

log = Logger(__name__)

NO_CAPACITY_PAUSE_S = 0.3
"""Pause in placement on a worker that refused for lack of capacity; about one stop."""

UNHEALTHY_PAUSE_S = 1.0
"""Pause in placement on a worker that refused as unhealthy, or that a start did not reach."""

MAX_CONCURRENT_STARTS = 16
"""Most starts under way to a worker; with calls of some milliseconds, thousands a second."""

NO_CAPACITY = "room"
"""Reason of a worker that refuses a start for lack of capacity."""

NO_TICKET = "ticket"
"""Reason of a worker that refuses a start without a valid admission ticket."""

UNHEALTHY = ("429", "503")
"""HTTP statuses with which an unhealthy worker refuses a start."""


StartResponse: TypeAlias = Result[None, OtherLife | Refused | Unavailable | AnswerLost]
"""A worker's response to a start, or `AnswerLost` if it is unknown whether the start arrived."""


class WorkerStarts:
    """Orders starts on one incarnation of a worker and resolves those without a response."""

    def __init__(self, session: Session) -> None:
        self.session = session
        self.owner = session.owner
        self.id = session.id
        self.load = session.load
        self.lease = session.lease
        self.unconfirmed = UnconfirmedStarts()
        self.unresolved: dict[Task, UnresolvedStart] = {}
        """Starts without a response, which later worker statuses resolve."""
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        self.pending: set[Task] = set()
        """Tasks whose start call is under way."""

    def adopt(self, task: Task, since: float) -> None:
        """Take over a start that an earlier owner or incarnation of the worker left unresolved."""
        ordered_to = task.worker if task.worker != self.id else None
        task.worker = self.id
        task.state = TaskState.STARTING
        task.inherited = True
        self.load.add(task)
        self.unconfirmed.tasks.add(task)
        self.unresolved[task] = UnresolvedStart(task.run, since, ordered_to=ordered_to)

    async def order(self, task: Task, run: int) -> None:
        """Order a placed task to start, after its placement is recorded, some tasks at a time.

        A worker that is sent hundreds of starts at once answers few of them in time, and each one
        without an answer has to be revoked before its task can start again.
        """
        try:
            # A start that need not wait is under way before anything else happens.
            self.limiter.acquire_nowait()
        except anyio.WouldBlock:
            await self.limiter.acquire()
        try:
            await self._order(task, run)
        finally:
            self.limiter.release()

    async def _order(self, task: Task, run: int) -> None:
        if (task.state, task.worker, task.run) != (TaskState.PLACED, self.id, run):
            # While the placement was recorded, an earlier run succeeded or the worker was lost.
            return
        now = monotonic()
        settings = self.owner.settings.workers
        known, state = self.owner.known_state(), self.load.worker.state
        withhold_reason = self._reason_to_withhold(task, known, now)
        if withhold_reason:
            self._withdraw(task, run, withhold_reason)
            return
        # With this deadline the worker refuses a start that arrives after the known state expired.
        deadline = self.lease.grant(now, settings.lease_s, known.valid_for_s(settings, now))
        if deadline is None:
            self._withdraw(task, run, "the worker's clock is not known")
            return
        response = await self._send(task, run, deadline)
        log.info(
            "start ordered",
            job=task.job.id,
            task=task.name,
            run=run,
            worker=self.id,
            token=self.owner.token,
            outcome=_outcome(response),
            worker_share=round(self.load.utilization(), 2),
            worker_state=state.value,
            placed_s=round(now - task.placed_at, 3),
            took_s=round(monotonic() - now, 3),
            **known.describe(now),
        )
        METRICS.task_starts.inc({"pool": self.owner.pool.pool, "outcome": _outcome(response)})
        METRICS.known_state_ages.observe({"table": "workers"}, known.workers.age_s(now))
        METRICS.known_state_ages.observe({"table": "submissions"}, known.submissions.age_s(now))
        if known.evacuations is not None:
            age_s = known.evacuations.age_s(now)
            METRICS.known_state_ages.observe({"table": "evacuations"}, age_s)
        self._apply_response(task, run, response, now)

    def _withdraw(self, task: Task, run: int, reason: str) -> None:
        METRICS.withdrawn_starts.inc({"pool": self.owner.pool.pool, "reason": reason})
        self.requeue_if_unchanged(task, run, reason)

    async def _send(self, task: Task, run: int, deadline_ms: int) -> StartResponse:
        order = StartOrder(
            task.name,
            run,
            task.job.record.payload,
            task.checkpoint,
            deadline_ms,
            task.ticket,
            start_timeout_s(self.owner.settings.workers),
        )
        task.state = TaskState.STARTING
        self.pending.add(task)
        self.unconfirmed.tasks.add(task)
        response = await self.owner.orders.start(self.load.worker, self.owner.token, order)
        self.pending.discard(task)
        return response

    def _apply_response(
        self, task: Task, run: int, response: StartResponse, sent_at: float
    ) -> None:
        if self.session.gone and (response.is_ok() or isinstance(response.error, AnswerLost)):
            if self.session.restarted:
                # The next incarnation may have accepted the start, and resolves it.
                return
            # The worker ended before this response, so the loss did not include this start yet.
            self.owner.pool.note_lost_run(
                task, WorkerLoss(self.id, self.load.instance, sole_suspect=False)
            )
        if task.run != run or task.worker != self.id:
            return
        match response:
            case Result(tag="ok"):
                self.confirm(task, sent_at)
            case Result(error=OtherLife()):
                self.requeue_if_unchanged(task, run, "another incarnation responded")
                self.session.end("another incarnation responded")
            case Result(error=Refused(reason=reason)) if reason == FENCED_REASON:
                raise OwnershipLostError(f"worker {self.id} has seen a newer token")
            case Result(error=Refused(reason=reason)):
                self._note_refusal(task, reason, sent_at)
                self.requeue_if_unchanged(task, run, f"refused: {reason}")
            case Result(error=Unavailable() as error):
                self.session.note_failure(error)
                self.requeue_if_unchanged(task, run, error.reason)
            case Result(error=AnswerLost()):
                self.unresolved[task] = UnresolvedStart(run, monotonic())

    def _reason_to_withhold(self, task: Task, known: KnownState, now: float) -> str:
        """Return why a start may no longer be ordered; empty if it may.

        While the placement was recorded, its worker may have reported that it leaves, or the
        source of such reports may have become unreachable.
        """
        if task.job.ended or self.session.gone or not self.owner.may_renew_leases(now):
            return "not ordered"
        if self.load.is_overcommitted():
            return "the worker's room has shrunk"
        if self.load.hall_evacuated:
            return "its data hall is evacuated"
        # A long-running task may be placed on a worker that is left out after failures.
        is_permitted = task.spec.long_running and is_ejected(self.load, now)
        if not self.load.can_accept_tasks(now) and not is_permitted:
            return "the worker takes no more tasks"
        if not self.load.has_label(task.spec):
            return "the worker has another label"
        if not self.owner.pool.limits.fits_allotment(task.job.account):
            return "the account's limit has fallen or may have"
        if task.job.needs_tickets and not task.group.ticket(self.id, now):
            return "its ticket is over"
        return known.staleness_reason(self.owner.settings.workers, now)

    def _note_refusal(self, task: Task, reason: str, now: float) -> None:
        if reason == NO_CAPACITY:
            self.load.paused_until = now + NO_CAPACITY_PAUSE_S
        elif reason in UNHEALTHY:
            self.load.paused_until = now + UNHEALTHY_PAUSE_S
        elif reason == NO_TICKET:
            task.group.tickets.pop(self.id, None)

    def may_arrive(self, task: Task) -> bool:
        """Whether a start is under way or unresolved, so that it may still use its capacity."""
        return task in self.pending or task in self.unresolved

    def confirm(self, task: Task, started_at: float = 0.0) -> None:
        """Note that the worker accepted a start."""
        task.state = TaskState.RUNNING
        task.started_at = started_at
        task.progressed_at = task.first_seen_at = monotonic()
        task.job.has_started = True
        if task.spec.long_running and task.unavailable_since is None:
            task.unavailable_since = task.progressed_at
        start = self.unresolved.pop(task, None)
        if start is not None and start.ordered_to is not None:
            self.owner.pool.retract_loss(task, start.ordered_to)

    def doubt_unlisted(self, running: Container[tuple[TaskName, int]], sent_at: float) -> None:
        """Treat confirmed runs as unresolved if a later status neither lists them nor their end.

        `sent_at` is when that status was requested; ends in it have been processed.
        """
        for task in self.load.tasks:
            if not task.is_current_run(self.id, task.run) or task.state is not TaskState.RUNNING:
                continue
            if task in self.unresolved or sent_at < task.first_seen_at:
                continue
            if (task.name, task.run) not in running:
                self.unresolved[task] = UnresolvedStart(task.run, monotonic())

    async def resolve(self, running: dict[tuple[TaskName, int], ActiveRun], sent_at: float) -> None:
        """Determine whether starts without a response have begun.

        A stop revokes a run, so that a start that arrives later is refused. The run may have ended
        before the stop, so only a status requested after the stop was confirmed shows that it never
        began. Then the task is requeued.

        After a stop without a response no other is sent, so that the next poll shows soon whether
        the worker still responds.
        """
        is_silent = False
        for task, start in list(self.unresolved.items()):
            if task.run != start.run or task.worker != self.id or (task.name, start.run) in running:
                self.unresolved.pop(task, None)
            elif start.revoked_at is None and sent_at >= start.since:
                is_silent = is_silent or await self._revoke(task, start)
                if is_silent:
                    # Others come first next time, so that one stop does not hold them up for good.
                    self.unresolved[task] = self.unresolved.pop(task)
            elif start.revoked_at is not None and sent_at >= start.revoked_at:
                self.unresolved.pop(task, None)
                self._note_lost_start(task, start)
                if not task.inherited:
                    # Otherwise the task may go to this worker each time, as it is hardly utilized.
                    paused_until = monotonic() + UNHEALTHY_PAUSE_S
                    self.load.paused_until = max(self.load.paused_until, paused_until)
                self.requeue_if_unchanged(task, start.run, "start did not arrive")

    def _note_lost_start(self, task: Task, start: UnresolvedStart) -> None:
        """Count the loss of the earlier incarnation to which a start was ordered."""
        earlier = start.ordered_to
        if earlier is not None and all(loss.worker != earlier for loss in task.losses):
            self.owner.pool.note_lost_run(
                task, WorkerLoss(earlier, self.load.instance, sole_suspect=False)
            )

    async def _revoke(self, task: Task, start: UnresolvedStart) -> bool:
        """Revoke a run, so that the worker refuses its start if it arrives later.

        Return whether the worker did not respond.
        """
        stopped = await self.owner.orders.stop(
            self.load.worker, self.owner.token, task.name, start.run
        )
        if stopped.is_ok():
            start.revoked_at = monotonic()
            self.owner.note_revoked(self.id, (task.name, start.run))
        match stopped:
            case Result(error=AnswerLost() | Unavailable()):
                return True
        return False

    def requeue_if_unchanged(self, task: Task, run: int, reason: str) -> None:
        """Requeue a task unless it has ended or was assigned again since."""
        if task.run != run or task.worker != self.id or task.state is TaskState.DONE:
            return
        log.info(
            "start undone",
            job=task.job.id,
            task=task.name,
            run=run,
            worker=self.id,
            reason=reason,
        )
        self.unconfirmed.tasks.discard(task)
        self.owner.pool.requeue(task)
        if task.spec.gang:
            self.owner.stop_gang(task.group, run)
        self.owner.wake()


def _outcome(response: StartResponse) -> str:
    match response:
        case Result(tag="ok"):
            return "taken"
        case Result(error=AnswerLost()):
            return AnswerLost.__name__
        case Result(error=Unavailable()):
            return Unavailable.__name__
        case Result(error=error):
            return type(error).__name__

"""The starts ordered to one life of a worker, from the decision until their fate is known."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from expression import Result
from logbook import Logger

from pumicespur.jobs._job import TaskState, WorkerLoss
from pumicespur.jobs._journal import OwnershipLostError
from pumicespur.jobs._known_state import start_timeout_s
from pumicespur.jobs._unconfirmed_starts import UnconfirmedStarts, UnresolvedStart
from pumicespur.model import FENCED, OtherLife, Refused, StartOrder
from pumicespur.store import AnswerLost, Unavailable
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from pumicespur.jobs._job import Task
    from pumicespur.jobs._known_state import KnownState
    from pumicespur.jobs._worker_session import WorkerSession
    from pumicespur.model import Running, TaskName

log = Logger(__name__)

NO_CAPACITY_PAUSE_S = 0.3
"""Time for which a worker that refused for want of room gets nothing; about one stop."""

UNHEALTHY_PAUSE_S = 1.0
"""Time for which a worker that refused as unhealthy gets nothing."""

NO_CAPACITY = "room"
NO_TICKET = "ticket"
UNHEALTHY = ("429", "503")


StartResponse: TypeAlias = Result[None, OtherLife | Refused | Unavailable | AnswerLost]
"""What a worker answers to a start, or that it is not known."""


class WorkerStarts:
    """Orders starts on one life of a worker and settles those without an response."""

    def __init__(self, session: WorkerSession) -> None:
        self.session = session
        self.owner = session.owner
        self.id = session.id
        self.load = session.load
        self.lease = session.lease
        self.unconfirmed = UnconfirmedStarts()
        self.unresolved: dict[Task, UnresolvedStart] = {}
        """Starts without an response; the worker's account settles them."""
        self.pending: set[Task] = set()
        """Tasks that are being ordered to start."""

    def adopt(self, task: Task, since: float) -> None:
        """Count a start that another process or another life of the worker was left with."""
        ordered_to = task.worker if task.worker != self.id else None
        task.worker = self.id
        task.state = TaskState.STARTING
        self.load.add(task)
        self.unconfirmed.tasks.add(task)
        self.unresolved[task] = UnresolvedStart(task.run, since, ordered_to=ordered_to)

    async def order(self, task: Task, run: int) -> None:
        """Order a placed task to start, now that its place is recorded."""
        if (task.state, task.worker, task.run) != (TaskState.PLACED, self.id, run):
            # While its place was recorded, an earlier run ended well or the worker was lost.
            return
        now = monotonic()
        settings = self.owner.settings.workers
        known, state = self.owner.known_state(), self.load.worker.state
        # The worker refuses it once what it rests on is too old, however late it arrives.
        hold_s = known.valid_for_s(settings, now)
        deadline = self.lease.grant(now, settings.lease_s, hold_s)
        against = self._reason_to_withhold(task, known, now)
        if against or deadline is None:
            self._undo(task, run, against or "the worker's clock is not known")
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
        METRICS.starts.inc({"pool": self.owner.pool.pool, "outcome": _outcome(response)})
        METRICS.belief_ages.observe({"table": "workers"}, known.workers.age_s(now))
        METRICS.belief_ages.observe({"table": "submissions"}, known.submissions.age_s(now))
        self._apply_response(task, run, response, now)

    def _undo(self, task: Task, run: int, reason: str) -> None:
        METRICS.starts_undone.inc({"pool": self.owner.pool.pool, "reason": reason})
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
                # The next life may have taken it, and settles it.
                return
            # The worker's end was known before this response, so the start was not counted then.
            self.owner.pool.note_lost_run(
                task, WorkerLoss(self.id, self.load.instance, sole_suspect=False)
            )
        if task.run != run or task.worker != self.id:
            return
        match response:
            case Result(tag="ok"):
                self.confirm(task, sent_at)
            case Result(error=OtherLife()):
                self.requeue_if_unchanged(task, run, "another life answers")
                self.session.end("another life answers")
            case Result(error=Refused(reason=reason)) if reason == FENCED:
                raise OwnershipLostError(f"worker {self.id} has seen a newer token")
            case Result(error=Refused(reason=reason)):
                self._note_refusal(task, reason, sent_at)
                self.requeue_if_unchanged(task, run, f"refused: {reason}")
            case Result(error=Unavailable(reason=reason)):
                self.session.note_failure(reason)
                self.requeue_if_unchanged(task, run, reason)
            case Result(error=AnswerLost()):
                self.unresolved[task] = UnresolvedStart(run, monotonic())

    def _reason_to_withhold(self, task: Task, known: KnownState, now: float) -> str:
        """Return what has come to speak against a start since it was decided; empty if nothing.

        While it was recorded, its worker may have said that it leaves, and whoever tells so may
        have fallen silent.
        """
        if task.job.ended or self.session.gone or not self.owner.may_renew_leases(now):
            return "not ordered"
        if self.load.is_overcommitted():
            return "the worker's room has shrunk"
        if not self.load.accepts_tasks(now):
            return "the worker takes no more tasks"
        if not self.load.has_label(task.spec):
            return "the worker has another label"
        if not self.owner.pool.limits.fits_allotment(task.job.account):
            return "the account's limit has fallen or may have"
        if task.job.advised and not task.group.ticket(self.id, now):
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
        """Whether a start is on its way or its fate is unknown: it may still take its room."""
        return task in self.pending or task in self.unresolved

    def confirm(self, task: Task, started_at: float = 0.0) -> None:
        """Take in that a start was taken."""
        task.state = TaskState.RUNNING
        task.started_at = started_at
        task.progressed_at = task.first_seen_at = monotonic()
        task.job.begun = True
        if task.spec.long_running and task.unavailable_since is None:
            task.unavailable_since = task.progressed_at
        start = self.unresolved.pop(task, None)
        if start is not None and start.ordered_to is not None:
            self.owner.pool.retract_loss(task, start.ordered_to)

    async def resolve(self, running: dict[tuple[TaskName, int], Running], sent_at: float) -> None:
        """Find out what became of starts that got no response.

        A stop keeps a run that has not arrived from starting later. The run may have ended
        before the stop, so only an account asked for after the stop was answered tells that it
        never began; then the task may start elsewhere.
        """
        for task, start in list(self.unresolved.items()):
            if task.run != start.run or task.worker != self.id or (task.name, start.run) in running:
                self.unresolved.pop(task, None)
            elif start.revoked_at is None and sent_at >= start.since:
                await self._revoke(task, start)
            elif start.revoked_at is not None and sent_at >= start.revoked_at:
                self.unresolved.pop(task, None)
                self._note_lost_start(task, start)
                self.requeue_if_unchanged(task, start.run, "start did not arrive")

    def _note_lost_start(self, task: Task, start: UnresolvedStart) -> None:
        """Count the loss of the earlier life with a start that was meant for it."""
        life = start.ordered_to
        if life is not None and all(loss.worker != life for loss in task.losses):
            self.owner.pool.note_lost_run(
                task, WorkerLoss(life, self.load.instance, sole_suspect=False)
            )

    async def _revoke(self, task: Task, start: UnresolvedStart) -> None:
        """Keep a run that may not have arrived yet from starting."""
        stopped = await self.owner.orders.stop(
            self.load.worker, self.owner.token, task.name, start.run
        )
        if stopped.is_ok():
            start.revoked_at = monotonic()
            self.owner.note_revoked(self.id, (task.name, start.run))

    def requeue_if_unchanged(self, task: Task, run: int, reason: str) -> None:
        """Let a task wait again unless it has gone on since."""
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
    return "taken" if response.is_ok() else type(response.error).__name__

"""The starts ordered to one life of a worker, from the decision until their fate is known."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

from expression import Result
from logbook import Logger

from pumicespur.jobs._beliefs import start_timeout_s
from pumicespur.jobs._job import Loss, TaskState
from pumicespur.jobs._journal import OwnershipLostError
from pumicespur.jobs._starts import OpenStarts, UnansweredStart
from pumicespur.model import FENCED, OtherLife, Refused, StartOrder
from pumicespur.store import AnswerLost, Unavailable
from pumicespur.utils import METRICS, monotonic

if TYPE_CHECKING:
    from pumicespur.jobs._beliefs import Beliefs
    from pumicespur.jobs._job import Task
    from pumicespur.jobs._watch import WorkerWatch
    from pumicespur.model import Running, TaskName

log = Logger(__name__)

FULL_PAUSE_S = 0.3
"""Time for which a worker that refused for want of room gets nothing; about one stop."""

SICK_PAUSE_S = 1.0
"""Time for which a worker that refused as unhealthy gets nothing."""

FULL = "room"
NO_TICKET = "ticket"
SICK = ("429", "503")


StartAnswer: TypeAlias = Result[None, OtherLife | Refused | Unavailable | AnswerLost]
"""What a worker answers to a start, or that it is not known."""


class WorkerStarts:
    """Orders starts on one life of a worker and settles those without an answer."""

    def __init__(self, watch: WorkerWatch) -> None:
        self.watch = watch
        self.owner = watch.owner
        self.id = watch.id
        self.load = watch.load
        self.lease = watch.lease
        self.open = OpenStarts()
        self.unsettled: dict[Task, UnansweredStart] = {}
        """Starts without an answer; the worker's account settles them."""
        self.pending: set[Task] = set()
        """Tasks that are being ordered to start."""

    def adopt(self, task: Task, since: float) -> None:
        """Count a start that another process or another life of the worker was left with."""
        meant_for = task.worker if task.worker != self.id else None
        task.worker = self.id
        task.state = TaskState.STARTING
        self.load.add(task)
        self.open.tasks.add(task)
        self.unsettled[task] = UnansweredStart(task.run, since, meant_for=meant_for)

    async def order(self, task: Task, run: int) -> None:
        """Order a placed task to start, now that its place is recorded."""
        if (task.state, task.worker, task.run) != (TaskState.PLACED, self.id, run):
            # While its place was recorded, an earlier run ended well or the worker was lost.
            return
        now = monotonic()
        settings = self.owner.settings.workers
        beliefs, state = self.owner.beliefs(), self.load.worker.state
        # The worker refuses it once what it rests on is too old, however late it arrives.
        hold_s = beliefs.hold_for_s(settings, now)
        deadline = self.lease.grant(now, settings.lease_s, hold_s)
        against = self._reason_against(task, beliefs, now)
        if against or deadline is None:
            self._undo(task, run, against or "the worker's clock is not known")
            return
        answer = await self._send(task, run, deadline)
        log.info(
            "start ordered",
            job=task.job.id,
            task=task.name,
            run=run,
            worker=self.id,
            token=self.owner.token,
            outcome=_outcome(answer),
            worker_share=round(self.load.share(), 2),
            worker_state=state.value,
            placed_s=round(now - task.placed_at, 3),
            took_s=round(monotonic() - now, 3),
            **beliefs.describe(now),
        )
        METRICS.starts.inc({"pool": self.owner.pool.pool, "outcome": _outcome(answer)})
        METRICS.belief_ages.observe({"table": "workers"}, beliefs.workers.age_s(now))
        METRICS.belief_ages.observe({"table": "submissions"}, beliefs.submissions.age_s(now))
        self._take_answer(task, run, answer, now)

    def _undo(self, task: Task, run: int, reason: str) -> None:
        METRICS.starts_undone.inc({"pool": self.owner.pool.pool, "reason": reason})
        self.free_if_same(task, run, reason)

    async def _send(self, task: Task, run: int, deadline_ms: int) -> StartAnswer:
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
        self.open.tasks.add(task)
        answer = await self.owner.orders.start(self.load.worker, self.owner.token, order)
        self.pending.discard(task)
        return answer

    def _take_answer(self, task: Task, run: int, answer: StartAnswer, sent_at: float) -> None:
        if self.watch.gone and (answer.is_ok() or isinstance(answer.error, AnswerLost)):
            if self.watch.restarted:
                # The next life may have taken it, and settles it.
                return
            # The worker's end was known before this answer, so the start was not counted then.
            self.owner.pool.lose_run(task, Loss(self.id, self.load.instance, alone=False))
        if task.run != run or task.worker != self.id:
            return
        match answer:
            case Result(tag="ok"):
                self.confirm(task, sent_at)
            case Result(error=OtherLife()):
                self.free_if_same(task, run, "another life answers")
                self.watch.end("another life answers")
            case Result(error=Refused(reason=reason)) if reason == FENCED:
                raise OwnershipLostError(f"worker {self.id} has seen a newer token")
            case Result(error=Refused(reason=reason)):
                self._note_refusal(task, reason, sent_at)
                self.free_if_same(task, run, f"refused: {reason}")
            case Result(error=Unavailable(reason=reason)):
                self.watch.note_failure(reason)
                self.free_if_same(task, run, reason)
            case Result(error=AnswerLost()):
                self.unsettled[task] = UnansweredStart(run, monotonic())

    def _reason_against(self, task: Task, beliefs: Beliefs, now: float) -> str:
        """Return what has come to speak against a start since it was decided; empty if nothing.

        While it was recorded, its worker may have said that it leaves, and whoever tells so may
        have fallen silent.
        """
        if task.job.ended or self.watch.gone or not self.owner.may_extend(now):
            return "not ordered"
        if self.load.over_full():
            return "the worker's room has shrunk"
        if not self.load.open(now):
            return "the worker takes no more tasks"
        if not self.load.has_label(task.spec):
            return "the worker has another label"
        if not self.owner.pool.limits.within(task.job.account):
            return "the account's limit has fallen or may have"
        if task.job.advised and not task.group.ticket(self.id, now):
            return "its ticket is over"
        return beliefs.outdated(self.owner.settings.workers, now)

    def _note_refusal(self, task: Task, reason: str, now: float) -> None:
        if reason == FULL:
            self.load.avoid_until = now + FULL_PAUSE_S
        elif reason in SICK:
            self.load.avoid_until = now + SICK_PAUSE_S
        elif reason == NO_TICKET:
            task.group.tickets.pop(self.id, None)

    def may_arrive(self, task: Task) -> bool:
        """Whether a start is on its way or its fate is unknown: it may still take its room."""
        return task in self.pending or task in self.unsettled

    def confirm(self, task: Task, started_at: float = 0.0) -> None:
        """Take in that a start was taken."""
        task.state = TaskState.RUNNING
        task.started_at = started_at
        task.progressed_at = task.seen_at = monotonic()
        task.job.begun = True
        if task.spec.long_running and task.away_since is None:
            task.away_since = task.progressed_at
        start = self.unsettled.pop(task, None)
        if start is not None and start.meant_for is not None:
            self.owner.pool.forgive_task(task, start.meant_for)

    async def settle(self, running: dict[tuple[TaskName, int], Running], sent_at: float) -> None:
        """Find out what became of starts that got no answer.

        A stop keeps a run that has not arrived from starting later. The run may have ended
        before the stop, so only an account asked for after the stop was answered tells that it
        never began; then the task may start elsewhere.
        """
        for task, start in list(self.unsettled.items()):
            if task.run != start.run or task.worker != self.id or (task.name, start.run) in running:
                self.unsettled.pop(task, None)
            elif start.barred_at is None and sent_at >= start.since:
                await self._bar(task, start)
            elif start.barred_at is not None and sent_at >= start.barred_at:
                self.unsettled.pop(task, None)
                self._note_lost_start(task, start)
                self.free_if_same(task, start.run, "start did not arrive")

    def _note_lost_start(self, task: Task, start: UnansweredStart) -> None:
        """Count the loss of the earlier life with a start that was meant for it."""
        life = start.meant_for
        if life is not None and all(loss.worker != life for loss in task.losses):
            self.owner.pool.lose_run(task, Loss(life, self.load.instance, alone=False))

    async def _bar(self, task: Task, start: UnansweredStart) -> None:
        """Keep a run that may not have arrived yet from starting."""
        stopped = await self.owner.orders.stop(
            self.load.worker, self.owner.token, task.name, start.run
        )
        if stopped.is_ok():
            start.barred_at = monotonic()
            self.owner.note_barred(self.id, (task.name, start.run))

    def free_if_same(self, task: Task, run: int, reason: str) -> None:
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
        self.open.tasks.discard(task)
        self.owner.pool.free(task)
        if task.spec.gang:
            self.owner.stop_gang(task.group, run)
        self.owner.wake()


def _outcome(answer: StartAnswer) -> str:
    return "taken" if answer.is_ok() else type(answer.error).__name__

"""Tasks and runs on a worker without a session, until these runs are certainly over.

They are inherited from an earlier owner, or their worker restarted and has not been seen since. No
answer and no broken connection will tell what became of them, so each has a time at which it is
requeued, or counts no more if its job has ended.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.jobs._job import WorkerLoss
from pumicespur.model import InstanceId, WorkerName, worker_name

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

    from pumicespur.jobs._job import Task
    from pumicespur.jobs._pool import PoolState
    from pumicespur.jobs.sessions._lease import EarlierLeases
    from pumicespur.jobs.sessions._restarts import Restarts
    from pumicespur.model import WorkerId

log = Logger(__name__)


class OrphanedTasks:
    """The tasks and inherited runs of a pool whose workers have no session, and since when."""

    def __init__(
        self,
        pool: PoolState,
        sessions: Container[WorkerId],
        restarts: Restarts,
        earlier: EarlierLeases,
    ) -> None:
        self.pool = pool
        self.sessions = sessions
        self.restarts = restarts
        self.earlier = earlier
        self.since: dict[WorkerId, float] = {}
        """When each worker was first found to have tasks or inherited runs, and no session
        (monotonic seconds)."""
        self.inherited: frozenset[WorkerId] | None = None
        """The workers found at the takeover that have had no session since; None before that."""

    def names(self) -> list[WorkerName]:
        """Return the workers with tasks or inherited runs whose end nobody here will notice.

        They have no session, or one with inherited runs that does not reach them.
        """
        unreachable = [worker for worker in self.pool.inherited if self._is_unreachable(worker)]
        return sorted({worker_name(worker) for worker in (*self.since, *unreachable)})

    def _is_unreachable(self, worker: WorkerId) -> bool:
        load = self.pool.loads.get(worker)
        return load is not None and not load.reachable

    def requeue_expired(self, now: float) -> bool:
        """Requeue tasks whose workers hold no lease any more; return whether there were any."""
        found = self._update(now)
        expired = [worker for worker in found if now > self._leased_until(worker)]
        self.restarts.take_expired(now)
        self._requeue(found, expired, "its worker is not listed and all leases have expired")
        if now > self.earlier.until:
            for worker in [w for w in self.pool.inherited if w not in self.sessions]:
                self.pool.resolve_inherited(worker)
        return bool(expired)

    def requeue_ended(self, ended: Container[WorkerName], as_of: float, now: float) -> bool:
        """Requeue tasks of workers that had ended by a time; return whether there were any.

        Only workers that were found without a session before `as_of` (monotonic seconds) are
        judged, so that a later incarnation is not taken for one that has ended.
        """
        found = self._update(now)
        over = [w for w in found if worker_name(w) in ended and self.since[w] <= as_of]
        for worker in over:
            for task in found[worker]:
                # The start may still be on its way to a later incarnation at the same address.
                self.restarts.note_revoked(worker, (task.name, task.run), now)
        self._requeue(found, over, "its worker has ended")
        return bool(over)

    def _update(self, now: float) -> dict[WorkerId, list[Task]]:
        """Return the tasks by worker, with none for workers that have only inherited runs.

        Note since when each worker has had no session.
        """
        found: dict[WorkerId, list[Task]] = defaultdict(list)
        for job in self.pool.jobs.values():
            if job.ended:
                continue
            for task in job.tasks:
                if task.worker and task.worker not in self.sessions:
                    found[task.worker].append(task)
        for worker in self.pool.inherited:
            if worker not in self.sessions:
                # Its runs may all be of jobs that have ended; they count against account limits.
                found.setdefault(worker, [])
        self.since = {worker: self.since.get(worker, now) for worker in found}
        still = found.keys() if self.inherited is None else self.inherited & found.keys()
        self.inherited = frozenset(still)
        return found

    def _leased_until(self, worker: WorkerId) -> float:
        """Return when a worker without a session has certainly ended its runs."""
        ended_at = self.restarts.ended.get(worker)
        if ended_at is not None:
            return ended_at + self.restarts.max_lease_s()
        if self.inherited and worker in self.inherited:
            return self.earlier.until
        return max(self.earlier.until, self.since[worker] + self.restarts.max_lease_s())

    def _requeue(
        self, found: dict[WorkerId, list[Task]], workers: Sequence[WorkerId], reason: str
    ) -> None:
        for worker in workers:
            del self.since[worker]
            for task in found[worker]:
                self._requeue_task(task, worker, reason)
            self.pool.resolve_inherited(worker)

    def _requeue_task(self, task: Task, worker: WorkerId, reason: str) -> None:
        log.info("start undone", job=task.job.id, task=task.name, worker=worker, reason=reason)
        instance = InstanceId(worker_name(worker))
        self.pool.note_lost_run(task, WorkerLoss(worker, instance, sole_suspect=False))
        self.pool.requeue(task)

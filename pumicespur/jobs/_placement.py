"""Which worker runs which task: urgent and early work first, near its data, spread out."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.jobs._crashes import admits, count_suspects, is_tried_alone
from pumicespur.jobs._job import Standing, TaskState

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pumicespur.jobs._job import Job, StepGroup, Task
    from pumicespur.jobs._limits import PoolLimits
    from pumicespur.jobs._load import WorkerLoad
    from pumicespur.model import Rack

PATIENT_WAIT_MS = 20_000.0
"""Lead that one level of priority gives; work that is later than this goes first all the same."""


LATE_WAIT_MS = 10_000.0
"""Lead that work gets which can still be in time before work that can't; about a peak's length.
Without it, a peak makes every job a little late instead of some of them very late."""


BEYOND_WAIT_MS = 10_000.0
"""Lead that other work gets before what an account sends beyond its weight, as before late work:
a peak's length. After that it goes first all the same, so that it is served."""


LATE_SHARE = 0.5
"""Share of the expected rest of a job that must fit before its time; what callers declare and
what is learnt from other tasks are rough."""


def order_groups(jobs: Iterable[Job], now_ms: float) -> list[StepGroup]:
    """Return the groups whose turn has come, the most pressing first."""
    groups = [group for job in jobs if not job.ended for group in job.ready_groups(now_ms)]
    groups = [group for group in groups if group.waiting()]
    return sorted(groups, key=lambda group: _urgency(group, now_ms))


def _urgency(group: StepGroup, now_ms: float) -> tuple[float, str, int, int]:
    job = group.job
    deadline = job.deadline_ms + job.priority * PATIENT_WAIT_MS
    if is_late(group, now_ms):
        deadline += LATE_WAIT_MS
    if job.beyond_share:
        deadline += BEYOND_WAIT_MS
    return (deadline, job.id, group.repeat, group.number)


def is_late(group: StepGroup, now_ms: float) -> bool:
    """Whether a job can't be completed in time any more; long-running tasks have no such time."""
    if group.spec.long_running or group.due_ms:
        return False
    return now_ms + LATE_SHARE * group.job.rest_ms[group.number] > group.job.deadline_ms


def place_group(
    group: StepGroup, loads: Sequence[WorkerLoad], limits: PoolLimits, now: float
) -> list[Task]:
    """Choose workers for a group's waiting tasks; gangs are placed whole or not at all."""
    placed: list[Task] = []
    waiting = group.waiting()
    account = group.job.account
    together = len(group.tasks) if group.spec.gang else 1
    if len(waiting) < together:
        return []
    # Once an earlier group of the account has shown that there is room, nobody looks again.
    blocked = account in limits.lacking
    if blocked and not limits.allows(account, group.spec, now, together):
        limits.note_blocked(account, group.spec, len(waiting), together)
        return []
    for task in waiting:
        load = choose_worker(task, loads, now)
        if load is None and is_tried_alone(task, now):
            continue
        if load is None:
            break
        left = together - len(placed) if group.spec.gang else 1
        if not limits.allows(account, group.spec, now, left):
            limits.note_blocked(account, group.spec, len(waiting) - len(placed), left)
            break
        put(task, load)
        task.ticket = group.ticket(load.worker.id, now)
        placed.append(task)
    if group.spec.gang and len(placed) < len(group.tasks):
        for task in placed:
            take_back(task, loads)
        return []
    if group.spec.gang:
        share_run(group)
    return placed


def share_run(group: StepGroup) -> None:
    """Give all members of a gang the same run number and checkpoint."""
    run = max(task.run for task in group.tasks)
    for task in group.tasks:
        task.run = run
        task.checkpoint = group.gang_checkpoint


def put(task: Task, load: WorkerLoad) -> None:
    """Assign a task to a worker under a new run number."""
    task.state = TaskState.PLACED
    task.run += 1
    task.standing = Standing.NEW
    task.on_trial = load.reserved
    task.trial_asked_at = None
    task.worker = load.worker.id
    load.add(task)
    if task.spec.same_rack and task.group.rack is None:
        task.group.rack = load.worker.rack


def take_back(task: Task, loads: Sequence[WorkerLoad]) -> None:
    """Undo an assignment that was neither recorded nor ordered."""
    for load in loads:
        load.remove(task)
    task.run -= 1
    task.release()
    if not any(t.worker for t in task.group.tasks):
        task.group.rack = None


def choose_worker(task: Task, loads: Sequence[WorkerLoad], now: float) -> WorkerLoad | None:
    """Pick the best worker for a waiting task, or None if none has room."""
    group = task.group
    spec = group.spec
    able = [load for load in loads if load.takes(group, now) and admits(load, task, now)]
    if group.job.advised:
        able = [load for load in able if group.ticket(load.worker.id, now)]
    if not able:
        return None
    if spec.same_rack:
        return _in_one_rack(group, able)
    if spec.long_running:
        racks = Counter(load.worker.rack for load in loads for t in load.tasks if t.group is group)
        return min(able, key=lambda load: (racks[load.worker.rack], load.share(), load.worker.id))
    if task.losses:
        return min(able, key=lambda load: (count_suspects(load), load.share(), load.worker.id))
    # The fullest worker first: whole workers stay idle, which can change pool at once. Spread
    # evenly, a peak's last tasks kept every one of its instances for seconds. Filling tasks ask for
    # no room of their own and are spread.
    sign = 1 if spec.fills else -1
    return min(able, key=lambda load: (_far(group, load), sign * load.share(), load.worker.id))


def _far(group: StepGroup, load: WorkerLoad) -> bool:
    return bool(group.spec.data_rack) and load.worker.rack != group.spec.data_rack


def _in_one_rack(group: StepGroup, able: list[WorkerLoad]) -> WorkerLoad | None:
    """Keep a group in the rack of its first task; the emptiest rack is taken first."""
    if group.rack is not None:
        able = [load for load in able if load.worker.rack == group.rack]
        return min(able, key=lambda load: (load.share(), load.worker.id), default=None)
    room: Counter[Rack] = Counter()
    for load in able:
        room[load.worker.rack] += load.worker.capacity.cpu_millis - load.cpu_millis
    group.rack = max(sorted(room), key=lambda name: (name == group.spec.data_rack, room[name]))
    return _in_one_rack(group, able)

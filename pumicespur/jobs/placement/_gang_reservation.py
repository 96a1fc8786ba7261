"""Reservation of workers for a gang that doesn't fit yet, so that smaller work lets it start.

One gang at a time has a reservation: the first whose turn has come, as no more urgent step waits
for room, and that can't start now, but could once the short tasks of the pool have ended. Its
workers get only tasks that are expected to end before it can start; all other workers get any. This
is backfilling with one reservation, known as EASY (D. Lifka, "The ANL/IBM SP scheduling system",
1995). Expected times are rough, so a `HoldTimer` bounds the reservation, and a gang that did not
start during one goes behind the others.

A gang that couldn't start even then, since it is wider than its pool or since long-running tasks
fill that, reserves nothing.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._job import TaskState
from pumicespur.jobs._worker_load import add_demand, count_fitting
from pumicespur.jobs.placement._hold_timer import HoldTimer, is_idle
from pumicespur.model import Capacity

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pumicespur.jobs._job import StepGroup, Task
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import Rack, WorkerId

REVIEW_INTERVAL_S = 0.25
"""Time for which a reservation is kept before its workers are chosen again."""


@dataclass(frozen=True)
class Reservation:
    """Workers reserved for a gang, and when it is expected to start, in monotonic seconds."""

    group: StepGroup
    workers: frozenset[WorkerId]
    start_at: float

    def permits(self, load: WorkerLoad, group: StepGroup, now: float) -> bool:
        """Whether another group's task may start on a worker: it ends before the gang starts."""
        if load.worker.id not in self.workers or group is self.group:
            return True
        spec = group.spec
        return (
            not spec.long_running
            and spec.estimated_ms > 0
            and now + spec.estimated_ms / 1000 <= self.start_at
        )


@dataclass
class GangReservations:
    """The reservation of a pool, from round to round."""

    timer: HoldTimer = field(default_factory=HoldTimer)
    task_timers: dict[Task, HoldTimer] = field(default_factory=dict)
    """Bounds the holds of workers for single long-running tasks."""
    idle_timer: HoldTimer = field(default_factory=lambda: HoldTimer(max_hold_s=math.inf))
    """Bounds the holds for all of them together while the pool is idle."""
    current: Reservation | None = None
    planned_at: float = float("-inf")
    """Monotonic time at which the workers were last chosen, in seconds."""
    refused: list[StepGroup] = field(default_factory=list)
    """Gangs whose turn came in the last round and that did not fit, in order."""
    ended_in_vain: dict[StepGroup, float] = field(default_factory=dict)
    """Gangs that did not start during their reservation, with the time of its end."""

    def begin_round(
        self, groups: Iterable[StepGroup], loads: Sequence[WorkerLoad], now: float
    ) -> Reservation | None:
        """Return the reservation that holds in this round, if any."""
        self.task_timers = {
            task: timer
            for task, timer in self.task_timers.items()
            if task.state is TaskState.WAITING and not task.job.ended
        }
        waiting = {group for group in groups if group.spec.gang}
        self.ended_in_vain = {g: at for g, at in self.ended_in_vain.items() if g in waiting}
        if self.current is not None and self.current.group not in waiting:
            self.current = None
            self.timer.end()
        self._update([group for group in self.refused if group in waiting], loads, now)
        self.refused = []
        if self.current is not None and not self.timer.request(now, idle=is_idle(loads)):
            self.ended_in_vain[self.current.group] = now
            self.current = None
        return self.current

    def may_hold_worker(self, task: Task, loads: Iterable[WorkerLoad], now: float) -> bool:
        """Whether a worker may be held in this round for a long-running task that lost its run."""
        timer = self.task_timers.setdefault(task, HoldTimer())
        may_hold = self.idle_timer.request(now, idle=is_idle(loads))
        return timer.request(now, idle=False) and may_hold

    def note_started(self, task: Task) -> None:
        """Note that a long-running task that lost its run has got a worker."""
        self.task_timers.pop(task, None)
        self.idle_timer.end()

    def _update(
        self, refused: Iterable[StepGroup], loads: Sequence[WorkerLoad], now: float
    ) -> None:
        """Choose the gang with the reservation if none has it, or its workers if it is time to."""
        if now < self.timer.paused_until or now - self.planned_at < REVIEW_INTERVAL_S:
            return
        if self.current is not None:
            gangs = [self.current.group]
        else:
            gangs = sorted(refused, key=lambda g: self.ended_in_vain.get(g, float("-inf")))
        plans = (plan_reservation(group, loads, now) for group in gangs)
        self.current = next((plan for plan in plans if plan is not None), None)
        if gangs:
            self.planned_at = now


def can_start_later(group: StepGroup, loads: Iterable[WorkerLoad]) -> bool:
    """Whether a step's tasks fit on the open workers once all tasks have ended that will end.

    All members of a gang must fit at once; of any other step, one task.
    """
    needed = len(group.tasks) if group.spec.gang else 1
    slots: defaultdict[Rack | None, int] = defaultdict(int)
    for load in loads:
        if not _may_take(load, group):
            continue
        place = _place_of(load, group)
        slots[place] += load.slots_beside_long_running(group)
        if slots[place] >= needed:
            return True
    return False


def plan_reservation(
    group: StepGroup, loads: Sequence[WorkerLoad], now: float
) -> Reservation | None:
    """Return the workers on which a gang can soonest start; None if it can't start on any."""
    needed = len(group.tasks)
    if not can_start_later(group, loads):
        return None
    slots: defaultdict[Rack | None, list[tuple[float, WorkerId]]] = defaultdict(list)
    for load in loads:
        if _may_take(load, group):
            times = _slot_times(load, group, now, needed)
            slots[_place_of(load, group)] += [(at, load.worker.id) for at in times]
    chosen = [sorted(found)[:needed] for found in slots.values() if len(found) >= needed]
    if not chosen:
        return None
    soonest = min(chosen, key=lambda found: found[-1][0])
    workers = frozenset(worker for _, worker in soonest)
    return Reservation(group, workers, soonest[-1][0])


def _may_take(load: WorkerLoad, group: StepGroup) -> bool:
    in_rack = not group.spec.same_rack or group.permits_rack(load.worker.rack)
    return in_rack and load.is_open and load.has_label(group.spec)


def _place_of(load: WorkerLoad, group: StepGroup) -> Rack | None:
    """Return the rack of a worker if the step has to stay in one; slots count by it."""
    stays = group.spec.same_rack and not group.spans_racks
    return load.worker.rack if stays else None


def _slot_times(load: WorkerLoad, group: StepGroup, now: float, needed: int) -> list[float]:
    """Return when a worker is expected to have room for one, two, … members, in order."""
    capacity = load.worker.capacity
    free = Capacity(
        capacity.cpu_millis - load.cpu_millis,
        capacity.memory_mb - load.memory_mb,
        capacity.accelerators - load.accelerators,
    )
    times = [now] * min(needed, count_fitting(group, free))
    for task in sorted(load.ending_tasks(), key=_expected_end):
        if len(times) >= needed:
            break
        free = add_demand(free, task.spec)
        slots = min(needed, count_fitting(group, free))
        times += [max(now, _expected_end(task))] * (slots - len(times))
    return times


def _expected_end(task: Task) -> float:
    """Return when a task is expected to end; one without an estimate may end at any time."""
    return task.placed_at + task.spec.estimated_ms / 1000

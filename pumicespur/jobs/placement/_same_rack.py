"""The rack of a step that stays in one rack, and when the step may leave it.

Such a step runs faster in one rack, but it also runs in several. So it leaves a rack that can't
serve it, and it waits there for a short time only while there is room elsewhere.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from pumicespur.jobs.placement._held_workers import must_run_again

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import Rack, WorkerId

MAX_RACK_WAIT_S = 2.0
"""Longest wait of a step for one rack while there is room in others. Jobs may be without a run for
3 s beside free capacity, less a round, a commit and a call."""

MAX_LOST_RUN_WAIT_S = 1.0
"""The same for long-running tasks that lost their runs. They may be without a run for 6 s, of which
it may take 4 s until their end is known."""


class _Racks:
    """The workers of a pool by rack, in one round."""

    def __init__(self, loads: Mapping[WorkerId, WorkerLoad], now: float) -> None:
        self.loads = loads
        self.now = now
        self.by_rack: defaultdict[Rack, list[WorkerLoad]] = defaultdict(list)
        for load in loads.values():
            self.by_rack[load.worker.rack].append(load)
        self.with_room = [
            load
            for load in loads.values()
            if load.can_accept_tasks(now) and load.utilization() < 1.0
        ]

    def free_slots(self, group: StepGroup) -> Counter[Rack]:
        """Return how many more tasks of a step fit in each rack now."""
        slots: Counter[Rack] = Counter()
        for load in self.with_room:
            if load.can_take(group, self.now):
                slots[load.worker.rack] += load.free_slots(group)
        return slots


def review_racks(
    groups: Iterable[StepGroup], loads: Mapping[WorkerId, WorkerLoad], now: float
) -> None:
    """Let steps that stay in one rack leave a rack that can't serve them, or that is full too long.

    A rack without an open worker for a step can't serve it. One that is too small for the whole
    step can't either if its tasks run together or for good: some would wait without end. Neither
    can one that long-running tasks of other steps fill.
    """
    bound = [group for group in groups if group.spec.same_rack]
    if not bound:
        return
    racks = _Racks(loads, now)
    for group in bound:
        _review_rack(group, racks)


def _review_rack(group: StepGroup, racks: _Racks) -> None:
    waits_too_long = _waits_too_long(group, racks)
    can_serve = group.rack is not None and _can_serve(group, racks.by_rack.get(group.rack, ()))
    if can_serve and not waits_too_long:
        group.spans_racks = False
        return
    assigned = [racks.loads.get(task.worker) for task in group.tasks if task.worker is not None]
    if not assigned:
        group.rack = None
        fits_in_one = any(_can_serve(group, rack) for rack in racks.by_rack.values())
        if waits_too_long:
            fits_in_one = max(racks.free_slots(group).values()) >= _tasks_to_start(group)
        group.spans_racks = not fits_in_one
    elif any(load is not None and load.reachable for load in assigned):
        # While all of them are silent, it is open whether the whole step is to move.
        group.spans_racks = group.rack is not None


def _waits_too_long(group: StepGroup, racks: _Racks) -> bool:
    """Whether a step has waited for one rack for so long beside room in others that it leaves."""
    if not _is_kept_waiting(group, racks):
        group.rack_full_since = None
        return False
    if group.rack_full_since is None:
        group.rack_full_since = racks.now
    lost_runs = any(must_run_again(task) for task in group.waiting())
    allowed_s = MAX_LOST_RUN_WAIT_S if lost_runs else MAX_RACK_WAIT_S
    return racks.now - group.rack_full_since >= allowed_s


def _is_kept_waiting(group: StepGroup, racks: _Racks) -> bool:
    """Whether no rack that the step may use has room for it, but several racks together have.

    A step of short tasks goes on in its rack as long as anything of its job runs: spread over racks
    all its tasks would take longer.
    """
    if not group.spec.long_running and any(task.worker for task in group.job.tasks):
        return False
    slots = racks.free_slots(group)
    in_one_rack = max(slots.values(), default=0) if group.rack is None else slots[group.rack]
    return in_one_rack < _tasks_to_start(group) <= slots.total()


def _tasks_to_start(group: StepGroup) -> int:
    """Return how many of a step's tasks have to start at once."""
    return len(group.tasks) if group.spec.gang else 1


def _can_serve(group: StepGroup, rack: Iterable[WorkerLoad]) -> bool:
    """Whether the open workers of a rack can serve a step once their other tasks have ended.

    Long-running tasks of other steps stay.
    """
    needed = _least_tasks_in_rack(group)
    for load in rack:
        if load.is_open and load.has_label(group.spec):
            needed -= load.slots(group)
        if needed <= 0:
            return True
    return False


def _least_tasks_in_rack(group: StepGroup) -> int:
    """Return how many of a step's tasks a rack must hold at once to serve the step."""
    runs_together = group.spec.gang or group.spec.long_running
    return len(group.tasks) - group.done if runs_together else 1


def choose_in_rack(group: StepGroup, eligible: list[WorkerLoad], now: float) -> WorkerLoad | None:
    """Return the least utilized eligible worker in the group's rack, or None if there is none.

    The first task sets the rack: one that holds all tasks that must run at once comes first, then
    that of the group's data, then the one with the most free processor capacity. A step that spans
    racks sets another one when that is full.
    """
    if group.rack is not None:
        in_rack = [load for load in eligible if load.worker.rack == group.rack]
        if in_rack or not group.spans_racks:
            return min(
                in_rack,
                key=lambda load: (load.is_cold(now), load.utilization(), load.worker.id),
                default=None,
            )
    group.rack = _choose_rack(group, eligible)
    return choose_in_rack(group, eligible, now)


def _choose_rack(group: StepGroup, eligible: Iterable[WorkerLoad]) -> Rack:
    needed = _least_tasks_in_rack(group)
    free_slots: Counter[Rack] = Counter()
    free_cpu_millis: Counter[Rack] = Counter()
    for load in eligible:
        free_slots[load.worker.rack] += load.free_slots(group)
        free_cpu_millis[load.worker.rack] += load.worker.capacity.cpu_millis - load.cpu_millis
    return max(
        sorted(free_cpu_millis),
        key=lambda rack: (
            min(needed, free_slots[rack]),
            rack == group.spec.data_rack,
            free_cpu_millis[rack],
        ),
    )

"""The rack of a step that stays in one rack, and when the step may leave it.

Such a step runs faster in one rack, but it also runs in several. So it leaves a rack that can't
serve it rather than wait there.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.model import Rack, WorkerId


def review_racks(groups: Iterable[StepGroup], loads: Mapping[WorkerId, WorkerLoad]) -> None:
    """Let steps that stay in one rack leave a rack that can't serve them.

    A rack without an open worker for a step can't serve it. One that is too small for the whole
    step can't either if its tasks run together or for good: some would wait without end.
    """
    bound = [group for group in groups if group.spec.same_rack]
    if not bound:
        return
    racks: defaultdict[Rack, list[WorkerLoad]] = defaultdict(list)
    for load in loads.values():
        racks[load.worker.rack].append(load)
    for group in bound:
        _review_rack(group, loads, racks)


def _review_rack(
    group: StepGroup,
    loads: Mapping[WorkerId, WorkerLoad],
    racks: Mapping[Rack, Sequence[WorkerLoad]],
) -> None:
    if group.rack is not None and _can_serve(group, racks.get(group.rack, ())):
        group.spans_racks = False
        return
    assigned = [loads.get(task.worker) for task in group.tasks if task.worker is not None]
    if not assigned:
        group.rack = None
        group.spans_racks = not any(_can_serve(group, rack) for rack in racks.values())
    elif any(load is not None and load.reachable for load in assigned):
        # While all of them are silent, it is open whether the whole step is to move.
        group.spans_racks = group.rack is not None


def _can_serve(group: StepGroup, rack: Iterable[WorkerLoad]) -> bool:
    """Whether the open workers of a rack can serve a step if they run nothing else."""
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

"""Whether work can still finish in time, and from when work that cannot goes first.

Pure decisions without I/O; times are passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.jobs._job import Job, StepGroup

LONG_OVERDUE_AFTER_S = 10.0
"""Time after its deadline from which overdue work may go first; also the delay added to its
deadline before that. About the length of a load peak: without the delay, a peak makes every job a
little late instead of some of them very late."""

LONG_OVERDUE_RATIO = 0.1
"""Share of a pool's running work up to which long overdue work goes first. A larger share shortens
the longest wait in a pool that stays overloaded, and makes more of the other jobs late."""

REMAINING_TIME_RATIO = 1.0
"""Share of a job's expected remaining time that must fit before its deadline, or else the job is
overdue; expected times are rough. An overloaded pool works on the jobs closest to their deadline,
so with a lower ratio it would prefer jobs that finish late all the same."""


def has_deadline(group: StepGroup) -> bool:
    """Whether a step can be late at all; long-running and scheduled steps cannot."""
    return not (group.spec.long_running or group.due_ms)


def latest_start_ms(group: StepGroup) -> float:
    """Return the time by which a step must start for its job to finish in time."""
    remaining_ms = group.job.critical_paths_ms[group.step]
    return group.job.deadline_ms - REMAINING_TIME_RATIO * remaining_ms


def is_overdue(group: StepGroup, now_ms: float) -> bool:
    """Whether a waiting step's job can no longer finish in time."""
    return has_deadline(group) and now_ms > latest_start_ms(group)


def is_long_overdue(group: StepGroup, now_ms: float) -> bool:
    """Whether the deadline of a step's job passed so long ago that the step may go first."""
    return has_deadline(group) and now_ms >= group.job.deadline_ms + LONG_OVERDUE_AFTER_S * 1000


def select_going_first(
    long_overdue: Iterable[StepGroup], jobs: Iterable[Job], now_ms: float
) -> set[StepGroup]:
    """Return the long overdue groups that go first, the longest overdue ones.

    Groups are added while the long overdue work that runs or is selected takes at most
    `LONG_OVERDUE_RATIO` of the processor capacity of running tasks, so the last one added may
    exceed it. The others keep their usual place; otherwise a pool that stays overloaded would run
    only work that is late already.
    """
    running = running_overdue = 0
    for job in jobs:
        for group in job.groups:
            cpu_millis = group.spec.cpu_millis * sum(1 for task in group.tasks if task.worker)
            running += cpu_millis
            if is_long_overdue(group, now_ms):
                running_overdue += cpu_millis
    going_first: set[StepGroup] = set()
    for group in sorted(long_overdue, key=lambda g: (g.job.deadline_ms, g.name)):
        if running_overdue > LONG_OVERDUE_RATIO * running:
            break
        going_first.add(group)
        running_overdue += group.spec.cpu_millis * len(group.waiting())
    return going_first

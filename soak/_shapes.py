"""Jobs of shapes that callers rarely send, which must not hold up other jobs of their pool."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pumicespur.utils import monotonic
from soak._callers import TASK_CPU_MILLIS, JobKind
from soak._losses import lose_workers
from soak._plan import FaultKind

if TYPE_CHECKING:
    from soak._callers import Caller, SentJob
    from soak._plan import Fault
    from soak._world import SoakWorld
    from standins.hosted import HostedWorker

WIDE_JOB_TASKS = 1300
"""So many that the runs which the job leaves at its end take more than a row of 64 KB."""

WIDE_JOB_TIMEOUT_S = 10.0
"""Longest wait until they run, before the job is cancelled."""

HOPELESS_GANG_TASKS = 80
"""More than all instances have room for, also with the spare ones."""

RACK_TASKS = 16
"""Tasks that fill a rack."""

START_TIMEOUT_S = 4.0
"""Longest wait until the tasks run that are to be in one rack."""

FILL_TIMEOUT_S = 10.0
"""Longest wait until others fill that rack, as short tasks leave it."""

CHECK_INTERVAL_S = 0.05


async def submit_shape(world: SoakWorld, caller: Caller, fault: Fault) -> None:
    """Submit a job of one of `SHAPE_KINDS`."""
    match fault.kind:
        case FaultKind.WIDE_JOB:
            await _cancel_wide_job(world, caller)
        case FaultKind.HOPELESS_GANG:
            step = {"count": HOPELESS_GANG_TASKS, "cpu": TASK_CPU_MILLIS, "gang": True}
            await caller.submit_steps(JobKind.HOPELESS, [step])
        case _:
            await _fill_rack(world, caller, fault)


async def _cancel_wide_job(world: SoakWorld, caller: Caller) -> None:
    step = {"count": WIDE_JOB_TASKS, "cpu": 1, "memMb": 1, "longRunning": True}
    job = await caller.submit_steps(JobKind.FILLING, [step])
    await _wait_until_running(world, job, WIDE_JOB_TASKS, WIDE_JOB_TIMEOUT_S)
    await caller.cancel(job)


async def _fill_rack(world: SoakWorld, caller: Caller, fault: Fault) -> None:
    """Let a step run in one rack, fill that rack, and lose one of the step's workers for good."""
    common: dict[str, Any] = {"cpu": TASK_CPU_MILLIS, "memMb": 100, "longRunning": True}
    step = {**common, "count": 2, "sameRack": True, "may_miss": 1}
    job = await caller.submit_steps(JobKind.LONG_RUNNING, [step])
    await _wait_until_running(world, job, 2, START_TIMEOUT_S)
    hosts = _hosts(world, job)
    if not hosts:
        return
    rack = hosts[0].rack
    filling = {**common, "count": RACK_TASKS, "requires": rack}
    other = await caller.submit_steps(JobKind.FILLING, [filling])
    await _wait_until_running(world, other, RACK_TASKS - len(hosts), FILL_TIMEOUT_S)
    await lose_workers(world, hosts[:1], fault)


def _hosts(world: SoakWorld, job: SentJob) -> list[HostedWorker]:
    """Return the workers that run tasks of a job."""
    return [w for w in world.serving_workers() if any(t.startswith(job.id) for t in w.running)]


async def _wait_until_running(world: SoakWorld, job: SentJob, count: int, timeout_s: float) -> None:
    """Wait until so many tasks of a job run, or the time is over."""
    until = monotonic() + timeout_s
    while monotonic() < until:
        running = (task for worker in world.serving_workers() for task in worker.running)
        if sum(1 for task in running if task.startswith(job.id)) >= count:
            return
        await asyncio.sleep(CHECK_INTERVAL_S)

"""The cancellation of a wide standing job ends all work of its pool, for good."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from review.second import SECONDS_TO_FINISH, SmallDeployment, Step, find_lost, run_script

if TYPE_CHECKING:
    from review.second import SubmittedJob
    from standins.hosted import Node

WORKERS = 8
STANDING = Step(1200, 40, memory_mb=16, work_s=1.0, fields={"longRunning": True})
"""48 of the pool's 128 cores, for as long as the job is not cancelled."""

USUAL = (Step(4, 1000, work_s=0.5), Step(4, 1000, work_s=0.5, fields={"dependsOn": [0]}))
INTERVAL_S = 0.5
BEFORE_START_S = 2.0
"""Until the owner of the pool has reached all workers."""

MAX_START_S = 40.0
BEFORE_CANCEL_S = 3.0
AFTER_CANCEL_S = 16.0

STOPPED_AFTER_S = 3.0 + 0.4
"""`cancel_ms` and `stop_ms` of Coulee after the ack of a cancelling, no task of it may run."""


async def scenario(deployment: SmallDeployment, trouble: bool) -> list[str]:
    """Start a wide standing job, send usual jobs from then on, and cancel the standing one."""
    await deployment.add_workers(WORKERS)
    nodes = await deployment.start_nodes(3)
    await asyncio.sleep(BEFORE_START_S)
    standing = await deployment.submit_job(nodes, (STANDING,))
    started_by = monotonic() + MAX_START_S
    while count_running(deployment, standing) < STANDING.count and monotonic() < started_by:
        await asyncio.sleep(0.2)
    deployment.note(f"{count_running(deployment, standing)} tasks of {standing.id} run")
    traffic = asyncio.create_task(send_usual(deployment, nodes))
    await asyncio.sleep(BEFORE_CANCEL_S)
    if trouble:
        await deployment.cancel_job(nodes, standing)
    await asyncio.sleep(AFTER_CANCEL_S)
    traffic.cancel()
    await asyncio.sleep(SECONDS_TO_FINISH)
    return await judge(deployment, nodes, standing)


async def judge(
    deployment: SmallDeployment, nodes: list[Node], standing: SubmittedJob
) -> list[str]:
    """Return where the rules LOST and UNASKED were broken."""
    for at, row, size in deployment.store.refused_rows[:3]:
        text = f"the store refused a row of {size} bytes: {row}"
        deployment.events.append((at, text))
    usual = [job for job in deployment.jobs.values() if job is not standing]
    found = find_lost(deployment, monotonic())
    verdict = [lost.describe(deployment.started_at) for lost in found]
    states = await asyncio.gather(*(deployment.state_of(nodes, job) for job in usual))
    unfinished = sum(1 for state in states if state != "completed")
    if unfinished:
        verdict.insert(0, f"LOST: {unfinished} of {len(usual)} usual jobs never complete")
    if standing.cancel_confirmed_at is not None:
        limit = standing.cancel_confirmed_at + STOPPED_AFTER_S
        late = [
            run
            for run in deployment.history
            if run.task.startswith(standing.id)
            and run.started_at < limit
            and (run.ended_at is None or run.ended_at > limit)
        ]
        if late:
            verdict.insert(
                0, f"UNASKED: {len(late)} tasks run on {STOPPED_AFTER_S} s after the cancelling"
            )
    return verdict


def count_running(deployment: SmallDeployment, job: SubmittedJob) -> int:
    """Return how many tasks of a job run now."""
    running = (run for worker in deployment.all_workers for run in worker.running)
    return sum(1 for task in running if task.startswith(job.id))


async def send_usual(deployment: SmallDeployment, nodes: list[Node]) -> None:
    """Send a usual job at each interval until cancelled."""
    while True:
        await deployment.submit_job(nodes, USUAL)
        await asyncio.sleep(INTERVAL_S)


if __name__ == "__main__":
    run_script(Path(__file__).parent, SmallDeployment, scenario)

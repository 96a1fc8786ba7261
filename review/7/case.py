"""A task that lasts waits for a place in a full rack, while the rest of its pool is idle."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from review.second import SECONDS_TO_FINISH, SmallDeployment, Step, find_lost, run_script

if TYPE_CHECKING:
    from review.second import SubmittedJob
    from review.second.deployment import RoomyWorker

LASTING = {"longRunning": True}
STANDING = Step(4, 2500, work_s=0.7, fields={**LASTING, "sameRack": True})
"""Four tasks that are faster in one rack, but also run in several."""

FILLING = (8, 8, 4)
"""Tasks of each job that fills the rack: five of 2.7 cores beside one of 2.5 on each worker of 16.
Coulee's tasks that last take up to 2.7 cores, in steps of up to 8."""

BEFORE_START_S = 2.0
"""Until the owner of the pool has reached all workers."""

MAX_START_S = 10.0
BEFORE_LOSS_S = 2.0
AFTER_LOSS_S = 20.0


async def scenario(deployment: SmallDeployment, trouble: bool) -> list[str]:
    """Start a standing job in one rack, fill that rack, and lose one of its workers."""
    await deployment.add_workers(8)
    nodes = await deployment.start_nodes(3)
    await asyncio.sleep(BEFORE_START_S)
    standing = await deployment.submit_job(nodes, (STANDING,))
    await wait_until_running(deployment, standing)
    hosts = [w for w in deployment.all_workers if any(t.startswith(standing.id) for t in w.running)]
    rack = hosts[0].rack
    for count in FILLING:
        step = Step(count, 2700, work_s=0.7, fields={**LASTING, "requires": rack})
        await wait_until_running(deployment, await deployment.submit_job(nodes, (step,)))
    await asyncio.sleep(BEFORE_LOSS_S)
    if trouble:
        await deployment.lose_worker(hosts[0])
    await asyncio.sleep(AFTER_LOSS_S + SECONDS_TO_FINISH)

    def may_run(worker: RoomyWorker, job: SubmittedJob) -> bool:
        return job is standing or worker.rack == rack

    found = find_lost(deployment, monotonic(), may_run)
    return [lost.describe(deployment.started_at) for lost in found]


async def wait_until_running(deployment: SmallDeployment, job: SubmittedJob) -> None:
    """Wait until all tasks of a job run."""
    until = monotonic() + MAX_START_S
    while monotonic() < until:
        running = [t for w in deployment.all_workers for t in w.running if t.startswith(job.id)]
        if len(running) == job.steps[0].count:
            return
        await asyncio.sleep(0.1)
    raise RuntimeError(f"not all tasks of {job.id} run")


if __name__ == "__main__":
    run_script(Path(__file__).parent, SmallDeployment, scenario)

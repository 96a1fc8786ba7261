"""A gang that is wider than its pool keeps all other jobs of the pool from starting."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from review.second import SECONDS_TO_FINISH, SmallDeployment, Step, find_lost, run_script

if TYPE_CHECKING:
    from standins.hosted import Node

WORKERS = 8
GANG = Step(32, 5300, work_s=1.7, fields={"gang": True})
"""170 cores on a pool of 128, so it can never be done. Coulee's `harvest-tally` and `tag-draw` have
steps of up to 32 tasks, with up to 5.7 cores each."""

USUAL = (Step(4, 1000, work_s=0.5), Step(4, 1000, work_s=0.5, fields={"dependsOn": [0]}))
BEFORE_S = 3.0
TRAFFIC_S = 40.0
INTERVAL_S = 1.5
"""Usual jobs take about a second, so that the pool is idle in between now and then."""


async def scenario(deployment: SmallDeployment, trouble: bool) -> list[str]:
    """Send usual jobs all the time, and one such gang among the first."""
    await deployment.add_workers(WORKERS)
    nodes = await deployment.start_nodes(3)
    await send_usual(deployment, nodes, BEFORE_S)
    gang = await deployment.submit_job(nodes, (GANG,)) if trouble else None
    await send_usual(deployment, nodes, TRAFFIC_S)
    await asyncio.sleep(SECONDS_TO_FINISH)
    usual = [job for job in deployment.jobs.values() if job is not gang]
    found = find_lost(deployment, monotonic())
    verdict = [
        lost.describe(deployment.started_at)
        for lost in found
        if gang is None or gang.id not in lost.what
    ]
    states = await asyncio.gather(*(deployment.state_of(nodes, job) for job in usual))
    unfinished = sum(1 for state in states if state != "completed")
    if unfinished:
        text = f"LOST: {unfinished} of {len(usual)} usual jobs are not completed at the end"
        verdict.insert(0, text)
    return verdict


async def send_usual(deployment: SmallDeployment, nodes: list[Node], for_s: float) -> None:
    """Send a usual job at each interval."""
    until = monotonic() + for_s
    while monotonic() < until:
        await deployment.submit_job(nodes, USUAL)
        await asyncio.sleep(INTERVAL_S)


if __name__ == "__main__":
    run_script(Path(__file__).parent, SmallDeployment, scenario)

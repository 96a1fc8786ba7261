"""A job scheduled once a minute for a month takes down each process that takes its pool."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from review.second import SECONDS_TO_FINISH, SmallDeployment, Step, find_lost, run_script

if TYPE_CHECKING:
    from standins.hosted import Node

MEMORY_MB = 300
"""`memoryMb` of Coulee: a process that goes over it is killed."""

RESTART_S = 0.5
"""Delay until a process that was killed is started again."""

CHECK_INTERVAL_S = 0.05
MONTH_OF_MINUTES = 30 * 24 * 60
FEW = 8

SCHEDULED = (Step(8, 500, work_s=0.5), Step(8, 500, work_s=0.5, fields={"dependsOn": [0]}))
"""Two steps of eight tasks, as the means of Coulee's `tag-draw` and `harvest-tally`."""

USUAL = (Step(4, 1000, work_s=0.5), Step(4, 1000, work_s=0.5, fields={"dependsOn": [0]}))
TRAFFIC_S = 40.0
INTERVAL_S = 0.5
KILLS_FOR_FAULT = 3


class MemoryLimit:
    """The platform's limit on memory: kills a process that goes over it, and starts it again."""

    def __init__(self, deployment: SmallDeployment) -> None:
        self.deployment = deployment
        self.kills: dict[str, int] = {}
        self.peak_mb: dict[str, int] = {}
        self.restarts: list[asyncio.TimerHandle] = []

    def end(self) -> None:
        """Start no process again from now on."""
        for restart in self.restarts:
            restart.cancel()

    async def enforce(self) -> None:
        """Check all processes until cancelled."""
        while True:
            for node in list(self.deployment.nodes.nodes.values()):
                self._check(node)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _check(self, node: Node) -> None:
        used_mb = resident_mb(node.process.pid)
        self.peak_mb[node.name] = max(used_mb, self.peak_mb.get(node.name, 0))
        if used_mb <= MEMORY_MB or node.process.poll() is not None:
            return
        self.deployment.note(f"process {node.name} takes {used_mb} MB and is killed")
        self.kills[node.name] = self.kills.get(node.name, 0) + 1
        node.process.kill()
        node.process.wait()
        loop = asyncio.get_running_loop()
        self.restarts.append(loop.call_later(RESTART_S, self._restart, node))

    def _restart(self, node: Node) -> None:
        self.deployment.note(f"process {node.name} is started again")
        self.deployment.nodes.launch(node, self.deployment.node_module)


def resident_mb(process_id: int) -> int:
    """Return the memory that a process has resident, in MB; 0 if it has ended."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        # The process has ended between two checks.
        return 0
    lines = (line for line in status.splitlines() if line.startswith("VmRSS:"))
    return next((int(line.split()[1]) // 1024 for line in lines), 0)


async def scenario(deployment: SmallDeployment, trouble: bool) -> list[str]:
    """Send usual jobs all the time, and one that is scheduled for a long time."""
    await deployment.add_workers(8)
    nodes = await deployment.start_nodes(3)
    limit = MemoryLimit(deployment)
    enforcing = asyncio.create_task(limit.enforce())
    await send_usual(deployment, nodes, 3.0)
    scheduled = await deployment.submit_job(
        nodes,
        SCHEDULED,
        schedule={
            "repeatCount": MONTH_OF_MINUTES if trouble else FEW,
            "initialDelayMs": deployment.time_of_day_ms() + 1000,
            "intervalMs": 60_000,
        },
    )
    await send_usual(deployment, nodes, TRAFFIC_S)
    await asyncio.sleep(SECONDS_TO_FINISH)
    usual = [job for job in deployment.jobs.values() if job is not scheduled]
    found = find_lost(deployment, monotonic())
    verdict = [
        lost.describe(deployment.started_at) for lost in found if scheduled.id not in lost.what
    ]
    states = await asyncio.gather(*(deployment.state_of(nodes, job) for job in usual))
    enforcing.cancel()
    limit.end()
    deployment.note(f"memory at its peak, in MB: {limit.peak_mb}")
    unfinished = sum(1 for state in states if state != "completed")
    if unfinished:
        verdict.insert(0, f"LOST: {unfinished} of {len(usual)} usual jobs are not completed")
    often = [name for name, kills in limit.kills.items() if kills >= KILLS_FOR_FAULT]
    if len(often) >= 2:
        verdict.insert(0, f"Fault: over the memory limit three times or more: {limit.kills}")
    return verdict


async def send_usual(deployment: SmallDeployment, nodes: list[Node], for_s: float) -> None:
    """Send a usual job at each interval."""
    until = monotonic() + for_s
    while monotonic() < until:
        await deployment.submit_job(nodes, USUAL)
        await asyncio.sleep(INTERVAL_S)


if __name__ == "__main__":
    run_script(Path(__file__).parent, SmallDeployment, scenario)

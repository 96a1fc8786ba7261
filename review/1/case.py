"""A job id that comes again at a node that was restarted after its route changed its pool."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any

from review.harness.case import run_case
from review.harness.world import Deployment, route_entry

if TYPE_CHECKING:
    from review.harness.record import Record
    from standins.hosted import Run

SHORT_JOB = "00000000000000a1"
LASTING_JOB = "00000000000000a2"
SHORT_STEP = {"count": 4, "cpu": 880, "memMb": 1300, "estimatedMs": 1000}
LASTING_STEP = {"count": 3, "cpu": 1300, "memMb": 1000, "longRunning": True, "may_miss": 1}
BODIES: dict[str, dict[str, Any]] = {
    SHORT_JOB: {"taskSpec": "quick", "steps": [SHORT_STEP]},
    LASTING_JOB: {"taskSpec": "lasts", "steps": [LASTING_STEP]},
}
TASK_S = 1.0
WORKERS_PER_POOL = 3
STEADY_S = 3.0
"""Time for which the nodes serve undisturbed before the jobs come."""
OBSERVED_S = 8.0
"""Time for which runs are watched after the ids have come again."""


def find_twice(history: list[Run]) -> list[str]:
    """Return the starts that the rule TWICE forbids."""
    breaks = []
    for first, second in itertools.permutations(history, 2):
        if first.task != second.task or second.started_at < first.started_at:
            continue
        runs = f"{first.task}: run {first.number} on {first.worker} and {second.number}"
        if first.ended_at is None or second.started_at < first.ended_at:
            breaks.append(f"TWICE: {runs} on {second.worker} at once, both workers up")
        elif first.how == "done" and first.acknowledged_at is not None:
            breaks.append(f"TWICE: {runs} on {second.worker} after an end `done` that was noted")
    return breaks


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the case; return what broke the rule."""
    world = Deployment(record)
    world.task_s = TASK_S
    await world.open()
    try:
        world.configure_routes(1, [route_entry("quick", "main")])
        for number in range(WORKERS_PER_POOL):
            await world.add_worker(f"m-{number}", f"r1-{number % 2}", "main")
            await world.add_worker(f"s-{number}", f"r2-{number % 2}", "second")
        machines = [world.start(f"node-{number}") for number in range(3)]
        for machine in machines:
            await world.wait_machine_ready(machine)
        await asyncio.sleep(STEADY_S)
        for job, body in BODIES.items():
            await world.request(machines[0], "POST", f"/quick/{job}", body)
        if trouble:
            world.configure_routes(2, [route_entry("quick", "second")])
            await asyncio.sleep(0.3)
            machines[1].kill()
            await asyncio.sleep(0.5)
            world.start(machines[1].name)
            await world.wait_machine_ready(machines[1])
        else:
            await asyncio.sleep(2.0)
        for job, body in BODIES.items():
            await world.request(machines[1], "POST", f"/quick/{job}", body)
        await asyncio.sleep(OBSERVED_S)
        for job in BODIES:
            await world.request(machines[2], "GET", f"/quick/{job}")
        return find_twice(world.history)
    finally:
        await world.close()


if __name__ == "__main__":
    run_case(__file__, play)

"""A job whose pool's owner takes it in under a configuration without its route.

The first part lets the job reach the owner before the version that adds the route. The second part
takes the route out for some seconds, and the owner's process is killed meanwhile.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from review.harness.case import run_case
from review.harness.links import SilencingLink
from review.harness.world import CannotRunError, Deployment, route_entry
from standins.hosted import HostedWorker

if TYPE_CHECKING:
    from review.harness.nodes import NodeMachine
    from review.harness.record import Record
    from standins.hosted import Run

LATE_JOB = "00000000000000b1"
AWAY_JOB = "00000000000000b2"
STEP = {"count": 4, "cpu": 880, "memMb": 1300, "estimatedMs": 1500}
BODY: dict[str, Any] = {"taskSpec": "fails-first", "steps": [STEP]}
MAX_ATTEMPTS = 3
TASK_S = 1.5
WORKERS = 4
NODES = 3
STEADY_S = 3.0
ROUTE_AWAY_S = 6.0
RESTART_DELAY_S = 0.5
FINISH_S = 14.0
OPERATORS_WATCH = b"rows-feed?table=op"
"""Part of the request line of the watch by which a node follows the operator's rows."""


class FirstRunFails(HostedWorker):
    """A worker on which the first run of each task of such a job ends `failed` by its own fault."""

    def _end(self, run: Run, how: str) -> None:
        first = run.payload == "fails-first" and run.number == 1 and how == "done"
        super()._end(run, "failed" if first else how)


class FailingDeployment(Deployment):
    """A deployment whose tasks fail once; each node reaches the store through its own link."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.task_s = TASK_S
        self.links: dict[str, SilencingLink] = {}

    async def add_worker(self, instance: str, rack: str = "r1-1", pool: str = "main") -> None:
        """Start a new worker on an instance, in a pool."""
        number = next(self.worker_numbers)
        worker = FirstRunFails(f"w-{number}", pool, instance, rack, self.history)
        worker.task_s = self.task_s
        await self._start_incarnation(worker)
        await self.publish(worker)

    async def open_with_routes(self, *routes: str) -> None:
        """Start everything and serve for a while."""
        await self.open()
        self.set_routes(1, *routes)
        for number in range(WORKERS):
            await self.add_worker(f"m-{number}", f"r1-{number % 2}", "main")
        for number in range(NODES):
            name = f"node-{number}"
            self.links[name] = SilencingLink(self.addresses["store"])
            await self.links[name].listen()
            self.start(name, store=self.links[name].address)
        for machine in self.machines.values():
            await self.wait_machine_ready(machine)
        await self.wait_until(lambda: self.holder("main") != "", "the pool has an owner")
        await asyncio.sleep(STEADY_S)

    async def close(self) -> None:
        """End all processes, links and stand-ins."""
        await super().close()
        for link in self.links.values():
            await link.close()

    def set_routes(self, version: int, *routes: str) -> None:
        """Store a version of the configuration with these queues, all with the same attempts."""
        self.configure_routes(version, [route_entry(r, "main", MAX_ATTEMPTS) for r in routes])

    def owner_and_entry(self) -> tuple[NodeMachine, NodeMachine]:
        """Return the machine that owns the pool and another one, where the client asks."""
        owner = self.holder("main")
        entry = next(m for name, m in self.machines.items() if name != owner)
        self.record.note("roles", owner=owner, entry=entry.name)
        return self.machines[owner], entry

    async def find_lost(self, entry: NodeMachine, path: str) -> list[str]:
        """Ask for a job until it has ended; return it if it is shown as failed without cause."""
        state = ""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_S):
                while state not in ("completed", "failed", "cancelled"):
                    await asyncio.sleep(0.5)
                    status, body = await self.request(entry, "GET", path)
                    state = body["state"] if status == 200 else ""
        failed = {
            run.task: sum(r.task == run.task and r.how == "failed" for r in self.history)
            for run in self.history
        }
        self.record.note("ends `failed` by task", ends=failed, state=state)
        if state == "failed" and max(failed.values(), default=0) < MAX_ATTEMPTS:
            return [f"LOST: {path} is shown as failed; ends `failed` by task: {failed}"]
        return []


async def play_late_version(record: Record, trouble: bool) -> list[str]:
    """Let a job of a new route reach the owner before the version that adds the route."""
    world = FailingDeployment(record)
    try:
        await world.open_with_routes("quick")
        owner, entry = world.owner_and_entry()
        if trouble:
            count = world.links[owner.name].silence(OPERATORS_WATCH)
            record.note("connections go silent", node=owner.name, count=count)
        world.set_routes(2, "quick", "added")
        status = 404
        while status == 404:
            await asyncio.sleep(0.02)
            status, _ = await world.request(entry, "POST", f"/added/{LATE_JOB}", BODY)
        if status != 200:
            raise CannotRunError(f"the job was not accepted: {status}")
        return await world.find_lost(entry, f"/added/{LATE_JOB}")
    finally:
        await world.close()


async def play_route_away(record: Record, trouble: bool) -> list[str]:
    """Take a job's route out for some seconds, during which the owner's process is killed."""
    world = FailingDeployment(record)
    try:
        await world.open_with_routes("quick", "other")
        owner, entry = world.owner_and_entry()
        status, _ = await world.request(entry, "POST", f"/quick/{AWAY_JOB}", BODY)
        if status != 200:
            raise CannotRunError(f"the job was not accepted: {status}")
        await asyncio.sleep(0.2)
        if trouble:
            world.set_routes(2, "other")
            await asyncio.sleep(0.3)
            owner.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            world.start(owner.name, store=world.links[owner.name].address)
            await asyncio.sleep(ROUTE_AWAY_S)
            world.set_routes(3, "quick", "other")
            await asyncio.sleep(1.0)
        return await world.find_lost(entry, f"/quick/{AWAY_JOB}")
    finally:
        await world.close()


async def play(record: Record, trouble: bool) -> list[str]:
    """Run both parts; return what broke the rule."""
    record.note("part one: the version that adds the route is late at the owner")
    breaks = await play_late_version(record, trouble)
    record.note("part two: the route is out of the config while the owner changes")
    return breaks + await play_route_away(record, trouble)


if __name__ == "__main__":
    run_case(__file__, play)

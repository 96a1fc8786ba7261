"""Play one plan and judge it."""

from __future__ import annotations

import asyncio
import shutil
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._callers import Caller, JobKind
from soak._checker import CONFIGURED_S, Checker, Finding
from soak._faults import Injector
from soak._plan import save_plan
from soak._world import INSTANCES_PER_RACK, SoakWorld
from standins.hosted import SUSPENDABLE_MODULE

if TYPE_CHECKING:
    from pathlib import Path

    from soak._plan import Plan

CHECK_S = 1.0
"""Pause between judgements while a plan plays."""

SETTLE_S = 20.0
"""Longest time after the last fault until everything has to be in order: some takeovers."""

ENDED = ("completed", "failed", "cancelled")


@dataclass(frozen=True)
class Outcome:
    """What a run showed."""

    plan: Plan
    findings: list[Finding]
    jobs: int
    accepted: int
    runs: int
    took_s: float


async def play(plan: Plan, keep: Path, node_module: str = SUSPENDABLE_MODULE) -> Outcome:
    """Play a plan; if a promise broke, keep the plan and all logs in a folder below `keep`."""
    started = monotonic()
    world = SoakWorld(node_module)
    await world.open()
    callers: list[Caller] = []
    try:
        await _set_up(plan, world)
        callers += [Caller(n, plan, world) for n in range(plan.deployment.callers)]
        injector = Injector(world, callers)
        checker = Checker(world, callers, injector)
        await _disturb(plan, callers, injector, checker)
        await _settle(callers, checker)
        findings = sorted(checker.findings, key=lambda finding: finding.promise)
        if findings:
            _keep(plan, world, findings, keep)
    finally:
        for caller in callers:
            await caller.close()
        await world.close()
    jobs = [job for caller in callers for job in caller.jobs]
    accepted = sum(1 for job in jobs if job.accepted_at is not None)
    took_s = monotonic() - started
    return Outcome(plan, findings, len(jobs), accepted, len(world.history), took_s)


async def _set_up(plan: Plan, world: SoakWorld) -> None:
    size = plan.deployment.workers
    for number in range(size):
        await world.add_worker(f"m-{number:02}", f"r1-{number // INSTANCES_PER_RACK}")
    for number in range(size, size + plan.deployment.spares):
        name = f"m-{number:02}"
        world.fleet.pools[name] = "idle"
        world.fleet.racks[name] = f"r1-{number // INSTANCES_PER_RACK}"
    for number in range(plan.deployment.nodes):
        await world.add_node(f"node-{number}")
    for node in list(world.lives):
        await world.wait_ready(node)


async def _disturb(plan: Plan, callers: list[Caller], injector: Injector, checker: Checker) -> None:
    began = monotonic()
    async with asyncio.TaskGroup() as tasks:
        judge = tasks.create_task(_judge(checker))
        probe = tasks.create_task(callers[0].probe(CONFIGURED_S))
        key_probe = tasks.create_task(callers[0].probe_keys())
        work = [tasks.create_task(caller.run(began + plan.length_s)) for caller in callers]
        faults = tasks.create_task(injector.run(plan.faults, began))
        await asyncio.gather(*work, faults)
        judge.cancel()
        probe.cancel()
        key_probe.cancel()


async def _judge(checker: Checker) -> None:
    while True:
        await asyncio.sleep(CHECK_S)
        checker.check()


async def _settle(callers: list[Caller], checker: Checker) -> None:
    """Wait until nothing is left to be done, then judge; what is still open then is a finding."""
    until = monotonic() + SETTLE_S
    while monotonic() < until:
        for caller in callers:
            for job in caller.jobs:
                ends = job.kind is not JobKind.LASTING and job.exchanges[-1].state not in ENDED
                if job.accepted_at is not None and job.cancel_sent_at is None and ends:
                    await caller.ask(job)
        trial = Checker(checker.world, callers, checker.injector)
        trial.check_settled()
        if not trial.findings:
            break
        await asyncio.sleep(CHECK_S)
    checker.check_settled()


def _keep(plan: Plan, world: SoakWorld, findings: list[Finding], keep: Path) -> None:
    folder = keep / f"seed-{plan.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    save_plan(plan, folder / "plan.json")
    (folder / "findings.txt").write_text(
        "".join(f"{finding.promise}: {finding.detail}\n" for finding in findings)
    )
    (folder / "runs.txt").write_text("".join(f"{run}\n" for run in world.history))
    for node in world.nodes.nodes.values():
        shutil.copy(node.log, folder)

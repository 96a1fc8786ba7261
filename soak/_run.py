"""Run one plan and check the promises."""

from __future__ import annotations

import asyncio
import shutil
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._callers import Caller, JobKind
from soak._checker import CONFIGURE_TIMEOUT_S, Checker, Finding
from soak._faults import Injector
from soak._long_running import Limits, LongRunningCheck
from soak._plan import FaultKind, save_plan
from soak._routes import SECOND_POOL, SECOND_POOL_WORKERS
from soak._world import COLD_S, HALLS, INSTANCES_PER_RACK, SoakWorld
from standins.hosted import SUSPENDABLE_MODULE

if TYPE_CHECKING:
    from pathlib import Path

    from soak._plan import Plan
    from soak._steadiness import Steadiness

CHECK_INTERVAL_S = 1.0
"""Interval between checks while a plan runs."""

SAMPLE_INTERVAL_S = 0.1
"""Interval between looks at which long-running tasks are at work."""

SETTLE_TIMEOUT_S = 20.0
"""Time after the last fault by which everything must be in order; enough for some takeovers."""

NODE_SETTINGS = ("lease_s", "owner_silence_s", "longest_lease_ms")
"""Settings of nodes that a plan's deployment determines."""

FINAL_STATES = ("completed", "failed", "cancelled")


@dataclass(frozen=True)
class Outcome:
    """Result of a run."""

    plan: Plan
    findings: list[Finding]
    jobs: int
    accepted: int
    runs: int
    took_s: float
    judged_s: float
    """Time in which it was calm, so that long-running tasks were judged."""
    steadiness: Steadiness


async def run_plan(
    plan: Plan, artifacts_dir: Path, node_module: str = SUSPENDABLE_MODULE
) -> Outcome:
    """Run a plan and return its result.

    If a promise is broken, the plan, the findings, all runs and the nodes' logs are saved in a
    folder below `artifacts_dir`.
    """
    started = monotonic()
    world = SoakWorld(node_module)
    await world.open()
    callers: list[Caller] = []
    try:
        await _start_deployment(plan, world)
        callers += [Caller(n, plan, world) for n in range(plan.deployment.callers)]
        injector = Injector(world, callers)
        checker = Checker(world, callers, injector)
        long_running = LongRunningCheck(world, injector, Limits(plan.deployment.lease_s))
        async with asyncio.TaskGroup() as tasks:
            sampling = tasks.create_task(_check_long_running(long_running, checker))
            await _run_under_faults(plan, callers, injector, checker)
            await _wait_until_settled(callers, checker)
            sampling.cancel()
        findings = sorted(checker.findings, key=lambda finding: finding.promise)
        if findings:
            _save_artifacts(plan, world, findings, artifacts_dir)
    finally:
        for caller in callers:
            await caller.close()
        await world.close()
    jobs = [job for caller in callers for job in caller.jobs]
    return Outcome(
        plan,
        findings,
        jobs=len(jobs),
        accepted=sum(1 for job in jobs if job.accepted_at is not None),
        runs=len(world.history),
        took_s=monotonic() - started,
        judged_s=long_running.judged_s,
        steadiness=long_running.steadiness,
    )


async def _start_deployment(plan: Plan, world: SoakWorld) -> None:
    size = plan.deployment.workers
    world.task_s, world.cold_s = plan.deployment.task_s, COLD_S
    for setting in NODE_SETTINGS:
        world.node_settings[setting] = str(getattr(plan.deployment, setting))
    for number in range(size + plan.deployment.spares):
        rack = number // INSTANCES_PER_RACK
        world.halls[f"r1-{rack}"] = f"hall-{rack % HALLS}"
    for number in range(size):
        await world.add_worker(f"m-{number:02}", f"r1-{number // INSTANCES_PER_RACK}")
    for number in range(size, size + plan.deployment.spares):
        name = f"m-{number:02}"
        world.fleet.pools[name] = "idle"
        world.fleet.racks[name] = f"r1-{number // INSTANCES_PER_RACK}"
    if any(fault.kind is FaultKind.ROUTE_MOVES for fault in plan.faults):
        for number in range(SECOND_POOL_WORKERS):
            await world.add_worker(f"s-{number:02}", f"r2-{number}", SECOND_POOL)
    for number in range(plan.deployment.nodes):
        await world.add_node(f"node-{number}")
    for node in list(world.started_nodes):
        await world.wait_ready(node)


async def _run_under_faults(
    plan: Plan, callers: list[Caller], injector: Injector, checker: Checker
) -> None:
    began = monotonic()
    async with asyncio.TaskGroup() as tasks:
        check = tasks.create_task(_check_periodically(checker))
        route_probe = tasks.create_task(callers[0].probe_added_routes(CONFIGURE_TIMEOUT_S))
        key_probe = tasks.create_task(callers[0].probe_keys())
        work = [tasks.create_task(caller.run(began + plan.length_s)) for caller in callers]
        faults = tasks.create_task(injector.run(plan.faults, began))
        await asyncio.gather(*work, faults)
        check.cancel()
        route_probe.cancel()
        key_probe.cancel()


async def _check_periodically(checker: Checker) -> None:
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        checker.check()


async def _check_long_running(check: LongRunningCheck, checker: Checker) -> None:
    while True:
        checker.findings.update(check.check(checker.jobs.values(), monotonic()))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


async def _wait_until_settled(callers: list[Caller], checker: Checker) -> None:
    """Wait until all work is done or the time limit is over; what is still open is a finding."""
    until = monotonic() + SETTLE_TIMEOUT_S
    while monotonic() < until:
        for caller in callers:
            for job in caller.jobs:
                is_open = (
                    job.kind is not JobKind.LONG_RUNNING
                    and job.exchanges[-1].state not in FINAL_STATES
                )
                if job.accepted_at is not None and job.cancel_sent_at is None and is_open:
                    await caller.query(job)
        preview = Checker(checker.world, callers, checker.injector)
        preview.check_settled()
        if not preview.findings:
            break
        await asyncio.sleep(CHECK_INTERVAL_S)
    checker.check_settled()


def _save_artifacts(
    plan: Plan, world: SoakWorld, findings: list[Finding], artifacts_dir: Path
) -> None:
    folder = artifacts_dir / f"seed-{plan.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    save_plan(plan, folder / "plan.json")
    (folder / "findings.txt").write_text(
        "".join(f"{finding.promise}: {finding.detail}\n" for finding in findings)
    )
    (folder / "runs.txt").write_text("".join(f"{run}\n" for run in world.history))
    for node in world.nodes.nodes.values():
        shutil.copy(node.log, folder)

"""Checks on a whole declaration; the same for files and for calls of operators."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from pumicespur.model import SPARE_POOL
from pumicespur.schema.fleet_pb import Resources
from pumicespur.schema.operators_pb import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Iterator

    from pumicespur.schema.fleet_pb import Declaration, Job, Pool, Team, Wave

SECTION_ID = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
MAX_POOL_SIZE = 100_000
MAX_TASKS = 100_000
MINUTES_PER_DAY = 24 * 60
ROUNDING_TOLERANCE = 1e-9
"""Absorbs floating-point errors, such as 100 * 0.07 = 7.000000000000001, before rounding up."""


def min_available_instances(pool: Pool) -> int:
    """Return how many instances of a pool must be available at any moment.

    A share is rounded up, so that the budget never asks for less than was declared.
    """
    if pool.min_available_share:
        return math.ceil(pool.size * pool.min_available_share - ROUNDING_TOLERANCE)
    return pool.min_available


def check_declaration(declaration: Declaration) -> list[Finding]:
    """Return the findings on a declaration; it can be accepted if none is an error."""
    findings: list[Finding] = []
    pools = {pool.id for pool in declaration.pools}
    teams = {team.id for team in declaration.teams}
    for pool in declaration.pools:
        findings += _check_pool(pool)
    for job in declaration.jobs:
        findings += _check_job(job, pools, teams)
    for team in declaration.teams:
        findings += _check_team(team)
    for wave in declaration.waves:
        findings += _check_wave(wave, pools)
    return findings


def _finding(section: str, key: str, message: str, severity: Severity = Severity.ERROR) -> Finding:
    return Finding(severity=severity, section=section, key=key, message=message)


def _check_name(kind: str, name: str) -> Iterator[Finding]:
    if not SECTION_ID.match(name):
        text = "takes lower-case letters, digits, dots and dashes, 63 at most"
        yield _finding(f"{kind} {name}", "", f"the name {name!r} {text}")


def _check_range(
    section: str, key: str, value: float, low: float, high: float
) -> Iterator[Finding]:
    if not low <= value <= high:
        yield _finding(section, key, f"takes {low:g} to {high:g}, not {value:g}")


def _check_resources(section: str, resources: Resources | None) -> Iterator[Finding]:
    amounts = resources or Resources()
    for key in ("millicores", "memory_mb", "accelerators"):
        yield from _check_range(section, key, getattr(amounts, key), 0, 2**31 - 1)


def _check_pool(pool: Pool) -> Iterator[Finding]:
    section = f"pool {pool.id}"
    yield from _check_name("pool", pool.id)
    if pool.id == SPARE_POOL:
        yield _finding(section, "", "the name is kept for instances that no pool has")
    yield from _check_range(section, "size", pool.size, 0, MAX_POOL_SIZE)
    yield from _check_range(section, "min_available", pool.min_available, 0, MAX_POOL_SIZE)
    yield from _check_range(section, "min_available_share", pool.min_available_share, 0, 1)
    yield from _check_resources(section, pool.needs)
    if pool.min_available and pool.min_available_share:
        yield _finding(section, "min_available_share", "takes 0 when min_available is given")
    if pool.min_available > pool.size:
        yield _finding(section, "min_available", f"is above the size, {pool.size}")
    elif pool.size and min_available_instances(pool) == pool.size:
        text = "leaves no room for maintenance: no wave can ever start here"
        yield _finding(section, "min_available", text, Severity.WARNING)


def _check_job(job: Job, pools: set[str], teams: set[str]) -> Iterator[Finding]:
    section = f"job {job.id}"
    yield from _check_name("job", job.id)
    yield from _check_range(section, "tasks", job.tasks, 0, MAX_TASKS)
    yield from _check_resources(section, job.needs)
    if job.pool not in pools:
        yield _finding(section, "pool", f"names no declared pool: {job.pool!r}")
    if job.team and job.team not in teams:
        yield _finding(section, "team", f"names no declared team: {job.team!r}")


def _check_team(team: Team) -> Iterator[Finding]:
    section = f"team {team.id}"
    yield from _check_name("team", team.id)
    yield from _check_range(section, "max_requests", team.max_requests, 0, 2**31 - 1)
    yield from _check_range(section, "max_millicores", team.max_millicores, 0, 2**31 - 1)


def _check_wave(wave: Wave, pools: set[str]) -> Iterator[Finding]:
    section = f"wave {wave.id}"
    yield from _check_name("wave", wave.id)
    yield from _check_range(section, "max_parallel", wave.max_parallel, 1, MAX_POOL_SIZE)
    yield from _check_range(section, "halt_share", wave.halt_share, 0, 1)
    yield from _check_range(section, "attempts", wave.attempts, 1, 10)
    last_minute = MINUTES_PER_DAY - 1
    yield from _check_range(
        section, "window_start_minute", wave.window_start_minute, 0, last_minute
    )
    yield from _check_range(section, "window_end_minute", wave.window_end_minute, 0, last_minute)
    if not wave.pools:
        yield _finding(section, "pools", "names no pool")
    for pool in wave.pools:
        if pool not in pools:
            yield _finding(section, "pools", f"names no declared pool: {pool!r}")

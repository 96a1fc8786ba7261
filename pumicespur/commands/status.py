"""Show the state of pools, waves and processes, of one job, or of what one node works on."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import httpx

from pumicespur.commands._output import print_json, print_status, print_table
from pumicespur.exceptions import PumicespurError

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient

JOB_TIMEOUT_S = 5.0
"""Longer than a node waits for the store, so that its error about a silent store still arrives."""


async def status(client: OperatorClient, *, as_json: bool) -> None:
    """Print the status that a manager reports."""
    response = await client.status()
    if as_json:
        print_json(response)
    else:
        print_status(response)


async def job_status(node: str, job: str, *, as_json: bool) -> None:
    """Print what a node reports of a job, with the reason if it failed."""
    job_fields = await _fetch(node, f"/jobs/{job}")
    if as_json:
        print(json.dumps(job_fields))
        return
    rows = [(name, _as_text(value)) for name, value in job_fields.items() if value]
    print_table(("FIELD", "VALUE"), rows)


async def node_status(node: str, *, as_json: bool) -> None:
    """Print the evacuated data halls that a node knows, and its long-running tasks without a run.

    Both are told for the pools that the node owns.
    """
    state = await _fetch(node, "/state")
    without_run = {pool: owned["without_run"] for pool, owned in state.get("owned", {}).items()}
    if as_json:
        print(json.dumps((state.get("evacuations") or {}) | {"without_run": without_run}))
        return
    _print_evacuations(state.get("evacuations"))
    if without_run:
        _print_without_run(without_run)


def _print_evacuations(evacuations: dict[str, Any] | None) -> None:
    if evacuations is None or evacuations["age_s"] is None:
        print(
            "this node does not follow evacuations, or has not read them yet: it owns no pool and "
            "does not lead the fleet, or no bound is set"
        )
        return
    print(f"as of {evacuations['age_s']} s ago")
    rows = [
        (hall, told["since_version"], *row)
        for hall, told in evacuations["halls"].items()
        for row in _pool_rows(told["pools"])
    ]
    print_table(("HALL", "SINCE VERSION", "POOL", "TASKS", "LONG-RUNNING", "LAST END IN S"), rows)


def _print_without_run(pools: dict[str, dict[str, Any]]) -> None:
    """Print the long-running tasks without a run, those that have waited longest first."""
    count = sum(told["count"] for told in pools.values())
    if not count:
        print("every long-running task of this node's pools runs")
        return
    print(f"long-running tasks without a run: {count}")
    tasks = [(pool, task) for pool, told in pools.items() for task in told["tasks"]]
    rows = [
        (
            pool,
            task["task"],
            f"{'>' if task['at_least'] else ''}{task['for_s']}",
            task.get("worker", "-"),
            task.get("leases_end_in_s", "-"),
            task["reason"],
        )
        for pool, task in sorted(tasks, key=lambda entry: -entry[1]["for_s"])
    ]
    print_table(("POOL", "TASK", "FOR S", "WORKER", "LEASES END IN S", "REASON"), rows)


def _pool_rows(pools: dict[str, dict[str, Any]]) -> list[tuple[object, ...]]:
    """Return one row for each pool that still runs tasks, or a single one without a pool."""
    rows: list[tuple[object, ...]] = [
        (pool, left["tasks"], left["long_running_tasks"], _or_dash(left["last_end_in_s"]))
        for pool, left in pools.items()
        if left
    ]
    return rows or [("-", 0, 0, "-")]


def _or_dash(value: object) -> object:
    return "-" if value is None else value


async def _fetch(node: str, path: str) -> dict[str, Any]:
    url = f"{node.rstrip('/')}{path}"
    try:
        async with httpx.AsyncClient(timeout=JOB_TIMEOUT_S) as client:
            response = await client.get(url)
        fields = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as failure:
        raise PumicespurError(f"no usable response from {node}: {failure}") from failure
    if response.status_code != httpx.codes.OK:
        raise PumicespurError(str(fields.get("error", response.status_code)))
    return dict(fields)


def _as_text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(map(_as_text, value))
    if isinstance(value, dict):
        return "; ".join(f"{name}: {_as_text(item)}" for name, item in value.items())
    return str(value)

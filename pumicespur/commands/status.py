"""Show the state of pools, waves and processes, or of one job."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import httpx

from pumicespur.commands._output import print_json, print_status, print_table
from pumicespur.exceptions import PumicespurError

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient

JOB_TIMEOUT_S = 5.0
"""Longer than a node waits for the store before it says that the store does not tell."""


async def status(client: OperatorClient, *, as_json: bool) -> None:
    """Ask a manager and print its answer."""
    answer = await client.status()
    if as_json:
        print_json(answer)
    else:
        print_status(answer)


async def job_status(node: str, job: str, *, as_json: bool) -> None:
    """Ask a node what is recorded of a job, and print it."""
    found = await _fetch(node, job)
    if as_json:
        print(json.dumps(found))
        return
    rows = [(name, _as_text(value)) for name, value in found.items() if value]
    print_table(("FIELD", "VALUE"), rows)


async def _fetch(node: str, job: str) -> dict[str, Any]:
    url = f"{node.rstrip('/')}/jobs/{job}"
    try:
        async with httpx.AsyncClient(timeout=JOB_TIMEOUT_S) as client:
            answer = await client.get(url)
        found = answer.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as failure:
        raise PumicespurError(f"no answer from {node}: {failure}") from failure
    if answer.status_code != httpx.codes.OK:
        raise PumicespurError(str(found.get("error", answer.status_code)))
    return dict(found)


def _as_text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(map(str, value))
    if isinstance(value, dict):
        return "; ".join(f"{name}: {_as_text(item)}" for name, item in value.items())
    return str(value)

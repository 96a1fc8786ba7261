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
    job_fields = await _fetch_job(node, job)
    if as_json:
        print(json.dumps(job_fields))
        return
    rows = [(name, _as_text(value)) for name, value in job_fields.items() if value]
    print_table(("FIELD", "VALUE"), rows)


async def _fetch_job(node: str, job: str) -> dict[str, Any]:
    url = f"{node.rstrip('/')}/jobs/{job}"
    try:
        async with httpx.AsyncClient(timeout=JOB_TIMEOUT_S) as client:
            response = await client.get(url)
        job_fields = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as failure:
        raise PumicespurError(f"no usable response from {node}: {failure}") from failure
    if response.status_code != httpx.codes.OK:
        raise PumicespurError(str(job_fields.get("error", response.status_code)))
    return dict(job_fields)


def _as_text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(map(str, value))
    if isinstance(value, dict):
        return "; ".join(f"{name}: {_as_text(item)}" for name, item in value.items())
    return str(value)

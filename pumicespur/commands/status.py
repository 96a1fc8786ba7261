"""Show the state of pools, waves and processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.commands._output import print_json, print_status

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient


async def status(client: OperatorClient, *, as_json: bool) -> None:
    """Ask a manager and print its answer."""
    answer = await client.status()
    if as_json:
        print_json(answer)
    else:
        print_status(answer)

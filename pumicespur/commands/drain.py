"""Drain one instance, or return it to service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.commands._output import print_json
from pumicespur.schema.operators_pb import DrainRequest

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient


async def drain(client: OperatorClient, instance: str, *, resume: bool, as_json: bool) -> None:
    """Request the drain or the return; return once the change is committed."""
    response = await client.drain(DrainRequest(instance=instance, resume=resume))
    if as_json:
        print_json(response)
    else:
        verb = "returns to service" if resume else "drains"
        print(f"{instance} {verb}, revision {response.revision}")

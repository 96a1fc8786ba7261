"""Take one instance out of service, or back into it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.commands._output import print_json
from pumicespur.schema.operators_pb import DrainRequest

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient


async def drain(client: OperatorClient, instance: str, *, resume: bool, as_json: bool) -> None:
    """Ask for the drain or the return; it is committed when this ends."""
    answer = await client.drain(DrainRequest(instance=instance, resume=resume))
    if as_json:
        print_json(answer)
    else:
        verb = "returns to service" if resume else "drains"
        print(f"{instance} {verb}, revision {answer.revision}")

"""Drain one instance or those of a data hall, or return them to service."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from pumicespur.commands._output import print_json
from pumicespur.exceptions import PumicespurError, UnreachableError
from pumicespur.schema.fleet_pb import DrainReason, InstanceState
from pumicespur.schema.operators_pb import DrainRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.operators import OperatorClient
    from pumicespur.schema.fleet_pb import Assignment


async def drain(client: OperatorClient, instance: str, *, resume: bool, as_json: bool) -> None:
    """Request the drain or the return; return once the change is committed."""
    response = await client.drain(DrainRequest(instance=instance, resume=resume))
    if as_json:
        print_json(response)
    else:
        verb = "returns to service" if resume else "drains"
        print(f"{instance} {verb}, revision {response.revision}")


async def drain_hall(client: OperatorClient, hall: str, *, resume: bool, as_json: bool) -> None:
    """Request the drains or returns of a data hall's instances, one by one.

    Each drain is checked against its pool's budget. Those that a budget does not allow are reported
    and can be requested again once more instances of the pool are available.
    """
    status = await client.status()
    found = select_instances(status.assignments, hall, resume=resume)
    if not found:
        verb = "return" if resume else "drain"
        raise PumicespurError(f"data hall: no instance to {verb} in {hall!r}")
    refused: dict[str, str] = {}
    for instance in found:
        try:
            await client.drain(DrainRequest(instance=instance, resume=resume))
        except UnreachableError:
            raise
        except PumicespurError as failure:
            refused[instance] = str(failure)
    _print_hall([name for name in found if name not in refused], refused, resume, as_json)
    if refused:
        raise PumicespurError(f"{len(refused)} of {len(found)} instances in {hall} were refused")


def select_instances(assignments: Iterable[Assignment], hall: str, *, resume: bool) -> list[str]:
    """Return the instances of a data hall that serve, or those that an operator drained."""
    members = [a for a in assignments if a.data_hall == hall and not a.removed]
    if resume:
        chosen = [
            a
            for a in members
            if a.state is not InstanceState.SERVING and a.reason is DrainReason.OPERATOR
        ]
    else:
        chosen = [a for a in members if a.state is InstanceState.SERVING]
    return sorted(a.instance for a in chosen)


def _print_hall(done: list[str], refused: dict[str, str], resume: bool, as_json: bool) -> None:
    if as_json:
        print(json.dumps({"instances": done, "refused": refused}))
        return
    for instance in done:
        print(f"{instance} {'returns to service' if resume else 'drains'}")
    for instance, reason in refused.items():
        print(f"{instance} refused: {reason}")

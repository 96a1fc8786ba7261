"""Faults in which workers restart under their ids, alone or combined with other faults."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from soak._plan import FaultKind
from standins.hosted import Passage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from soak._plan import Fault
    from soak._world import SoakWorld
    from standins.hosted import Node

RESTART_KINDS = frozenset(
    {
        FaultKind.WORKER_RESTARTS,
        FaultKind.RACK_RESTARTS,
        FaultKind.RESTART_UNDER_ORDERS,
        FaultKind.RESTART_BEHIND_CUT,
        FaultKind.RESTART_AT_TAKEOVER,
        FaultKind.RESTART_WITH_ALL_NODES,
    }
)

MAX_DOWN_S = 0.8
"""Max time between a worker's crash and its next incarnation; enough to restart a program."""

MAX_ENTRY_SHIFT_S = 0.6
"""Max time by which the entry of the next incarnation is published late or early."""

STARTS_IN_FLIGHT_S = 0.25
"""Time before a crash during which starts get no response; shorter than a node's timeout."""


async def restart_workers(world: SoakWorld, fault: Fault) -> None:
    """Restart one worker or all of a rack, together with the other disruption of the fault."""
    names = _target_instances(world, fault)
    match fault.kind:
        case FaultKind.RESTART_BEHIND_CUT:
            await _restart_behind_partition(world, fault, names)
        case FaultKind.RESTART_UNDER_ORDERS:
            await _restart_with_starts_in_flight(world, fault, names)
        case FaultKind.RESTART_AT_TAKEOVER:
            owners = [name for name in world.links if name == world.owner()]
            await _restart_while_nodes_down(world, fault, names, owners)
        case FaultKind.RESTART_WITH_ALL_NODES:
            await _restart_while_nodes_down(world, fault, names, list(world.links))
        case _:
            await _restart(world, fault, names)


def _target_instances(world: SoakWorld, fault: Fault) -> list[str]:
    """Return the instances whose workers restart."""
    workers = world.serving_workers()
    if not workers:
        return []
    first = workers[fault.target % len(workers)]
    if fault.kind is FaultKind.WORKER_RESTARTS:
        return [first.instance]
    return [worker.instance for worker in workers if worker.rack == first.rack]


async def _restart(world: SoakWorld, fault: Fault, names: Iterable[str]) -> None:
    """Restart workers, publishing their new entries early and late in turn."""
    late_s = MAX_ENTRY_SHIFT_S * (2 * fault.strength - 1)
    async with asyncio.TaskGroup() as tasks:
        for name in names:
            down_s = min(fault.for_s, MAX_DOWN_S) * fault.strength
            tasks.create_task(world.restart_worker(name, down_s, late_s))
            late_s = -late_s


async def _restart_with_starts_in_flight(world: SoakWorld, fault: Fault, names: list[str]) -> None:
    """Restart workers so that their next incarnations carry out the starts still in flight."""
    for name in names:
        world.workers[name].faults.late_starts_s = 2 * STARTS_IN_FLIGHT_S + MAX_DOWN_S
    await asyncio.sleep(STARTS_IN_FLIGHT_S)
    await _restart(world, fault, names)


async def _restart_behind_partition(world: SoakWorld, fault: Fault, names: list[str]) -> None:
    """Restart workers that no node can reach although they reach the store."""
    addresses = [world.workers[name].address for name in names if name in world.workers]
    links = [ls.workers[a] for ls in world.links.values() for a in addresses if a in ls.workers]
    for link in links:
        link.set_passage(Passage.NOTHING)
    await _restart(world, fault, names)
    await asyncio.sleep(fault.for_s)
    for link in links:
        link.set_passage(Passage.BOTH_WAYS)


async def _restart_while_nodes_down(
    world: SoakWorld, fault: Fault, names: list[str], nodes: list[str]
) -> None:
    """Restart workers while some nodes are killed, and restart those nodes."""
    killed = [world.nodes.nodes[name] for name in nodes]
    killed = [node for node in killed if node.process.poll() is None]
    for node in killed:
        world.expected_ends.add(node.process.pid)
        node.send_signal(signal.SIGKILL)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_restart(world, fault, names))
        tasks.create_task(_restart_nodes_later(world, killed, fault.for_s))


async def _restart_nodes_later(world: SoakWorld, killed: list[Node], after_s: float) -> None:
    for node in killed:
        await asyncio.to_thread(node.process.wait)
    await asyncio.sleep(after_s)
    for node in killed:
        if world.nodes.nodes[node.name] is node:
            world.start_node(node.name)

"""Workers that start again under their name, by themselves and together with other faults."""

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

MOST_DOWN_S = 0.8
"""Longest time between a worker's crash and its next life; a restart of a program."""

MOST_LATE_S = 0.6
"""Most by which the entry of a next life comes late or early."""


ON_THEIR_WAY_S = 0.25
"""Time before a crash from which on starts get no answer; shorter than a node waits for one."""


async def restart_workers(world: SoakWorld, fault: Fault) -> None:
    """Let one worker or a whole rack start again, while whatever else the fault names happens."""
    names = _chosen(world, fault)
    match fault.kind:
        case FaultKind.RESTART_BEHIND_CUT:
            await _behind_cut(world, fault, names)
        case FaultKind.RESTART_UNDER_ORDERS:
            await _under_orders(world, fault, names)
        case FaultKind.RESTART_AT_TAKEOVER:
            owners = [name for name in world.links if name == world.owner()]
            await _without_nodes(world, fault, names, owners)
        case FaultKind.RESTART_WITH_ALL_NODES:
            await _without_nodes(world, fault, names, list(world.links))
        case _:
            await _restart(world, fault, names)


def _chosen(world: SoakWorld, fault: Fault) -> list[str]:
    """Return the instances whose workers start again."""
    workers = world.serving_workers()
    if not workers:
        return []
    first = workers[fault.target % len(workers)]
    if fault.kind is FaultKind.WORKER_RESTARTS:
        return [first.instance]
    return [worker.instance for worker in workers if worker.rack == first.rack]


async def _restart(world: SoakWorld, fault: Fault, names: Iterable[str]) -> None:
    """Start workers again, each with its entry earlier or later than the one before."""
    late_s = MOST_LATE_S * (2 * fault.strength - 1)
    async with asyncio.TaskGroup() as tasks:
        for name in names:
            down_s = min(fault.for_s, MOST_DOWN_S) * fault.strength
            tasks.create_task(world.restart_worker(name, down_s, late_s))
            late_s = -late_s


async def _under_orders(world: SoakWorld, fault: Fault, names: list[str]) -> None:
    """Start workers again whose next lives do the starts that were on their way."""
    for name in names:
        world.workers[name].faults.late_starts_s = 2 * ON_THEIR_WAY_S + MOST_DOWN_S
    await asyncio.sleep(ON_THEIR_WAY_S)
    await _restart(world, fault, names)


async def _behind_cut(world: SoakWorld, fault: Fault, names: list[str]) -> None:
    """Start workers again that no node reaches, though they reach the store."""
    addresses = [world.workers[name].address for name in names if name in world.workers]
    links = [ls.workers[a] for ls in world.links.values() for a in addresses if a in ls.workers]
    for link in links:
        link.let_pass(Passage.NOTHING)
    await _restart(world, fault, names)
    await asyncio.sleep(fault.for_s)
    for link in links:
        link.let_pass(Passage.BOTH_WAYS)


async def _without_nodes(
    world: SoakWorld, fault: Fault, names: list[str], nodes: list[str]
) -> None:
    """Start workers again while some nodes are killed and until they are back."""
    killed = [world.nodes.nodes[name] for name in nodes]
    killed = [node for node in killed if node.process.poll() is None]
    for node in killed:
        world.expected_ends.add(node.process.pid)
        node.send_signal(signal.SIGKILL)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_restart(world, fault, names))
        tasks.create_task(_start_again(world, killed, fault.for_s))


async def _start_again(world: SoakWorld, killed: list[Node], after_s: float) -> None:
    for node in killed:
        await asyncio.to_thread(node.process.wait)
    await asyncio.sleep(after_s)
    for node in killed:
        if world.nodes.nodes[node.name] is node:
            world.start_node(node.name)

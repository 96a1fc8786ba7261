"""Faults that end workers and owners for long or for good, and the return of what was lost."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

from pumicespur.maintenance import FLEET_ROLE
from soak._leaving import make_workers_leave
from soak._plan import FaultKind
from standins.hosted import Passage

if TYPE_CHECKING:
    from soak._plan import Fault
    from soak._world import SoakWorld
    from standins.hosted import HostedWorker

MAX_LOST_WORKERS = 2
"""Workers that are lost at the same time, as many as there are spare instances."""

MAX_STOPPED_OWNERS = 2
"""Owners that are stopped one after the other."""

MAX_OFFSET_S = 1.0
"""Max time between the ends of an owner and of its workers; shorter than a lease."""

MIN_LEADER_STRENGTH = 0.7
"""Strength from which the fleet leader is lost with the pool's owner."""

MAX_OWNER_FIRST_STRENGTH = 0.3
"""Strength up to which the owner is lost before the workers, not after them."""

DOWN_S = 1.6
"""Time for which a worker is down, in which it becomes known that it has ended."""

MIN_LISTED_S = 0.6
MAX_LISTED_S = 1.4
"""Time after its end for which instances can still be listed."""

TASKS_MOVED_S = 2.0
"""Time in which it gets tasks of workers that leave, before it falls silent."""

SERVED_S = 0.7
"""Time for which a worker that has started again serves before it ends."""

SILENT_S = 3.0
"""Least time for which it is silent then; about a lease."""


async def lose_or_return(world: SoakWorld, fault: Fault) -> None:
    """Inject one of `LOSS_KINDS`; the fault is in force until the last of its strikes."""
    match fault.kind:
        case FaultKind.WORKER_LOST:
            await lose_workers(world, _choose_workers(world, fault), fault)
        case FaultKind.WORKER_RETURNS_AND_IS_LOST:
            await _return_and_lose(world, fault)
        case FaultKind.WORKER_RETURNS_DARK:
            await _return_dark(world, fault)
        case FaultKind.OWNER_LOST:
            await _lose_nodes(world, _choose_nodes(world, fault))
        case FaultKind.OWNER_LOST_WITH_WORKERS:
            await _lose_together(world, fault)
        case FaultKind.OWNERS_LEAVE:
            await _stop_owners_in_turn(world, fault)
        case _:
            await _return_all(world)


def _choose_workers(world: SoakWorld, fault: Fault) -> list[HostedWorker]:
    """Return one of the busiest workers, for each second target with the others of its rack."""
    allowed = MAX_LOST_WORKERS - len(world.lost_instances)
    busiest = sorted(world.serving_workers(), key=lambda worker: -len(worker.running))
    if not busiest:
        return []
    first = busiest[fault.target // 4 % ((len(busiest) + 1) // 2)]
    chosen = [first]
    if fault.target % 2:
        chosen += [w for w in busiest if w.rack == first.rack and w is not first]
    return chosen[: max(0, allowed)]


def _choose_nodes(world: SoakWorld, fault: Fault) -> list[str]:
    """Return the pool's owner, and the fleet leader if the fault is strong; one node stays."""
    roles = ("main", FLEET_ROLE) if fault.strength >= MIN_LEADER_STRENGTH else ("main",)
    living = [name for name in world.links if _is_up(world, name)]
    names = {world.owner(role) for role in roles} & set(living)
    return sorted(names)[: len(living) - 1]


def _is_up(world: SoakWorld, name: str) -> bool:
    return world.nodes.nodes[name].process.poll() is None


async def _lose_nodes(world: SoakWorld, names: list[str]) -> None:
    """Kill nodes, which stay away."""
    nodes = [world.nodes.nodes[name] for name in names if _is_up(world, name)]
    world.lost_nodes.update(node.name for node in nodes)
    for node in nodes:
        world.expected_ends.add(node.process.pid)
        node.send_signal(signal.SIGKILL)
    for node in nodes:
        await asyncio.to_thread(node.process.wait)


async def lose_workers(world: SoakWorld, workers: list[HostedWorker], fault: Fault) -> None:
    """End workers for good; by the target, the store lists them for a while longer."""
    stays_listed = fault.target // 2 % 2
    present = [worker for worker in workers if world.workers.get(worker.instance) is worker]
    for worker in present:
        world.lost_instances.add(worker.instance)
        entry = worker.encode_entry()
        await world.take_down(worker.instance)
        if stays_listed:
            world.store.put(("servers", "", worker.id), entry)
    if present and stays_listed:
        await asyncio.sleep(fault.for_s)
        for worker in present:
            world.store.remove(("servers", "", worker.id))


async def _lose_together(world: SoakWorld, fault: Fault) -> None:
    """End the pool's owner and workers within less than a lease."""
    nodes, workers = _choose_nodes(world, fault), _choose_workers(world, fault)
    offset_s = min(fault.for_s, MAX_OFFSET_S)
    if fault.strength < MAX_OWNER_FIRST_STRENGTH:
        await _lose_nodes(world, nodes)
        await asyncio.sleep(offset_s)
        await lose_workers(world, workers, fault)
        return
    losing = asyncio.create_task(lose_workers(world, workers, fault))
    await asyncio.sleep(offset_s)
    await _lose_nodes(world, nodes)
    await losing


async def _return_and_lose(world: SoakWorld, fault: Fault) -> None:
    """Start a worker again under its name, and end it for good soon after."""
    for worker in _choose_workers(world, fault)[:1]:
        await world.restart_worker(worker.instance, fault.strength * MAX_OFFSET_S)
        await asyncio.sleep(SERVED_S)
        returned = world.workers.get(worker.instance)
        await lose_workers(world, [returned] if returned else [], fault)


async def _return_dark(world: SoakWorld, fault: Fault) -> None:
    """Start a worker again that is known to have ended, and let it fall silent with tasks.

    What is known of its end grows old meanwhile, since no instances can be listed. It gets tasks of
    workers that leave.
    """
    for worker in _choose_workers(world, fault)[:1]:
        returning = asyncio.create_task(world.restart_worker(worker.instance, DOWN_S))
        await asyncio.sleep(MIN_LISTED_S + fault.strength * (MAX_LISTED_S - MIN_LISTED_S))
        fleet_links = [links.fleet for links in world.links.values()]
        for link in fleet_links:
            link.set_passage(Passage.NOTHING)
        await returning
        leaving = asyncio.create_task(_let_others_leave(world, worker.instance, fault))
        await asyncio.sleep(TASKS_MOVED_S)
        returned = world.workers.get(worker.instance)
        if returned is not None:
            returned.faults.silent = True
        await asyncio.sleep(SILENT_S + fault.for_s)
        if returned is not None:
            returned.faults.silent = False
        for link in fleet_links:
            link.set_passage(Passage.BOTH_WAYS)
        await leaving


async def _let_others_leave(world: SoakWorld, instance: str, fault: Fault) -> None:
    """Make half of the workers leave, but not the one of an instance."""
    names = sorted(world.workers)
    target = names.index(instance) + 1 if instance in names else fault.target
    leave = replace(fault, kind=FaultKind.WORKERS_SCALED_IN, target=target, for_s=TASKS_MOVED_S)
    await make_workers_leave(world, leave)


async def _stop_owners_in_turn(world: SoakWorld, fault: Fault) -> None:
    """Stop the owner, then its successor; each starts again, and another node is always up."""
    for _ in range(MAX_STOPPED_OWNERS):
        name = world.owner()
        others = [other for other in world.links if other != name and _is_up(world, other)]
        if name not in world.links or not _is_up(world, name) or not others:
            break
        node = world.nodes.nodes[name]
        world.expected_ends.add(node.process.pid)
        node.send_signal(signal.SIGTERM)
        await asyncio.to_thread(node.process.wait)
        world.start_node(name)
        await asyncio.sleep(min(fault.for_s, MAX_OFFSET_S))


async def _return_all(world: SoakWorld) -> None:
    """Start the lost nodes again, and new workers on the lost instances."""
    for name in sorted(world.lost_nodes):
        if not _is_up(world, name):
            world.start_node(name)
    world.lost_nodes.clear()
    for instance in sorted(world.lost_instances):
        if instance not in world.workers and instance not in world.fleet.busy:
            await world.bring_up(instance, world.fleet.pools[instance])
    world.lost_instances.clear()

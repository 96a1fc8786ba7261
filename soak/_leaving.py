"""Workers that say they leave, and a store that tells of them late."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from soak._plan import FaultKind

if TYPE_CHECKING:
    from soak._plan import Fault
    from soak._world import SoakWorld
    from standins.hosted import HostedWorker

LEAVING_KINDS = frozenset(
    {
        FaultKind.WORKER_DRAINS,
        FaultKind.WORKER_LEAVES_AT_ONCE,
        FaultKind.WORKERS_SCALED_IN,
        FaultKind.WORKERS_RELEASED,
        FaultKind.ADDRESS_REUSED,
    }
)

UNHEARD_KINDS = frozenset({FaultKind.LIST_UNREAD, FaultKind.LIST_UNTOLD, FaultKind.COMMITS_REFUSED})

AT_ONCE_S = 0.15
"""Time between a short notice and the worker's end."""

RELEASE_GAP_S = 0.3
"""Time between two workers that are replaced one after the other."""

NAMES_WORKERS = "w-"
"""What a transaction holds that records where tasks run."""


async def let_leave(world: SoakWorld, fault: Fault) -> None:
    """Let workers say that they leave, serve on and leave; others follow on their instances."""
    workers = world.serving_workers()
    if not workers:
        return
    first = fault.target % len(workers)
    match fault.kind:
        case FaultKind.WORKERS_SCALED_IN:
            chosen = (workers[first:] + workers[:first])[: (len(workers) + 1) // 2]
            await asyncio.gather(*(_leave(world, worker, fault.for_s) for worker in chosen))
        case FaultKind.WORKERS_RELEASED:
            async with asyncio.TaskGroup() as tasks:
                for worker in workers:
                    tasks.create_task(_leave(world, worker, fault.for_s))
                    await asyncio.sleep(RELEASE_GAP_S)
        case FaultKind.WORKER_LEAVES_AT_ONCE:
            await _leave(world, workers[first], AT_ONCE_S)
        case FaultKind.ADDRESS_REUSED:
            await _leave(world, workers[first], fault.for_s, next_pool="second")
        case _:
            await _leave(world, workers[first], fault.for_s)


async def _leave(
    world: SoakWorld, worker: HostedWorker, for_s: float, next_pool: str | None = None
) -> None:
    name = worker.instance
    if world.workers.get(name) is not worker or worker.leaving_at is not None:
        return
    world.drain_worker(name)
    await asyncio.sleep(for_s)
    await world.replace_worker(worker, for_s / 2, next_pool)


async def keep_unheard(world: SoakWorld, fault: Fault) -> None:
    """Let the store tell nobody of workers, or refuse what records where tasks run."""
    faults = world.store.faults
    where, what = {
        FaultKind.LIST_UNREAD: (faults.refused_tables, "servers"),
        FaultKind.LIST_UNTOLD: (faults.stalled_feeds, "servers"),
        FaultKind.COMMITS_REFUSED: (faults.refused_callers, NAMES_WORKERS),
    }[fault.kind]
    where.add(what)
    await asyncio.sleep(fault.for_s)
    where.discard(what)

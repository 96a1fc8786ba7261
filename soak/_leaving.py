"""Faults in which workers announce that they leave, or the store withholds such records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from soak._plan import FaultKind

if TYPE_CHECKING:
    from soak._plan import Fault
    from soak._world import SoakWorld
    from standins.hosted import HostedWorker

DEPARTURE_KINDS = frozenset(
    {
        FaultKind.WORKER_DRAINS,
        FaultKind.WORKER_LEAVES_AT_ONCE,
        FaultKind.WORKERS_SCALED_IN,
        FaultKind.WORKERS_RELEASED,
        FaultKind.ADDRESS_REUSED,
    }
)

RECORD_KINDS = frozenset(
    {
        FaultKind.LIST_UNREAD,
        FaultKind.LIST_UNTOLD,
        FaultKind.COMMITS_REFUSED,
        FaultKind.EVACUATIONS_UNREAD,
        FaultKind.EVACUATIONS_UNTOLD,
    }
)

SHORT_NOTICE_S = 0.15
"""Time between a worker's announcement at short notice and its end."""

RELEASE_INTERVAL_S = 0.3
"""Interval at which workers are replaced one after the other."""

WORKER_ID_PREFIX = "w-"
"""Prefix of worker ids; transactions that record where tasks run contain it."""


async def make_workers_leave(world: SoakWorld, fault: Fault) -> None:
    """Make workers announce that they leave, serve on and end; other workers replace them."""
    workers = world.serving_workers()
    if not workers:
        return
    first = fault.target % len(workers)
    match fault.kind:
        case FaultKind.WORKERS_SCALED_IN:
            chosen = (workers[first:] + workers[:first])[: (len(workers) + 1) // 2]
            await asyncio.gather(
                *(_drain_and_replace(world, worker, fault.for_s) for worker in chosen)
            )
        case FaultKind.WORKERS_RELEASED:
            async with asyncio.TaskGroup() as tasks:
                for worker in workers:
                    tasks.create_task(_drain_and_replace(world, worker, fault.for_s))
                    await asyncio.sleep(RELEASE_INTERVAL_S)
        case FaultKind.WORKER_LEAVES_AT_ONCE:
            await _drain_and_replace(world, workers[first], SHORT_NOTICE_S)
        case FaultKind.ADDRESS_REUSED:
            await _drain_and_replace(world, workers[first], fault.for_s, next_pool="second")
        case _:
            await _drain_and_replace(world, workers[first], fault.for_s)


async def _drain_and_replace(
    world: SoakWorld, worker: HostedWorker, for_s: float, next_pool: str | None = None
) -> None:
    name = worker.instance
    if world.workers.get(name) is not worker or worker.leaving_at is not None:
        return
    world.drain_worker(name)
    await asyncio.sleep(for_s)
    await world.replace_worker(worker, for_s / 2, next_pool)


async def block_records(world: SoakWorld, fault: Fault) -> None:
    """Make the store withhold workers or evacuations, or refuse records of where tasks run."""
    faults = world.store.faults
    blocked, value = {
        FaultKind.LIST_UNREAD: (faults.refused_tables, "servers"),
        FaultKind.LIST_UNTOLD: (faults.stalled_feeds, "servers"),
        FaultKind.COMMITS_REFUSED: (faults.refused_texts, WORKER_ID_PREFIX),
        FaultKind.EVACUATIONS_UNREAD: (faults.refused_ranges, "op"),
        FaultKind.EVACUATIONS_UNTOLD: (faults.stalled_feeds, "op"),
    }[fault.kind]
    blocked.add(value)
    await asyncio.sleep(fault.for_s)
    blocked.discard(value)

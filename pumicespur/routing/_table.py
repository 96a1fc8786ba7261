"""The backend servers of each pool, from the replica and the platform's list of instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result

from pumicespur.routing._backend import Backend
from pumicespur.routing._queue import PoolQueue
from pumicespur.schema.fleet_pb import Assignment, InstanceState
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import SPARE_POOL, InstanceId, PoolId
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.connect import PlatformClient
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.state import Replica
    from pumicespur.store import Listing

LIST_POLL_INTERVAL_S = 2.0


class RoutingTable:
    """The queues of all pools, with their backend servers."""

    def __init__(self, settings: EntrySettings, replica: Replica, platform: PlatformClient) -> None:
        self.settings = settings
        self.replica = replica
        self.platform = platform
        self.queues: dict[PoolId, PoolQueue] = {}
        self.backends: dict[InstanceId, Backend] = {}
        self.applied_revision = 0
        self._assignments: dict[InstanceId, Assignment] = {}
        self._retired: list[Backend] = []

    async def follow_replica(self) -> None:
        """Rebuild the table at every new revision, and close idle retired backend servers."""
        while True:
            changed = self.replica.changed
            if self.applied_revision != self.replica.revision:
                self.rebuild()
            await self._close_idle()
            with anyio.move_on_after(LIST_POLL_INTERVAL_S):
                await changed.wait()

    async def follow_instance_list(self) -> None:
        """Poll the platform's list for instances that are leaving."""
        while True:
            match await self.platform.list_instances():
                case Result(tag="ok", ok=listing):
                    self.note_instance_list(listing)
            await anyio.sleep(LIST_POLL_INTERVAL_S)

    def rebuild(self) -> None:
        """Update the pools and backend servers to the replica's newest state."""
        fleet = self.replica.fleet
        serving: dict[PoolId, list[Backend]] = {pool: [] for pool in fleet.pools}
        seen = set()
        for name, assignment in fleet.assignments.items():
            pool = PoolId(assignment.pool)
            usable = assignment.state is InstanceState.SERVING and assignment.address
            if pool == SPARE_POOL or pool not in serving or not usable:
                continue
            seen.add(name)
            serving[pool].append(self._backend(name, assignment))
        for name in self.backends.keys() - seen:
            self._retired.append(self.backends.pop(name))
            self._assignments.pop(name)
        for pool in self.queues.keys() - serving.keys():
            self.queues.pop(pool).replace_backends([])
        for pool, backends in serving.items():
            queue = self.queues.setdefault(pool, PoolQueue(self.settings.max_queue))
            queue.replace_backends(backends)
        self.applied_revision = fleet.revision

    def _backend(self, name: InstanceId, assignment: Assignment) -> Backend:
        """Return the backend server of an assignment; create one if the assignment changed."""
        backend = self.backends.get(name)
        if backend is None or self._assignments[name] != assignment:
            if backend is not None:
                self._retired.append(backend)
            backend = Backend(assignment, self.settings)
            self.backends[name] = backend
            self._assignments[name] = assignment
        return backend

    def note_instance_list(self, listing: Listing) -> None:
        """Mark backend servers that the platform lists as leaving."""
        for name, backend in self.backends.items():
            listed = listing.instances.get(name)
            if listed is not None and listed.liveness is Liveness.LEAVING:
                backend.leaving = True

    async def _close_idle(self) -> None:
        """Close retired backend servers once their last request has ended."""
        idle = [backend for backend in self._retired if backend.in_flight == 0]
        self._retired = [backend for backend in self._retired if backend.in_flight]
        for backend in idle:
            await backend.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        for backend in [*self.backends.values(), *self._retired]:
            await backend.aclose()

    def describe(self) -> dict[str, object]:
        """Return the table for a state dump."""
        now = monotonic()
        return {
            pool: {
                "waiting": {kind.name: len(waiters) for kind, waiters in queue.waiting.items()},
                "service_s": round(queue.service_s, 6),
                "backends": {
                    backend.id: {
                        "address": backend.address,
                        "in_flight": backend.in_flight,
                        "load": round(backend.load(), 3),
                        "leaving": backend.leaving,
                        "ejected_s": round(max(0.0, backend.ejected_until - now), 3),
                    }
                    for backend in queue.backends
                },
            }
            for pool, queue in self.queues.items()
        }

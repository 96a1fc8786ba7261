"""The bounded request queue of one pool: live requests first, batch never starved."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result

from pumicespur.routing._picker import pick_least_loaded, select_eligible
from pumicespur.schema.fleet_pb import Urgency

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.routing._backend import Backend
    from pumicespur.routing._messages import CallerRequest

BATCH_GRANT_INTERVAL = 4
"""While batch requests wait, one grant in this many goes to them."""

INITIAL_SERVICE_S = 0.005
"""Service time assumed until the first attempt has ended."""

SERVICE_SMOOTHING_FACTOR = 0.1
"""Weight of the newest attempt in the moving average of the service time."""


@dataclass(frozen=True)
class Refusal:
    """Why a request was not admitted or was not granted a backend server in time."""

    reason: str
    retry_after_s: float


@dataclass
class Waiter:
    """A request that waits for free capacity on a backend server.

    `avoid` holds the ids of backend servers that the request has tried already.
    """

    avoid: Collection[str]
    granted: anyio.Event = field(default_factory=anyio.Event)
    backend: Backend | None = None


class PoolQueue:
    """Allocates the capacity of one pool's backend servers to waiting requests.

    `service_s` is the moving average of the time that an attempt takes, in seconds.
    """

    def __init__(self, max_queue: int) -> None:
        self.max_queue = max_queue
        self.backends: list[Backend] = []
        self.waiting: dict[Urgency, deque[Waiter]] = {
            Urgency.LIVE: deque(),
            Urgency.BATCH: deque(),
        }
        self.service_s = INITIAL_SERVICE_S
        self._grants = 0

    def replace_backends(self, backends: Sequence[Backend]) -> None:
        """Replace the pool's backend servers and serve waiting requests from the new ones."""
        self.backends = list(backends)
        self.grant()

    def expected_wait_s(self, urgency: Urgency) -> float:
        """Return the estimated queueing time of a new request, in seconds."""
        ahead = len(self.waiting[urgency])
        if urgency is Urgency.BATCH:
            ahead += len(self.waiting[Urgency.LIVE])
        if not ahead:
            return 0.0
        concurrency = sum(
            min(backend.max_in_flight, backend.slots) for backend in select_eligible(self.backends)
        )
        return ahead * self.service_s / max(1, concurrency)

    def check_admission(self, request: CallerRequest) -> Refusal | None:
        """Return why a request has to be refused at once; None if it may wait."""
        if all(backend.leaving for backend in self.backends):
            return Refusal("no backend server", 1.0)
        if len(self.waiting[request.urgency]) >= self.max_queue:
            return Refusal("queue full", self.expected_wait_s(request.urgency))
        wait = self.expected_wait_s(request.urgency)
        if wait > max(0.0, request.remaining_s()):
            return Refusal("deadline can't be met", wait)
        return None

    async def acquire(
        self, request: CallerRequest, avoid: Collection[str] = ()
    ) -> Result[Backend, Refusal]:
        """Wait until the deadline for a backend server with free capacity.

        One request is counted on it; call `release` when the attempt has ended. A backend
        server whose id is in `avoid` is granted only when no other is eligible.
        """
        refusal = self.check_admission(request)
        if refusal is not None:
            return Error(refusal)
        waiter = Waiter(avoid)
        self.waiting[request.urgency].append(waiter)
        self.grant()
        try:
            with anyio.move_on_after(max(0.0, request.remaining_s())):
                await waiter.granted.wait()
        except BaseException:
            # Cancelled from outside: return the capacity that was granted meanwhile.
            if waiter.backend is not None:
                self.release(waiter.backend, self.service_s)
            raise
        finally:
            if waiter.backend is None:
                self.waiting[request.urgency].remove(waiter)
        if waiter.backend is None:
            return Error(Refusal("no room before the deadline", self.service_s))
        return Ok(waiter.backend)

    def release(self, backend: Backend, service_s: float) -> None:
        """Return the capacity of an attempt that took `service_s` seconds."""
        backend.in_flight -= 1
        self.service_s += SERVICE_SMOOTHING_FACTOR * (service_s - self.service_s)
        self.grant()

    def grant(self) -> None:
        """Allocate free capacity to waiting requests."""
        while queue := self._next_queue():
            waiter = queue[0]
            backend = pick_least_loaded(self.backends, waiter.avoid)
            if backend is None:
                return
            queue.popleft()
            self._grants += 1
            backend.in_flight += 1
            waiter.backend = backend
            waiter.granted.set()

    def _next_queue(self) -> deque[Waiter] | None:
        """Return the queue whose head is served next, None if nothing waits."""
        live, batch = self.waiting[Urgency.LIVE], self.waiting[Urgency.BATCH]
        if batch and (not live or self._grants % BATCH_GRANT_INTERVAL == BATCH_GRANT_INTERVAL - 1):
            return batch
        return live or None

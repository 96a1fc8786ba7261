"""The queue of one pool: bounded, live requests first, batch never starved."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from expression import Error, Ok, Result

from pumicespur.routing._picker import eligible, pick_least_loaded
from pumicespur.schema.fleet_pb import Urgency

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from pumicespur.routing._backend import Backend
    from pumicespur.routing._messages import CallerRequest

BATCH_EVERY = 4
"""One grant in this many goes to batch work while any of it waits."""

FIRST_SERVICE_S = 0.005
SERVICE_SMOOTHING = 0.1


@dataclass(frozen=True)
class Refusal:
    """The queue did not take the request, or gave it up."""

    reason: str
    retry_after_s: float


@dataclass
class Waiter:
    """A request that waits for room on a backend server."""

    avoid: Collection[str]
    granted: anyio.Event = field(default_factory=anyio.Event)
    backend: Backend | None = None


class PoolQueue:
    """Hands out room on the backend servers of one pool."""

    def __init__(self, max_queue: int) -> None:
        self.max_queue = max_queue
        self.backends: list[Backend] = []
        self.waiting: dict[Urgency, deque[Waiter]] = {
            Urgency.LIVE: deque(),
            Urgency.BATCH: deque(),
        }
        self.service_s = FIRST_SERVICE_S
        self._grants = 0

    def replace_backends(self, backends: Sequence[Backend]) -> None:
        """Use these backend servers from now on."""
        self.backends = list(backends)
        self.grant()

    def expected_wait_s(self, urgency: Urgency) -> float:
        """Return how long a new request would probably wait."""
        ahead = len(self.waiting[urgency])
        if urgency is Urgency.BATCH:
            ahead += len(self.waiting[Urgency.LIVE])
        if not ahead:
            return 0.0
        width = sum(min(backend.limit, backend.slots) for backend in eligible(self.backends))
        return ahead * self.service_s / max(1, width)

    def refusal(self, request: CallerRequest) -> Refusal | None:
        """Return why a request can't be served in time, None if it probably can."""
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
        """Wait for room on a backend server; the caller must release it."""
        refusal = self.refusal(request)
        if refusal is not None:
            return Error(refusal)
        waiter = Waiter(avoid)
        self.waiting[request.urgency].append(waiter)
        self.grant()
        try:
            with anyio.move_on_after(max(0.0, request.remaining_s())):
                await waiter.granted.wait()
        except BaseException:
            # Cancelled from outside: room that was granted meanwhile goes back.
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
        """Give back the room of an attempt that took `service_s` seconds."""
        backend.in_flight -= 1
        self.service_s += SERVICE_SMOOTHING * (service_s - self.service_s)
        self.grant()

    def grant(self) -> None:
        """Hand out room to waiting requests."""
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
        live, batch = self.waiting[Urgency.LIVE], self.waiting[Urgency.BATCH]
        if batch and (not live or self._grants % BATCH_EVERY == BATCH_EVERY - 1):
            return batch
        return live or None

"""Client of the advice service, which issues tickets for running a step on given workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs.placement import order_groups
from pumicespur.utils import monotonic, now_ms

if TYPE_CHECKING:
    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._pool import PoolState
    from pumicespur.model import WorkerId
    from pumicespur.platform import WorkerOrders

log = Logger(__name__)

MAX_WORKERS_PER_CALL = 16
"""Workers in one call: enough to spread a step; the response takes a tenth of a second."""

IDLE_POLL_INTERVAL_S = 0.05
"""Pause while no step needs tickets."""

RETRY_DELAY_S = 0.3
"""Pause after the service refused or did not respond; it handles one call at a time."""


class AdviceClient:
    """Requests tickets, one call at a time, first for steps that have waited longest for a request.

    So a step that gets none does not hold up the others. Of new steps the most urgent comes first.
    """

    def __init__(self, pool: PoolState, orders: WorkerOrders) -> None:
        self.pool = pool
        self.orders = orders
        self.requested_at: dict[str, float] = {}
        """When tickets were last requested for each waiting step (monotonic seconds)."""

    async def run(self) -> None:
        """Request tickets for as long as the pool is owned."""
        while True:
            group = self._next_group()
            if group is None:
                await anyio.sleep(IDLE_POLL_INTERVAL_S)
            elif not await self._request_tickets(group):
                await anyio.sleep(RETRY_DELAY_S)

    def _next_group(self) -> StepGroup | None:
        now = monotonic()
        waiting = [
            group
            for group in order_groups(
                self.pool.jobs.values(), now_ms(), list(self.pool.loads.values())
            )
            if group.job.needs_tickets and not group.has_tickets(now)
        ]
        self.requested_at = {
            group.name: self.requested_at.get(group.name, 0.0) for group in waiting
        }
        waiting.sort(key=lambda group: self.requested_at[group.name])
        return next((group for group in waiting if self._candidates(group)), None)

    def _candidates(self, group: StepGroup) -> list[WorkerId]:
        now = monotonic()
        loads = [load for load in self.pool.loads.values() if load.can_take(group, now)]
        loads.sort(key=lambda load: (load.utilization(), load.worker.id))
        return [load.worker.id for load in loads[:MAX_WORKERS_PER_CALL]]

    async def _request_tickets(self, group: StepGroup) -> bool:
        requested_at = self.requested_at[group.name] = monotonic()
        workers = self._candidates(group)
        response = await self.orders.request_tickets(group.name, workers)
        match response:
            case Result(tag="ok", ok=(tickets, valid_s)):
                # Validity counts from the request, so that no ticket is used after it expires.
                group.tickets = {
                    worker: (ticket, requested_at + valid_s) for worker, ticket in tickets.items()
                }
                log.info("advice received", job=group.job.id, step=group.name, workers=len(tickets))
                return bool(tickets)
            case Result(error=error):
                log.warning("advice not received", step=group.name, reason=str(error))
                return False

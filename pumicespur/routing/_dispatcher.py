"""Admit a request and carry it to its end.

Three rules hold throughout. An attempt whose bytes may have left is never sent again if
the request is not repeatable. "Not run" is said of a keyed request only after the key's
row says so for good. Whatever is given up gets its final answer at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.routing._attempts import Attempts
from pumicespur.routing._freshness import Freshness
from pumicespur.routing._messages import CallerRequest, NotRun, Outcome, Unknown
from pumicespur.routing._once import OnceRequests
from pumicespur.routing._queue import Refusal
from pumicespur.routing._repeatable import RepeatableRequests

if TYPE_CHECKING:
    from pumicespur.routing._claims import ClaimBook
    from pumicespur.routing._table import RoutingTable
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.structure import TeamId

log = Logger(__name__)


class Dispatcher:
    """Carries requests to the backend servers of their pools."""

    def __init__(self, settings: EntrySettings, table: RoutingTable, claims: ClaimBook) -> None:
        self.table = table
        self.attempts = Attempts(settings)
        self.counts = self.attempts.counts
        self.repeatable = RepeatableRequests(self.attempts)
        self.once = OnceRequests(self.attempts, claims)
        self.freshness = Freshness(settings, table.replica)
        self.team_running: dict[TeamId, int] = {}

    async def handle(self, request: CallerRequest) -> Outcome:
        """Carry one request to its end."""
        await self.freshness.wait()
        if not self._enter_team(request.team):
            outcome = await self.refuse(request, 429, Refusal("team quota reached", 1.0))
        else:
            try:
                outcome = await self._handle_admitted(request)
            finally:
                self._leave_team(request.team)
        self._note(request, outcome)
        return outcome

    def _note(self, request: CallerRequest, outcome: Outcome) -> None:
        self.counts.count(outcome)
        if isinstance(outcome, Unknown):
            log.warning(
                "request outcome unknown",
                request=request.id,
                pool=request.pool,
                reason=outcome.reason,
            )

    async def _handle_admitted(self, request: CallerRequest) -> Outcome:
        queue = self.table.queues.get(request.pool)
        if queue is None:
            return await self.refuse(request, 404, Refusal("no such pool", 5.0))
        refusal = queue.refusal(request)
        if refusal is not None:
            return await self.refuse(request, 503, refusal)
        if request.repeatable:
            return await self.repeatable.run(queue, request)
        return await self.once.run(queue, request)

    async def refuse(self, request: CallerRequest, status: int, refusal: Refusal) -> Outcome:
        """Refuse a request that was not admitted; a keyed one has its row asked first."""
        if request.repeatable:
            return NotRun(status, refusal.reason, refusal.retry_after_s)
        return await self.once.refuse(request, status, refusal)

    def _enter_team(self, team: TeamId) -> bool:
        running = self.team_running.get(team, 0)
        declared = self.table.replica.fleet.teams.get(team)
        if declared and declared.max_requests and running >= declared.max_requests:
            return False
        self.team_running[team] = running + 1
        return True

    def _leave_team(self, team: TeamId) -> None:
        self.team_running[team] -= 1
        if not self.team_running[team]:
            del self.team_running[team]

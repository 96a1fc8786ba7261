"""Admission of requests, and their dispatch by kind.

Three rules hold throughout. An at-most-once request is sent again only if no byte of it was
sent, or if the backend server reported that it did not run it. "Not run" is reported for a
request with a key only after the key's row has been set to that for good. A request that is
given up gets its final response at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.routing._at_most_once import AtMostOnceRequests
from pumicespur.routing._attempts import Attempts
from pumicespur.routing._freshness import Freshness
from pumicespur.routing._idempotent import IdempotentRequests
from pumicespur.routing._messages import CallerRequest, NotRun, Outcome, Unknown
from pumicespur.routing._queue import Refusal

if TYPE_CHECKING:
    from pumicespur.routing._claims import ClaimWriter
    from pumicespur.routing._table import RoutingTable
    from pumicespur.schema.settings_pb import EntrySettings
    from pumicespur.structure import TeamId

log = Logger(__name__)


class Dispatcher:
    """Admits requests and sends them to the backend servers of their pools."""

    def __init__(self, settings: EntrySettings, table: RoutingTable, claims: ClaimWriter) -> None:
        self.table = table
        self.attempts = Attempts(settings)
        self.counts = self.attempts.counts
        self.idempotent = IdempotentRequests(self.attempts)
        self.at_most_once = AtMostOnceRequests(self.attempts, claims)
        self.freshness = Freshness(settings, table.replica)
        self.team_running: dict[TeamId, int] = {}

    async def handle(self, request: CallerRequest) -> Outcome:
        """Handle one request and return its outcome."""
        await self.freshness.wait_until_fresh()
        if not self._take_team_slot(request.team):
            outcome = await self.refuse(request, 429, Refusal("team quota reached", 1.0))
        else:
            try:
                outcome = await self._handle_admitted(request)
            finally:
                self._release_team_slot(request.team)
        self._note_outcome(request, outcome)
        return outcome

    def _note_outcome(self, request: CallerRequest, outcome: Outcome) -> None:
        """Count the outcome, and log it if it is unknown."""
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
        refusal = queue.check_admission(request)
        if refusal is not None:
            return await self.refuse(request, 503, refusal)
        if request.is_idempotent:
            return await self.idempotent.run(queue, request)
        return await self.at_most_once.run(queue, request)

    async def refuse(self, request: CallerRequest, status: int, refusal: Refusal) -> Outcome:
        """Refuse a request that was not admitted; if it has a key, check the key's row first."""
        if request.is_idempotent:
            return NotRun(status, refusal.reason, refusal.retry_after_s)
        return await self.at_most_once.refuse(request, status, refusal)

    def _take_team_slot(self, team: TeamId) -> bool:
        """Count a running request of a team; False if the team's quota is used up."""
        running = self.team_running.get(team, 0)
        declared = self.table.replica.fleet.teams.get(team)
        if declared and declared.max_requests and running >= declared.max_requests:
            return False
        self.team_running[team] = running + 1
        return True

    def _release_team_slot(self, team: TeamId) -> None:
        self.team_running[team] -= 1
        if not self.team_running[team]:
            del self.team_running[team]

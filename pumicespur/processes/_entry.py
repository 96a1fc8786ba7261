"""The entry role: the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from logbook import Logger

from pumicespur.processes._process import Process
from pumicespur.routing import ClaimWriter, Dispatcher, EntryApp, RoutingTable
from pumicespur.schema.peer_pb import Role
from pumicespur.servers import bound_address, hypercorn_config, listen, serve_app
from pumicespur.utils import print_addresses

if TYPE_CHECKING:
    from pumicespur.config import Settings

log = Logger(__name__)

STOP_DELAY_S = 1.0
"""Min time for which a stopping entry keeps its listener open and refuses new requests with
"not run", so that the load balancer's health check fails first."""


class EntryProcess(Process):
    """Accepts callers' requests and forwards them to backend servers."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, Role.ENTRY)
        self.table = RoutingTable(settings.entry, self.replica, self.platform)
        self.claims = ClaimWriter(self.platform, settings.process.id)
        self.dispatcher = Dispatcher(settings.entry, self.table, self.claims)
        self.app = EntryApp(settings.entry, self.dispatcher)
        self.socket = listen(settings.entry.listen)
        self.closed = anyio.Event()

    async def run(self) -> None:
        """Serve until a planned stop, then finish the running requests."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.run_shared)
            tasks.start_soon(self.claims.run)
            tasks.start_soon(self.table.follow_replica)
            tasks.start_soon(self.table.follow_instance_list)
            tasks.start_soon(self._serve)
            print_addresses(**self.addresses())
            await self.stop.wait()
            await self._finish()
            tasks.cancel_scope.cancel()
        await self.platform.aclose()

    async def _serve(self) -> None:
        await serve_app(self.app, hypercorn_config(self.socket), self.closed.wait)

    async def _finish(self) -> None:
        """Fail the health check, refuse new requests, and wait for running ones and claims."""
        self.stopping = True
        self.peers.stopping = True
        self.app.stopping = True
        await anyio.sleep(STOP_DELAY_S)
        finished = await self.app.finish(self.settings.entry.stop_grace_s)
        log.info("stopped", finished=finished, running=self.app.running)
        with anyio.move_on_after(self.settings.platform.timeout_s):
            while self.claims.unwritten:
                await anyio.sleep(self.settings.process.heartbeat_s / 10)
            await self.members.leave()
        self.closed.set()
        await self.table.aclose()

    def addresses(self) -> dict[str, str]:
        """Return the process's id and role, and the addresses at which it listens."""
        return super().addresses() | {"listen": bound_address(self.socket)}

    def describe(self) -> dict[str, Any]:
        """Return the process's state."""
        return super().describe() | {
            "running": self.app.running,
            "requests": vars(self.dispatcher.counts),
            "retry_tokens": self.dispatcher.attempts.budget.tokens,
            "claims": {
                "pending": self.claims.unwritten,
                "transactions": self.claims.transactions,
                "rows_written": self.claims.rows_written,
            },
            "teams": dict(self.dispatcher.team_running),
            "pools": self.table.describe(),
        }

    def measure(self) -> dict[str, float]:
        """Return the values of the metrics page by metric name."""
        counts = self.dispatcher.counts
        return super().measure() | {
            "requests_answered_total": counts.answered,
            "requests_not_run_total": counts.not_run,
            "requests_unknown_total": counts.unknown,
            "requests_already_ran_total": counts.already_ran,
            "attempts_total": counts.attempts,
            "retries_total": counts.retries,
            "requests_running": self.app.running,
            "claims_pending": self.claims.unwritten,
            "claim_transactions_total": self.claims.transactions,
        }

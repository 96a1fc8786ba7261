"""The manager role: requests of operators, and planning."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING, Any

import anyio

from pumicespur.operators import OperatorService, measure_pools, operators_app
from pumicespur.planning import Planner
from pumicespur.processes._process import Process
from pumicespur.schema.peer_pb import Role
from pumicespur.servers import bound_address, hypercorn_config, listen, serve_app
from pumicespur.state import Lease, Retention
from pumicespur.structure import ProcessId
from pumicespur.utils import print_addresses

if TYPE_CHECKING:
    from pumicespur.config import Settings


class ManagerProcess(Process):
    """Serves operators, and plans while it holds the lease."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings, Role.MANAGER)
        self.lease = Lease(self.platform, ProcessId(settings.process.id), settings.manager.lease_s)
        self.retention = Retention(settings.manager, self.platform, self.lease)
        self.planner = Planner(
            settings.manager, self.platform, self.replica, self.lease, self.retention
        )
        self.service = OperatorService(
            settings.process.id, self.replica, self.planner, self.peers, self.dump
        )
        self.socket = listen(settings.manager.listen)

    async def run(self) -> None:
        """Serve until a planned stop."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.run_shared)
            tasks.start_soon(self.lease.maintain)
            tasks.start_soon(self.planner.run)
            tasks.start_soon(self.retention.run)
            tasks.start_soon(self._serve)
            print_addresses(**self.addresses())
            await self.stop.wait()
            self.stopping = True
            with anyio.move_on_after(self.settings.platform.timeout_s):
                await self.members.leave()
            tasks.cancel_scope.cancel()
        await self.platform.aclose()

    async def _serve(self) -> None:
        config = hypercorn_config(self.socket)
        manager = self.settings.manager
        if manager.tls_certificate:
            config.certfile = manager.tls_certificate
            config.keyfile = manager.tls_key
        if manager.tls_client_authority:
            config.ca_certs = manager.tls_client_authority
            config.verify_mode = ssl.CERT_REQUIRED
        await serve_app(operators_app(self.service), config)

    def addresses(self) -> dict[str, str]:
        """Return the process's id and role, and the addresses at which it listens."""
        return super().addresses() | {"listen": bound_address(self.socket)}

    def describe(self) -> dict[str, Any]:
        """Return the process's state."""
        return super().describe() | {
            "lease": {
                "held": self.lease.is_held,
                "holder": self.lease.holder,
                "epoch": self.lease.epoch,
            },
            "rounds": self.planner.rounds,
            "decide_s": self.planner.decide_s,
            "findings": [finding.message for finding in self.planner.findings],
        }

    def measure(self) -> dict[str, float]:
        """Return the values of the metrics page by metric name."""
        values = super().measure() | {
            "lease_held": float(self.lease.is_held),
            "lease_epoch": self.lease.epoch,
            "planning_rounds_total": self.planner.rounds,
            "decide_seconds": self.planner.decide_s,
        }
        pools = measure_pools(self.replica.fleet, self.planner.listing.instances)
        for pool in pools:
            values[f"pool_available_{_metric_name_part(pool.pool)}"] = pool.available
            values[f"pool_minimum_{_metric_name_part(pool.pool)}"] = pool.min_available
            values[f"pool_buffer_{_metric_name_part(pool.pool)}"] = pool.buffer
        return values


def _metric_name_part(name: str) -> str:
    """Replace the characters of a pool's id that a metric name can't contain."""
    return name.replace("-", "_").replace(".", "_")

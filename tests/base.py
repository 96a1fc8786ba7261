"""Shared helpers of the tests."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

import httpx

from pumicespur.config import NodeSettings
from pumicespur.config._ini import IniSection
from pumicespur.config._options import fill_message
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import (
    Declaration,
    FailureDomain,
    InstanceState,
    Pool,
    Resources,
    Wave,
)
from pumicespur.schema.operators_pb import ApplyRequest
from standins.launcher import BackendOrders, Child, Launcher, PlatformOrders, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.schema.operators_pb import StatusResponse


def make_pool(name: str, size: int, minimum: int, headroom: FailureDomain | None = None) -> Pool:
    """Make a pool with an availability budget of `minimum` instances."""
    return Pool(
        id=name,
        size=size,
        min_available=minimum,
        headroom=headroom or FailureDomain.UNSPECIFIED,
        needs=Resources(millicores=1000),
    )


def make_wave(*pools: str, parallel: int = 100, halt_share: float = 0.3) -> Wave:
    """Make a maintenance wave over pools, without a time window."""
    return Wave(
        id="wave",
        pools=list(pools),
        max_parallel=parallel,
        halt_share=halt_share,
        attempts=2,
    )


def default_settings() -> NodeSettings:
    """Make a node's settings from the defaults; options without a default stay empty."""
    settings = NodeSettings()
    for name, message in settings.sections().items():
        fill_message(message, IniSection("defaults", name, 0))
    return settings


def quiet_loop() -> None:
    """Switch off the debug mode of unittest's event loop, which logs every slow callback."""
    loop = asyncio.get_running_loop()
    loop.set_debug(False)
    loop.slow_callback_duration = float("inf")


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """A test case against real processes; each test starts those that it needs."""

    reboot_ms = 200

    async def asyncSetUp(self) -> None:
        quiet_loop()

    def setUp(self) -> None:
        self.launcher = Launcher()
        self.addCleanup(self.launcher.close)
        self.http = httpx.AsyncClient(trust_env=False, timeout=20)
        self.addAsyncCleanup(self.http.aclose)

    async def start_cluster(
        self,
        declaration: Declaration,
        *,
        backends: int,
        entries: int = 1,
        managers: int = 1,
        work_ms: int = 5,
        racks: int = 4,
        **sections: dict[str, str],
    ) -> None:
        """Start processes, apply a declaration and wait until its pools are full and routed."""
        self.platform = self.launcher.start_platform(self.reboot_ms)
        self.orders = PlatformOrders(self.platform)
        self.backends = [self.launcher.start_backend(f"b{n}", work_ms) for n in range(backends)]
        self.entries = [self.start_role("entry", n, sections) for n in range(entries)]
        self.managers = [self.start_role("manager", n, sections) for n in range(managers)]
        for child in [*self.backends, *self.entries, *self.managers]:
            child.wait_ready()
        places = [(f"h{n % racks % 2}", f"r{n % racks}") for n in range(backends)]
        await self.orders.add(self.backends, places)
        self.operator = OperatorClient(self.managers[0].url, "tester")
        await self.apply(declaration)
        await self.wait_full()

    def start_role(
        self, role: str, number: int, sections: dict[str, dict[str, str]] | None = None
    ) -> Child:
        """Start one entry or manager without waiting until it is ready."""
        name = f"{role}-{number}"
        return self.launcher.start_role(role, name, self.platform, sections)

    async def apply(self, declaration: Declaration) -> int:
        """Apply a declaration on top of the present revision; return the new revision."""
        base = (await self.operator.status()).revision
        request = ApplyRequest(schema_version=SCHEMA_VERSION, put=declaration, base_revision=base)
        return (await self.operator.apply(request)).revision

    async def status(self) -> StatusResponse:
        """Fetch the status from the first manager."""
        return await self.operator.status()

    async def wait_full(self) -> None:
        """Wait until every pool is full and every entry routes to all its instances."""

        async def full() -> bool:
            status = await self.status()
            pools_full = all(p.available == p.size for p in status.pools) and bool(status.pools)
            return pools_full and all([await self.routes(entry) for entry in self.entries])

        await wait_until(full, "every pool is full and routed")

    async def routes(self, entry: Child) -> bool:
        """Return whether an entry routes to just the instances that serve at the first manager."""
        dump = (await self.http.get(f"{entry.admin_url}/dump")).json()
        status = await self.status()
        routed = {name for pool in dump["pools"].values() for name in pool["backends"]}
        serving = {
            a.instance
            for a in status.assignments
            if a.pool != "spare" and a.state is InstanceState.SERVING
        }
        return bool(dump["revision"] >= status.revision and routed == serving)

    async def runs(self, key: str) -> int:
        """Count how often an at-most-once request ran, over all backend servers."""
        states = [await BackendOrders(backend).inspect() for backend in self.backends]
        return sum(run.key == key for state in states for run in state.runs)

    async def post(
        self, entry: Child, key: str, *, pool: str = "issuance", timeout_ms: int = 5000
    ) -> httpx.Response:
        """Send an at-most-once request."""
        headers = {"idempotency-key": key, "pumicespur-timeout-ms": str(timeout_ms)}
        return await self.http.post(f"{entry.url}/{pool}/licences", headers=headers, content=key)


def outcome_of(response: httpx.Response) -> str:
    """Return the outcome header of a response."""
    return str(response.headers["pumicespur-outcome"])


def one_pool(size: int, minimum: int, waves: Sequence[Wave] = ()) -> Declaration:
    """Make a declaration with the single pool `issuance`."""
    return Declaration(pools=[make_pool("issuance", size, minimum)], waves=list(waves))

"""Measure idle cost, propagation and urgent starts on several numbers of real processes."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import httpx

from benchmarks._report import (
    percentile,
    print_section,
    print_table,
    process_cpu_s,
    process_memory_mb,
)
from benchmarks.entry import add_endpoints
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import Declaration, Job, Pool, Resources, Urgency
from pumicespur.schema.operators_pb import ApplyRequest
from pumicespur.utils import monotonic
from standins.launcher import Child, Launcher, PlatformOrders, wait_until

IDLE_S = 8.0
APPLIES = 20
INSTANCES = 200
PAIRS = (2, 4, 8)
DEFAULTS = {
    "process": {"heartbeat_s": "2", "poll_s": "1"},
    "platform": {"timeout_s": "2", "writes_per_s": "6"},
    "manager": {"lease_s": "6", "tick_s": "0.5"},
}
"""The program's own defaults, in place of the launcher's `FAST_SETTINGS`."""


@dataclass
class Cluster:
    """Pairs of an entry and a manager, and one entry that can't reach the store."""

    launcher: Launcher
    platform: Child
    orders: PlatformOrders
    entries: list[Child]
    managers: list[Child]
    cut_off: Child

    @property
    def roles(self) -> list[Child]:
        """All processes of the system under test."""
        return [*self.entries, *self.managers, self.cut_off]


def start(pairs: int) -> Cluster:
    """Start the processes with the program's default settings."""
    launcher = Launcher()
    platform = launcher.start_platform()
    entries = [launcher.start_role("entry", f"entry-{n}", platform, DEFAULTS) for n in range(pairs)]
    managers = [
        launcher.start_role("manager", f"manager-{n}", platform, DEFAULTS) for n in range(pairs)
    ]
    for child in [*entries, *managers]:
        child.wait_ready()
    unreachable = {"url": "http://127.0.0.1:1"}
    peers = {"peers": f"{managers[0].ready['peer']}, {entries[0].ready['peer']}"}
    sections = DEFAULTS | {
        "platform": DEFAULTS["platform"] | unreachable,
        "process": DEFAULTS["process"] | peers,
    }
    cut_off = launcher.start_role("entry", "entry-cut-off", platform, sections)
    cut_off.wait_ready()
    return Cluster(launcher, platform, PlatformOrders(platform), entries, managers, cut_off)


async def revisions(client: httpx.AsyncClient, children: list[Child]) -> list[int]:
    """Fetch the revisions of several processes concurrently."""
    found: list[int] = [0] * len(children)

    async def fetch(number: int, child: Child) -> None:
        text = (await client.get(f"{child.admin_url}/metrics")).text
        line = next(x for x in text.splitlines() if x.startswith("pumicespur_revision{"))
        found[number] = int(float(line.split()[-1]))

    async with anyio.create_task_group() as tasks:
        for number, child in enumerate(children):
            tasks.start_soon(fetch, number, child)
    return found


async def propagation(cluster: Cluster, operator: OperatorClient) -> list[float]:
    """Apply changes; return the time until each was in force on every process, in seconds."""
    seconds: list[float] = []
    async with httpx.AsyncClient(trust_env=False) as client:
        for number in range(APPLIES):
            put = Declaration(pools=[Pool(id=f"extra-{number}")])
            request = ApplyRequest(schema_version=SCHEMA_VERSION, put=put, base_revision=10**9)
            started = monotonic()
            revision = (await operator.apply(request)).revision
            while min(await revisions(client, cluster.roles)) < revision:
                await anyio.sleep(0.005)
            seconds.append(monotonic() - started)
            await anyio.sleep(0.2)
    return seconds


async def urgent_starts(cluster: Cluster, operator: OperatorClient) -> list[float]:
    """Declare urgent jobs; return the time until the platform started each, in seconds."""
    seconds: list[float] = []
    for number in range(APPLIES):
        name = f"urgent-{number}"
        job = Job(
            id=name,
            pool="pool",
            tasks=1,
            needs=Resources(millicores=100),
            urgency=Urgency.LIVE,
        )
        request = ApplyRequest(
            schema_version=SCHEMA_VERSION, put=Declaration(jobs=[job]), base_revision=10**9
        )
        started = monotonic()
        await operator.apply(request)

        async def started_task(name: str = name) -> bool:
            events = (await cluster.orders.history()).events
            return any(e.kind == "task-start" and name in e.token for e in events[-50:])

        await wait_until(started_task, name)
        seconds.append(monotonic() - started)
    return seconds


async def measure_idle(cluster: Cluster) -> dict[str, tuple[float, float, float]]:
    """Leave the system idle; return each process's percent of a core, MB and peer bytes/s."""
    before = {child.name: process_cpu_s(child.process.pid) for child in cluster.roles}
    bytes_before = {child.name: peer_bytes(child) for child in cluster.roles}
    started = monotonic()
    await anyio.sleep(IDLE_S)
    elapsed_s = monotonic() - started
    return {
        child.name: (
            (process_cpu_s(child.process.pid) - before[child.name]) / elapsed_s * 100,
            process_memory_mb(child.process.pid),
            (peer_bytes(child) - bytes_before[child.name]) / elapsed_s,
        )
        for child in cluster.roles
    }


def print_idle(processes: int, role: str, used: list[tuple[float, float, float]]) -> None:
    """Print a role's idle cost: the medians, and the range of the processor time."""
    cores, memory, messages = (sorted(column) for column in zip(*used, strict=True))
    middle = len(used) // 2
    print(
        f"{processes} processes at rest, {role}: {cores[middle]:.1f}% of a core "
        f"({cores[0]:.1f}-{cores[-1]:.1f}), {memory[middle]:.0f} MB, "
        f"{messages[middle] / 1000:.1f} KB/s with peers",
        flush=True,
    )


def peer_bytes(child: Child) -> float:
    """Return the bytes that a process has exchanged with peers."""
    return float(child.describe()["peer_bytes"])


async def measure(pairs: int) -> list[tuple[object, ...]]:
    """Measure one cluster size; return its table row."""
    cluster = start(pairs)
    try:
        addresses = [f"127.0.0.1:{20000 + n}" for n in range(INSTANCES)]
        await add_endpoints(cluster.orders, addresses)
        operator = OperatorClient(cluster.managers[0].url, "bench")
        put = Declaration(pools=[Pool(id="pool", size=INSTANCES)])
        await operator.apply(ApplyRequest(schema_version=SCHEMA_VERSION, put=put))

        async def full() -> bool:
            return (await operator.status()).pools[0].available == INSTANCES

        await wait_until(full, "the pool is full")
        await anyio.sleep(3)
        history = await cluster.orders.history()
        used = await measure_idle(cluster)
        after = await cluster.orders.history()
        spread = await propagation(cluster, operator)
        urgent = await urgent_starts(cluster, operator)
        planner = (await operator.status()).planner
        groups = {
            "entries": [child.name for child in cluster.entries],
            "planner": [planner],
            "other managers": [m.name for m in cluster.managers if m.name != planner],
        }
        for role, names in groups.items():
            print_idle(pairs * 2 + 1, role, [used[name] for name in names])
        return [
            (
                pairs * 2 + 1,
                f"{(after.reads - history.reads) / IDLE_S:.1f}",
                f"{(after.writes - history.writes) / IDLE_S:.1f}",
                f"{percentile(spread, 0.5):.2f} / {max(spread):.2f}",
                f"{percentile(urgent, 0.5):.2f} / {max(urgent):.2f}",
            )
        ]
    finally:
        cluster.launcher.close()


async def main() -> None:
    """Print the figures for each number of processes."""
    print_section(f"Control with default settings, {INSTANCES} instances")
    rows: list[tuple[object, ...]] = []
    for pairs in PAIRS:
        rows += await measure(pairs)
    header = ("PROCESSES", "READS/S", "WRITES/S", "IN FORCE P50/MAX S", "URGENT START P50/MAX S")
    print_table(header, rows)


if __name__ == "__main__":
    anyio.run(main)

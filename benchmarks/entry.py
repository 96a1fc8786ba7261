"""Measure one entry on real processes: rate, latency, processor time and memory."""

from __future__ import annotations

import json
import socket
import statistics
import time

import anyio

from benchmarks._report import print_section, print_table, process_cpu_s, process_memory_mb
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import Declaration, Pool, Resources
from pumicespur.schema.operators_pb import ApplyRequest
from pumicespur.schema.platform_pb import ListedInstance, Liveness
from standins.launcher import Child, Launcher, PlatformOrders, wait_until
from standins.schema.standins_pb import AddInstancesRequest

ENDPOINTS = (8, 40, 200, 1000)
SECONDS = 3.0
REPEATS = 3
IDLE_CONNECTIONS = 500
ENTRY_SETTINGS = {"entry": {"entries": "1", "max_connections": "5000"}}


async def add_endpoints(orders: PlatformOrders, addresses: list[str]) -> None:
    """List endpoints as instances that accept no orders."""
    request = AddInstancesRequest()
    for number, address in enumerate(addresses):
        request.instances.append(
            ListedInstance(
                id=f"i{number}",
                data_hall=f"h{number % 4}",
                rack=f"r{number // 4}",
                address=address,
                resources=Resources(millicores=16000, memory_mb=32768),
                liveness=Liveness.LIVE,
                boot="b",
                slots=8,
            )
        )
    await orders.stub.add_instances(request)


async def start(launcher: Launcher, endpoints: int) -> tuple[Child, Child, list[str]]:
    """Start an entry and a naive one over echo endpoints; return both and the addresses."""
    platform = launcher.start_platform()
    echo = launcher.start("echo", "benchmarks._echo", "--ports", str(endpoints))
    entry = launcher.start_role("entry", "entry-0", platform, ENTRY_SETTINGS)
    manager = launcher.start_role("manager", "manager-0", platform)
    for child in (echo, entry, manager):
        child.wait_ready()
    addresses = echo.ready["addresses"].split(",")
    naive = launcher.start("naive", "benchmarks._naive_entry", "--addresses", ",".join(addresses))
    naive.wait_ready()
    await add_endpoints(PlatformOrders(platform), addresses)
    operator = OperatorClient(manager.url, "bench")
    declaration = Declaration(pools=[Pool(id="pool", size=endpoints)])
    await operator.apply(ApplyRequest(schema_version=SCHEMA_VERSION, put=declaration))

    async def full() -> bool:
        pools = entry.describe()["pools"]
        return bool(pools) and len(pools["pool"]["backends"]) == endpoints

    await wait_until(full, "the entry routes to all endpoints", 60)
    manager.kill()
    return entry, naive, addresses


def run_load(launcher: Launcher, address: str, connections: int) -> dict[str, float]:
    """Run the load generator and return what it measured."""
    options = ("--address", address, "--connections", str(connections), "--seconds", str(SECONDS))
    child = launcher.start("load", "benchmarks._load", *options)
    assert child.process.stdout is not None
    line = child.process.stdout.readline()
    if not line:
        raise RuntimeError(f"the load generator failed: {launcher.errors()[-2000:]}")
    result: dict[str, float] = json.loads(line)
    child.process.wait()
    return result


def measure(
    launcher: Launcher, child: Child | None, address: str, connections: int
) -> dict[str, float]:
    """Run load; return its figures and the processor time per request of `child`."""
    before = process_cpu_s(child.process.pid) if child else 0.0
    result = run_load(launcher, address, connections)
    cpu_s = process_cpu_s(child.process.pid) - before if child else 0.0
    requests = result["rate"] * SECONDS + result["failed"]
    result["cpu_ms"] = cpu_s * 1000 / max(1, requests)
    return result


def memory_per_connection_kb(entry: Child) -> float:
    """Return an entry's memory per idle caller connection, in KB."""
    host, _, port = entry.ready["listen"].rpartition(":")
    before = process_memory_mb(entry.process.pid)
    sockets = [socket.create_connection((host, int(port))) for _ in range(IDLE_CONNECTIONS)]
    time.sleep(1.0)
    after = process_memory_mb(entry.process.pid)
    for connection in sockets:
        connection.close()
    return (after - before) * 1024 / IDLE_CONNECTIONS


async def compare(endpoints: int) -> list[tuple[object, ...]]:
    """Measure the entry, the naive entry and a direct connection in turn, `REPEATS` times."""
    launcher = Launcher()
    try:
        entry, naive, addresses = await start(launcher, endpoints)
        targets: dict[str, tuple[Child | None, str]] = {
            "entry": (entry, entry.ready["listen"]),
            "naive": (naive, naive.ready["listen"]),
            "direct": (None, addresses[0]),
        }
        busy: dict[str, list[dict[str, float]]] = {name: [] for name in targets}
        calm: dict[str, list[dict[str, float]]] = {name: [] for name in targets}
        for _ in range(REPEATS):
            for name, (child, address) in targets.items():
                busy[name].append(measure(launcher, child, address, 16))
                calm[name].append(measure(launcher, child, address, 1))
        memory = {
            "entry": process_memory_mb(entry.process.pid),
            "naive": process_memory_mb(naive.process.pid),
            "direct": 0.0,
        }
        per_connection = {
            "entry": f"{memory_per_connection_kb(entry):.0f}",
            "naive": f"{memory_per_connection_kb(naive):.0f}",
            "direct": "-",
        }
        return [
            (
                endpoints,
                name,
                f"{median(busy[name], 'rate'):.0f} ({spread(busy[name], 'rate')})",
                f"{median(calm[name], 'p50_ms'):.2f}",
                f"{median(calm[name], 'p99_ms'):.2f}",
                f"{median(busy[name], 'cpu_ms'):.2f}",
                f"{memory[name]:.0f}",
                per_connection[name],
                sum(int(result["failed"]) for result in busy[name] + calm[name]),
            )
            for name in targets
        ]
    finally:
        launcher.close()


def median(results: list[dict[str, float]], key: str) -> float:
    """Return the median of a figure over all repeats."""
    return statistics.median(result[key] for result in results)


def spread(results: list[dict[str, float]], key: str) -> str:
    """Return the minimum and maximum of a figure over all repeats."""
    values = [result[key] for result in results]
    return f"{min(values):.0f}-{max(values):.0f}"


async def main() -> None:
    """Print the comparison for each number of endpoints."""
    print_section("One entry: rate with 16 callers, latency with one; three repeats in turn")
    rows: list[tuple[object, ...]] = []
    for endpoints in ENDPOINTS:
        rows += await compare(endpoints)
    header = ("ENDPOINTS", "PATH", "REQUESTS/S", "P50 MS", "P99 MS", "CPU MS/REQUEST", "RSS MB")
    print_table((*header, "KB/CONNECTION", "FAILED"), rows)


if __name__ == "__main__":
    anyio.run(main)

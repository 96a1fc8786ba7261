"""Measure instance lists of up to 20,000: whole, summed or as changes; and the routing table."""

from __future__ import annotations

import time
import tracemalloc
from collections import Counter
from typing import TYPE_CHECKING

from benchmarks._report import print_section, print_table, timed
from pumicespur.connect import PlatformClient
from pumicespur.routing import RoutingTable
from pumicespur.schema.fleet_pb import Assignment, InstanceState, Pool, Resources
from pumicespur.schema.platform_pb import (
    ListedInstance,
    ListInstancesResponse,
    Liveness,
)
from pumicespur.schema.settings_pb import EntrySettings, PlatformSettings
from pumicespur.state import Log, Replica
from pumicespur.structure import InstanceId, PoolId

if TYPE_CHECKING:
    from collections.abc import Hashable

SIZES = (200, 2_000, 20_000)
POOLS = 27
HALLS = 11
INSTANCES_PER_RACK = 4
CHANGES_PER_DAY = 310 + 2 * 7_800 + 4 * 20_000 // 49
"""Failures; replacements (one leaves, one joins); a wave's steps. From the users' first letter."""

SECONDS_PER_DAY = 86_400
BOOT = "0123456789abcdef0123456789abcdef"


def make_list(size: int) -> ListInstancesResponse:
    """Make the platform's list of `size` instances."""
    return ListInstancesResponse(
        instances=[
            ListedInstance(
                id=f"instance-{number}",
                region=f"region-{number % HALLS % 3}",
                data_hall=f"hall-{number % HALLS}",
                rack=f"rack-{number // INSTANCES_PER_RACK}",
                address="10.0.0.1:8080",
                resources=Resources(millicores=16000, memory_mb=32768),
                liveness=Liveness.LIVE,
                boot=BOOT,
                slots=8,
            )
            for number in range(size)
        ]
    )


def sum_bytes(counts: Counter[Hashable]) -> int:
    """Return the bytes of one count per group, each a varint after the group's name."""
    return sum(len(str(group)) + 3 for group in counts)


def print_reports() -> None:
    """Print the cost of the whole list, and of sums or changes in its place."""
    print_section("The instance list: bytes and time, against sums and changes")
    rows = []
    for size in SIZES:
        whole = make_list(size)
        content = whole.to_binary()
        decode, *_ = timed(lambda content=content: ListInstancesResponse.from_binary(content))  # type: ignore[misc]
        other = ListInstancesResponse.from_binary(content)
        compare, *_ = timed(lambda a=whole, b=other: a == b)  # type: ignore[misc]
        by_hall = Counter((n % POOLS, i.data_hall) for n, i in enumerate(whole.instances))
        by_rack = Counter((n % POOLS, i.rack) for n, i in enumerate(whole.instances))
        change = len(whole.instances[-1].to_binary()) + 2
        per_second = CHANGES_PER_DAY * size / 20_000 / SECONDS_PER_DAY * change
        rows.append(
            (
                size,
                f"{len(content) / 1000:.1f}",
                f"{decode * 1000:.1f}",
                f"{compare * 1000:.1f}",
                f"{sum_bytes(by_hall) / 1000:.1f}",  # type: ignore[arg-type]
                f"{sum_bytes(by_rack) / 1000:.1f}",  # type: ignore[arg-type]
                f"{per_second:.1f}",
            )
        )
    header = ("WORKERS", "LIST KB", "DECODE MS", "COMPARE MS", "SUM/HALL KB", "SUM/RACK KB")
    print_table((*header, "CHANGES B/S"), rows)


def print_table_cost() -> None:
    """Print the time and memory of an entry's routing table over the whole fleet."""
    print_section("An entry's routing table over the whole fleet")
    rows = []
    for size in SIZES:
        client = PlatformClient(PlatformSettings(url="http://127.0.0.1:1", timeout_s=1))
        replica = Replica(Log(client))
        for number in range(POOLS):
            replica.fleet.pools[PoolId(f"p{number}")] = Pool(id=f"p{number}", size=size)
        for number in range(size):
            replica.fleet.assignments[InstanceId(f"i{number}")] = Assignment(
                instance=f"i{number}",
                pool=f"p{number % POOLS}",
                state=InstanceState.SERVING,
                address="10.0.0.1:8080",
                slots=8,
            )
        settings = EntrySettings(entries=8, backend_connections=60, max_queue=128)
        tracemalloc.start()
        table = RoutingTable(settings, replica, client)
        started = time.perf_counter()
        table.rebuild()
        first = time.perf_counter() - started
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        again, low, high = timed(table.rebuild)
        rows.append(
            (
                size,
                f"{first * 1000:.0f}",
                f"{again * 1000:.1f} ({low * 1000:.1f}-{high * 1000:.1f})",
                f"{memory / 1e6:.1f}",
            )
        )
    print_table(("WORKERS", "FIRST BUILD MS (TRACED)", "REBUILD MS", "MB"), rows)


def main() -> None:
    """Print all figures."""
    print_reports()
    print_table_cost()


if __name__ == "__main__":
    main()

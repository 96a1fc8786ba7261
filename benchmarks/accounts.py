"""Measure the cost of client accounts: key checks, rounds with limits, decoding many keys."""

from __future__ import annotations

import json
import time
from typing import TYPE_CHECKING

from benchmarks._report import print_section, print_table
from benchmarks.jobs import CONFIGURATION, POOL, ROUTE, make_pool
from pumicespur.model import AccountId, Capacity, ClientAccount, PoolId, key_digest
from pumicespur.platform import decode_configuration
from pumicespur.platform._callers import bearer_key
from pumicespur.schema.jobs_pb import JobRecord, StepRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs._pool import PoolState

ACCOUNTS = 10_000
KEYS_PER_ACCOUNT = 10
ROUND_ACCOUNTS = 1_000
ROUND_WORKERS = 200
ROUND_JOBS = 1_000
REPEATS = 3
ROUNDS = 6
CALLS = 20_000


def make_content() -> bytes:
    """Return a configuration with 100,000 keys."""
    accounts = [
        {
            "name": f"account-{number:05}",
            "apiKeys": [f"key-{number:05}-{key:02}-abcdefgh" for key in range(KEYS_PER_ACCOUNT)],
            "weight": 4,
            "upperLimit": {"cpu": 100_000, "memMb": 200_000, "gpu": 0},
        }
        for number in range(ACCOUNTS)
    ]
    route = {"name": "quick", "host": "host", "pathPrefix": "/", "backend": "main"}
    return json.dumps({"version": 1, "routes": [route], "tenants": accounts}).encode()


def min_duration_s(operation: Callable[[], object]) -> float:
    """Return the shortest duration of several runs, in seconds."""
    durations = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        operation()
        durations.append(time.perf_counter() - started)
    return min(durations)


def round_cpu_s(accounts: int, *, several_pools: bool) -> float:
    """Return the processor seconds of a placement round over jobs of `accounts` accounts."""
    pool = make_pool(ROUND_WORKERS)
    add_waiting_jobs(pool, accounts, several_pools=several_pools)
    started = time.process_time()
    pool.place(0.0, 0.0)
    return time.process_time() - started


def add_waiting_jobs(pool: PoolState, accounts: int, *, several_pools: bool) -> None:
    """Submit jobs that wait, spread over `accounts` accounts."""
    limit = Capacity(1_000_000, 2_000_000)
    names = [AccountId(f"account-{number}") for number in range(accounts)]
    pool.limits.set_accounts({name: ClientAccount(name, 100.0, limit) for name in names})
    if several_pools:
        pool.limits.set_founders([POOL, PoolId("b"), PoolId("c"), PoolId("d")])
    step = StepRecord(count=3, cpu_millis=880, memory_mb=1300, estimated_ms=1000)
    for number in range(ROUND_JOBS):
        account = names[number % accounts] if accounts else AccountId("")
        record = JobRecord(
            id=f"{number + 10_000:016x}", route=ROUTE.name, steps=[step], account=account
        )
        pool.add_job(record, CONFIGURATION, None)


def main() -> None:
    """Print the costs beside their targets."""
    content = make_content()
    decode_s = min_duration_s(lambda: decode_configuration(content))
    keys = decode_configuration(content).ok.keys
    header = "Bearer key-07777-03-abcdefgh"

    def check_keys() -> None:
        for _ in range(CALLS):
            key = bearer_key(header)
            assert key is not None and key_digest(key) in keys

    # Alternating, so that other load on the machine affects both alike.
    rounds = [
        (round_cpu_s(0, several_pools=False), round_cpu_s(ROUND_ACCOUNTS, several_pools=True))
        for _ in range(ROUNDS)
    ]
    plain_s = min(plain for plain, _ in rounds)
    limited_s = min(limited for _, limited in rounds)
    rows = [
        ("key check of a call, us", f"{min_duration_s(check_keys) / CALLS * 1e6:.2f}", "20"),
        ("configuration with 100,000 keys, s", f"{decode_s:.3f}", ""),
        ("round without accounts, ms", f"{plain_s * 1e3:.1f}", ""),
        ("round with 1,000 accounts, ms", f"{limited_s * 1e3:.1f}", ""),
        ("ratio of the two rounds", f"{limited_s / plain_s:.2f}", "1.2"),
    ]
    print_section("Client accounts")
    print_table(("what", "measured", "target"), rows)

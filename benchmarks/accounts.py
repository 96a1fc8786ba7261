"""Measure what client accounts cost: the key of a call, a round with limits, many keys."""

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
KEYS_EACH = 10
ROUND_ACCOUNTS = 1_000
ROUND_WORKERS = 200
ROUND_JOBS = 1_000
REPEATS = 3
ROUNDS = 6
CALLS = 20_000


def make_content() -> bytes:
    """Write a configuration with 100,000 keys."""
    accounts = [
        {
            "name": f"account-{number:05}",
            "apiKeys": [f"key-{number:05}-{key:02}-abcdefgh" for key in range(KEYS_EACH)],
            "weight": 4,
            "upperLimit": {"cpu": 100_000, "memMb": 200_000, "gpu": 0},
        }
        for number in range(ACCOUNTS)
    ]
    route = {"name": "quick", "host": "host", "pathPrefix": "/", "backend": "main"}
    return json.dumps({"version": 1, "routes": [route], "tenants": accounts}).encode()


def best_s(act: Callable[[], object]) -> float:
    """Return the shortest of several runs, in seconds."""
    took = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        act()
        took.append(time.perf_counter() - started)
    return min(took)


def round_s(accounts: int, *, several_pools: bool) -> float:
    """Return the processor time of a placement round over jobs of some accounts, in seconds."""
    pool = make_pool(ROUND_WORKERS)
    prepare(pool, accounts, several_pools=several_pools)
    started = time.process_time()
    pool.place(0.0, 0.0)
    return time.process_time() - started


def prepare(pool: PoolState, accounts: int, *, several_pools: bool) -> None:
    """Submit jobs that wait, spread over some accounts."""
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
    """Print the three costs."""
    content = make_content()
    read_s = best_s(lambda: decode_configuration(content))
    keys = decode_configuration(content).ok.keys
    header = "Bearer key-07777-03-abcdefgh"

    def check() -> None:
        for _ in range(CALLS):
            key = bearer_key(header)
            assert key is not None and key_digest(key) in keys

    # By turns, so that what else the machine does strikes both alike.
    rounds = [
        (round_s(0, several_pools=False), round_s(ROUND_ACCOUNTS, several_pools=True))
        for _ in range(ROUNDS)
    ]
    plain_s = min(plain for plain, _ in rounds)
    limited_s = min(limited for _, limited in rounds)
    rows = [
        ("key of a call, us", f"{best_s(check) / CALLS * 1e6:.2f}", "20"),
        ("configuration with 100,000 keys, s", f"{read_s:.3f}", ""),
        ("round without accounts, ms", f"{plain_s * 1e3:.1f}", ""),
        ("round with 1,000 accounts, ms", f"{limited_s * 1e3:.1f}", ""),
        ("times a round without", f"{limited_s / plain_s:.2f}", "1.2"),
    ]
    print_section("Client accounts")
    print_table(("what", "measured", "aim"), rows)

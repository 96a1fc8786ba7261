"""Run the whole system through a maintenance wave that loses an entry and the planner half way.

Starts the platform stand-in, backend servers (both clusters scaled down) and three pairs of an
entry and a manager process; applies declarations; sends live lookups, batch work and at-most-once
requests throughout; runs one maintenance wave; kills one entry and the planning manager half way.
Exits with 1 if a guarantee was broken.
"""

from __future__ import annotations

import random
import sys
import uuid
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx

from pumicespur.commands._output import print_table
from pumicespur.config import load_declaration
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import WavePhase
from pumicespur.schema.operators_pb import ApplyRequest, WaveAction, WaveRequest
from pumicespur.utils import monotonic
from standins.checker import count_moves, count_runs, lowest_availability, undrained_moves
from standins.launcher import BackendOrders, Child, Launcher, PlatformOrders, wait_until

DECLARATION = Path(__file__).parent / "demo.ini"
POOLS = ("issuance", "enforcement", "finder-api", "pricing")
SPARES = 2
ENTRIES = 3
CALLERS_PER_KIND = 4
WAVE_TIMEOUT_S = 60.0
REQUEST_PAUSE_S = 0.01


@dataclass
class Tally:
    """The responses that callers got, by kind of request and outcome."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    keys_not_run: set[str] = field(default_factory=set)
    keys_answered: set[str] = field(default_factory=set)
    wrong_answers: int = 0


@dataclass
class Cluster:
    """The processes of the demo."""

    platform: Child
    backends: list[Child]
    entries: list[Child]
    managers: list[Child]


def start(launcher: Launcher) -> Cluster:
    """Start every process and wait until all are ready."""
    platform = launcher.start_platform(reboot_ms=500)
    count = len(POOLS) * 4 + SPARES
    backends = [launcher.start_backend(f"b{number}") for number in range(count)]
    entries = [launcher.start_role("entry", f"entry-{n}", platform) for n in range(ENTRIES)]
    managers = [launcher.start_role("manager", f"manager-{n}", platform) for n in range(ENTRIES)]
    for child in [*backends, *entries, *managers]:
        child.wait_ready()
    return Cluster(platform, backends, entries, managers)


async def send_requests(cluster: Cluster, kind: str, tally: Tally, stop: anyio.Event) -> None:
    """Send requests of one kind, one after the other, until `stop` is set."""
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        while not stop.is_set():
            await send_one(client, cluster, kind, tally)
            await anyio.sleep(REQUEST_PAUSE_S)


async def send_one(client: httpx.AsyncClient, cluster: Cluster, kind: str, tally: Tally) -> None:
    """Send a request through a running entry, as the balancer would, and count the outcome."""
    entry = random.choice([e for e in cluster.entries if e.process.poll() is None])
    key = uuid.uuid4().hex
    try:
        match kind:
            case "live":
                response = await client.get(f"{entry.url}/{random.choice(POOLS[1:3])}/lookup")
            case "batch":
                headers = {"pumicespur-urgency": "batch"}
                response = await client.get(f"{entry.url}/pricing/tariffs", headers=headers)
            case _:
                headers = {"idempotency-key": key}
                url = f"{entry.url}/issuance/licences"
                response = await client.post(url, headers=headers, content=key)
    except httpx.HTTPError:
        tally.outcomes[kind, "connection lost"] += 1
        return
    outcome = response.headers.get("pumicespur-outcome", "none")
    tally.outcomes[kind, outcome] += 1
    if kind == "once":
        note_at_most_once(tally, key, outcome, response)


def note_at_most_once(tally: Tally, key: str, outcome: str, response: httpx.Response) -> None:
    """Note the outcome that an at-most-once request was given."""
    if outcome == "not-run":
        tally.keys_not_run.add(key)
    elif outcome == "answered":
        tally.keys_answered.add(key)
        if response.json()["key"] != key:
            tally.wrong_answers += 1


async def apply_declaration(operator: OperatorClient) -> None:
    """Apply the demo's declarations and wait until every pool is full."""
    declaration, _ = load_declaration([DECLARATION])
    await operator.apply(ApplyRequest(schema_version=SCHEMA_VERSION, put=declaration))

    async def all_full() -> bool:
        status = await operator.status()
        return bool(status.pools) and all(p.available == p.size for p in status.pools)

    await wait_until(all_full, "pools are full")


async def run_wave(cluster: Cluster, operator: OperatorClient, watcher: OperatorClient) -> float:
    """Run the wave, kill an entry and the planner half way; return the roll-out time in seconds."""
    started = monotonic()
    await operator.control_wave(WaveRequest(wave="kernel", action=WaveAction.START))

    async def half_done() -> bool:
        status = await watcher.status()
        return any(progress.done >= len(POOLS) * 2 for progress in status.waves)

    async def done() -> bool:
        status = await watcher.status()
        return any(progress.phase is WavePhase.DONE for progress in status.waves)

    await wait_until(half_done, "half of the wave", WAVE_TIMEOUT_S)
    cluster.entries[0].kill()
    planner = (await watcher.status()).planner
    next(child for child in cluster.managers if child.name == planner).kill()
    await wait_until(done, "the wave's end", WAVE_TIMEOUT_S)
    return monotonic() - started


async def check_guarantees(cluster: Cluster, tally: Tally, rollout_s: float) -> bool:
    """Print the summary from the stand-ins' histories; return whether all guarantees held."""
    history = await PlatformOrders(cluster.platform).history()
    runs: Counter[str] = Counter()
    for backend in cluster.backends:
        runs += count_runs(await BackendOrders(backend).inspect())
    ran_twice = [key for key, count in runs.items() if count > 1]
    false_not_run = [key for key in tally.keys_not_run if runs[key]]
    lost = [key for key in tally.keys_answered if not runs[key]]
    budgets = lowest_availability(history)
    print_table(
        ("KIND", "OUTCOME", "REQUESTS"),
        [(kind, outcome, count) for (kind, outcome), count in sorted(tally.outcomes.items())],
    )
    print()
    print_table(
        ("POOL", "LOWEST AVAILABLE", "BUDGET"),
        [(pool, low.lowest, low.minimum) for pool, low in budgets.items()],
    )
    print()
    undrained = undrained_moves(history)
    moves = count_moves(history)
    rows = [
        ("at-most-once requests run twice", len(ran_twice)),
        ('run although reported "not run"', len(false_not_run)),
        ("answered although never run", len(lost)),
        ("responses to another request", tally.wrong_answers),
        ("instances moved without a drain", len(undrained)),
        ("moves of instances / tasks", f"{moves.instances} / {moves.tasks}"),
        ("roll-out time, s", round(rollout_s, 1)),
        ("store writes / reads", f"{history.writes} / {history.reads}"),
    ]
    print_table(("MEASURE", "VALUE"), rows)
    broken = [ran_twice, false_not_run, lost, undrained, tally.wrong_answers]
    over_budget = [pool for pool, seen in budgets.items() if seen.lowest < seen.minimum]
    return not any(broken) and not over_budget


async def main() -> int:
    """Run the demo; return the exit status."""
    launcher = Launcher()
    try:
        cluster = start(launcher)
        places = [(f"hall-{n % 4}", f"rack-{n % 8}") for n in range(len(cluster.backends))]
        await PlatformOrders(cluster.platform).add(cluster.backends, places)
        operator = OperatorClient(cluster.managers[0].url, "demo")
        tally = Tally()
        stop = anyio.Event()
        await apply_declaration(operator)
        async with anyio.create_task_group() as callers:
            for kind in ("live", "batch", "once") * CALLERS_PER_KIND:
                callers.start_soon(send_requests, cluster, kind, tally, stop)
            planner = (await operator.status()).planner
            other = next(m for m in cluster.managers if m.name != planner)
            watcher = OperatorClient(other.url, "demo")
            rollout_s = await run_wave(cluster, operator, watcher)
            stop.set()
        held = await check_guarantees(cluster, tally, rollout_s)
        print("\nall guarantees held" if held else "\na guarantee was BROKEN")
        return 0 if held else 1
    finally:
        launcher.close()


if __name__ == "__main__":
    sys.exit(anyio.run(main))

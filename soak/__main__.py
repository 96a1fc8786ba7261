"""Command line of the soak: run seeds, replay a plan, shrink a failing plan."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from cyclopts import App

from soak._plan import (
    Deployment,
    FaultKind,
    Plan,
    draw_evacuation_plan,
    draw_loss_plan,
    draw_overlapping_plan,
    draw_plan,
    draw_shape_plan,
    load_plan,
    save_plan,
)
from soak._run import Outcome, run_plan
from soak.mutant import Mutant
from standins.hosted import SUSPENDABLE_MODULE

app = App(name="soak", help=__doc__)

DEFAULT_ARTIFACTS_DIR = Path("target/soak")


def _print_outcome(outcome: Outcome) -> None:
    steadiness = outcome.steadiness
    kinds = ", ".join(sorted({fault.kind.value for fault in outcome.plan.faults}))
    verdict = "FAILED" if outcome.findings else "held"
    print(
        f"seed {outcome.plan.seed}: {verdict}; {outcome.accepted} of {outcome.jobs} jobs accepted,"
        f" {outcome.runs} runs, {outcome.took_s:.0f} s ({outcome.judged_s:.0f} s calm, gaps up to"
        f" {steadiness.longest_gap_s:.1f} s, waits up to {steadiness.longest_wait_s:.1f} s);"
        f" {kinds}",
        flush=True,
    )
    for finding in outcome.findings:
        print(f"    {finding.promise}: {finding.detail[:300]}", flush=True)


@app.command
def run(
    *,
    seed: int | None = None,
    count: int = 1,
    length_s: float = 12.0,
    nodes: int = 3,
    workers: int = 6,
    at_once: int = 2,
    kinds: list[FaultKind] | None = None,
    evacuations: bool = False,
    losses: bool = False,
    shapes: bool = False,
    keep: Path = DEFAULT_ARTIFACTS_DIR,
    module: str = SUSPENDABLE_MODULE,
) -> int:
    """Run the plans of consecutive seeds, several at once; new seeds unless one is given.

    With `evacuations`, the plans evacuate data halls, alone or beside one other fault each;
    `kinds` is then ignored. With `losses`, they end workers and owners for long, alone or beside
    another fault, with demand by turns. With `shapes`, callers send jobs of unusual shapes.
    """
    first = int(time.time()) % 10_000_000 if seed is None else seed
    deployment = Deployment(nodes=nodes, workers=workers)
    seeds = range(first, first + count)
    if evacuations:
        plans = [draw_evacuation_plan(number, length_s, deployment) for number in seeds]
    elif losses:
        plans = [draw_loss_plan(number, length_s, deployment) for number in seeds]
    elif shapes:
        plans = [draw_shape_plan(number, length_s, deployment) for number in seeds]
    else:
        plans = [draw_plan(number, length_s, deployment, kinds or ()) for number in seeds]
    outcomes = asyncio.run(_run_plans(plans, at_once, keep, module))
    failed = [outcome.plan.seed for outcome in outcomes if outcome.findings]
    print(f"{count - len(failed)} seeds held, {len(failed)} failed: {failed}")
    return 1 if failed else 0


async def _run_plans(plans: list[Plan], at_once: int, keep: Path, module: str) -> list[Outcome]:
    waiting = iter(plans)
    outcomes: list[Outcome] = []

    async def work() -> None:
        for plan in waiting:
            outcomes.append(await run_plan(plan, keep, module))
            _print_outcome(outcomes[-1])

    async with asyncio.TaskGroup() as tasks:
        for _ in range(at_once):
            tasks.create_task(work())
    return outcomes


@app.command
def replay(plan: Path, *, keep: Path = DEFAULT_ARTIFACTS_DIR) -> int:
    """Run a saved plan again."""
    outcome = asyncio.run(run_plan(load_plan(plan), keep))
    _print_outcome(outcome)
    return 1 if outcome.findings else 0


@app.command
def shrink(plan: Path, *, tries: int = 3, keep: Path = DEFAULT_ARTIFACTS_DIR) -> int:
    """Remove every fault without which the plan still fails in at least one of `tries` runs."""
    smallest = load_plan(plan)
    for fault in list(smallest.faults):
        smaller = smallest.without(fault)
        for _ in range(tries):
            if asyncio.run(run_plan(smaller, keep)).findings:
                smallest = smaller
                print(f"fails without {fault.kind.value}", flush=True)
                break
    save_plan(smallest, plan.with_name("shrunk.json"))
    return 0


MUTANT_FAULT_KINDS = {
    Mutant.COMMITS_WITHOUT_CONDITIONS: (FaultKind.PAUSE_NODE, FaultKind.STORE_LINK_SILENT),
    Mutant.ENDS_CONFIRMED_UNRECORDED: (FaultKind.KILL_ALL_NODES, FaultKind.STORE_REFUSES),
    Mutant.LEASES_NOT_WAITED_OUT: (FaultKind.WORKER_SILENT, FaultKind.WORKER_LINKS_NO_ANSWERS),
    Mutant.LOST_ANSWERS_COUNT_AS_ACCEPTED: (FaultKind.STORE_SILENT,),
    Mutant.ACCEPTED_UNRECORDED: (FaultKind.STORE_SILENT,),
    Mutant.LOST_ANSWERS_COUNT_AS_REFUSED: (FaultKind.STORE_LINK_NO_ANSWERS,),
    Mutant.UNANSWERED_STARTS_FORGOTTEN: (FaultKind.WORKER_STARTS_LATE,),
    Mutant.BUDGETS_IGNORED: (FaultKind.WORKERS_SCALED_IN, FaultKind.WAVE),
    Mutant.READINGS_BROKEN_OFF: (FaultKind.STORE_LINK_THIN, FaultKind.CONFIGURE_OFTEN),
    Mutant.CHANGES_REPLAYED: (FaultKind.STORE_LINK_THIN, FaultKind.CONFIGURE_OFTEN),
    Mutant.LOSSES_FORGOTTEN: (FaultKind.CRASHING_JOB,),
    Mutant.ROOM_NOT_READ_AGAIN: (FaultKind.WORKER_SHRINKS, FaultKind.WORKER_SHRINKS),
    Mutant.KEYS_CHECKED_AT_HAND_IN: (FaultKind.TAKE_KEY,),
    Mutant.KEYS_LOGGED: (FaultKind.TAKE_KEY,),
    Mutant.BIRTHS_IGNORED: (FaultKind.RACK_RESTARTS, FaultKind.RESTART_AT_TAKEOVER),
    Mutant.OPEN_STARTS_FORGOTTEN: (
        FaultKind.RESTART_UNDER_ORDERS,
        FaultKind.RESTART_UNDER_ORDERS,
    ),
    Mutant.AGES_IGNORED: (FaultKind.WORKERS_SCALED_IN, FaultKind.LIST_UNREAD),
    Mutant.LEAVING_NOT_ASKED_AGAIN: (FaultKind.WORKERS_RELEASED, FaultKind.COMMITS_REFUSED),
    Mutant.LIMITS_IGNORED: (FaultKind.HOT_ACCOUNT, FaultKind.LIMIT_FALLS),
    Mutant.CANCELLING_UNRECORDED: (FaultKind.CANCEL_UNCONFIRMED,),
    Mutant.HELD_UP_REQUESTS_ARRIVE: (FaultKind.LEADER_CUT,),
    Mutant.IDS_GUARDED_BY_POOL: (
        FaultKind.ROUTE_MOVES,
        FaultKind.IDS_SENT_AGAIN,
        FaultKind.KILL_NODE,
    ),
    Mutant.TERMS_OF_THE_OWNER: (
        FaultKind.ROUTE_AWAY,
        FaultKind.KILL_ALL_NODES,
        FaultKind.WORKER_FAILS_TASKS,
    ),
    Mutant.OWNERS_FORGOTTEN: (FaultKind.STORE_FORGETS_AT_STOP,),
    Mutant.EVACUATION_AGES_IGNORED: (FaultKind.EVACUATE_HALL, FaultKind.EVACUATIONS_UNREAD),
    Mutant.EVACUATED_HALLS_IGNORED: (FaultKind.EVACUATE_HALL,),
    Mutant.HALLS_EVACUATED_FOR_GOOD: (FaultKind.EVACUATE_HALL,),
    Mutant.EVACUATIONS_FORGOTTEN: (FaultKind.EVACUATE_HALL,),
    Mutant.ENDED_WORKERS_IGNORED: (FaultKind.OWNER_LOST_WITH_WORKERS,),
    Mutant.UNREACHABLE_COUNT_AS_ENDED: (FaultKind.WORKER_SILENT,),
    Mutant.LISTS_AGELESS: (FaultKind.WORKER_RETURNS_DARK,),
    Mutant.ROWS_UNBOUNDED: (FaultKind.WIDE_JOB,),
    Mutant.GANGS_HOLD_FOR_GOOD: (FaultKind.HOPELESS_GANG,),
    Mutant.RACKS_KEPT: (FaultKind.FULL_RACK,),
}
"""Faults that, when they overlap, reveal the safeguard that each mutant lacks."""


SEPARATE_FAULTS = frozenset({Mutant.BIRTHS_IGNORED})
"""Mutants that show when their faults begin at random times, so that workers settle in between."""


LOSSES = frozenset(
    {
        Mutant.ENDED_WORKERS_IGNORED,
        Mutant.UNREACHABLE_COUNT_AS_ENDED,
        Mutant.LISTS_AGELESS,
        Mutant.ROWS_UNBOUNDED,
        Mutant.GANGS_HOLD_FOR_GOOD,
        Mutant.RACKS_KEPT,
    }
)
"""Mutants that show in plans with losses or shapes, whose faults have no companions then."""


@app.command
def mutants(
    *names: Mutant,
    seed: int = 1,
    tries: int = 6,
    length_s: float = 12.0,
    keep: Path = DEFAULT_ARTIFACTS_DIR,
) -> int:
    """Run the product with one safeguard removed at a time, or all in turn if none is named."""
    missed = []
    for mutant, kinds in MUTANT_FAULT_KINDS.items():
        if names and mutant not in names:
            continue
        for number in range(seed, seed + tries):
            plan = _draw_mutant_plan(mutant, number, length_s, kinds)
            outcome = asyncio.run(
                run_plan(plan, keep / mutant.value, f"soak.mutant {mutant.value}")
            )
            if outcome.findings:
                print(f"{mutant.value}: found by seed {number}: {outcome.findings[0].promise}")
                break
        else:
            missed.append(mutant.value)
            print(f"{mutant.value}: not found by {tries} seeds", flush=True)
    return 1 if missed else 0


def _draw_mutant_plan(
    mutant: Mutant, seed: int, length_s: float, kinds: tuple[FaultKind, ...]
) -> Plan:
    if mutant in LOSSES:
        return draw_loss_plan(seed, length_s, Deployment(), kinds, companions=((),))
    draw = draw_plan if mutant in SEPARATE_FAULTS else draw_overlapping_plan
    return draw(seed, length_s, Deployment(), kinds)


if __name__ == "__main__":
    sys.exit(app())

"""Plan of a soak run: its deployment and its faults, drawn at random from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

FIRST_FAULT_DELAY_S = 1.0
"""Time without faults at the start, in which callers submit the first jobs."""

MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0
"""More than twice a worker's lease in the soak."""

MAX_SERIES = 4
"""Series of faults in one run; the series overlap."""

MAX_FAULTS_PER_SERIES = 4
"""Faults of one series."""


class FaultKind(Enum):
    """A fault or an operation that is injected; the values are stored in plans."""

    KILL_NODE = "kill node"
    KILL_ALL_NODES = "kill all nodes"
    PAUSE_NODE = "pause node"
    SUSPEND_NODE = "suspend node"
    """A pause during which the process's monotonic clock stands still."""
    STOP_NODE = "stop node"
    """SIGTERM; the node is started again after it has ended."""
    RELOAD_NODE = "reload node"
    """SIGHUP after a change of the settings file."""
    STORE_SILENT = "store silent"
    STORE_REFUSES = "store refuses"
    STORE_SLOW = "store slow"
    STORE_LOSES_ANSWERS = "store loses answers"
    STORE_WRITES_LATE = "store writes late"
    STORE_FORGETS = "store forgets its history"
    STORE_LINK_SILENT = "link to the store silent"
    STORE_LINK_NO_ANSWERS = "link to the store carries no answers"
    STORE_LINK_SLOW = "link to the store slow"
    STORE_LINK_RESET = "link to the store reset"
    STORE_LINK_THIN = "link to the store thin"
    WORKER_LINKS_SILENT = "links to workers silent"
    WORKER_LINKS_NO_ANSWERS = "links to workers carry no answers"
    WORKER_LINKS_RESET = "links to workers reset"
    LEADER_CUT = "fleet leader cut off with orders on their way"
    """A wave, whose leader is cut off from the platform's orders and then from the store."""
    CALLER_LINK_RESET = "link from callers reset"
    WORKER_CRASH = "worker crashes"
    WORKER_RESTARTS = "worker starts again under its name"
    RACK_RESTARTS = "rack of workers starts again"
    RESTART_UNDER_ORDERS = "workers start again with starts on their way"
    RESTART_BEHIND_CUT = "workers start again behind a cut"
    RESTART_AT_TAKEOVER = "workers start again as the pool's owner is killed"
    RESTART_WITH_ALL_NODES = "workers start again as all nodes are killed"
    WORKER_SILENT = "worker silent"
    WORKER_STARTS_LATE = "worker starts late"
    WORKER_FAILS_TASKS = "worker fails its tasks"
    WORKER_DRAINS = "worker drains and leaves"
    WORKER_LEAVES_AT_ONCE = "worker leaves at short notice"
    WORKERS_SCALED_IN = "half of the workers leave"
    WORKERS_RELEASED = "workers are replaced one after the other"
    ADDRESS_REUSED = "worker leaves and its address goes to another pool"
    LIST_UNREAD = "list of workers refused"
    LIST_UNTOLD = "changes of the workers told to nobody"
    COMMITS_REFUSED = "commits of starts refused"
    EVACUATE_HALL = "data hall evacuated"
    """One hall, two whose evacuations overlap, or all of them, by the fault's strength."""
    EVACUATIONS_UNREAD = "readings of evacuations refused"
    EVACUATIONS_UNTOLD = "changes of the operators' table told to nobody"
    WORKER_LOST = "worker ends for good"
    WORKER_RETURNS_AND_IS_LOST = "worker starts again under its name and ends for good"
    WORKER_RETURNS_DARK = "worker starts again and falls silent while instances can't be listed"
    OWNER_LOST = "pool's owner killed for long"
    OWNER_LOST_WITH_WORKERS = "pool's owner and workers lost together"
    OWNERS_LEAVE = "owners stopped one after the other"
    LOST_RETURN = "what was lost starts again"
    WORKER_CLOCK_SLOW = "worker's clock slow"
    WORKER_SHRINKS = "worker's room shrinks"
    FOREIGN_ENTRIES = "entries of other writers among the workers"
    CRASHING_JOB = "job that brings workers down"
    ROUTE_MOVES = "route moves to another pool and back"
    ROUTE_AWAY = "route taken out and back"
    IDS_SENT_AGAIN = "ids of accepted jobs sent again at every node"
    CANCEL_UNCONFIRMED = "jobs cancelled while their submissions are written late"
    STORE_FORGETS_AT_STOP = "slow store forgets its history as an owner is stopped"
    CONFIGURE = "new configuration"
    CONFIGURE_OFTEN = "large configurations in quick succession"
    ROTATE_KEY = "key of an account rotated"
    TAKE_KEY = "key of an account taken away"
    LIMIT_FALLS = "limit of an account falls and rises"
    HOT_ACCOUNT = "hot account"
    WAVE = "maintenance wave"
    WIDE_JOB = "job of very many tasks cancelled"
    HOPELESS_GANG = "gang that its pool never holds"
    FULL_RACK = "rack of a step filled by others, and a worker of it lost"


EVACUATION_COMPANIONS: tuple[tuple[FaultKind, ...], ...] = (
    (),
    (FaultKind.KILL_NODE,),
    (FaultKind.STORE_SLOW,),
    (FaultKind.STORE_FORGETS,),
    (FaultKind.LIST_UNTOLD,),
    (FaultKind.EVACUATIONS_UNREAD,),
    (FaultKind.EVACUATIONS_UNTOLD,),
)
"""Faults that are drawn together with evacuations of data halls, in turn by seed."""


LOSS_KINDS = (
    FaultKind.WORKER_LOST,
    FaultKind.WORKER_RETURNS_AND_IS_LOST,
    FaultKind.WORKER_RETURNS_DARK,
    FaultKind.OWNER_LOST,
    FaultKind.OWNER_LOST_WITH_WORKERS,
    FaultKind.OWNERS_LEAVE,
    FaultKind.LOST_RETURN,
)
"""Faults that only plans with losses have; what they end stays away for long."""

SHAPE_KINDS = (FaultKind.WIDE_JOB, FaultKind.HOPELESS_GANG, FaultKind.FULL_RACK)
"""Jobs of unusual shapes, which only plans with shapes have."""

SHAPE_COMPANIONS: tuple[tuple[FaultKind, ...], ...] = (
    (),
    (FaultKind.KILL_NODE,),
    (FaultKind.OWNER_LOST,),
    (FaultKind.STORE_SLOW,),
    (FaultKind.STORE_LOSES_ANSWERS,),
    (FaultKind.WORKER_CRASH,),
)
"""Faults that are drawn together with such a job."""

DRAWN_LOSSES = (*LOSS_KINDS[:-1], FaultKind.OWNER_LOST_WITH_WORKERS)
"""Losses among which plans choose; the one that is named twice is more likely."""

LOSS_COMPANIONS: tuple[tuple[FaultKind, ...], ...] = (
    (),
    (),
    (FaultKind.STORE_SILENT,),
    (FaultKind.STORE_REFUSES,),
    (FaultKind.STORE_SLOW,),
    (FaultKind.STORE_LOSES_ANSWERS,),
    (FaultKind.STORE_FORGETS,),
    (FaultKind.STORE_LINK_SILENT,),
    (FaultKind.LIST_UNTOLD,),
    (FaultKind.WORKER_SILENT,),
    (FaultKind.WORKER_CRASH,),
    (FaultKind.WORKER_RESTARTS,),
    (FaultKind.RESTART_AT_TAKEOVER,),
    (FaultKind.WORKERS_SCALED_IN,),
    (FaultKind.WORKER_LINKS_RESET,),
    (FaultKind.OWNERS_LEAVE,),
)
"""Faults that are drawn together with a loss."""

CALM_S = 5.5
"""Time without faults after each loss, beside a lease: enough for the check of long-running
tasks."""

MIN_RETURN_RATIO = 0.3
"""Share of losses after which what was lost stays away for the rest of the plan."""


@dataclass(frozen=True)
class Deployment:
    """Number of processes, workers and callers in a run."""

    nodes: int = 3
    workers: int = 6
    spares: int = 2
    """Instances that are in the spare pool at the start."""
    callers: int = 4
    submissions_per_s: float = 4.0
    """Rate over all callers together."""
    turn_s: float = 0.0
    """Length of a high and a low turn of demand together; 0 for a constant rate."""
    task_s: float = 0.25
    """Duration of a short task; long enough for faults to hit it."""
    lease_s: float = 1.2
    owner_silence_s: float = 1.5
    longest_lease_ms: int = 3000
    """Settings of the nodes."""


LOSS_SETTINGS = ((1.2, 8.0, 3000), (3.5, 8.0, 8000))
"""Lease (s), silence of an owner (s) and longest lease (ms) of plans with losses, in turn by seed:
an owner's leases may last long after its end."""

TURN_S = 12.0
"""Length of a high and a low turn of demand in plans with losses."""

LOSS_TASK_S = 0.8
"""Duration of a short task there: in the high turn, more is asked for than the pool holds."""


@dataclass(frozen=True)
class Fault:
    """One fault; `target` is an index modulo the number of possible targets."""

    kind: FaultKind
    at_s: float
    """Time since the callers started."""
    for_s: float
    target: int
    strength: float
    """Severity from 0 to 1; scales the affected share of writes or the length of a delay."""


@dataclass(frozen=True)
class Plan:
    """Everything that defines a run, so that it can be repeated."""

    seed: int
    deployment: Deployment
    length_s: float
    """Time during which callers act."""
    faults: tuple[Fault, ...]

    def without(self, fault: Fault) -> Plan:
        """Return a copy of the plan without one fault."""
        return replace(self, faults=tuple(f for f in self.faults if f is not fault))


def draw_plan(
    seed: int, length_s: float, deployment: Deployment, kinds: Sequence[FaultKind] = ()
) -> Plan:
    """Draw overlapping series of faults: one per given kind, or several of random kinds."""
    source = random.Random(seed)
    faults: list[Fault] = []
    for kind in kinds:
        faults += _draw_series(source, length_s, [kind])
    if not kinds:
        general_kinds = [kind for kind in FaultKind if kind not in (*LOSS_KINDS, *SHAPE_KINDS)]
        for _ in range(source.randint(1, MAX_SERIES)):
            faults += _draw_series(source, length_s, general_kinds)
    faults.sort(key=lambda fault: fault.at_s)
    return Plan(seed, deployment, length_s, tuple(faults))


def draw_overlapping_plan(
    seed: int, length_s: float, deployment: Deployment, kinds: Sequence[FaultKind]
) -> Plan:
    """Draw long faults of each kind that begin together, again and again."""
    source = random.Random(seed)
    faults: list[Fault] = []
    at_s = source.uniform(FIRST_FAULT_DELAY_S, FIRST_FAULT_DELAY_S + MAX_FAULT_S)
    while at_s <= length_s:
        for kind in kinds:
            begins_s = at_s + source.uniform(0.0, MIN_FAULT_S)
            for_s = source.uniform(MAX_FAULT_S / 2, MAX_FAULT_S)
            target = source.randrange(1000)
            faults.append(Fault(kind, round(begins_s, 3), round(for_s, 3), target, source.random()))
        at_s += MAX_FAULT_S + source.uniform(0.0, MAX_FAULT_S)
    faults.sort(key=lambda fault: fault.at_s)
    return Plan(seed, deployment, length_s, tuple(faults))


def draw_evacuation_plan(seed: int, length_s: float, deployment: Deployment) -> Plan:
    """Draw evacuations, alone or beside one of the faults that delay what owners know of them."""
    companions = EVACUATION_COMPANIONS[seed % len(EVACUATION_COMPANIONS)]
    return draw_overlapping_plan(seed, length_s, deployment, (FaultKind.EVACUATE_HALL, *companions))


def draw_loss_plan(
    seed: int,
    length_s: float,
    deployment: Deployment,
    kinds: Sequence[FaultKind] = DRAWN_LOSSES,
    companions: Sequence[tuple[FaultKind, ...]] = LOSS_COMPANIONS,
) -> Plan:
    """Draw losses, alone or beside another fault, each followed by a calm time."""
    lease_s, owner_silence_s, longest_lease_ms = LOSS_SETTINGS[seed % len(LOSS_SETTINGS)]
    changed = replace(
        deployment,
        turn_s=TURN_S,
        task_s=LOSS_TASK_S,
        lease_s=lease_s,
        owner_silence_s=owner_silence_s,
        longest_lease_ms=longest_lease_ms,
    )
    source = random.Random(seed)
    faults: list[Fault] = []
    at_s = source.uniform(FIRST_FAULT_DELAY_S, FIRST_FAULT_DELAY_S + MAX_FAULT_S)
    while not faults or at_s <= length_s:
        beside = source.choice(companions)
        for kind in (source.choice(kinds), *beside):
            begins_s = at_s + source.uniform(0.0, MAX_FAULT_S / 2 if beside else MIN_FAULT_S)
            faults.append(_draw_fault(source, kind, begins_s))
        at_s += MAX_FAULT_S + lease_s + CALM_S
        if source.random() >= MIN_RETURN_RATIO:
            faults.append(_draw_fault(source, FaultKind.LOST_RETURN, at_s))
            at_s += source.uniform(MIN_FAULT_S, MAX_FAULT_S)
    faults.sort(key=lambda fault: fault.at_s)
    return Plan(seed, changed, max(length_s, at_s), tuple(faults))


def draw_shape_plan(seed: int, length_s: float, deployment: Deployment) -> Plan:
    """Draw jobs of unusual shapes, alone or beside one other fault each."""
    kinds = SHAPE_KINDS[seed % len(SHAPE_KINDS) :][:1]
    return draw_loss_plan(seed, length_s, deployment, kinds, SHAPE_COMPANIONS)


def _draw_fault(source: random.Random, kind: FaultKind, at_s: float) -> Fault:
    for_s = source.uniform(MIN_FAULT_S, MAX_FAULT_S)
    target = source.randrange(1000)
    return Fault(kind, round(at_s, 3), round(for_s, 3), target, source.random())


def _draw_series(source: random.Random, length_s: float, kinds: Sequence[FaultKind]) -> list[Fault]:
    kind = source.choice(kinds)
    at_s = source.uniform(FIRST_FAULT_DELAY_S, length_s)
    target = source.randrange(1000)
    series = []
    for _ in range(source.randint(1, MAX_FAULTS_PER_SERIES)):
        for_s = source.uniform(MIN_FAULT_S, MAX_FAULT_S)
        series.append(Fault(kind, round(at_s, 3), round(for_s, 3), target, source.random()))
        at_s += source.uniform(0.5, 2.0) * for_s
        target += source.randint(0, 1)
    return [fault for fault in series if fault.at_s <= length_s]


def save_plan(plan: Plan, path: Path) -> None:
    """Write a plan to a file as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))


def load_plan(path: Path) -> Plan:
    """Read a plan written by `save_plan`."""
    return msgspec.json.decode(path.read_bytes(), type=Plan)

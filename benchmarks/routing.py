"""Compare policies to share backend servers' slots among entries that do not coordinate.

A small discrete-event simulation: entries choose backend servers, which have slots and a FIFO
queue; responses report the server's load. Only the policy differs:

random      a random backend server (the naive policy)
fixed       each entry has slots/entries of every backend server, at least one
least       the least loaded by the entry's own requests and the load that responses reported (the
            policy in use: the entry's own function `pick_least_loaded`)
owner       one entry owns each backend server by rendezvous hashing and sees all its requests; the
            other entries send theirs over one more hop
"""

from __future__ import annotations

import hashlib
import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks._report import percentile, print_section, print_table
from pumicespur.routing import Backend, pick_least_loaded
from pumicespur.schema.fleet_pb import Assignment
from pumicespur.schema.settings_pb import EntrySettings

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 8
CONNECTIONS = 60
WORK_S = 0.010
HOP_S = 0.0005
SECONDS = 2.5
WARM_UP_S = 0.5
SEEDS = (1, 2, 3)


@dataclass
class Server:
    """A simulated backend server: busy slots and a queue."""

    busy: int = 0
    queue: deque[Request] = field(default_factory=deque)
    max_excess: int = 0
    """Most requests at once beyond the slots."""

    @property
    def load(self) -> int:
        """Number of requests that run or wait here."""
        return self.busy + len(self.queue)


@dataclass
class Request:
    """One simulated request."""

    entry: int
    server: int
    arrived: float
    hop_s: float
    view: Backend | None = None


@dataclass
class Figures:
    """The figures of one simulation run."""

    latencies: list[float] = field(default_factory=list)
    max_excess: int = 0


class Simulation:
    """Simulates one policy under one load."""

    def __init__(self, policy: str, entries: int, servers: int, load: float, seed: int) -> None:
        self.policy = policy
        self.entries = entries
        self.random = random.Random(seed)
        self.servers = [Server() for _ in range(servers)]
        settings = EntrySettings(entries=entries, backend_connections=CONNECTIONS)
        self.views = [
            [Backend(Assignment(instance=f"b{n}", slots=SLOTS), settings) for n in range(servers)]
            for _ in range(entries)
        ]
        if policy == "owner":
            self._share_owned_views(servers)
        self.rate = load * servers * SLOTS / WORK_S
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.now = 0.0
        self.result = Figures()
        self.waiting: list[deque[tuple[float, int]]] = [deque() for _ in range(entries)]

    def _share_owned_views(self, servers: int) -> None:
        """Let all entries share the owner's view of each backend server."""
        for number in range(servers):
            scores = [
                hashlib.sha256(f"{entry}/{number}".encode()).digest()
                for entry in range(self.entries)
            ]
            owner = max(range(self.entries), key=scores.__getitem__)
            shared = self.views[owner][number]
            shared.max_in_flight = CONNECTIONS
            for entry in range(self.entries):
                self.views[entry][number] = shared

    def schedule(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay in simulated seconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.event_numbers), event))

    def run(self) -> Figures:
        """Simulate `SECONDS`; return the figures."""
        self.schedule(0, self.arrive)
        while self.events and self.now < SECONDS:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.result.max_excess = max(server.max_excess for server in self.servers)
        return self.result

    def arrive(self) -> None:
        """Receive a request at an entry; the balancer slightly favours the first entries."""
        self.schedule(self.random.expovariate(self.rate), self.arrive)
        entry = min(self.random.randrange(self.entries), self.random.randrange(self.entries + 2))
        self.waiting[entry].append((self.now, entry))
        self.send_waiting(entry)

    def send_waiting(self, entry: int) -> None:
        """Send the waiting requests of an entry for which it has a backend server."""
        while self.waiting[entry]:
            server = self.choose(entry)
            if server is None:
                return
            arrived, _ = self.waiting[entry].popleft()
            view = self.views[entry][server]
            view.in_flight += 1
            hop_s = HOP_S if self.policy == "owner" else 0.0
            request = Request(entry, server, arrived, hop_s, view)
            self.schedule(hop_s, lambda request=request: self.arrive_at_server(request))  # type: ignore[misc]

    def choose(self, entry: int) -> int | None:
        """Choose a backend server by the policy; None to wait."""
        views = self.views[entry]
        match self.policy:
            case "random":
                return self.random.randrange(len(views))
            case "fixed":
                share = max(1, SLOTS // self.entries)
                with_free_share = [n for n, view in enumerate(views) if view.in_flight < share]
                return self.random.choice(with_free_share) if with_free_share else None
            case _:
                chosen = pick_least_loaded(views)
                return None if chosen is None else views.index(chosen)

    def arrive_at_server(self, request: Request) -> None:
        """Queue a request that arrives at its backend server."""
        server = self.servers[request.server]
        server.queue.append(request)
        server.max_excess = max(server.max_excess, server.load - SLOTS)
        self.start(server)

    def start(self, server: Server) -> None:
        """Start queued requests on free slots."""
        while server.queue and server.busy < SLOTS:
            request = server.queue.popleft()
            server.busy += 1
            work = self.random.expovariate(1 / WORK_S)
            self.schedule(work, lambda request=request: self.finish(request))  # type: ignore[misc]

    def finish(self, request: Request) -> None:
        """Respond to a request and report the server's load to the entry."""
        server = self.servers[request.server]
        server.busy -= 1
        assert request.view is not None
        request.view.in_flight -= 1
        request.view._note_load(f"{server.load}/{SLOTS}")
        if self.now > WARM_UP_S:
            self.result.latencies.append(self.now - request.arrived + request.hop_s)
        self.start(server)
        self.send_waiting(request.entry)


def max_connections(policy: str, entries: int, servers: int) -> int:
    """Return the maximum number of connections of one entry."""
    match policy:
        case "owner":
            return CONNECTIONS * servers // entries + entries - 1
        case "fixed":
            return max(1, SLOTS // entries) * servers
        case "random":
            return CONNECTIONS * servers
        case _:
            return max(1, CONNECTIONS // entries) * servers


def main() -> None:
    """Print the comparison of the policies."""
    print_section("Routing policies: 10 ms of work, 8 slots, three seeds")
    rows = []
    for entries, servers in ((8, 8), (8, 40)):
        for load in (0.5, 0.8, 0.95):
            for policy in ("random", "fixed", "least", "owner"):
                rows.append(measure(policy, entries, servers, load))
    header = ("ENTRIES", "SERVERS", "LOAD", "POLICY", "P50 MS", "P99 MS", "P99 SPREAD", "OVER")
    print_table((*header, "CONNECTIONS"), rows)


def measure(policy: str, entries: int, servers: int, load: float) -> tuple[object, ...]:
    """Simulate one policy with each seed; return its table row."""
    results = [Simulation(policy, entries, servers, load, seed).run() for seed in SEEDS]
    tails = [percentile(result.latencies, 0.99) * 1000 for result in results]
    medians = [percentile(result.latencies, 0.5) * 1000 for result in results]
    return (
        entries,
        servers,
        load,
        policy,
        f"{sorted(medians)[1]:.1f}",
        f"{sorted(tails)[1]:.1f}",
        f"{min(tails):.1f}-{max(tails):.1f}",
        max(result.max_excess for result in results),
        max_connections(policy, entries, servers),
    )


if __name__ == "__main__":
    main()

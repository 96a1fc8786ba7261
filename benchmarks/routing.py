"""Compare ways to share backend servers' slots among entries that do not coordinate.

A small event-driven model: entries choose, backend servers have slots and a first-in
first-out queue, answers carry back the backend's load. Only the choice differs:

random      any backend server (the naive version)
fixed       each entry has slots/entries of every backend server, at least one
least       least loaded by own requests and the load that answers carried back (ours,
            the very function that the entry uses)
owner       one entry owns each backend server by rendezvous hashing and sees all its
            requests; the others pay one hop more
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
    """A backend server: busy slots and a queue."""

    busy: int = 0
    queue: deque[Request] = field(default_factory=deque)
    most_over: int = 0

    @property
    def load(self) -> int:
        """Requests that run or wait here."""
        return self.busy + len(self.queue)


@dataclass
class Request:
    """One request on its way."""

    entry: int
    server: int
    arrived: float
    hop: float
    view: Backend | None = None


@dataclass
class Result:
    """What one way did."""

    latencies: list[float] = field(default_factory=list)
    most_over: int = 0


class Model:
    """Runs one way of choosing through one load."""

    def __init__(self, way: str, entries: int, servers: int, load: float, seed: int) -> None:
        self.way = way
        self.entries = entries
        self.random = random.Random(seed)
        self.servers = [Server() for _ in range(servers)]
        settings = EntrySettings(entries=entries, backend_connections=CONNECTIONS)
        self.views = [
            [Backend(Assignment(instance=f"b{n}", slots=SLOTS), settings) for n in range(servers)]
            for _ in range(entries)
        ]
        if way == "owner":
            self._share_owned_views(servers)
        self.rate = load * servers * SLOTS / WORK_S
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.now = 0.0
        self.result = Result()
        self.waiting: list[deque[tuple[float, int]]] = [deque() for _ in range(entries)]

    def _share_owned_views(self, servers: int) -> None:
        """Let all entries see a backend server through its owner's count."""
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

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def run(self) -> Result:
        """Run to the end."""
        self.at(0, self.arrive)
        while self.events and self.now < SECONDS:
            self.now, _, act = heapq.heappop(self.events)
            act()
        self.result.most_over = max(server.most_over for server in self.servers)
        return self.result

    def arrive(self) -> None:
        """Take a request at an entry; the balancer favours the first ones a little."""
        self.at(self.random.expovariate(self.rate), self.arrive)
        entry = min(self.random.randrange(self.entries), self.random.randrange(self.entries + 2))
        self.waiting[entry].append((self.now, entry))
        self.send_waiting(entry)

    def send_waiting(self, entry: int) -> None:
        """Send what the entry may send now."""
        while self.waiting[entry]:
            server = self.choose(entry)
            if server is None:
                return
            arrived, _ = self.waiting[entry].popleft()
            view = self.views[entry][server]
            view.in_flight += 1
            hop = HOP_S if self.way == "owner" else 0.0
            request = Request(entry, server, arrived, hop, view)
            self.at(hop, lambda request=request: self.reach(request))  # type: ignore[misc]

    def choose(self, entry: int) -> int | None:
        """Choose a backend server in the given way; None to wait."""
        views = self.views[entry]
        match self.way:
            case "random":
                return self.random.randrange(len(views))
            case "fixed":
                share = max(1, SLOTS // self.entries)
                open_ones = [n for n, view in enumerate(views) if view.in_flight < share]
                return self.random.choice(open_ones) if open_ones else None
            case _:
                chosen = pick_least_loaded(views)
                return None if chosen is None else views.index(chosen)

    def reach(self, request: Request) -> None:
        """Arrive at the backend server."""
        server = self.servers[request.server]
        server.queue.append(request)
        server.most_over = max(server.most_over, server.load - SLOTS)
        self.start(server)

    def start(self, server: Server) -> None:
        """Give free slots to waiting requests."""
        while server.queue and server.busy < SLOTS:
            request = server.queue.popleft()
            server.busy += 1
            work = self.random.expovariate(1 / WORK_S)
            self.at(work, lambda request=request: self.finish(request))  # type: ignore[misc]

    def finish(self, request: Request) -> None:
        """Answer, and carry back the load."""
        server = self.servers[request.server]
        server.busy -= 1
        assert request.view is not None
        request.view.in_flight -= 1
        request.view._note_load(f"{server.load}/{SLOTS}")
        if self.now > WARM_UP_S:
            self.result.latencies.append(self.now - request.arrived + request.hop)
        self.start(server)
        self.send_waiting(request.entry)


def connections(way: str, entries: int, servers: int) -> int:
    """Return the connections that one entry may hold."""
    match way:
        case "owner":
            return CONNECTIONS * servers // entries + entries - 1
        case "fixed":
            return max(1, SLOTS // entries) * servers
        case "random":
            return CONNECTIONS * servers
        case _:
            return max(1, CONNECTIONS // entries) * servers


def main() -> None:
    """Print the comparison."""
    print_section("Routing ways: 10 ms of work, 8 slots, three seeds")
    rows = []
    for entries, servers in ((8, 8), (8, 40)):
        for load in (0.5, 0.8, 0.95):
            for way in ("random", "fixed", "least", "owner"):
                rows.append(measure(way, entries, servers, load))
    header = ("ENTRIES", "SERVERS", "LOAD", "WAY", "P50 MS", "P99 MS", "P99 SPREAD", "OVER")
    print_table((*header, "CONNECTIONS"), rows)


def measure(way: str, entries: int, servers: int, load: float) -> tuple[object, ...]:
    """Run one way with each seed and return a row."""
    results = [Model(way, entries, servers, load, seed).run() for seed in SEEDS]
    tails = [percentile(result.latencies, 0.99) * 1000 for result in results]
    medians = [percentile(result.latencies, 0.5) * 1000 for result in results]
    return (
        entries,
        servers,
        load,
        way,
        f"{sorted(medians)[1]:.1f}",
        f"{sorted(tails)[1]:.1f}",
        f"{min(tails):.1f}-{max(tails):.1f}",
        max(result.most_over for result in results),
        connections(way, entries, servers),
    )


if __name__ == "__main__":
    main()

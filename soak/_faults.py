"""Carry out the faults of a plan, and note when each was in force."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._accounts import LOW_LIMIT, NAMES, USUAL_LIMIT
from soak._leaving import LEAVING_KINDS, UNHEARD_KINDS, keep_unheard, let_leave
from soak._plan import FaultKind
from soak._restarts import RESTART_KINDS, restart_workers
from soak._world import FOREIGN
from standins.hosted import FOREIGN_ENTRIES, WORKER_CPU, Passage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from soak._callers import Caller
    from soak._plan import Fault
    from soak._world import NodeLinks, SoakWorld
    from standins.hosted import HostedWorker, Link, Node

END_S = 6.0
"""Time for a node to end after SIGTERM; its own grace period is 3 s."""

SHRUNK_CPU = 1000
"""Room of a worker that has shrunk: two tasks."""

SLOW_CLOCK = 0.98
"""Speed of a worker's clock at the least (users' protocol page: 2% slow)."""

LATE_S = 0.8
"""How much later a late order or write is carried out, at most."""

SLOW_S = 0.4
"""Longest delay that a slow store or link adds."""

THIN_BYTES_PER_S = 150_000
"""What a thin link carries: one large configuration in half a second."""

ROUTES_MORE = 300
"""Routes that a large configuration has besides."""

OFTEN_S = 0.2
"""Pause between configurations in quick succession, shorter than one takes over a thin link."""

PLANNED = frozenset(
    {
        FaultKind.STOP_NODE,
        FaultKind.RELOAD_NODE,
        FaultKind.CONFIGURE,
        FaultKind.CONFIGURE_OFTEN,
        FaultKind.STORE_LINK_THIN,
        FaultKind.FOREIGN_ENTRIES,
        FaultKind.WORKER_SHRINKS,
        FaultKind.ROTATE_KEY,
        FaultKind.TAKE_KEY,
        FaultKind.LIMIT_FALLS,
        FaultKind.HOT_ACCOUNT,
        FaultKind.WAVE,
    }
)
"""Planned work, and what is no fault to those that watch for it: every promise holds meanwhile."""


def _account(fault: Fault) -> str:
    return NAMES[fault.target % len(NAMES)]


@dataclass
class Span:
    """When a fault was in force, in monotonic seconds."""

    fault: Fault
    began: float
    ended: float = float("inf")


@dataclass(frozen=True)
class WaveOrder:
    """A maintenance wave as the operator asked for it."""

    number: int
    instances: tuple[str, ...]
    at_once: int


class Injector:
    """Carries out faults against one world."""

    def __init__(self, world: SoakWorld, callers: Sequence[Caller] = ()) -> None:
        self.world = world
        self.callers = callers
        self.spans: list[Span] = []
        self.waves: list[WaveOrder] = []

    def calm_since(self, now: float) -> float:
        """Return since when no unplanned fault has been in force; infinity if one is."""
        unplanned = [span for span in self.spans if span.fault.kind not in PLANNED]
        if any(span.began <= now < span.ended for span in unplanned):
            return float("inf")
        return max((span.ended for span in unplanned if span.ended <= now), default=0.0)

    async def run(self, faults: Iterable[Fault], began: float) -> None:
        """Carry out all faults at their times; they may overlap."""
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(self._at_its_time(fault, began))

    async def _at_its_time(self, fault: Fault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_s - monotonic()))
        span = Span(fault, monotonic())
        self.spans.append(span)
        await self._carry_out(fault)
        span.ended = monotonic()

    async def _carry_out(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.KILL_NODE | FaultKind.STOP_NODE | FaultKind.KILL_ALL_NODES:
                await self._end_nodes(fault)
            case FaultKind.PAUSE_NODE | FaultKind.SUSPEND_NODE | FaultKind.RELOAD_NODE:
                await self._signal_node(fault)
            case FaultKind.CONFIGURE | FaultKind.WAVE:
                self._operate(fault)
            case FaultKind.ROTATE_KEY | FaultKind.TAKE_KEY | FaultKind.LIMIT_FALLS:
                await self._change_account(fault)
            case FaultKind.HOT_ACCOUNT if self.callers:
                await self.callers[fault.target % len(self.callers)].rush(_account(fault))
            case kind if kind in LEAVING_KINDS:
                await let_leave(self.world, fault)
            case kind if kind in UNHEARD_KINDS:
                await keep_unheard(self.world, fault)
            case kind if kind in RESTART_KINDS:
                await restart_workers(self.world, fault)
            case FaultKind.FOREIGN_ENTRIES:
                await self._write_foreign_entries(fault)
            case FaultKind.CRASHING_JOB if self.callers:
                await self.callers[fault.target % len(self.callers)].crash_workers()
            case FaultKind.CONFIGURE_OFTEN:
                for _ in range(1 + int(fault.for_s / OFTEN_S)):
                    self.world.reconfigure(ROUTES_MORE)
                    await asyncio.sleep(OFTEN_S)
            case (
                FaultKind.STORE_LINK_SILENT
                | FaultKind.STORE_LINK_NO_ANSWERS
                | FaultKind.STORE_LINK_SLOW
                | FaultKind.STORE_LINK_RESET
                | FaultKind.STORE_LINK_THIN
            ):
                await self._disturb([self._links(fault).store], fault)
            case (
                FaultKind.WORKER_LINKS_SILENT
                | FaultKind.WORKER_LINKS_NO_ANSWERS
                | FaultKind.WORKER_LINKS_RESET
            ):
                await self._disturb(list(self._links(fault).workers.values()), fault)
            case FaultKind.CALLER_LINK_RESET:
                await self._disturb([self._links(fault).callers], fault)
            case (
                FaultKind.STORE_SILENT
                | FaultKind.STORE_REFUSES
                | FaultKind.STORE_SLOW
                | FaultKind.STORE_LOSES_ANSWERS
                | FaultKind.STORE_WRITES_LATE
                | FaultKind.STORE_FORGETS
            ):
                await self._disturb_store(fault)
            case _:
                await self._disturb_worker(fault)

    def _name(self, fault: Fault) -> str:
        names = sorted(self.world.links)
        return names[fault.target % len(names)]

    def _links(self, fault: Fault) -> NodeLinks:
        return self.world.links[self._name(fault)]

    async def _end_nodes(self, fault: Fault) -> None:
        """End one node or all, and start each again after a while."""
        everyone = fault.kind is FaultKind.KILL_ALL_NODES
        names = sorted(self.world.links) if everyone else [self._name(fault)]
        nodes = [self.world.nodes.nodes[name] for name in names]
        ending = [node for node in nodes if node.process.pid not in self.world.expected_ends]
        for node in ending:
            self.world.expected_ends.add(node.process.pid)
            stop = fault.kind is FaultKind.STOP_NODE
            node.send_signal(signal.SIGTERM if stop else signal.SIGKILL)
        for node in ending:
            await asyncio.to_thread(node.process.wait, END_S)
        await asyncio.sleep(fault.for_s)
        for node in ending:
            self.world.start_node(node.name)

    async def _signal_node(self, fault: Fault) -> None:
        node = self.world.nodes.nodes[self._name(fault)]
        if fault.kind is FaultKind.RELOAD_NODE:
            self._change_settings(node)
            self._send(node, signal.SIGHUP)
            return
        if fault.kind is FaultKind.SUSPEND_NODE and node.process.poll() is None:
            node.suspend()
        else:
            self._send(node, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._send(node, signal.SIGCONT)

    async def _change_account(self, fault: Fault) -> None:
        """Rotate a key, take one away, or lower a limit for a while."""
        book, account = self.world.book, _account(fault)
        match fault.kind:
            case FaultKind.ROTATE_KEY:
                book.add_key(account)
                self.world.reconfigure()
                await asyncio.sleep(fault.for_s)
                book.drop_oldest_key(account)
            case FaultKind.TAKE_KEY:
                book.add_key(account)
                book.drop_oldest_key(account)
            case _:
                book.set_limit(account, LOW_LIMIT)
                self.world.reconfigure()
                await asyncio.sleep(fault.for_s)
                book.set_limit(account, USUAL_LIMIT)
        self.world.reconfigure()

    async def _write_foreign_entries(self, fault: Fault) -> None:
        rows = [("servers", "", f"{FOREIGN}{n}") for n in range(len(FOREIGN_ENTRIES))]
        for row, entry in zip(rows, FOREIGN_ENTRIES, strict=True):
            self.world.store.put(row, entry)
        await asyncio.sleep(fault.for_s)
        for row in rows:
            self.world.store.remove(row)

    def _send(self, node: Node, number: signal.Signals) -> None:
        if node.process.poll() is None:
            node.send_signal(number)

    def _change_settings(self, node: Node) -> None:
        """Replace the settings file at once, so that no half of it is ever read."""
        path = node.settings
        fresh = path.with_suffix(".new")
        fresh.write_text(path.read_text().replace("watch_s = 0.2", "watch_s = 0.25"))
        os.replace(fresh, path)

    def _operate(self, fault: Fault) -> None:
        """Do what an operator does: configure, or ask for maintenance."""
        if fault.kind is FaultKind.CONFIGURE:
            self.world.reconfigure()
            return
        names = tuple(sorted(self.world.fleet.pools))
        wave = WaveOrder(len(self.waves) + 1, names, 1 + fault.target % 2)
        self.waves.append(wave)
        content = {
            "wave": wave.number,
            "machines": wave.instances,
            "durationS": 20,
            "upperLimit": wave.at_once,
        }
        self.world.store.put(("op", "", f"wave/{wave.number}"), json.dumps(content).encode())

    async def _disturb(self, links: list[Link], fault: Fault) -> None:
        match fault.kind:
            case FaultKind.STORE_LINK_SILENT | FaultKind.WORKER_LINKS_SILENT:
                await self._hold(links, Passage.NOTHING, fault.for_s)
            case FaultKind.STORE_LINK_NO_ANSWERS | FaultKind.WORKER_LINKS_NO_ANSWERS:
                await self._hold(links, Passage.REQUESTS_ONLY, fault.for_s)
            case FaultKind.STORE_LINK_SLOW:
                links[0].delay_s = SLOW_S * fault.strength
                await asyncio.sleep(fault.for_s)
                links[0].delay_s = 0.0
            case FaultKind.STORE_LINK_THIN:
                # It stays as it is: a process may sit behind such a link for all of its life.
                links[0].bytes_per_s = THIN_BYTES_PER_S
            case _:
                for link in links:
                    link.reset()

    async def _hold(self, links: list[Link], passage: Passage, for_s: float) -> None:
        for link in links:
            link.let_pass(passage)
        await asyncio.sleep(for_s)
        for link in links:
            link.let_pass(Passage.BOTH_WAYS)

    async def _disturb_store(self, fault: Fault) -> None:
        faults = self.world.store.faults
        match fault.kind:
            case FaultKind.STORE_SILENT:
                faults.silent = True
            case FaultKind.STORE_REFUSES:
                faults.refuse_with = 503
            case FaultKind.STORE_SLOW:
                faults.slow_s = SLOW_S * fault.strength
            case FaultKind.STORE_LOSES_ANSWERS:
                faults.lose_share = fault.strength / 2
            case FaultKind.STORE_WRITES_LATE:
                faults.late_share, faults.late_s = fault.strength / 2, LATE_S
            case _:
                self.world.store.forget_history()
                return
        await asyncio.sleep(fault.for_s)
        faults.silent, faults.refuse_with, faults.slow_s = False, 0, 0.0
        faults.lose_share, faults.late_share = 0.0, 0.0

    async def _disturb_worker(self, fault: Fault) -> None:
        workers = self.world.serving_workers()
        if not workers:
            return
        worker = workers[fault.target % len(workers)]
        match fault.kind:
            case FaultKind.WORKER_CRASH:
                await self.world.replace_worker(worker, fault.for_s)
            case FaultKind.WORKER_SHRINKS:
                await self._while(fault, lambda on: self._resize(worker, on))
            case FaultKind.WORKER_CLOCK_SLOW:
                worker.slow_clock(SLOW_CLOCK)
            case FaultKind.WORKER_SILENT:
                await self._while(fault, lambda on: setattr(worker.faults, "silent", on))
            case FaultKind.WORKER_STARTS_LATE:
                late_s = LATE_S * fault.strength
                await self._while(
                    fault, lambda on: setattr(worker.faults, "late_starts_s", late_s if on else 0.0)
                )
            case _:
                await self._while(fault, lambda on: setattr(worker.faults, "fail_all", on))

    def _resize(self, worker: HostedWorker, shrunk: bool) -> None:
        if self.world.workers.get(worker.instance) is worker:
            self.world.resize_worker(worker.instance, SHRUNK_CPU if shrunk else WORKER_CPU)

    async def _while(self, fault: Fault, switch: Callable[[bool], None]) -> None:
        switch(True)
        await asyncio.sleep(fault.for_s)
        switch(False)

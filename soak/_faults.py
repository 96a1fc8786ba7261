"""Injection of a plan's faults, with a record of when each was in force."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._accounts import ACCOUNT_NAMES, LOW_LIMIT_CPU_MILLIS, NORMAL_LIMIT_CPU_MILLIS
from soak._cuts import cut_fleet_leader
from soak._evacuations import evacuate_halls
from soak._leaving import DEPARTURE_KINDS, RECORD_KINDS, block_records, make_workers_leave
from soak._losses import lose_or_return
from soak._plan import LOSS_KINDS, SHAPE_KINDS, FaultKind
from soak._restarts import RESTART_KINDS, restart_workers
from soak._routes import ROUTE_KINDS, disrupt_route, forget_history_repeatedly
from soak._shapes import submit_shape
from soak._world import FOREIGN_PREFIX
from standins.hosted import FOREIGN_ENTRIES, WORKER_CPU, Passage

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from soak._callers import Caller
    from soak._plan import Fault
    from soak._world import NodeLinks, SoakWorld
    from standins.hosted import HostedWorker, Link, Node

NODE_END_TIMEOUT_S = 6.0
"""Time for a node to end after SIGTERM; its grace period is 3 s."""

SHRUNK_CPU_MILLIS = 1000
"""Reduced capacity of a worker; enough for two tasks."""

SLOW_CLOCK_RATIO = 0.98
"""Speed of a slow worker clock relative to real time: the min that the users' protocol allows (2%
slow)."""

MAX_LATE_S = 0.8
"""Max delay of a late start or write."""

LATE_SUBMISSION_S = 3.0
"""Delay of a submission's write, beyond the answer to its cancelling and the bound of it."""

MAX_ADDED_DELAY_S = 0.4
"""Max delay that a slow store or link adds."""

LOW_BANDWIDTH_BYTES_PER_S = 150_000
"""Bandwidth of a thin (low-bandwidth) link: one large configuration takes half a second."""

EXTRA_ROUTES = 300
"""Additional routes of a large configuration."""

CONFIGURE_INTERVAL_S = 0.2
"""Interval of configurations in quick succession; shorter than one takes over a slow link."""

PLANNED_KINDS = frozenset(
    {
        FaultKind.STOP_NODE,
        FaultKind.RELOAD_NODE,
        FaultKind.ROUTE_MOVES,
        FaultKind.ROUTE_AWAY,
        FaultKind.IDS_SENT_AGAIN,
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
        FaultKind.EVACUATE_HALL,
        FaultKind.WIDE_JOB,
        FaultKind.HOPELESS_GANG,
    }
)
"""Planned work and other events that are no faults: every promise must hold during them."""


def _account_name(fault: Fault) -> str:
    return ACCOUNT_NAMES[fault.target % len(ACCOUNT_NAMES)]


@dataclass
class FaultPeriod:
    """The time during which a fault was in force, in monotonic seconds."""

    fault: Fault
    started_at: float
    ended_at: float = float("inf")


@dataclass(frozen=True)
class WaveOrder:
    """A maintenance wave as the operator ordered it."""

    number: int
    instances: tuple[str, ...]
    max_parallel: int


class Injector:
    """Injects faults into one world."""

    def __init__(self, world: SoakWorld, callers: Sequence[Caller] = ()) -> None:
        self.world = world
        self.callers = callers
        self.periods: list[FaultPeriod] = []
        self.waves: list[WaveOrder] = []

    def fault_free_since(self, now: float) -> float:
        """Return the time since which no unplanned fault has been in force; infinity if one is."""
        unplanned = [period for period in self.periods if period.fault.kind not in PLANNED_KINDS]
        if any(period.started_at <= now < period.ended_at for period in unplanned):
            return float("inf")
        return max((period.ended_at for period in unplanned if period.ended_at <= now), default=0.0)

    async def run(self, faults: Iterable[Fault], began: float) -> None:
        """Inject all faults at their times; they may overlap."""
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                tasks.create_task(self._apply_at_its_time(fault, began))

    async def _apply_at_its_time(self, fault: Fault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at_s - monotonic()))
        period = FaultPeriod(fault, monotonic())
        self.periods.append(period)
        await self._apply_fault(fault)
        period.ended_at = monotonic()

    async def _apply_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.KILL_NODE | FaultKind.STOP_NODE | FaultKind.KILL_ALL_NODES:
                await self._stop_and_restart_nodes(fault)
            case FaultKind.PAUSE_NODE | FaultKind.SUSPEND_NODE | FaultKind.RELOAD_NODE:
                await self._signal_node(fault)
            case FaultKind.CONFIGURE | FaultKind.WAVE:
                self._perform_operator_action(fault)
            case FaultKind.ROTATE_KEY | FaultKind.TAKE_KEY | FaultKind.LIMIT_FALLS:
                await self._change_account(fault)
            case FaultKind.HOT_ACCOUNT if self.callers:
                await self.callers[fault.target % len(self.callers)].submit_burst(
                    _account_name(fault)
                )
            case FaultKind.LEADER_CUT:
                self._perform_operator_action(fault)
                await cut_fleet_leader(self.world, fault)
            case kind if kind in ROUTE_KINDS:
                await disrupt_route(self.world, self.callers, fault)
            case FaultKind.CANCEL_UNCONFIRMED:
                await self._cancel_unconfirmed_jobs()
            case FaultKind.STORE_FORGETS_AT_STOP:
                await asyncio.gather(
                    self._stop_and_restart_nodes(fault),
                    forget_history_repeatedly(self.world, fault),
                )
            case kind if kind in DEPARTURE_KINDS:
                await make_workers_leave(self.world, fault)
            case kind if kind in RECORD_KINDS:
                await block_records(self.world, fault)
            case FaultKind.EVACUATE_HALL:
                await evacuate_halls(self.world, fault)
            case kind if kind in SHAPE_KINDS and self.callers:
                caller = self.callers[fault.target % len(self.callers)]
                await submit_shape(self.world, caller, fault)
            case kind if kind in LOSS_KINDS:
                await lose_or_return(self.world, fault)
            case kind if kind in RESTART_KINDS:
                await restart_workers(self.world, fault)
            case FaultKind.FOREIGN_ENTRIES:
                await self._write_foreign_entries(fault)
            case FaultKind.CRASHING_JOB if self.callers:
                await self.callers[fault.target % len(self.callers)].submit_crashing_job()
            case FaultKind.CONFIGURE_OFTEN:
                for _ in range(1 + int(fault.for_s / CONFIGURE_INTERVAL_S)):
                    self.world.reconfigure(EXTRA_ROUTES)
                    await asyncio.sleep(CONFIGURE_INTERVAL_S)
            case (
                FaultKind.STORE_LINK_SILENT
                | FaultKind.STORE_LINK_NO_ANSWERS
                | FaultKind.STORE_LINK_SLOW
                | FaultKind.STORE_LINK_RESET
                | FaultKind.STORE_LINK_THIN
            ):
                await self._disrupt_links([self._target_links(fault).store], fault)
            case (
                FaultKind.WORKER_LINKS_SILENT
                | FaultKind.WORKER_LINKS_NO_ANSWERS
                | FaultKind.WORKER_LINKS_RESET
            ):
                await self._disrupt_links(list(self._target_links(fault).workers.values()), fault)
            case FaultKind.CALLER_LINK_RESET:
                await self._disrupt_links([self._target_links(fault).callers], fault)
            case (
                FaultKind.STORE_SILENT
                | FaultKind.STORE_REFUSES
                | FaultKind.STORE_SLOW
                | FaultKind.STORE_LOSES_ANSWERS
                | FaultKind.STORE_WRITES_LATE
                | FaultKind.STORE_FORGETS
            ):
                await self._disrupt_store(fault)
            case _:
                await self._disrupt_worker(fault)

    def _target_node(self, fault: Fault) -> str:
        names = sorted(self.world.links)
        return names[fault.target % len(names)]

    def _target_links(self, fault: Fault) -> NodeLinks:
        return self.world.links[self._target_node(fault)]

    async def _stop_and_restart_nodes(self, fault: Fault) -> None:
        """End one node or all nodes, and restart them after the fault's duration."""
        match fault.kind:
            case FaultKind.KILL_ALL_NODES:
                names = sorted(self.world.links)
            case FaultKind.STORE_FORGETS_AT_STOP:
                names = [self.world.owner() or self._target_node(fault)]
            case _:
                names = [self._target_node(fault)]
        nodes = [self.world.nodes.nodes[name] for name in names]
        ending = [node for node in nodes if node.process.pid not in self.world.expected_ends]
        for node in ending:
            self.world.expected_ends.add(node.process.pid)
            stop = fault.kind in (FaultKind.STOP_NODE, FaultKind.STORE_FORGETS_AT_STOP)
            node.send_signal(signal.SIGTERM if stop else signal.SIGKILL)
        for node in ending:
            await asyncio.to_thread(node.process.wait, NODE_END_TIMEOUT_S)
        await asyncio.sleep(fault.for_s)
        for node in ending:
            self.world.start_node(node.name)

    async def _signal_node(self, fault: Fault) -> None:
        node = self.world.nodes.nodes[self._target_node(fault)]
        if fault.kind is FaultKind.RELOAD_NODE:
            self._change_settings(node)
            self._send_signal(node, signal.SIGHUP)
            return
        if fault.kind is FaultKind.SUSPEND_NODE and node.process.poll() is None:
            node.suspend()
        else:
            self._send_signal(node, signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        self._send_signal(node, signal.SIGCONT)

    async def _cancel_unconfirmed_jobs(self) -> None:
        """Cancel jobs whose submissions the store applies only after that."""
        faults = self.world.store.faults
        for caller in self.callers:
            faults.late_share, faults.late_s = 1.0, LATE_SUBMISSION_S
            job = await caller.submit_once()
            faults.late_share = 0.0
            await caller.cancel(job)
        # The last late writes are done only then.
        await asyncio.sleep(LATE_SUBMISSION_S)

    async def _change_account(self, fault: Fault) -> None:
        """Rotate a key, revoke one, or lower a limit for the fault's duration."""
        account_history, account = self.world.account_history, _account_name(fault)
        match fault.kind:
            case FaultKind.ROTATE_KEY:
                account_history.add_key(account)
                self.world.reconfigure()
                await asyncio.sleep(fault.for_s)
                account_history.revoke_oldest_key(account)
            case FaultKind.TAKE_KEY:
                account_history.add_key(account)
                account_history.revoke_oldest_key(account)
            case _:
                account_history.set_limit(account, LOW_LIMIT_CPU_MILLIS)
                self.world.reconfigure()
                await asyncio.sleep(fault.for_s)
                account_history.set_limit(account, NORMAL_LIMIT_CPU_MILLIS)
        self.world.reconfigure()

    async def _write_foreign_entries(self, fault: Fault) -> None:
        rows = [("servers", "", f"{FOREIGN_PREFIX}{n}") for n in range(len(FOREIGN_ENTRIES))]
        for row, entry in zip(rows, FOREIGN_ENTRIES, strict=True):
            self.world.store.put(row, entry)
        await asyncio.sleep(fault.for_s)
        for row in rows:
            self.world.store.remove(row)

    def _send_signal(self, node: Node, number: signal.Signals) -> None:
        if node.process.poll() is None:
            node.send_signal(number)

    def _change_settings(self, node: Node) -> None:
        """Replace the settings file atomically, so that no partial file is ever read."""
        path = node.settings
        new_path = path.with_suffix(".new")
        new_path.write_text(path.read_text().replace("watch_s = 0.2", "watch_s = 0.25"))
        os.replace(new_path, path)

    def _perform_operator_action(self, fault: Fault) -> None:
        """Write a configuration or order a maintenance wave, as an operator does."""
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
            "upperLimit": wave.max_parallel,
        }
        self.world.store.put(("op", "", f"wave/{wave.number}"), json.dumps(content).encode())

    async def _disrupt_links(self, links: list[Link], fault: Fault) -> None:
        match fault.kind:
            case FaultKind.STORE_LINK_SILENT | FaultKind.WORKER_LINKS_SILENT:
                await self._restrict_links(links, Passage.NOTHING, fault.for_s)
            case FaultKind.STORE_LINK_NO_ANSWERS | FaultKind.WORKER_LINKS_NO_ANSWERS:
                await self._restrict_links(links, Passage.REQUESTS_ONLY, fault.for_s)
            case FaultKind.STORE_LINK_SLOW:
                links[0].delay_s = MAX_ADDED_DELAY_S * fault.strength
                await asyncio.sleep(fault.for_s)
                links[0].delay_s = 0.0
            case FaultKind.STORE_LINK_THIN:
                # The link stays thin: a process may have such a link for its whole lifetime.
                links[0].bytes_per_s = LOW_BANDWIDTH_BYTES_PER_S
            case _:
                for link in links:
                    link.reset()

    async def _restrict_links(self, links: list[Link], passage: Passage, for_s: float) -> None:
        for link in links:
            link.set_passage(passage)
        await asyncio.sleep(for_s)
        for link in links:
            link.set_passage(Passage.BOTH_WAYS)

    async def _disrupt_store(self, fault: Fault) -> None:
        faults = self.world.store.faults
        match fault.kind:
            case FaultKind.STORE_SILENT:
                faults.silent = True
            case FaultKind.STORE_REFUSES:
                faults.refuse_with = 503
            case FaultKind.STORE_SLOW:
                faults.slow_s = MAX_ADDED_DELAY_S * fault.strength
            case FaultKind.STORE_LOSES_ANSWERS:
                faults.lose_share = fault.strength / 2
            case FaultKind.STORE_WRITES_LATE:
                faults.late_share, faults.late_s = fault.strength / 2, MAX_LATE_S
            case _:
                self.world.store.forget_history()
                return
        await asyncio.sleep(fault.for_s)
        faults.silent, faults.refuse_with, faults.slow_s = False, 0, 0.0
        faults.lose_share, faults.late_share = 0.0, 0.0
        if fault.kind is FaultKind.STORE_WRITES_LATE:
            # The last late writes are done only then.
            await asyncio.sleep(MAX_LATE_S)

    async def _disrupt_worker(self, fault: Fault) -> None:
        workers = self.world.serving_workers()
        if not workers:
            return
        worker = workers[fault.target % len(workers)]
        match fault.kind:
            case FaultKind.WORKER_CRASH:
                await self.world.replace_worker(worker, fault.for_s)
            case FaultKind.WORKER_SHRINKS:
                await self._toggle_for(fault, lambda on: self._resize(worker, on))
            case FaultKind.WORKER_CLOCK_SLOW:
                worker.set_clock_rate(SLOW_CLOCK_RATIO)
            case FaultKind.WORKER_SILENT:
                await self._toggle_for(fault, lambda on: setattr(worker.faults, "silent", on))
            case FaultKind.WORKER_STARTS_LATE:
                late_s = MAX_LATE_S * fault.strength
                await self._toggle_for(
                    fault, lambda on: setattr(worker.faults, "late_starts_s", late_s if on else 0.0)
                )
            case _:
                await self._toggle_for(fault, lambda on: setattr(worker.faults, "fail_all", on))

    def _resize(self, worker: HostedWorker, shrunk: bool) -> None:
        if self.world.workers.get(worker.instance) is worker:
            self.world.resize_worker(worker.instance, SHRUNK_CPU_MILLIS if shrunk else WORKER_CPU)

    async def _toggle_for(self, fault: Fault, switch: Callable[[bool], None]) -> None:
        switch(True)
        await asyncio.sleep(fault.for_s)
        switch(False)

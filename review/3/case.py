"""The store forgets its history while candidates are about to take a stopped node's pools."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from review.harness.case import run_case
from review.harness.world import Deployment, route_entry

if TYPE_CHECKING:
    from review.harness.nodes import NodeMachine
    from review.harness.record import Record
    from standins.hosted import HostedStore

NODES = 3
STEADY_S = 4.0
SLOW_ANSWER_S = 0.16
"""Time that an answer of the slow store takes: 40 times the usual 4 ms."""
FORGET_AFTER_S = (0.7, 1.1)
"""When the store forgets its history, counted from the planned stop."""
CYCLE_S = 4.5
PLAY_S = 95.0
RESTART_DELAY_S = 0.5
DISRUPTION_MARGIN_S = 1.0
FAULT_EXITS = 3
FAULT_MACHINES = 2
"""The rule Fault: on a tenth of the machines, two at least, three ends by themselves."""


class Watch:
    """Starts processes again that have ended, and counts the ends that nothing had caused."""

    def __init__(self, world: Deployment, record: Record) -> None:
        self.world = world
        self.record = record
        self.own_ends: Counter[str] = Counter()
        self.disrupted_until: dict[str, float] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for machine in self.world.machines.values():
                if machine.exit_status() is not None:
                    await self._restart(machine)
            await asyncio.sleep(0.05)

    async def _restart(self, machine: NodeMachine) -> None:
        status = machine.exit_status()
        own = status != 0 and monotonic() > self.disrupted_until.get(machine.name, 0.0)
        self.record.note("process ended", node=machine.name, status=status, by_itself=own)
        if own:
            self.own_ends[machine.name] += 1
            lines = [line for line in machine.log.read_text().splitlines() if "Error" in line]
            self.record.note("its log", errors=lines[-2:])
        await asyncio.sleep(RESTART_DELAY_S)
        self.world.start(machine.name)

    def stop_planned(self, machine: NodeMachine) -> None:
        """Send SIGTERM, as the platform does before a restart."""
        self.disrupted_until[machine.name] = float("inf")
        machine.send_signal(signal.SIGTERM)

    def note_restarted(self, machine: NodeMachine) -> None:
        """Count ends of a machine again, a second after its planned restart."""
        self.disrupted_until[machine.name] = monotonic() + DISRUPTION_MARGIN_S


async def play(record: Record, trouble: bool) -> list[str]:
    """Run the case; return what broke the rule."""
    world = Deployment(record)
    await world.open()
    watch = Watch(world, record)
    task: asyncio.Task[None] | None = None
    try:
        world.configure_routes(1, [route_entry("quick", "main"), route_entry("other", "second")])
        for number in range(2):
            await world.add_worker(f"m-{number}", f"r1-{number % 2}", "main")
            await world.add_worker(f"s-{number}", f"r2-{number % 2}", "second")
        for number in range(NODES):
            world.start(f"node-{number}")
        for machine in world.machines.values():
            await world.wait_machine_ready(machine)
        await asyncio.sleep(STEADY_S)
        task = asyncio.create_task(watch.run())
        if trouble:
            world.store.faults.slow_s = SLOW_ANSWER_S
            record.note("store slow", answer_s=SLOW_ANSWER_S)
        while record.now() < PLAY_S and not is_fault(watch.own_ends):
            began_at = monotonic()
            machine = world.machines[world.holder("main")]
            if trouble:
                watch.stop_planned(machine)
                for after_s in FORGET_AFTER_S:
                    await asyncio.sleep(max(0.0, began_at + after_s - monotonic()))
                    world.store.forget_history()
                    cut_watches(world.store)
                    record.note("store forgets its history")
            await asyncio.sleep(max(0.0, began_at + CYCLE_S - monotonic()))
            if trouble:
                await world.wait_machine_ready(machine)
                watch.note_restarted(machine)
        record.note("ends by themselves", by_machine=dict(watch.own_ends))
        if is_fault(watch.own_ends):
            return [f"Fault: processes ended by themselves: {dict(watch.own_ends)}"]
        return []
    finally:
        if task is not None:
            task.cancel()
        await world.close()


def cut_watches(store: HostedStore) -> None:
    """Let all open watches notice that the history is gone."""
    store.changed.set()
    store.changed = asyncio.Event()


def is_fault(own_ends: Counter[str]) -> bool:
    """Return whether enough processes ended by themselves often enough for the rule."""
    return sum(count >= FAULT_EXITS for count in own_ends.values()) >= FAULT_MACHINES


if __name__ == "__main__":
    run_case(__file__, play)

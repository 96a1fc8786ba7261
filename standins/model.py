"""An in-process fake of the platform, to test planning decisions without clock or network.

Each round it carries out the orders that the fleet's state implies; their effects show some rounds
later. The decisions are real, only their effects are simulated.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.planning import Decision, PlanInput, UsageTracker, decide
from pumicespur.schema.fleet_pb import Assignment, InstanceState, Resources, WavePhase, WaveProgress
from pumicespur.schema.platform_pb import ListedInstance, Liveness
from pumicespur.schema.settings_pb import ManagerSettings
from pumicespur.structure import Fleet, InstanceId, WaveId

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pumicespur.schema.fleet_pb import Pool, Record

ROUND_MS = 1000
START_MS = 1_800_000_000_000

SETTINGS = ManagerSettings(
    drain_timeout_s=60, reboot_timeout_s=120, missing_s=5, moves_per_round=4, tick_s=1
)


@dataclass
class FakeInstance:
    """The fake platform's state of one instance."""

    listed: ListedInstance
    down_until: int = -1
    dead: bool = False


@dataclass
class ModelPlatform:
    """Runs planning rounds against simulated instances, which carry out orders with a delay."""

    fleet: Fleet = field(default_factory=Fleet)
    instances: dict[str, FakeInstance] = field(default_factory=dict)
    settings: ManagerSettings = field(default_factory=lambda: SETTINGS)
    decide: Callable[[PlanInput], Decision] = decide
    drain_rounds: int = 1
    reboot_rounds: int = 3
    round: int = 0
    records: int = 0
    carried_out: set[str] = field(default_factory=set)
    """Tokens of the orders that were carried out."""
    missing: dict[str, int] = field(default_factory=dict)
    """Assigned instances that are not listed, with the round since which they are not."""
    lost_on_reboot: set[str] = field(default_factory=set)
    """Instances that a reboot loses for good."""
    unlisted: set[str] = field(default_factory=set)
    """Instances that the list lacks although they may be up."""
    usage: UsageTracker = field(default_factory=UsageTracker)
    last_decision: Decision = field(default_factory=Decision)

    def add(self, name: str, rack: str, hall: str, pool: str = "", millicores: int = 16000) -> None:
        """Add a live instance, in a pool or new to the system."""
        listed = ListedInstance(
            id=name,
            rack=rack,
            data_hall=hall,
            address="127.0.0.1:1",
            resources=Resources(millicores=millicores, memory_mb=32768),
            liveness=Liveness.LIVE,
            boot="0",
            slots=8,
        )
        self.instances[name] = FakeInstance(listed)
        if pool:
            self.fleet.assignments[InstanceId(name)] = Assignment(
                instance=name,
                pool=pool,
                state=InstanceState.SERVING,
                rack=rack,
                data_hall=hall,
                address=listed.address,
                slots=8,
            )

    def start_wave(self, name: str) -> None:
        """Start a declared wave."""
        self.fleet.progress[WaveId(name)] = WaveProgress(wave=name, phase=WavePhase.RUNNING, run=1)

    def up(self) -> dict[str, ListedInstance]:
        """Return the instances that are up, with their list entries."""
        return {
            name: instance.listed
            for name, instance in self.instances.items()
            if not instance.dead and self.round >= instance.down_until
        }

    def listed(self) -> dict[str, ListedInstance]:
        """List the instances that are up, without `unlisted` ones."""
        return {name: listed for name, listed in self.up().items() if name not in self.unlisted}

    def in_service(self, pool: Pool) -> int:
        """Count a pool's instances that are up and serving."""
        up = self.up()
        return sum(
            1
            for assignment in self.fleet.assignments.values()
            if assignment.pool == pool.id
            and assignment.state is InstanceState.SERVING
            and assignment.instance in up
        )

    def step(self) -> Record | None:
        """Plan one round, apply its record and carry out its orders; return the record, if any."""
        self.round += 1
        plan_input = self._plan_input()
        self.last_decision = self.decide(plan_input)
        record = self.last_decision.record()
        if record is not None:
            record.revision = self.fleet.revision + 1
            record.at_ms = plan_input.now_ms
            self.fleet.apply(record)
            self.records += 1
        for assignment in self.fleet.assignments.values():
            self._carry_out_orders(assignment)
        return record

    def run(self, rounds: int) -> Iterable[int]:
        """Step until no wave runs, for at most `rounds`, yielding after each round."""
        for number in range(rounds):
            self.step()
            yield number
            phases = [progress.phase for progress in self.fleet.progress.values()]
            if WavePhase.RUNNING not in phases:
                return

    def _plan_input(self) -> PlanInput:
        listed = self.listed()
        unlisted = self.fleet.assignments.keys() - listed.keys()
        self.missing = {name: self.missing.get(name, self.round) for name in unlisted}
        missing_rounds = int(self.settings.missing_s)
        reboot_timeout_rounds = int(self.settings.reboot_timeout_s)
        missing = {
            InstanceId(name)
            for name, since in self.missing.items()
            if self.round - since
            > missing_rounds + reboot_timeout_rounds * self._is_rebooting(name)
        }
        return PlanInput(
            fleet=self.fleet,
            listed=listed,
            acknowledged=frozenset(self.carried_out),
            propagated=frozenset(self.carried_out),
            missing=frozenset(missing),
            now_ms=START_MS + self.round * ROUND_MS,
            settings=self.settings,
            usage=self.usage,
        )

    def _is_rebooting(self, name: str) -> bool:
        return self.fleet.assignments[InstanceId(name)].state is InstanceState.MAINTAINING

    def _carry_out_orders(self, assignment: Assignment) -> None:
        instance = self.instances.get(assignment.instance)
        if instance is None or assignment.state is InstanceState.SERVING:
            return
        token = assignment.token
        match assignment.state:
            case InstanceState.DRAINING:
                self.carried_out.add(token)
                instance.listed.drained = True
            case InstanceState.MAINTAINING if f"{token}/reboot" not in self.carried_out:
                self.carried_out.add(f"{token}/reboot")
                instance.down_until = self.round + self.reboot_rounds
                instance.dead = assignment.instance in self.lost_on_reboot
                instance.listed.boot = str(int(instance.listed.boot) + 1)
                instance.listed.drained = False
            case InstanceState.RETURNING:
                self.carried_out.add(f"{token}/resume")
                instance.listed.drained = False


def build(
    pools: Iterable[tuple[Pool, int]], racks: int = 4, halls: int = 2, **options: object
) -> ModelPlatform:
    """Build a fleet of full pools whose instances are spread round-robin over racks and halls."""
    model = ModelPlatform(**options)  # type: ignore[arg-type]
    numbers = itertools.count()
    for pool, size in pools:
        model.fleet.pools[pool.id] = pool  # type: ignore[index]
        for _ in range(size):
            number = next(numbers)
            rack = number % racks
            model.add(f"i{number}", f"r{rack}", f"h{rack % halls}", pool.id)
    return model

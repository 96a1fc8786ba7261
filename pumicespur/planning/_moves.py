"""Moves of instances between pools; an instance moves only if a pool gains from it.

A pool that is short takes instances from the spare pool first, since these need no drain. Only
if no spare instance fits does another pool give one up, and only one beyond its declared size.
"""

from __future__ import annotations

import uuid
from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Assignment, DrainReason, InstanceState, Pool, Resources
from pumicespur.schema.operators_pb import Finding, Severity
from pumicespur.schema.platform_pb import ListedInstance, Liveness
from pumicespur.structure import SPARE_POOL, InstanceId, PoolId
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from pumicespur.planning._availability import Availability
    from pumicespur.planning._round import Decision, PlanInput


def plan_moves(plan_input: PlanInput, availability: Availability, decision: Decision) -> None:
    """Adopt new instances, drain pools that are no longer declared, and fill short pools."""
    _MovePlanner(plan_input, availability, decision).plan()


class _MovePlanner:
    """Planner of one round of moves, by the members of each pool as decided so far."""

    def __init__(
        self, plan_input: PlanInput, availability: Availability, decision: Decision
    ) -> None:
        self.plan_input = plan_input
        self.availability = availability
        self.decision = decision
        self.members: dict[PoolId, list[Assignment]] = {pool: [] for pool in plan_input.fleet.pools}
        self.members[SPARE_POOL] = []
        self.incoming: Counter[str] = Counter()
        self.free_moves = plan_input.settings.moves_per_round

    def plan(self) -> None:
        self._read_members()
        self._adopt_new_instances()
        self._drain_undeclared_pools()
        for name, pool in self.plan_input.fleet.pools.items():
            self._fill_pool(name, pool)

    def _read_members(self) -> None:
        for name, before in self.plan_input.fleet.assignments.items():
            assignment = self.decision.assignments.get(name, before)
            if assignment.removed:
                continue
            self.members.setdefault(PoolId(assignment.pool), []).append(assignment)
            if assignment.reason is DrainReason.MOVE and assignment.next_pool:
                self.incoming[assignment.next_pool] += 1
                self.free_moves -= 1

    def _adopt_new_instances(self) -> None:
        """Put instances that are listed for the first time into the spare pool."""
        for name, listed in self.plan_input.listed.items():
            assignment = self.plan_input.fleet.assignments.get(InstanceId(name))
            if assignment is None and listed.liveness is Liveness.LIVE:
                adopted = _adopt(listed, self.plan_input.now_ms)
                self.members[SPARE_POOL].append(adopted)
                self.decision.assign(adopted)

    def _drain_undeclared_pools(self) -> None:
        """Drain the instances of pools that are no longer declared."""
        for pool in list(self.members.keys() - self.plan_input.fleet.pools.keys() - {SPARE_POOL}):
            for assignment in self.members[pool]:
                if self.free_moves > 0 and assignment.state is InstanceState.SERVING:
                    self._start_move(assignment, SPARE_POOL)

    def _fill_pool(self, name: PoolId, pool: Pool) -> None:
        short = pool.size - len(self.members[name]) - self.incoming[name]
        short += sum(1 for a in self.members[name] if _is_moving_away(a))
        while short > 0:
            if not (self._take_spare(name, pool) or self._take_surplus(name, pool)):
                self._report_shortage(name, short)
                return
            short -= 1

    def _take_spare(self, name: PoolId, pool: Pool) -> bool:
        fitting = [a for a in self.members[SPARE_POOL] if self._fits(a, pool)]
        if not fitting:
            return False
        chosen = self._choose_best(fitting, name)
        self.members[SPARE_POOL].remove(chosen)
        moved = replace_fields(chosen, pool=name, since_ms=self.plan_input.now_ms)
        self.members[name].append(moved)
        self.decision.assign(moved)
        return True

    def _take_surplus(self, name: PoolId, pool: Pool) -> bool:
        if self.free_moves <= 0:
            return False
        fitting = [
            assignment
            for source, declared in self.plan_input.fleet.pools.items()
            if source != name and self._surplus(source, declared) > 0
            for assignment in self.members[source]
            if self._fits(assignment, pool) and self.availability.can_take_down(assignment)
        ]
        if not fitting:
            return False
        self._start_move(self._choose_best(fitting, name), name)
        return True

    def _surplus(self, name: PoolId, pool: Pool) -> int:
        remaining = [a for a in self.members[name] if not _is_moving_away(a)]
        return len(remaining) - pool.size

    def _start_move(self, assignment: Assignment, pool: PoolId) -> None:
        draining = replace_fields(
            assignment,
            state=InstanceState.DRAINING,
            reason=DrainReason.MOVE,
            next_pool=pool,
            token=uuid.uuid4().hex,
            since_ms=self.plan_input.now_ms,
        )
        self.availability.take_down(assignment)
        members = self.members[PoolId(assignment.pool)]
        members[members.index(assignment)] = draining
        self.incoming[pool] += 1
        self.free_moves -= 1
        self.decision.assign(draining)

    def _fits(self, assignment: Assignment, pool: Pool) -> bool:
        """Return whether an instance can move to a pool now: live, serving and large enough."""
        listed = self.plan_input.listed.get(assignment.instance)
        if listed is None or listed.liveness is not Liveness.LIVE:
            return False
        if assignment.state is not InstanceState.SERVING:
            return False
        return covers(listed.resources or Resources(), pool.needs or Resources())

    def _choose_best(self, fitting: list[Assignment], pool: PoolId) -> Assignment:
        """Return the instance that spreads the pool best, and the smallest of equally good ones."""
        halls = Counter(a.data_hall for a in self.members[pool])
        racks = Counter(a.rack for a in self.members[pool])

        def cost(assignment: Assignment) -> tuple[int, int, int, str]:
            listed = self.plan_input.listed[assignment.instance]
            size = (listed.resources or Resources()).millicores
            hall, rack = assignment.data_hall, assignment.rack
            return halls[hall], racks[rack], size, assignment.instance

        return min(fitting, key=cost)

    def _report_shortage(self, name: PoolId, short: int) -> None:
        message = f"{short} instance(s) short, and none that fits is spare"
        self.decision.findings.append(
            Finding(severity=Severity.WARNING, section=f"pool {name}", key="size", message=message)
        )


def covers(has: Resources, needs: Resources) -> bool:
    """Return whether resources are at least as large as needed."""
    return (
        has.millicores >= needs.millicores
        and has.memory_mb >= needs.memory_mb
        and has.accelerators >= needs.accelerators
    )


def _is_moving_away(assignment: Assignment) -> bool:
    return assignment.reason is DrainReason.MOVE and bool(assignment.next_pool)


def _adopt(listed: ListedInstance, now_ms: int) -> Assignment:
    return Assignment(
        instance=listed.id,
        pool=SPARE_POOL,
        state=InstanceState.SERVING,
        address=listed.address,
        slots=listed.slots,
        data_hall=listed.data_hall,
        rack=listed.rack,
        since_ms=now_ms,
    )

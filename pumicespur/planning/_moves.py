"""Which instances pools take, give up and exchange; no move without a stated gain.

A pool that is short takes from the spare pool first, which drains nobody. Only when no
spare instance fits does another pool give one up, and only what it has beyond its size.
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


def plan_moves(known: PlanInput, available: Availability, decision: Decision) -> None:
    """Fill pools that are short, adopt new instances and empty pools that are gone."""
    _Moves(known, available, decision).plan()


class _Moves:
    """One round of moves over the members of each pool as decided so far."""

    def __init__(self, known: PlanInput, available: Availability, decision: Decision) -> None:
        self.known = known
        self.available = available
        self.decision = decision
        self.members: dict[PoolId, list[Assignment]] = {pool: [] for pool in known.fleet.pools}
        self.members[SPARE_POOL] = []
        self.incoming: Counter[str] = Counter()
        self.room = known.settings.moves_per_round

    def plan(self) -> None:
        self._read_members()
        self._adopt()
        self._release_orphans()
        for name, pool in self.known.fleet.pools.items():
            self._fill(name, pool)

    def _read_members(self) -> None:
        for name, before in self.known.fleet.assignments.items():
            assignment = self.decision.assignments.get(name, before)
            if assignment.removed:
                continue
            self.members.setdefault(PoolId(assignment.pool), []).append(assignment)
            if assignment.reason is DrainReason.MOVE and assignment.next_pool:
                self.incoming[assignment.next_pool] += 1
                self.room -= 1

    def _adopt(self) -> None:
        """Put instances that are new in the list into the spare pool."""
        for name, listed in self.known.listed.items():
            known = self.known.fleet.assignments.get(InstanceId(name))
            if known is None and listed.liveness is Liveness.LIVE:
                adopted = _adopted(listed, self.known.now_ms)
                self.members[SPARE_POOL].append(adopted)
                self.decision.assign(adopted)

    def _release_orphans(self) -> None:
        """Drain the instances of pools that are no longer declared."""
        for pool in list(self.members.keys() - self.known.fleet.pools.keys() - {SPARE_POOL}):
            for assignment in self.members[pool]:
                if self.room > 0 and assignment.state is InstanceState.SERVING:
                    self._drain_towards(assignment, SPARE_POOL)

    def _fill(self, name: PoolId, pool: Pool) -> None:
        short = pool.size - len(self.members[name]) - self.incoming[name]
        short += sum(1 for a in self.members[name] if _is_moving_away(a))
        while short > 0:
            if not (self._take_spare(name, pool) or self._take_surplus(name, pool)):
                self._report(name, short)
                return
            short -= 1

    def _take_spare(self, name: PoolId, pool: Pool) -> bool:
        fitting = [a for a in self.members[SPARE_POOL] if self._fits(a, pool)]
        if not fitting:
            return False
        chosen = self._best(fitting, name)
        self.members[SPARE_POOL].remove(chosen)
        moved = replace_fields(chosen, pool=name, since_ms=self.known.now_ms)
        self.members[name].append(moved)
        self.decision.assign(moved)
        return True

    def _take_surplus(self, name: PoolId, pool: Pool) -> bool:
        if self.room <= 0:
            return False
        fitting = [
            assignment
            for giver, declared in self.known.fleet.pools.items()
            if giver != name and self._surplus(giver, declared) > 0
            for assignment in self.members[giver]
            if self._fits(assignment, pool) and self.available.may_take_down(assignment)
        ]
        if not fitting:
            return False
        self._drain_towards(self._best(fitting, name), name)
        return True

    def _surplus(self, name: PoolId, pool: Pool) -> int:
        staying = [a for a in self.members[name] if not _is_moving_away(a)]
        return len(staying) - pool.size

    def _drain_towards(self, assignment: Assignment, pool: PoolId) -> None:
        draining = replace_fields(
            assignment,
            state=InstanceState.DRAINING,
            reason=DrainReason.MOVE,
            next_pool=pool,
            token=uuid.uuid4().hex,
            since_ms=self.known.now_ms,
        )
        self.available.take_down(assignment)
        members = self.members[PoolId(assignment.pool)]
        members[members.index(assignment)] = draining
        self.incoming[pool] += 1
        self.room -= 1
        self.decision.assign(draining)

    def _fits(self, assignment: Assignment, pool: Pool) -> bool:
        """Tell whether an instance can go to a pool now: idle, live and large enough."""
        listed = self.known.listed.get(assignment.instance)
        if listed is None or listed.liveness is not Liveness.LIVE:
            return False
        if assignment.state is not InstanceState.SERVING:
            return False
        return covers(listed.resources or Resources(), pool.needs or Resources())

    def _best(self, fitting: list[Assignment], pool: PoolId) -> Assignment:
        """Return the instance that spreads the pool best, the smallest of equals."""
        halls = Counter(a.data_hall for a in self.members[pool])
        racks = Counter(a.rack for a in self.members[pool])

        def cost(assignment: Assignment) -> tuple[int, int, int, str]:
            listed = self.known.listed[assignment.instance]
            size = (listed.resources or Resources()).millicores
            hall, rack = assignment.data_hall, assignment.rack
            return halls[hall], racks[rack], size, assignment.instance

        return min(fitting, key=cost)

    def _report(self, name: PoolId, short: int) -> None:
        message = f"{short} instance(s) short, and none that fits is spare"
        self.decision.findings.append(
            Finding(severity=Severity.WARNING, section=f"pool {name}", key="size", message=message)
        )


def covers(has: Resources, needs: Resources) -> bool:
    """Tell whether resources are at least as large as needed."""
    return (
        has.millicores >= needs.millicores
        and has.memory_mb >= needs.memory_mb
        and has.accelerators >= needs.accelerators
    )


def _is_moving_away(assignment: Assignment) -> bool:
    return assignment.reason is DrainReason.MOVE and bool(assignment.next_pool)


def _adopted(listed: ListedInstance, now_ms: int) -> Assignment:
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

"""Naive reference versions of the decisions, to compare the real ones with."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from pumicespur.planning import Decision, is_in_window
from pumicespur.planning._lifecycle import advance_instances
from pumicespur.planning._waves import is_due
from pumicespur.schema.fleet_pb import (
    DrainReason,
    FailureDomain,
    InstanceState,
    WaveOutcome,
    WavePhase,
)
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import min_available_instances
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from pumicespur.planning import PlanInput
    from pumicespur.schema.fleet_pb import Assignment, Job, Pool
    from pumicespur.schema.platform_pb import ListedInstance
    from pumicespur.structure import Fleet


def naive_available(
    fleet: Fleet, listed: Mapping[str, ListedInstance], pool: str
) -> list[Assignment]:
    """Return a pool's available instances by checking each one."""
    return [
        a
        for a in fleet.assignments.values()
        if a.pool == pool
        and a.state is InstanceState.SERVING
        and a.instance in listed
        and listed[a.instance].liveness is Liveness.LIVE
        and not listed[a.instance].drained
    ]


def naive_may_take_down(
    fleet: Fleet, listed: Mapping[str, ListedInstance], pool: Pool, instance: str
) -> bool:
    """Try each loss that the headroom covers, one after the other."""
    left = [a for a in naive_available(fleet, listed, pool.id) if a.instance != instance]
    if len(left) == len(naive_available(fleet, listed, pool.id)):
        return True
    losses: list[set[str]] = [set()]
    match pool.headroom:
        case FailureDomain.INSTANCE:
            losses += [{a.instance} for a in left]
        case FailureDomain.RACK:
            losses += [{b.instance for b in left if b.rack == a.rack} for a in left]
        case FailureDomain.DATA_HALL:
            losses += [{b.instance for b in left if b.data_hall == a.data_hall} for a in left]
    return all(len(left) - len(loss) >= min_available_instances(pool) for loss in losses)


def naive_decide(plan_input: PlanInput) -> Decision:
    """Maintain one instance of a wave at a time, as a simple script does."""
    decision = Decision()
    advance_instances(plan_input, decision)
    for name, wave in plan_input.fleet.waves.items():
        progress = decision.waves.get(name, plan_input.fleet.progress.get(name))
        if progress is None or progress.phase is not WavePhase.RUNNING:
            continue
        newest = [
            decision.assignments.get(key, a) for key, a in plan_input.fleet.assignments.items()
        ]
        due = [a for a in newest if a.pool in wave.pools and is_due(a, progress)]
        if not due:
            decision.waves[name] = replace_fields(progress, phase=WavePhase.DONE)
        elif all(a.state is InstanceState.SERVING for a in due) and is_in_window(
            wave, plan_input.now_ms
        ):
            decision.assign(
                replace_fields(
                    due[0],
                    state=InstanceState.DRAINING,
                    reason=DrainReason.WAVE,
                    wave=progress.wave,
                    wave_run=progress.run,
                    outcome=WaveOutcome.UNSPECIFIED,
                    attempt=1,
                    token=uuid.uuid4().hex,
                    since_ms=plan_input.now_ms,
                )
            )
    return decision


def naive_fits(jobs: Sequence[Job], hosts: Sequence[int]) -> bool:
    """Whether all tasks fit, by trying every assignment (small cases only)."""
    sizes = [job.needs.millicores for job in jobs if job.needs for _ in range(job.tasks)]

    def place(index: int, free: list[int]) -> bool:
        if index == len(sizes):
            return True
        for host, free_millicores in enumerate(free):
            if free_millicores >= sizes[index]:
                after = [*free]
                after[host] -= sizes[index]
                if place(index + 1, after):
                    return True
        return False

    return place(0, list(hosts))

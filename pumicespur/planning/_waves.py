"""Maintenance waves: choice of the instances that go down next."""

from __future__ import annotations

import uuid
from collections import Counter
from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import (
    Assignment,
    DrainReason,
    InstanceState,
    Wave,
    WaveOutcome,
    WavePhase,
    WaveProgress,
)
from pumicespur.structure import InstanceId, WaveId
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from pumicespur.planning._availability import Availability
    from pumicespur.planning._round import Decision, PlanInput

MS_PER_MINUTE = 60_000
MINUTES_PER_DAY = 24 * 60


def plan_waves(plan_input: PlanInput, availability: Availability, decision: Decision) -> None:
    """Start the maintenance of as many instances of each running wave as allowed.

    Waves that are done are ended.
    """
    for name, wave in plan_input.fleet.waves.items():
        progress = decision.waves.get(name, plan_input.fleet.progress.get(name))
        if progress is None or progress.phase is not WavePhase.RUNNING:
            continue
        _plan_wave(plan_input, availability, decision, wave, progress)


def _plan_wave(
    plan_input: PlanInput,
    availability: Availability,
    decision: Decision,
    wave: Wave,
    progress: WaveProgress,
) -> None:
    if _has_failed_too_often(wave, progress):
        _end_wave(
            plan_input, decision, progress, WavePhase.HALTED, f"{progress.failed} instances failed"
        )
        return
    members = [_latest(decision, a) for a in plan_input.fleet.assignments.values()]
    members = [a for a in members if a.pool in wave.pools and not a.removed]
    waiting = [a for a in members if is_due(a, progress)]
    in_progress = [a for a in waiting if _is_in_progress(a, progress)]
    if not waiting:
        _end_wave(plan_input, decision, progress, WavePhase.DONE, "")
    elif is_in_window(wave, plan_input.now_ms):
        serving = [a for a in waiting if _may_start(plan_input, a)]
        free_places = wave.max_parallel - len(in_progress)
        _start_maintenance(
            plan_input, availability, decision, wave, progress, serving, in_progress, free_places
        )


def _may_start(plan_input: PlanInput, assignment: Assignment) -> bool:
    """Return whether the maintenance of an instance may start now.

    An instance that the platform's list lacks may still serve. It counts as unavailable, so that
    taking it down would cost the budget nothing, but it would really end its service.
    """
    return assignment.state is InstanceState.SERVING and assignment.instance in plan_input.listed


def is_due(assignment: Assignment, progress: WaveProgress) -> bool:
    """Return whether a wave still has to maintain an instance."""
    if assignment.wave != progress.wave or assignment.wave_run != progress.run:
        return True
    if assignment.outcome is WaveOutcome.FAILED:
        return assignment.since_ms < progress.resumed_ms
    return assignment.outcome is not WaveOutcome.DONE


def _start_maintenance(
    plan_input: PlanInput,
    availability: Availability,
    decision: Decision,
    wave: Wave,
    progress: WaveProgress,
    serving: list[Assignment],
    in_progress: list[Assignment],
    free_places: int,
) -> None:
    """Start the maintenance of as many instances as the budgets allow.

    Instances in racks with others that are down go first, so that a wave works on few racks at a
    time.
    """
    down = Counter((a.pool, a.rack) for a in in_progress)
    order = sorted(serving, key=lambda a: (-down[a.pool, a.rack], a.data_hall, a.rack, a.instance))
    for assignment in order:
        if free_places <= 0:
            return
        if availability.can_take_down(assignment):
            availability.take_down(assignment)
            decision.assign(_as_draining(plan_input, assignment, progress))
            free_places -= 1


def _as_draining(
    plan_input: PlanInput, assignment: Assignment, progress: WaveProgress
) -> Assignment:
    same_run = assignment.wave == progress.wave and assignment.wave_run == progress.run
    is_retry = same_run and assignment.outcome is WaveOutcome.UNSPECIFIED
    return replace_fields(
        assignment,
        state=InstanceState.DRAINING,
        reason=DrainReason.WAVE,
        wave=progress.wave,
        wave_run=progress.run,
        outcome=WaveOutcome.UNSPECIFIED,
        attempt=assignment.attempt + 1 if is_retry else 1,
        token=uuid.uuid4().hex,
        since_ms=plan_input.now_ms,
    )


def _latest(decision: Decision, assignment: Assignment) -> Assignment:
    return decision.assignments.get(InstanceId(assignment.instance), assignment)


def _is_in_progress(assignment: Assignment, progress: WaveProgress) -> bool:
    return assignment.state is not InstanceState.SERVING and assignment.wave == progress.wave


def _has_failed_too_often(wave: Wave, progress: WaveProgress) -> bool:
    return progress.failed > (progress.done + progress.failed) * wave.halt_share


def is_in_window(wave: Wave, now_ms: int) -> bool:
    """Return whether the wave may take down further instances at this time of day (UTC)."""
    start, end = wave.window_start_minute, wave.window_end_minute
    minute = now_ms // MS_PER_MINUTE % MINUTES_PER_DAY
    if start == end:
        return True
    if start < end:
        return start <= minute < end
    return minute >= start or minute < end


def _end_wave(
    plan_input: PlanInput, decision: Decision, progress: WaveProgress, phase: WavePhase, reason: str
) -> None:
    decision.waves[WaveId(progress.wave)] = replace_fields(
        progress, phase=phase, reason=reason, ended_ms=plan_input.now_ms
    )

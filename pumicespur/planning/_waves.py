"""Maintenance waves: which instances go down next."""

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

MINUTE_MS = 60_000
MINUTES_A_DAY = 24 * 60


def plan_waves(known: PlanInput, available: Availability, decision: Decision) -> None:
    """Start what every running wave may start now, and end the waves that are done."""
    for name, wave in known.fleet.waves.items():
        progress = decision.waves.get(name, known.fleet.progress.get(name))
        if progress is None or progress.phase is not WavePhase.RUNNING:
            continue
        _plan_wave(known, available, decision, wave, progress)


def _plan_wave(
    known: PlanInput,
    available: Availability,
    decision: Decision,
    wave: Wave,
    progress: WaveProgress,
) -> None:
    if _failed_too_often(wave, progress):
        _end(known, decision, progress, WavePhase.HALTED, f"{progress.failed} instances failed")
        return
    members = [_newest(decision, a) for a in known.fleet.assignments.values()]
    members = [a for a in members if a.pool in wave.pools and not a.removed]
    waiting = [a for a in members if is_due(a, progress)]
    busy = [a for a in waiting if _is_busy(a, progress)]
    if not waiting:
        _end(known, decision, progress, WavePhase.DONE, "")
    elif in_window(wave, known.now_ms):
        idle = [a for a in waiting if a.state is InstanceState.SERVING]
        room = wave.max_parallel - len(busy)
        _start(known, available, decision, wave, progress, idle, busy, room)


def is_due(assignment: Assignment, progress: WaveProgress) -> bool:
    """Tell whether a wave still has to maintain an instance."""
    if assignment.wave != progress.wave or assignment.wave_run != progress.run:
        return True
    if assignment.outcome is WaveOutcome.FAILED:
        return assignment.since_ms < progress.resumed_ms
    return assignment.outcome is not WaveOutcome.DONE


def _start(
    known: PlanInput,
    available: Availability,
    decision: Decision,
    wave: Wave,
    progress: WaveProgress,
    idle: list[Assignment],
    busy: list[Assignment],
    room: int,
) -> None:
    """Start as many as the budgets allow.

    Instances next to others that are down go first: the same rack can be lost only once,
    so keeping the down ones together leaves more room under a rack or data hall headroom.
    """
    down = Counter((a.pool, a.rack) for a in busy)
    order = sorted(idle, key=lambda a: (-down[a.pool, a.rack], a.data_hall, a.rack, a.instance))
    for assignment in order:
        if room <= 0:
            return
        if available.may_take_down(assignment):
            available.take_down(assignment)
            decision.assign(_draining(known, assignment, progress))
            room -= 1


def _draining(known: PlanInput, assignment: Assignment, progress: WaveProgress) -> Assignment:
    same_run = assignment.wave == progress.wave and assignment.wave_run == progress.run
    again = same_run and assignment.outcome is WaveOutcome.UNSPECIFIED
    return replace_fields(
        assignment,
        state=InstanceState.DRAINING,
        reason=DrainReason.WAVE,
        wave=progress.wave,
        wave_run=progress.run,
        outcome=WaveOutcome.UNSPECIFIED,
        attempt=assignment.attempt + 1 if again else 1,
        token=uuid.uuid4().hex,
        since_ms=known.now_ms,
    )


def _newest(decision: Decision, assignment: Assignment) -> Assignment:
    return decision.assignments.get(InstanceId(assignment.instance), assignment)


def _is_busy(assignment: Assignment, progress: WaveProgress) -> bool:
    return assignment.state is not InstanceState.SERVING and assignment.wave == progress.wave


def _failed_too_often(wave: Wave, progress: WaveProgress) -> bool:
    return progress.failed > (progress.done + progress.failed) * wave.halt_share


def in_window(wave: Wave, now_ms: int) -> bool:
    """Tell whether the wave may start instances at this time of day (UTC)."""
    start, end = wave.window_start_minute, wave.window_end_minute
    minute = now_ms // MINUTE_MS % MINUTES_A_DAY
    if start == end:
        return True
    if start < end:
        return start <= minute < end
    return minute >= start or minute < end


def _end(
    known: PlanInput, decision: Decision, progress: WaveProgress, phase: WavePhase, reason: str
) -> None:
    decision.waves[WaveId(progress.wave)] = replace_fields(
        progress, phase=phase, reason=reason, ended_ms=known.now_ms
    )

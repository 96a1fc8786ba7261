"""Carry on what was started: drains, reboots, returns, and instances that are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import (
    Assignment,
    DrainReason,
    InstanceState,
    WaveOutcome,
    WaveProgress,
)
from pumicespur.schema.operators_pb import Finding, Severity
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import SPARE_POOL, WaveId
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from pumicespur.planning._round import Decision, PlanInput
    from pumicespur.schema.platform_pb import ListedInstance

MS = 1000


def drain_token(assignment: Assignment) -> str:
    """Name the drain order of an assignment."""
    return assignment.token


def reboot_token(assignment: Assignment) -> str:
    """Name the reboot order of an assignment."""
    return f"{assignment.token}/reboot"


def resume_token(assignment: Assignment) -> str:
    """Name the resume order of an assignment."""
    return f"{assignment.token}/resume"


def advance(known: PlanInput, decision: Decision) -> None:
    """Take every instance that is not simply serving one step further, if it is ready."""
    for name, assignment in known.fleet.assignments.items():
        listed = known.listed.get(name)
        if name in known.missing:
            _drop(known, decision, assignment)
        elif assignment.state is not InstanceState.SERVING:
            _step(known, decision, assignment, listed)
        elif listed is not None:
            _check_serving(decision, assignment, listed)


def _check_serving(decision: Decision, assignment: Assignment, listed: ListedInstance) -> None:
    if listed.address != assignment.address:
        decision.assign(replace_fields(assignment, address=listed.address))
    if listed.drained:
        # Somebody else drained it, perhaps a script not moved over yet: it is charged to
        # the budget and left alone until an operator takes it back.
        message = f"{assignment.instance} is drained, but not by this system"
        decision.findings.append(
            Finding(
                severity=Severity.WARNING,
                section=f"pool {assignment.pool}",
                message=f"{message}; `pumicespur drain {assignment.instance} --resume` ends it",
            )
        )


def _step(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    match assignment.state:
        case InstanceState.DRAINING:
            _step_draining(known, decision, assignment, listed)
        case InstanceState.MAINTAINING:
            _step_maintaining(known, decision, assignment, listed)
        case InstanceState.RETURNING:
            _step_returning(known, decision, assignment, listed)


def _step_draining(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if assignment.reason is DrainReason.OPERATOR:
        return
    # An entry that slept through the drain may still use its old table for a while; an
    # instance changes pool only when every entry has heard of it or doubts its table.
    is_move = assignment.reason is DrainReason.MOVE
    enough = known.settled if is_move else known.acknowledged
    ordered = drain_token(assignment) in enough
    if ordered and listed is not None and listed.drained:
        _finish_drain(known, decision, assignment, listed)
    elif _timed_out(known, assignment, known.settings.drain_timeout_s):
        returning = replace_fields(
            assignment, state=InstanceState.RETURNING, next_pool="", since_ms=known.now_ms
        )
        decision.assign(returning)
        if _was_last_attempt(known, assignment):
            _fail(known, decision, returning)


def _finish_drain(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance
) -> None:
    match assignment.reason:
        case DrainReason.MOVE:
            pool = assignment.next_pool
            if pool != SPARE_POOL and pool not in known.fleet.pools:
                pool = SPARE_POOL
            moved = replace_fields(
                assignment,
                pool=pool,
                next_pool="",
                state=InstanceState.RETURNING,
                since_ms=known.now_ms,
            )
            decision.assign(moved)
        case _:
            rebooting = replace_fields(
                assignment,
                state=InstanceState.MAINTAINING,
                boot=listed.boot,
                since_ms=known.now_ms,
            )
            decision.assign(rebooting)


def _step_maintaining(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if _is_back(assignment, listed) and reboot_token(assignment) in known.acknowledged:
        assert listed is not None
        back = _serving(assignment, listed, known.now_ms)
        progress = _progress(known, decision, assignment)
        if progress is not None and assignment.outcome is not WaveOutcome.FAILED:
            back.outcome = WaveOutcome.DONE
            progress.done += 1
        decision.assign(back)
    elif _timed_out(known, assignment, known.settings.reboot_timeout_s):
        # It stays charged until it is seen back; the wave goes on without it.
        _fail(known, decision, assignment)


def _step_returning(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if listed is None or listed.drained or listed.liveness is not Liveness.LIVE:
        return
    if resume_token(assignment) in known.acknowledged:
        decision.assign(_serving(assignment, listed, known.now_ms))


def _is_back(assignment: Assignment, listed: ListedInstance | None) -> bool:
    if listed is None or listed.liveness is not Liveness.LIVE:
        return False
    return listed.boot != assignment.boot and not listed.drained


def _serving(assignment: Assignment, listed: ListedInstance, now_ms: int) -> Assignment:
    return replace_fields(
        assignment,
        state=InstanceState.SERVING,
        reason=DrainReason.UNSPECIFIED,
        address=listed.address,
        next_pool="",
        token="",
        since_ms=now_ms,
    )


def _drop(known: PlanInput, decision: Decision, assignment: Assignment) -> None:
    decision.assign(Assignment(instance=assignment.instance, removed=True))
    _count_failure(known, decision, assignment)


def _timed_out(known: PlanInput, assignment: Assignment, limit_s: float) -> bool:
    return known.now_ms - assignment.since_ms > limit_s * MS


def _was_last_attempt(known: PlanInput, assignment: Assignment) -> bool:
    wave = known.fleet.waves.get(WaveId(assignment.wave))
    return wave is not None and assignment.attempt >= wave.attempts


def _fail(known: PlanInput, decision: Decision, assignment: Assignment) -> None:
    """Give an instance up for its wave, once."""
    if _count_failure(known, decision, assignment):
        decision.assign(replace_fields(assignment, outcome=WaveOutcome.FAILED))


def _count_failure(known: PlanInput, decision: Decision, assignment: Assignment) -> bool:
    """Count an instance that its wave gives up, once; return whether it counts.

    One that has counted leaves the wave's row out of the decision: an unchanged row is a record
    like any other, wakes the planner at once and made it append 100 records a second.
    """
    if assignment.outcome is not WaveOutcome.UNSPECIFIED:
        return False
    progress = _progress(known, decision, assignment)
    if progress is None:
        return False
    progress.failed += 1
    return True


def _progress(known: PlanInput, decision: Decision, assignment: Assignment) -> WaveProgress | None:
    """Return the progress of an instance's wave, as a row of the decision."""
    wave = WaveId(assignment.wave)
    current = known.fleet.progress.get(wave)
    if assignment.reason is not DrainReason.WAVE or current is None:
        return None
    if current.run != assignment.wave_run:
        return None
    if wave not in decision.waves:
        decision.waves[wave] = replace_fields(current)
    return decision.waves[wave]

"""Progress of what was started: drains, reboots, returns and removals of missing instances."""

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

MS_PER_S = 1000


def drain_token(assignment: Assignment) -> str:
    """Return the token of an assignment's drain order."""
    return assignment.token


def reboot_token(assignment: Assignment) -> str:
    """Return the token of an assignment's reboot order."""
    return f"{assignment.token}/reboot"


def resume_token(assignment: Assignment) -> str:
    """Return the token of an assignment's resume order."""
    return f"{assignment.token}/resume"


def advance_instances(plan_input: PlanInput, decision: Decision) -> None:
    """Remove missing instances, advance those that are not serving, and check the serving ones."""
    for name, assignment in plan_input.fleet.assignments.items():
        listed = plan_input.listed.get(name)
        if name in plan_input.missing:
            _remove(plan_input, decision, assignment)
        elif assignment.state is not InstanceState.SERVING:
            _advance_instance(plan_input, decision, assignment, listed)
        elif listed is not None:
            _check_serving(decision, assignment, listed)


def _check_serving(decision: Decision, assignment: Assignment, listed: ListedInstance) -> None:
    if listed.address != assignment.address:
        decision.assign(replace_fields(assignment, address=listed.address))
    if listed.drained:
        # Drained by something else, perhaps a script that was not migrated yet. It is charged
        # to the budget and left alone until an operator resumes it.
        message = f"{assignment.instance} is drained, but not by this system"
        decision.findings.append(
            Finding(
                severity=Severity.WARNING,
                section=f"pool {assignment.pool}",
                message=f"{message}; `pumicespur drain {assignment.instance} --resume` ends it",
            )
        )


def _advance_instance(
    plan_input: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    match assignment.state:
        case InstanceState.DRAINING:
            _advance_draining(plan_input, decision, assignment, listed)
        case InstanceState.MAINTAINING:
            _advance_maintaining(plan_input, decision, assignment, listed)
        case InstanceState.RETURNING:
            _advance_returning(plan_input, decision, assignment, listed)


def _advance_draining(
    plan_input: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if assignment.reason is DrainReason.OPERATOR:
        return
    # An entry that missed the drain may use its old routing table for a while, so an instance
    # changes pool only when every entry has received the drain or treats its table as outdated.
    is_move = assignment.reason is DrainReason.MOVE
    accepted = plan_input.propagated if is_move else plan_input.acknowledged
    is_accepted = drain_token(assignment) in accepted
    if is_accepted and listed is not None and listed.drained:
        _finish_drain(plan_input, decision, assignment, listed)
    elif _has_timed_out(plan_input, assignment, plan_input.settings.drain_timeout_s):
        returning = replace_fields(
            assignment, state=InstanceState.RETURNING, next_pool="", since_ms=plan_input.now_ms
        )
        decision.assign(returning)
        if _was_last_attempt(plan_input, assignment):
            _mark_failed(plan_input, decision, returning)


def _finish_drain(
    plan_input: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance
) -> None:
    match assignment.reason:
        case DrainReason.MOVE:
            pool = assignment.next_pool
            if pool != SPARE_POOL and pool not in plan_input.fleet.pools:
                pool = SPARE_POOL
            moved = replace_fields(
                assignment,
                pool=pool,
                next_pool="",
                state=InstanceState.RETURNING,
                since_ms=plan_input.now_ms,
            )
            decision.assign(moved)
        case _:
            rebooting = replace_fields(
                assignment,
                state=InstanceState.MAINTAINING,
                boot=listed.boot,
                since_ms=plan_input.now_ms,
            )
            decision.assign(rebooting)


def _advance_maintaining(
    plan_input: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if _is_back(assignment, listed) and reboot_token(assignment) in plan_input.acknowledged:
        assert listed is not None
        returned = _as_serving(assignment, listed, plan_input.now_ms)
        progress = _wave_progress(plan_input, decision, assignment)
        if progress is not None and assignment.outcome is not WaveOutcome.FAILED:
            returned.outcome = WaveOutcome.DONE
            progress.done += 1
        decision.assign(returned)
    elif _has_timed_out(plan_input, assignment, plan_input.settings.reboot_timeout_s):
        # It stays charged to the budget until it is listed again; the wave continues without it.
        _mark_failed(plan_input, decision, assignment)


def _advance_returning(
    plan_input: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance | None
) -> None:
    if listed is None or listed.drained or listed.liveness is not Liveness.LIVE:
        return
    if resume_token(assignment) in plan_input.acknowledged:
        decision.assign(_as_serving(assignment, listed, plan_input.now_ms))


def _is_back(assignment: Assignment, listed: ListedInstance | None) -> bool:
    if listed is None or listed.liveness is not Liveness.LIVE:
        return False
    return listed.boot != assignment.boot and not listed.drained


def _as_serving(assignment: Assignment, listed: ListedInstance, now_ms: int) -> Assignment:
    return replace_fields(
        assignment,
        state=InstanceState.SERVING,
        reason=DrainReason.UNSPECIFIED,
        address=listed.address,
        next_pool="",
        token="",
        since_ms=now_ms,
    )


def _remove(plan_input: PlanInput, decision: Decision, assignment: Assignment) -> None:
    decision.assign(Assignment(instance=assignment.instance, removed=True))
    _count_failure(plan_input, decision, assignment)


def _has_timed_out(plan_input: PlanInput, assignment: Assignment, limit_s: float) -> bool:
    return plan_input.now_ms - assignment.since_ms > limit_s * MS_PER_S


def _was_last_attempt(plan_input: PlanInput, assignment: Assignment) -> bool:
    wave = plan_input.fleet.waves.get(WaveId(assignment.wave))
    return wave is not None and assignment.attempt >= wave.attempts


def _mark_failed(plan_input: PlanInput, decision: Decision, assignment: Assignment) -> None:
    """Mark an instance as failed for its wave, unless it already has an outcome."""
    if _count_failure(plan_input, decision, assignment):
        decision.assign(replace_fields(assignment, outcome=WaveOutcome.FAILED))


def _count_failure(plan_input: PlanInput, decision: Decision, assignment: Assignment) -> bool:
    """Count an instance as failed in its wave, once; return whether it was counted.

    If it was already counted, the wave's row is left out of the decision. Even an unchanged row
    would be a new log record, and each record starts the next round at once: the planner appended
    100 records a second.
    """
    if assignment.outcome is not WaveOutcome.UNSPECIFIED:
        return False
    progress = _wave_progress(plan_input, decision, assignment)
    if progress is None:
        return False
    progress.failed += 1
    return True


def _wave_progress(
    plan_input: PlanInput, decision: Decision, assignment: Assignment
) -> WaveProgress | None:
    """Return the decision's row of an instance's wave, or None outside the wave's current run."""
    wave = WaveId(assignment.wave)
    current = plan_input.fleet.progress.get(wave)
    if assignment.reason is not DrainReason.WAVE or current is None:
        return None
    if current.run != assignment.wave_run:
        return None
    if wave not in decision.waves:
        decision.waves[wave] = replace_fields(current)
    return decision.waves[wave]

"""Carry on what was started: drains, reboots, returns, and instances that are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Assignment, DrainReason, InstanceState, WaveProgress
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import SPARE_POOL, InstanceId, WaveId

if TYPE_CHECKING:
    from pumicespur.planning._decision import Decision, PlanInput
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


def changed(assignment: Assignment, **fields: object) -> Assignment:
    """Return a copy of an assignment with some fields replaced."""
    copy = Assignment.from_binary(assignment.to_binary())
    for name, value in fields.items():
        setattr(copy, name, value)
    return copy


def advance(known: PlanInput, decision: Decision) -> None:
    """Take every instance that is not simply serving one step further, if it is ready."""
    for name, assignment in known.fleet.assignments.items():
        listed = known.listed.get(name)
        if name in known.missing:
            _drop(known, decision, assignment)
        elif assignment.state is not InstanceState.SERVING:
            _step(known, decision, assignment, listed)
        elif listed is not None and listed.address != assignment.address:
            decision.assign(changed(assignment, address=listed.address))


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
    ordered = drain_token(assignment) in known.acknowledged
    if ordered and listed is not None and listed.drained:
        _finish_drain(known, decision, assignment, listed)
    elif _timed_out(known, assignment, known.settings.drain_timeout_s):
        returning = changed(
            assignment, state=InstanceState.RETURNING, next_pool="", since_ms=known.now_ms
        )
        decision.assign(returning)
        _count_attempt(known, decision, assignment)


def _finish_drain(
    known: PlanInput, decision: Decision, assignment: Assignment, listed: ListedInstance
) -> None:
    match assignment.reason:
        case DrainReason.MOVE:
            pool = assignment.next_pool
            if pool != SPARE_POOL and pool not in known.fleet.pools:
                pool = SPARE_POOL
            moved = changed(
                assignment,
                pool=pool,
                next_pool="",
                state=InstanceState.RETURNING,
                since_ms=known.now_ms,
            )
            decision.assign(moved)
        case _:
            rebooting = changed(
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
        decision.assign(_serving(assignment, listed, known.now_ms))
        progress = _progress(known, decision, assignment)
        if progress is not None and assignment.instance not in progress.failed:
            _add_once(progress.done, assignment.instance)
    elif _timed_out(known, assignment, known.settings.reboot_timeout_s):
        # It stays charged until it is seen back; the wave goes on without it.
        progress = _progress(known, decision, assignment)
        if progress is not None:
            _add_once(progress.failed, assignment.instance)


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
    return changed(
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
    progress = _progress(known, decision, assignment)
    if progress is not None and assignment.state is InstanceState.MAINTAINING:
        _add_once(progress.failed, assignment.instance)


def _timed_out(known: PlanInput, assignment: Assignment, limit_s: float) -> bool:
    return known.now_ms - assignment.since_ms > limit_s * MS


def _count_attempt(known: PlanInput, decision: Decision, assignment: Assignment) -> None:
    """Give an instance up for its wave when its last attempt did not drain it."""
    wave = known.fleet.waves.get(WaveId(assignment.wave))
    if wave is None or assignment.attempt < wave.attempts:
        return
    progress = _progress(known, decision, assignment)
    if progress is not None:
        _add_once(progress.failed, assignment.instance)


def _progress(known: PlanInput, decision: Decision, assignment: Assignment) -> WaveProgress | None:
    """Return the progress of an instance's wave, as a row of the decision."""
    wave = WaveId(assignment.wave)
    if assignment.reason is not DrainReason.WAVE or wave not in known.fleet.progress:
        return None
    if wave not in decision.waves:
        current = known.fleet.progress[wave]
        decision.waves[wave] = WaveProgress.from_binary(current.to_binary())
    return decision.waves[wave]


def _add_once(names: list[str], name: str | InstanceId) -> None:
    if name not in names:
        names.append(name)

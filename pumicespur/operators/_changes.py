"""Changes that operators make to single instances and waves."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from connectrpc.code import Code
from connectrpc.errors import ConnectError

from pumicespur.schema.fleet_pb import (
    Assignment,
    DrainReason,
    InstanceState,
    WavePhase,
    WaveProgress,
)
from pumicespur.schema.operators_pb import WaveAction
from pumicespur.structure import Fleet, WaveId
from pumicespur.utils import now_ms, replace_fields

if TYPE_CHECKING:
    from pumicespur.schema.operators_pb import WaveRequest

WAVE_TRANSITIONS: dict[WaveAction, tuple[set[WavePhase | None], WavePhase]] = {
    WaveAction.START: (
        {None, WavePhase.DONE, WavePhase.ABORTED, WavePhase.HALTED},
        WavePhase.RUNNING,
    ),
    WaveAction.PAUSE: ({WavePhase.RUNNING}, WavePhase.PAUSED),
    WaveAction.RESUME: ({WavePhase.PAUSED, WavePhase.HALTED}, WavePhase.RUNNING),
    WaveAction.ABORT: (
        {WavePhase.RUNNING, WavePhase.PAUSED, WavePhase.HALTED},
        WavePhase.ABORTED,
    ),
}
"""For each action on a wave: the phases that allow it (None: not started), and the next phase."""


def drain_assignment(assignment: Assignment) -> Assignment | None:
    """Return the assignment for draining an instance; None if an operator drained it already."""
    if assignment.state is not InstanceState.SERVING:
        if assignment.reason is DrainReason.OPERATOR:
            return None
        text = f"instance: {assignment.instance} is {assignment.state.name.lower()} already"
        raise ConnectError(Code.FAILED_PRECONDITION, text)
    return replace_fields(
        assignment,
        state=InstanceState.DRAINING,
        reason=DrainReason.OPERATOR,
        token=uuid.uuid4().hex,
        since_ms=now_ms(),
    )


def resume_assignment(assignment: Assignment) -> Assignment:
    """Return the assignment for returning an instance to service."""
    serving = assignment.state is InstanceState.SERVING
    if not serving and assignment.reason is not DrainReason.OPERATOR:
        text = f"instance: {assignment.instance} was not drained by an operator"
        raise ConnectError(Code.FAILED_PRECONDITION, text)
    # A serving instance may have been drained by something else, such as a script. A resume
    # order under a new token returns it to service.
    token = uuid.uuid4().hex if serving else assignment.token
    return replace_fields(
        assignment,
        state=InstanceState.RETURNING,
        reason=DrainReason.OPERATOR,
        token=token,
        since_ms=now_ms(),
    )


def apply_wave_action(fleet: Fleet, request: WaveRequest) -> WaveProgress:
    """Return a wave's progress after an action; raise ConnectError if the action is not allowed."""
    name = WaveId(request.wave)
    if name not in fleet.waves:
        raise ConnectError(Code.NOT_FOUND, f"wave: no such wave {request.wave!r}")
    if request.action not in WAVE_TRANSITIONS:
        raise ConnectError(Code.INVALID_ARGUMENT, "action: takes start, pause, resume or abort")
    current = fleet.progress.get(name)
    phase = current.phase if current else None
    allowed_phases, next_phase = WAVE_TRANSITIONS[request.action]
    if phase not in allowed_phases:
        shown = phase.name.lower() if phase else "not started"
        text = f"wave: {request.wave} is {shown} and can't {request.action.name.lower()}"
        raise ConnectError(Code.FAILED_PRECONDITION, text)
    if request.action is WaveAction.START or current is None:
        run = current.run + 1 if current else 1
        return WaveProgress(wave=name, phase=next_phase, started_ms=now_ms(), run=run)
    changed = replace_fields(current, phase=next_phase, reason="")
    if request.action is WaveAction.RESUME:
        # Operators resume a halted wave once they have checked it: the instances that failed are
        # maintained again and no longer count as failed.
        changed.failed = 0
        changed.resumed_ms = now_ms()
    if request.action is WaveAction.ABORT:
        changed.ended_ms = now_ms()
    return changed

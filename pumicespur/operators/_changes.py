"""What operators may change of instances and waves, by hand."""

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

TRANSITIONS: dict[WaveAction, tuple[set[WavePhase | None], WavePhase]] = {
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
"""For each action on a wave: the phases it takes, and the phase it leads to."""


def drained(assignment: Assignment) -> Assignment | None:
    """Return the assignment of an instance that an operator drains; None if it is drained."""
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


def resumed(assignment: Assignment) -> Assignment:
    """Return the assignment of an instance that an operator takes back into service."""
    serving = assignment.state is InstanceState.SERVING
    if not serving and assignment.reason is not DrainReason.OPERATOR:
        text = f"instance: {assignment.instance} was not drained by an operator"
        raise ConnectError(Code.FAILED_PRECONDITION, text)
    # When somebody else drained it, a resume under a new token takes it back.
    token = uuid.uuid4().hex if serving else assignment.token
    return replace_fields(
        assignment,
        state=InstanceState.RETURNING,
        reason=DrainReason.OPERATOR,
        token=token,
        since_ms=now_ms(),
    )


def next_progress(fleet: Fleet, request: WaveRequest) -> WaveProgress:
    """Return a wave's progress after an action; raise ConnectError if it takes none such."""
    name = WaveId(request.wave)
    if name not in fleet.waves:
        raise ConnectError(Code.NOT_FOUND, f"wave: no such wave {request.wave!r}")
    if request.action not in TRANSITIONS:
        raise ConnectError(Code.INVALID_ARGUMENT, "action: takes start, pause, resume or abort")
    current = fleet.progress.get(name)
    phase = current.phase if current else None
    takes, leads_to = TRANSITIONS[request.action]
    if phase not in takes:
        shown = phase.name.lower() if phase else "not started"
        text = f"wave: {request.wave} is {shown} and can't {request.action.name.lower()}"
        raise ConnectError(Code.FAILED_PRECONDITION, text)
    if request.action is WaveAction.START or current is None:
        run = current.run + 1 if current else 1
        return WaveProgress(wave=name, phase=leads_to, started_ms=now_ms(), run=run)
    changed = replace_fields(current, phase=leads_to, reason="")
    if request.action is WaveAction.RESUME:
        # Operators resume a halted wave after looking: its failures get another try.
        changed.failed = 0
        changed.resumed_ms = now_ms()
    if request.action is WaveAction.ABORT:
        changed.ended_ms = now_ms()
    return changed

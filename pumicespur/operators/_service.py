"""The service for operators; every manager serves it.

Changes are checked, then appended to the log.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pynng
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from expression import Result
from logbook import Logger

from pumicespur.config import has_errors
from pumicespur.operators._changes import apply_wave_action, drain_assignment, resume_assignment
from pumicespur.operators._review import review
from pumicespur.operators._status import measure_pools
from pumicespur.schema.fleet_pb import (
    Assignment,
    Record,
    WaveProgress,
)
from pumicespur.schema.operators_connect import Operators, OperatorsASGIApplication
from pumicespur.schema.operators_pb import (
    ApplyRequest,
    ApplyResponse,
    DrainRequest,
    DrainResponse,
    ProcessDumpRequest,
    StatusRequest,
    StatusResponse,
    WaveRequest,
    WaveResponse,
)
from pumicespur.schema.peer_pb import DumpReply, DumpRequest, PeerRequest
from pumicespur.state import Uncertain
from pumicespur.store import Conflict, Unavailable, describe_fault
from pumicespur.structure import (
    Fleet,
    InstanceId,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from connectrpc.request import RequestContext

    from pumicespur.peers import PeerNetwork
    from pumicespur.planning import Planner
    from pumicespur.state import Replica

log = Logger(__name__)

SCHEMA_VERSION = 1
MAX_REQUEST_BYTES = 16 * 1024 * 1024
OPERATOR_HEADER = "pumicespur-operator"
ANONYMOUS = "anonymous"


class OperatorService(Operators):
    """Serves operators from this process's replica and appends their changes to the log."""

    def __init__(
        self,
        process: str,
        replica: Replica,
        planner: Planner,
        peers: PeerNetwork,
        dump: Callable[[], str],
    ) -> None:
        self.process = process
        self.replica = replica
        self.planner = planner
        self.peers = peers
        self.dump_state = dump

    async def apply(self, request: ApplyRequest, ctx: RequestContext[Any, Any], /) -> ApplyResponse:
        """Put and remove sections, unless somebody else changed them after the base revision."""
        if request.schema_version != SCHEMA_VERSION:
            text = (
                f"schema_version: this process takes {SCHEMA_VERSION}, not {request.schema_version}"
            )
            raise ConnectError(Code.INVALID_ARGUMENT, text)
        response = ApplyResponse()

        def build(fleet: Fleet) -> Record | None:
            nonlocal response
            response = review(fleet, request)
            acceptable = not response.conflicts and not has_errors(response.findings)
            if request.dry_run or not acceptable or not response.changed:
                return None
            return Record(author=author_of(ctx), put=request.put, removals=request.removals)

        if request.dry_run:
            build(self.replica.fleet)
            response.revision = self.replica.revision
        else:
            response.revision = await self._append(build)
        return response

    async def status(
        self, request: StatusRequest, ctx: RequestContext[Any, Any], /
    ) -> StatusResponse:
        """Return the state as this process knows it."""
        await self.planner.observe()
        fleet = self.replica.fleet
        last_response_age_s = min(self.replica.store.platform.last_response_age_s(), 2**31)
        return StatusResponse(
            revision=fleet.revision,
            process=self.process,
            planner=self.planner.lease.holder,
            store_seen_ms_ago=int(last_response_age_s * 1000),
            pools=measure_pools(fleet, self.planner.listing.instances),
            waves=list(fleet.progress.values()),
            members=list(self.peers.members.members.values()),
            findings=self.planner.findings,
            declaration=fleet.declaration(),
            assignments=list(fleet.assignments.values()),
            placements=list(fleet.placements.values()),
        )

    async def drain(self, request: DrainRequest, ctx: RequestContext[Any, Any], /) -> DrainResponse:
        """Drain one instance, or return it to service."""

        def build(fleet: Fleet) -> Record | None:
            assignment = fleet.assignments.get(InstanceId(request.instance))
            if assignment is None:
                text = f"instance: no such instance {request.instance!r}"
                raise ConnectError(Code.NOT_FOUND, text)
            changed = (
                resume_assignment(assignment) if request.resume else drain_assignment(assignment)
            )
            if changed is None:
                return None
            if not request.resume:
                self._check_budget(fleet, assignment)
            return Record(author=author_of(ctx), assignments=[changed])

        await self.planner.observe()
        return DrainResponse(revision=await self._append(build))

    def _check_budget(self, fleet: Fleet, assignment: Assignment) -> None:
        pools = measure_pools(fleet, self.planner.listing.instances)
        for pool in pools:
            if pool.pool == assignment.pool and pool.available <= pool.min_available:
                text = (
                    f"instance: pool {pool.pool} has {pool.available} available and its budget "
                    f"needs {pool.min_available}"
                )
                raise ConnectError(Code.FAILED_PRECONDITION, text)

    async def control_wave(
        self, request: WaveRequest, ctx: RequestContext[Any, Any], /
    ) -> WaveResponse:
        """Start, pause, resume or abort a wave."""
        progress = WaveProgress()

        def build(fleet: Fleet) -> Record | None:
            nonlocal progress
            progress = apply_wave_action(fleet, request)
            return Record(author=author_of(ctx), waves=[progress])

        revision = await self._append(build)
        return WaveResponse(revision=revision, progress=progress)

    async def dump(
        self, request: ProcessDumpRequest, ctx: RequestContext[Any, Any], /
    ) -> DumpReply:
        """Return the state of this process or of a peer, as JSON."""
        if request.process in ("", self.process):
            return DumpReply(json=self.dump_state())
        member = self.peers.members.members.get(request.process)
        if member is None:
            raise ConnectError(Code.NOT_FOUND, f"process: no such process {request.process!r}")
        try:
            peer_request = PeerRequest(dump=DumpRequest())
            reply = await self.peers.send_request(member.peer_address, peer_request)
        except pynng.NNGException as failure:
            text = f"process: {request.process} does not answer: {failure}"
            raise ConnectError(Code.UNAVAILABLE, text) from failure
        if reply.dump is None:
            raise ConnectError(Code.INTERNAL, reply.error)
        return reply.dump

    async def _append(self, build: Callable[[Fleet], Record | None]) -> int:
        match await self.replica.append(build):
            case Result(tag="ok", ok=revision):
                log.info("operator request completed", revision=revision)
                return revision
            case Result(error=Uncertain(token=token)):
                text = f"the table service's answer was lost; the change may hold (token {token})"
                raise ConnectError(Code.UNKNOWN, text)
            case Result(error=Conflict() | Unavailable() as error):
                reason = describe_fault(error)
        raise ConnectError(Code.UNAVAILABLE, f"nothing was changed: {reason}")


def operators_app(service: OperatorService) -> OperatorsASGIApplication:
    """Return the ASGI application that serves operators."""
    return OperatorsASGIApplication(service, read_max_bytes=MAX_REQUEST_BYTES)


def author_of(ctx: RequestContext[Any, Any]) -> str:
    """Return the operator who makes a call, to be recorded as the author of its changes."""
    return ctx.request_headers.get(OPERATOR_HEADER) or ANONYMOUS

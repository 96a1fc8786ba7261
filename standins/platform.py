"""A stand-in for the platform: table service, object store, instance list and orders.

One process that keeps everything in memory; a second port sets faults. It keeps a history of what
happened to the instances, so that a test can check guarantees without relying on the system's own
view.
"""

from __future__ import annotations

import argparse
import json
from bisect import bisect_right, insort
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from pyqwest import Client, HTTPTransport

from pumicespur.schema import platform_pb as pb
from pumicespur.schema.fleet_pb import Record, Resources
from pumicespur.schema.platform_connect import Platform, PlatformASGIApplication
from pumicespur.servers import bound_address, hypercorn_config, listen, serve_app
from pumicespur.utils import monotonic, now_ms
from standins.schema.standins_connect import (
    BackendControlClient,
    PlatformControl,
    PlatformControlASGIApplication,
)
from standins.schema.standins_pb import (
    AddInstancesRequest,
    BackendOrder,
    BackendState,
    Empty,
    HistoryEvent,
    HistoryResponse,
    PlatformFault,
    SetFaultRequest,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from typing import TypeVar

    Response = TypeVar("Response")

INSPECT_INTERVAL_S = 0.05
INSPECT_TIMEOUT_MS = 500

SILENCE_TIMEOUT_S = 2.0
"""Silence after which an instance counts as down. On a busy machine a process may stand still for
shorter times, in which the list lacks it."""

LOG_PREFIX = "log/"


@dataclass
class KnownInstance:
    """One instance: its list entry, the client of its stand-in's control port, and its tasks."""

    listed: pb.ListedInstance
    # None for an instance that is only listed and accepts no orders.
    control: BackendControlClient | None
    tasks: dict[str, Resources] = field(default_factory=dict)
    up: bool = True
    answered_at: float = field(default_factory=monotonic)
    """Monotonic time of its last answer, in seconds."""


class State:
    """The platform's state: rows, objects, instances, faults and the history."""

    def __init__(self, reboot_ms: int) -> None:
        self.reboot_ms = reboot_ms
        self.rows: dict[str, pb.Row] = {}
        self.keys: list[str] = []
        self.objects: dict[str, bytes] = {}
        self.instances: dict[str, KnownInstance] = {}
        self.tokens: set[str] = set()
        self.fault = SetFaultRequest()
        self.faults_left = 0
        self.fault_changed = anyio.Event()
        self.restarting = anyio.Event()
        self.lists: deque[tuple[float, list[pb.ListedInstance]]] = deque(maxlen=2000)
        self.events: list[HistoryEvent] = []
        self.reads = 0
        self.writes = 0
        self.transport = HTTPTransport(proxy=[], enable_otel=False)

    def note(self, kind: str, instance: str, token: str = "") -> None:
        """Add an event to the history."""
        self.events.append(HistoryEvent(at_ms=now_ms(), kind=kind, instance=instance, token=token))

    def write(self, write: pb.Write) -> int:
        """Write one row and return its new version."""
        row = self.rows.get(write.key)
        if write.delete:
            if row is not None:
                del self.rows[write.key]
                self.keys.remove(write.key)
            return 0
        if row is None:
            insort(self.keys, write.key)
        version = row.version + 1 if row else 1
        self.rows[write.key] = pb.Row(key=write.key, value=write.value, version=version)
        return version

    def version(self, key: str) -> int:
        """Return a row's version, 0 if it does not exist."""
        row = self.rows.get(key)
        return row.version if row else 0


class Service(Platform):
    """The platform's calls, each subject to the current fault."""

    def __init__(self, state: State) -> None:
        self.state = state

    async def call_under_fault(
        self, operation: Callable[[], Response], *, write: bool = False
    ) -> Response:
        """Carry out a call under the current fault; count it as a read or a write."""
        state = self.state
        if write:
            state.writes += 1
        else:
            state.reads += 1
        if state.fault.delay_ms:
            await anyio.sleep(state.fault.delay_ms / 1000)
        fault = state.fault.fault
        if fault is PlatformFault.REFUSE:
            raise ConnectError(Code.UNAVAILABLE, "refused by order")
        if fault is PlatformFault.HANG:
            await state.fault_changed.wait()
            raise ConnectError(Code.UNAVAILABLE, "hung until the fault was lifted")
        response = operation()
        if fault is PlatformFault.LOSE_ANSWERS and write:
            self.count_fault()
            raise ConnectError(Code.UNAVAILABLE, "answer lost by order")
        return response

    def count_fault(self) -> None:
        """Count one use of a counted fault and lift it after its last use."""
        if self.state.fault.count:
            self.state.faults_left -= 1
            if self.state.faults_left <= 0:
                self.state.fault = SetFaultRequest(list_lag_ms=self.state.fault.list_lag_ms)

    async def transact(self, request: pb.TransactRequest, ctx: object, /) -> pb.TransactResponse:
        """Write rows together if all conditions hold."""
        return await self.call_under_fault(lambda: self._transact(request), write=True)

    def _transact(self, request: pb.TransactRequest) -> pb.TransactResponse:
        state = self.state
        failed = [c.key for c in request.conditions if state.version(c.key) != c.version]
        if failed:
            return pb.TransactResponse(failed=failed)
        return pb.TransactResponse(versions=[state.write(write) for write in request.writes])

    async def read(self, request: pb.ReadRequest, ctx: object, /) -> pb.ReadResponse:
        """Read rows by key."""
        rows = self.state.rows
        return await self.call_under_fault(
            lambda: pb.ReadResponse(rows=[rows.get(key, pb.Row(key=key)) for key in request.keys])
        )

    async def scan(self, request: pb.ScanRequest, ctx: object, /) -> pb.ScanResponse:
        """Read rows by prefix, in key order."""
        return await self.call_under_fault(lambda: self._scan(request))

    def _scan(self, request: pb.ScanRequest) -> pb.ScanResponse:
        keys = self.state.keys
        first = bisect_right(keys, max(request.after, request.prefix[:-1]))
        found: list[pb.Row] = []
        for key in keys[first:]:
            if len(found) >= request.limit or not key.startswith(request.prefix):
                break
            found.append(self.state.rows[key])
        return pb.ScanResponse(rows=found)

    async def put_object(self, request: pb.ObjectRequest, ctx: object, /) -> pb.ObjectResponse:
        """Store an object."""

        def operation() -> pb.ObjectResponse:
            self.state.objects[request.name] = request.content
            return pb.ObjectResponse(found=True)

        return await self.call_under_fault(operation, write=True)

    async def get_object(self, request: pb.ObjectRequest, ctx: object, /) -> pb.ObjectResponse:
        """Fetch an object."""

        def operation() -> pb.ObjectResponse:
            content = self.state.objects.get(request.name)
            return pb.ObjectResponse(found=content is not None, content=content or b"")

        return await self.call_under_fault(operation)

    async def list_instances(
        self, request: pb.ListInstancesRequest, ctx: object, /
    ) -> pb.ListInstancesResponse:
        """List instances as they were `list_lag_ms` ago."""
        return await self.call_under_fault(self._list_instances)

    def _list_instances(self) -> pb.ListInstancesResponse:
        now = monotonic()
        latest_shown = now - self.state.fault.list_lag_ms / 1000
        old_enough = [item for item in self.state.lists if item[0] <= latest_shown]
        listed_at, instances = old_enough[-1] if old_enough else (now, [])
        age_ms = int((now - listed_at) * 1000) + 1
        return pb.ListInstancesResponse(instances=instances, age_ms=age_ms)

    async def give_order(self, request: pb.OrderRequest, ctx: object, /) -> pb.OrderResponse:
        """Carry out an order unless one with this token was carried out before."""
        instance = await self.call_under_fault(lambda: self.state.instances.get(request.instance))
        if instance is None:
            raise ConnectError(Code.NOT_FOUND, f"no instance {request.instance!r}")
        if request.token not in self.state.tokens:
            await self._carry_out(instance, request)
        return pb.OrderResponse()

    async def _carry_out(self, instance: KnownInstance, request: pb.OrderRequest) -> None:
        match request.order:
            case pb.Order.DRAIN:
                order = BackendOrder(drain=True)
            case pb.Order.RESUME:
                order = BackendOrder(resume=True)
            case pb.Order.REBOOT:
                order = BackendOrder(reboot_ms=self.state.reboot_ms)
            case _:
                raise ConnectError(Code.INVALID_ARGUMENT, "no such order")
        if instance.control is None:
            raise ConnectError(Code.FAILED_PRECONDITION, "the instance takes no orders")
        self.state.tokens.add(request.token)
        try:
            await instance.control.give(order, timeout_ms=1000)
        except ConnectError:
            self.state.tokens.discard(request.token)
            raise
        if request.order is pb.Order.REBOOT:
            instance.tasks.clear()
        self.state.note(f"order-{request.order.name.lower()}", request.instance, request.token)

    async def run_task(self, request: pb.TaskRequest, ctx: object, /) -> pb.TaskResponse:
        """Start or stop a task on an instance."""
        return await self.call_under_fault(lambda: self._run_task(request))

    def _run_task(self, request: pb.TaskRequest) -> pb.TaskResponse:
        instance = self.state.instances.get(request.instance)
        if instance is None:
            return pb.TaskResponse(accepted=request.stop, reason="no such instance")
        if request.token in self.state.tokens:
            return pb.TaskResponse(accepted=True)
        if request.stop:
            instance.tasks.pop(request.task, None)
        else:
            used = sum(needs.millicores for needs in instance.tasks.values())
            resources = instance.listed.resources or Resources()
            needs = request.needs or Resources()
            if used + needs.millicores > resources.millicores:
                return pb.TaskResponse(reason="not enough millicores")
            instance.tasks[request.task] = needs
        self.state.tokens.add(request.token)
        kind = "task-stop" if request.stop else "task-start"
        self.state.note(kind, request.instance, request.task)
        return pb.TaskResponse(accepted=True)

    async def list_usage(
        self, request: pb.ListUsageRequest, ctx: object, /
    ) -> pb.ListUsageResponse:
        """List the resources that each task uses."""
        tasks = [
            pb.TaskUsage(instance=name, task=task, used=needs)
            for name, instance in self.state.instances.items()
            for task, needs in instance.tasks.items()
        ]
        return await self.call_under_fault(lambda: pb.ListUsageResponse(tasks=tasks, age_ms=1))


class Control(PlatformControl):
    """The control interface, used by tests."""

    def __init__(self, state: State) -> None:
        self.state = state

    async def set_fault(self, request: SetFaultRequest, ctx: object, /) -> Empty:
        """Set or lift a fault; hanging calls end when it is lifted."""
        self.state.fault = request
        self.state.faults_left = request.count
        self.state.fault_changed.set()
        self.state.fault_changed = anyio.Event()
        if request.restart_ms:
            self.state.restarting.set()
        return Empty()

    async def add_instances(self, request: AddInstancesRequest, ctx: object, /) -> Empty:
        """Add instances to the list or remove them from it."""
        for listed in request.instances:
            control = request.controls.get(listed.id)
            self.state.instances[listed.id] = KnownInstance(listed, self._client(control))
        for name in request.removed:
            self.state.instances.pop(name, None)
        await inspect_all(self.state)
        return Empty()

    def _client(self, control: str | None) -> BackendControlClient | None:
        if control is None:
            return None
        client = Client(self.state.transport)
        return BackendControlClient(f"http://{control}", http_client=client)

    async def history(self, request: Empty, ctx: object, /) -> HistoryResponse:
        """Return all events, the log's records and the counts of reads and writes."""
        rows = self.state.rows
        records = [
            Record.from_binary(rows[key].value)
            for key in self.state.keys
            if key.startswith(LOG_PREFIX) and key != LOG_PREFIX + "head"
        ]
        return HistoryResponse(
            events=self.state.events,
            records=records,
            reads=self.state.reads,
            writes=self.state.writes,
        )


async def poll(instance: KnownInstance) -> BackendState | None:
    """Return what an instance reports, down if it is gone; None if it does not answer in time.

    A late answer says nothing about the instance's service, only a long silence does.
    """
    assert instance.control is not None
    try:
        return await instance.control.inspect(Empty(), timeout_ms=INSPECT_TIMEOUT_MS)
    except ConnectError as failure:
        is_late = failure.code is Code.DEADLINE_EXCEEDED
        if is_late and monotonic() - instance.answered_at < SILENCE_TIMEOUT_S:
            return None
        return BackendState(down=True)


async def inspect(state: State, instance: KnownInstance) -> pb.ListedInstance | None:
    """Poll an instance; return its list entry, or None if it is down or did not answer in time."""
    listed = instance.listed
    if instance.control is None:
        return listed
    reported = await poll(instance)
    if reported is None:
        return None
    if reported.down:
        if instance.up:
            state.note("down", listed.id)
        instance.up = False
        return None
    returned = not instance.up and not reported.draining
    if listed.boot != reported.boot or returned:
        state.note("up", listed.id, reported.boot)
    instance.up = True
    instance.answered_at = monotonic()
    listed.boot = reported.boot
    drained = reported.draining and not reported.running and not instance.tasks
    return pb.ListedInstance.from_binary(
        pb.ListedInstance(
            id=listed.id,
            region=listed.region,
            data_hall=listed.data_hall,
            rack=listed.rack,
            address=listed.address,
            resources=listed.resources,
            liveness=pb.Liveness.LIVE,
            boot=reported.boot,
            drained=drained,
            slots=listed.slots,
        ).to_binary()
    )


async def inspect_all(state: State) -> None:
    """Poll all instances and store a new list of the live ones."""
    found: list[pb.ListedInstance] = []

    async def inspect_one(instance: KnownInstance) -> None:
        listed = await inspect(state, instance)
        if listed is not None:
            found.append(listed)

    listed_at = monotonic()
    async with anyio.create_task_group() as tasks:
        for instance in state.instances.values():
            tasks.start_soon(inspect_one, instance)
    state.lists.append((listed_at, found))


async def refresh_list(state: State) -> None:
    """Refresh the list of live instances periodically."""
    while True:
        await inspect_all(state)
        await anyio.sleep(INSPECT_INTERVAL_S)


async def serve_calls(state: State, bound: socket.socket) -> None:
    """Serve the platform's calls; stop and serve again for each ordered restart."""
    service = PlatformASGIApplication(Service(state))
    address = bound_address(bound)
    while True:
        await serve_app(service, hypercorn_config(bound), state.restarting.wait)
        # Hypercorn has closed the descriptor already.
        bound.detach()
        await anyio.sleep(state.fault.restart_ms / 1000)
        state.restarting = anyio.Event()
        bound = listen(address)


async def main() -> None:
    """Run the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--reboot-ms", type=int, default=300)
    parser.add_argument("--listen", default="127.0.0.1:0")
    arguments = parser.parse_args()
    state = State(arguments.reboot_ms)
    calls, orders = listen(arguments.listen), listen("127.0.0.1:0")
    control = PlatformControlASGIApplication(Control(state))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_calls, state, calls)
        tasks.start_soon(serve_app, control, hypercorn_config(orders))
        tasks.start_soon(refresh_list, state)
        ready = {
            "process": "platform",
            "listen": "{}:{}".format(*calls.getsockname()),
            "control": "{}:{}".format(*orders.getsockname()),
        }
        print(json.dumps(ready), flush=True)


if __name__ == "__main__":
    anyio.run(main)

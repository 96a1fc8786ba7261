"""A stand-in for one backend server: 8 slots, 60 connections and scripted faults.

It serves HTTP/1.1 to entries and accepts orders on a second port. It keeps a list of all
requests that it ran, so that a test can count runs without relying on the system under test.
"""

from __future__ import annotations

import argparse
import json
import time
import uuid
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import h11

from pumicespur.servers import hypercorn_config, listen, serve_app
from standins.schema.standins_connect import BackendControl, BackendControlASGIApplication
from standins.schema.standins_pb import (
    BackendFault,
    BackendOrder,
    BackendRun,
    BackendState,
    Empty,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import AsyncIterator

    from anyio.abc import SocketStream

READ_BYTES = 65536
LEAVING_HEADER = ("pumicespur-leaving", "1")
NOT_RUN_HEADER = ("pumicespur-outcome", "not-run")


class DroppedError(Exception):
    """The connection must be closed without any further response."""


class Backend:
    """The state of the backend server and how it responds to requests."""

    def __init__(self, slots: int, connections: int, work_ms: int) -> None:
        self.slots = anyio.CapacityLimiter(slots)
        self.connections = connections
        self.open: set[SocketStream] = set()
        self.work_ms = work_ms
        self.state = BackendState(boot=uuid.uuid4().hex)
        self.order = BackendOrder()
        self.faults_left = 0
        self.last_request = "none"

    def next_fault(self) -> BackendFault:
        """Return the fault for the next request; lift a counted fault after its last use."""
        fault = self.order.fault
        if self.order.count and fault:
            self.faults_left -= 1
            if self.faults_left <= 0:
                self.order.fault = BackendFault.UNSPECIFIED
        return fault

    async def respond(self, request: h11.Request) -> tuple[int, list[tuple[str, str]], bytes]:
        """Process one request; return the status, headers and body."""
        headers = {name.decode(): value.decode() for name, value in request.headers}
        request_id = headers.get("pumicespur-request-id", "")
        if self.state.draining:
            return 503, [LEAVING_HEADER, NOT_RUN_HEADER, ("pumicespur-request-id", request_id)], b""
        fault = self.next_fault()
        if fault is BackendFault.FAIL:
            return 500, [NOT_RUN_HEADER, ("pumicespur-request-id", request_id)], b"failed"
        body = await self.run(
            headers.get("idempotency-key", ""), request_id, request.target.decode()
        )
        match fault:
            case BackendFault.CLOSE:
                raise DroppedError
            case BackendFault.HANG:
                await anyio.sleep_forever()
            case BackendFault.TRUNCATE:
                return 200, [("x-truncate", "1"), ("pumicespur-request-id", request_id)], body
            case BackendFault.DUPLICATE:
                return 200, [("x-duplicate", "1"), ("pumicespur-request-id", request_id)], body
            case BackendFault.SWAP:
                return 200, [("pumicespur-request-id", self.last_request)], body
        self.last_request = request_id
        load = f"{self.state.running}/{self.slots.total_tokens}"
        return 200, [("pumicespur-request-id", request_id), ("pumicespur-load", load)], body

    async def run(self, key: str, request_id: str, target: str) -> bytes:
        """Occupy a slot, do the work and add it to the list of runs; return the response body."""
        self.state.running += 1
        try:
            async with self.slots:
                now = int(time.time() * 1000)
                self.state.runs.append(BackendRun(key=key, request=request_id, at_ms=now))
                busy = int(self.slots.borrowed_tokens)
                self.state.most_running = max(self.state.most_running, busy)
                await anyio.sleep((self.work_ms + self.order.delay_ms) / 1000)
                return json.dumps({"request": request_id, "key": key, "target": target}).encode()
        finally:
            self.state.running -= 1

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection until either side closes it; refuse it when down or at the limit."""
        if len(self.open) >= self.connections or self.state.down:
            await anyio.aclose_forcefully(stream)
            return
        self.open.add(stream)
        self.state.most_connections = max(self.state.most_connections, len(self.open))
        try:
            await self._serve(stream)
        except (DroppedError, h11.ProtocolError, anyio.EndOfStream, OSError):
            pass
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.open.discard(stream)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _serve(self, stream: SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request = await self._receive(stream, connection)
            status, headers, body = await self.respond(request)
            truncated = ("x-truncate", "1") in headers
            headers.append(("content-length", str(len(body))))
            head = connection.send(h11.Response(status_code=status, headers=headers))
            if truncated:
                await stream.send(head + body[: len(body) // 2])
                raise DroppedError
            response = (
                head + connection.send(h11.Data(data=body)) + connection.send(h11.EndOfMessage())
            )
            await stream.send(response * (2 if ("x-duplicate", "1") in headers else 1))
            if connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()

    async def _receive(self, stream: SocketStream, connection: h11.Connection) -> h11.Request:
        request: h11.Request | None = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                assert request is not None
                return request
            elif isinstance(event, h11.ConnectionClosed):
                raise DroppedError


class Control(BackendControl):
    """The control interface, used by the platform stand-in and by tests."""

    def __init__(self, backend: Backend, reboot: anyio.Event) -> None:
        self.backend = backend
        self.rebooting = reboot

    async def give(self, request: BackendOrder, ctx: object, /) -> BackendState:
        """Apply an order: a fault, a drain, a resume or a reboot."""
        backend = self.backend
        if request.drain:
            backend.state.draining = True
        elif request.resume:
            backend.state.draining = False
        elif request.reboot_ms:
            backend.order.reboot_ms = request.reboot_ms
            backend.state.down = True
            self.rebooting.set()
        else:
            backend.order = request
            backend.faults_left = request.count
        return backend.state

    async def inspect(self, request: Empty, ctx: object, /) -> BackendState:
        """Return the state and all runs so far."""
        return self.backend.state


@asynccontextmanager
async def listening(backend: Backend, bound: socket.socket) -> AsyncIterator[None]:
    """Accept connections from entries while the context is open."""
    address = bound.getsockname()
    bound.close()
    listener = await anyio.create_tcp_listener(
        local_host=address[0], local_port=address[1], reuse_port=False, backlog=128
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, backend.handle)
        yield
        tasks.cancel_scope.cancel()


async def main() -> None:
    """Run the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--connections", type=int, default=60)
    parser.add_argument("--work-ms", type=int, default=5)
    arguments = parser.parse_args()
    backend = Backend(arguments.slots, arguments.connections, arguments.work_ms)
    control = Control(backend, anyio.Event())
    data, orders = listen("127.0.0.1:0"), listen("127.0.0.1:0")
    address = data.getsockname()
    app = BackendControlASGIApplication(control)
    ready = {
        "process": arguments.id,
        "listen": f"{address[0]}:{address[1]}",
        "control": "{}:{}".format(*orders.getsockname()),
    }
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_app, app, hypercorn_config(orders))
        first = True
        while True:
            async with listening(backend, data):
                if first:
                    print(json.dumps(ready), flush=True)
                    first = False
                await control.rebooting.wait()
            await anyio.sleep(backend.order.reboot_ms / 1000)
            control.rebooting = anyio.Event()
            data = listen(f"{address[0]}:{address[1]}")
            backend.state.boot = uuid.uuid4().hex
            backend.state.draining = False
            backend.state.down = False
            backend.order.reboot_ms = 0


if __name__ == "__main__":
    anyio.run(main)

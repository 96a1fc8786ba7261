"""The client of the platform's service.

The protocol is Connect over HTTP until the platform publishes its own (see
schema/platform.proto); only this module would change then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from expression import Error, Ok, Result
from pyqwest import Client, HTTPTransport

from pumicespur.schema import platform_pb as pb
from pumicespur.schema.platform_connect import PlatformClient as Stub
from pumicespur.store._faults import AnswerLost, Conflict, Fault, Unavailable
from pumicespur.store._rows import Listing, Row, Transaction, UsageListing, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence

    from pumicespur.schema.settings_pb import PlatformSettings

Answer = TypeVar("Answer")

NEVER_SENT = (Code.UNIMPLEMENTED, Code.INVALID_ARGUMENT, Code.RESOURCE_EXHAUSTED)
"""Error codes by which the platform says that it did nothing."""


class PlatformClient:
    """Calls to the platform; each returns a result and raises nothing expected."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.reads = 0
        self.writes = 0
        self.answered_at = float("-inf")
        self._transport = HTTPTransport(proxy=[], follow_redirects=False, enable_otel=False)
        self._stub = Stub(settings.url, http_client=Client(self._transport), send_compression=None)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    def silent_s(self) -> float:
        """Return how long ago the platform last answered, in seconds."""
        return monotonic() - self.answered_at

    async def transact(self, transaction: Transaction) -> Result[list[int], Fault]:
        """Write rows together if all conditions hold; return the new versions.

        AnswerLost means that it may or may not have happened: sending the same
        transaction again is safe if one of its conditions is on a row that it writes.
        """
        self.writes += 1
        request = pb.TransactRequest(
            conditions=[pb.Condition(key=c.key, version=c.version) for c in transaction.conditions],
            writes=[_write(write) for write in transaction.writes],
        )
        answer = await self._call(self._stub.transact(request))
        match answer:
            case Result(tag="ok", ok=response) if response.failed:
                return Error(Conflict(tuple(response.failed)))
            case Result(tag="ok", ok=response):
                return Ok(list(response.versions))
            case Result(error=fault):
                return Error(fault)

    async def read(self, keys: Sequence[str]) -> Result[list[Row], Fault]:
        """Read rows, one for each key and in order."""
        self.reads += 1
        answer = await self._call(self._stub.read(pb.ReadRequest(keys=list(keys))))
        return answer.map(lambda response: [_row(row) for row in response.rows])

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[list[Row], Fault]:
        """Read the rows whose keys start with `prefix` and are above `after`, in key order."""
        self.reads += 1
        request = pb.ScanRequest(prefix=prefix, after=after, limit=limit)
        answer = await self._call(self._stub.scan(request))
        return answer.map(lambda response: [_row(row) for row in response.rows])

    async def put_object(self, name: str, content: bytes) -> Result[None, Fault]:
        """Store an object, replacing an earlier one."""
        self.writes += 1
        request = pb.ObjectRequest(name=name, content=content)
        answer = await self._call(self._stub.put_object(request))
        return answer.map(lambda _: None)

    async def get_object(self, name: str) -> Result[bytes | None, Fault]:
        """Fetch an object, or None if there is none of that name."""
        self.reads += 1
        answer = await self._call(self._stub.get_object(pb.ObjectRequest(name=name)))
        return answer.map(lambda response: response.content if response.found else None)

    async def list_instances(self) -> Result[Listing, Fault]:
        """List the backend instances, as old as the platform says."""
        self.reads += 1
        answer = await self._call(self._stub.list_instances(pb.ListInstancesRequest()))
        return answer.map(
            lambda response: Listing(
                {instance.id: instance for instance in response.instances},
                monotonic() - response.age_ms / 1000,
            )
        )

    async def list_usage(self) -> Result[UsageListing, Fault]:
        """List what each task uses, as old as the platform says."""
        self.reads += 1
        answer = await self._call(self._stub.list_usage(pb.ListUsageRequest()))
        return answer.map(
            lambda response: UsageListing(
                list(response.tasks), monotonic() - response.age_ms / 1000
            )
        )

    async def give_order(self, instance: str, order: pb.Order, token: str) -> Result[float, Fault]:
        """Order a drain, reboot or resume; the platform carries out each token once.

        Return the monotonic time at which the order was known to be taken.
        """
        request = pb.OrderRequest(instance=instance, order=order, token=token)
        answer = await self._call(self._stub.give_order(request))
        return answer.map(lambda _: monotonic())

    async def run_task(self, request: pb.TaskRequest) -> Result[pb.TaskResponse, Fault]:
        """Start or stop a task; the platform carries out each token once."""
        return await self._call(self._stub.run_task(request))

    async def _call(self, call: Awaitable[Answer]) -> Result[Answer, Fault]:
        fault: Fault = AnswerLost("no answer in time")
        with anyio.move_on_after(self.settings.timeout_s):
            try:
                answer = await call
                self.answered_at = monotonic()
                return Ok(answer)
            except ConnectError as failure:
                fault = _fault(failure)
            except (OSError, TimeoutError) as failure:
                fault = Unavailable(str(failure))
        return Error(fault)


def _fault(failure: ConnectError) -> Fault:
    """Judge a failure; whatever might have reached the platform counts as a lost answer."""
    text = f"{failure.code.name.lower()}: {failure.message}"
    if failure.code in NEVER_SENT or isinstance(failure.__cause__, ConnectionError):
        return Unavailable(text)
    return AnswerLost(text)


def _write(write: Write) -> pb.Write:
    if write.value is None:
        return pb.Write(key=write.key, delete=True)
    return pb.Write(key=write.key, value=write.value)


def _row(row: pb.Row) -> Row:
    return Row(row.key, row.value, row.version)

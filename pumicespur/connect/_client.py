"""The client of the platform's service.

The protocol is Connect over HTTP (schema/platform.proto) until the platform publishes its own;
then only this module has to change.
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
from pumicespur.store._errors import AnswerLost, Conflict, Fault, Unavailable
from pumicespur.store._rows import Listing, Row, Transaction, UsageListing, Write
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence

    from pumicespur.schema.settings_pb import PlatformSettings

Response = TypeVar("Response")

NOT_EXECUTED_CODES = (Code.UNIMPLEMENTED, Code.INVALID_ARGUMENT, Code.RESOURCE_EXHAUSTED)
"""Error codes by which the platform reports that it did not execute the request."""


NO_ANSWER = "no answer in time"
"""Reason of a call that ran into its timeout."""


class PlatformClient:
    """Calls to the platform, which return expected errors as results and do not raise them."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.reads = 0
        self.writes = 0
        self.last_response_at = float("-inf")
        self._transport = HTTPTransport(proxy=[], follow_redirects=False, enable_otel=False)
        self._stub = Stub(settings.url, http_client=Client(self._transport), send_compression=None)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._transport.aclose()

    def last_response_age_s(self) -> float:
        """Return the time since the platform's last response, in seconds."""
        return monotonic() - self.last_response_at

    async def transact(self, transaction: Transaction) -> Result[list[int], Fault]:
        """Write rows atomically if all conditions hold; return the new versions.

        After AnswerLost the rows may or may not be written. A retry of the same transaction is
        safe if one of its conditions is on a row that it writes.
        """
        self.writes += 1
        request = pb.TransactRequest(
            conditions=[pb.Condition(key=c.key, version=c.version) for c in transaction.conditions],
            writes=[_encode_write(write) for write in transaction.writes],
        )
        result = await self._call(self._stub.transact(request))
        match result:
            case Result(tag="ok", ok=response) if response.failed:
                return Error(Conflict(tuple(response.failed)))
            case Result(tag="ok", ok=response):
                return Ok(list(response.versions))
            case Result(error=error):
                return Error(error)

    async def read(self, keys: Sequence[str]) -> Result[list[Row], Fault]:
        """Read rows, one for each key, in the order of `keys`."""
        self.reads += 1
        result = await self._call(self._stub.read(pb.ReadRequest(keys=list(keys))))
        return result.map(lambda response: [_decode_row(row) for row in response.rows])

    async def scan(
        self, prefix: str, after: str = "", limit: int = 500
    ) -> Result[list[Row], Fault]:
        """Read rows in key order whose keys start with `prefix` and sort after `after`."""
        self.reads += 1
        request = pb.ScanRequest(prefix=prefix, after=after, limit=limit)
        result = await self._call(self._stub.scan(request))
        return result.map(lambda response: [_decode_row(row) for row in response.rows])

    async def put_object(self, name: str, content: bytes) -> Result[None, Fault]:
        """Store an object; one of the same name is replaced."""
        self.writes += 1
        request = pb.ObjectRequest(name=name, content=content)
        result = await self._call(self._stub.put_object(request))
        return result.map(lambda _: None)

    async def get_object(self, name: str) -> Result[bytes | None, Fault]:
        """Fetch an object, or None if it does not exist."""
        self.reads += 1
        result = await self._call(self._stub.get_object(pb.ObjectRequest(name=name)))
        return result.map(lambda response: response.content if response.found else None)

    async def list_instances(self) -> Result[Listing, Fault]:
        """List the backend instances, with the age that the platform gives for the list."""
        self.reads += 1
        result = await self._call(self._stub.list_instances(pb.ListInstancesRequest()))
        return result.map(
            lambda response: Listing(
                {instance.id: instance for instance in response.instances},
                monotonic() - response.age_ms / 1000,
            )
        )

    async def list_usage(self) -> Result[UsageListing, Fault]:
        """List the usage of each task, with the age that the platform gives for the list."""
        self.reads += 1
        result = await self._call(self._stub.list_usage(pb.ListUsageRequest()))
        return result.map(
            lambda response: UsageListing(
                list(response.tasks), monotonic() - response.age_ms / 1000
            )
        )

    async def give_order(self, instance: str, order: pb.Order, token: str) -> Result[float, Fault]:
        """Order a drain, reboot or resume; the platform executes each token once.

        Return the monotonic time at which the platform was known to have accepted the order.
        """
        request = pb.OrderRequest(instance=instance, order=order, token=token)
        result = await self._call(self._stub.give_order(request))
        return result.map(lambda _: monotonic())

    async def run_task(self, request: pb.TaskRequest) -> Result[pb.TaskResponse, Fault]:
        """Start or stop a task; the platform executes each token once."""
        return await self._call(self._stub.run_task(request))

    async def _call(self, call: Awaitable[Response]) -> Result[Response, Fault]:
        error: Fault = AnswerLost(NO_ANSWER)
        with anyio.move_on_after(self.settings.timeout_s) as scope:
            try:
                response = await call
                self.last_response_at = monotonic()
                return Ok(response)
            except ConnectError as failure:
                error = _call_error(failure)
            except (OSError, TimeoutError) as failure:
                error = Unavailable(str(failure))
        # The client library turns the cancellation by the timeout into an error of its own.
        return Error(AnswerLost(NO_ANSWER) if scope.cancel_called else error)


def _call_error(failure: ConnectError) -> Fault:
    """Classify a failure; what may have reached the platform counts as a lost response."""
    text = f"{failure.code.name.lower()}: {failure.message}"
    if failure.code in NOT_EXECUTED_CODES or isinstance(failure.__cause__, ConnectionError):
        return Unavailable(text)
    return AnswerLost(text)


def _encode_write(write: Write) -> pb.Write:
    if write.value is None:
        return pb.Write(key=write.key, delete=True)
    return pb.Write(key=write.key, value=write.value)


def _decode_row(row: pb.Row) -> Row:
    return Row(row.key, row.value, row.version)

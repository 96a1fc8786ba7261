"""Client of the operator service, for the command line."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from connectrpc.code import Code
from connectrpc.errors import ConnectError
from pyqwest import Client, HTTPTransport

from pumicespur.exceptions import ConflictError, PumicespurError, UnreachableError
from pumicespur.operators._service import OPERATOR_HEADER
from pumicespur.schema.operators_connect import OperatorsClient as Stub
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

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from pathlib import Path

    from pumicespur.schema.peer_pb import DumpReply

ResponseT = TypeVar("ResponseT")

CALL_TIMEOUT_MS = 15_000


def _read_if_given(path: Path | None) -> bytes | None:
    if path is None:
        return None
    try:
        return path.read_bytes()
    except OSError as failure:
        raise PumicespurError(f"{path}: can't be read: {failure.strerror}") from failure


@dataclass(frozen=True)
class ClientTls:
    """PEM files for calls over TLS; None for a file that is not used, as with plain HTTP."""

    authority: Path | None = None
    certificate: Path | None = None
    key: Path | None = None


NO_TLS_FILES = ClientTls()


class OperatorClient:
    """Client of one manager; failures are raised as PumicespurError with a message for the user."""

    def __init__(self, url: str, operator: str, tls: ClientTls = NO_TLS_FILES) -> None:
        self.url = url
        transport = HTTPTransport(
            proxy=[],
            enable_otel=False,
            tls_ca_cert=_read_if_given(tls.authority),
            tls_cert=_read_if_given(tls.certificate),
            tls_key=_read_if_given(tls.key),
        )
        self._stub = Stub(
            url, http_client=Client(transport), timeout_ms=CALL_TIMEOUT_MS, send_compression=None
        )
        self._headers = {OPERATOR_HEADER: operator}

    async def apply(self, request: ApplyRequest) -> ApplyResponse:
        """Put and remove sections; raise ConflictError if others changed them."""
        response = await self._call(self._stub.apply(request, headers=self._headers))
        if response.conflicts:
            lines = [
                f"[{conflict.section}] was changed by {conflict.author} at revision "
                f"{conflict.revision}, after your base {request.base_revision}"
                for conflict in response.conflicts
            ]
            raise ConflictError("; ".join(lines))
        return response

    async def status(self) -> StatusResponse:
        """Return the state of the fleet as the manager knows it."""
        return await self._call(self._stub.status(StatusRequest(), headers=self._headers))

    async def drain(self, request: DrainRequest) -> DrainResponse:
        """Drain or resume one instance."""
        return await self._call(self._stub.drain(request, headers=self._headers))

    async def control_wave(self, request: WaveRequest) -> WaveResponse:
        """Start, pause, resume or abort a wave."""
        return await self._call(self._stub.control_wave(request, headers=self._headers))

    async def dump(self, process: str) -> DumpReply:
        """Return the state dump of a process, by its id."""
        request = ProcessDumpRequest(process=process)
        return await self._call(self._stub.dump(request, headers=self._headers))

    async def _call(self, call: Awaitable[ResponseT]) -> ResponseT:
        try:
            return await call
        except ConnectError as failure:
            if failure.code in (Code.UNAVAILABLE, Code.DEADLINE_EXCEEDED, Code.UNKNOWN):
                raise UnreachableError(f"{self.url}: {failure.message}") from failure
            raise PumicespurError(failure.message) from failure

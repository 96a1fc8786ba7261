"""A loopback TCP proxy that can delay, block, throttle, cut in one direction and reset."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65536

THROTTLED_CHUNK_S = 0.02
"""Duration of one chunk on a throttled link; short, so that its connections share it fairly."""


class Passage(Enum):
    """Which directions a link carries at present; bytes of the other direction wait."""

    BOTH_WAYS = "both ways"
    REQUESTS_ONLY = "requests only"
    NOTHING = "nothing"


class Link:
    """Listens on a free loopback port and forwards each connection to its target."""

    def __init__(self, target: Callable[[], str]) -> None:
        self.target = target
        """Returns the address to connect to, empty while the target has none."""
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        """Bandwidth of each direction, shared by all connections; 0 for no limit."""
        self.free_at = {True: 0.0, False: 0.0}
        """Monotonic time at which each direction is free again; True is the requests' direction."""
        self.passage = Passage.BOTH_WAYS
        self.passage_changed = asyncio.Event()
        self.cut_before = b""
        """If not empty, the link carries nothing from the first request on that contains this."""
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close all connections and accept no more."""
        self.set_passage(Passage.BOTH_WAYS)
        if self.server is not None:
            self.server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def set_passage(self, passage: Passage) -> None:
        """Change which directions the link carries."""
        self.passage = passage
        self.passage_changed.set()
        self.passage_changed = asyncio.Event()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._connect(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        # Either side may reset its connection at any time; the proxy then closes the other one.
        with contextlib.suppress(OSError):
            try:
                host, _, port = self.target().rpartition(":")
                responses, upstream = await asyncio.open_connection(host, int(port or 0))
                self.writers.add(upstream)
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._forward(reader, upstream, request=True))
                    directions.create_task(self._forward(responses, writer, request=False))
            except* OSError:
                # One direction has failed, so the other one ends as well.
                pass
            finally:
                self._close_writer(writer)
                if upstream is not None:
                    self._close_writer(upstream)

    def _close_writer(self, writer: asyncio.StreamWriter) -> None:
        self.writers.discard(writer)
        # Closed, not aborted, so that the bytes written so far still arrive.
        writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, request: bool
    ) -> None:
        while data := await reader.read(self._chunk_bytes()):
            if request and self.cut_before and self.cut_before in data:
                self.cut_before = b""
                self.set_passage(Passage.NOTHING)
            await self._wait_for_passage(request)
            if failure := reader.exception():
                # What a link holds up is lost when its sender resets the connection.
                raise failure
            await self._wait_for_bandwidth(len(data), request)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        await self._wait_for_passage(request)
        raise ConnectionResetError("the other side closed the connection")

    def _chunk_bytes(self) -> int:
        return (
            max(1, int(self.bytes_per_s * THROTTLED_CHUNK_S)) if self.bytes_per_s else CHUNK_BYTES
        )

    async def _wait_for_bandwidth(self, size: int, request: bool) -> None:
        if self.bytes_per_s:
            now = monotonic()
            self.free_at[request] = max(now, self.free_at[request]) + size / self.bytes_per_s
            await asyncio.sleep(self.free_at[request] - now)

    async def _wait_for_passage(self, request: bool) -> None:
        while not self._may_pass(request):
            await self.passage_changed.wait()

    def _may_pass(self, request: bool) -> bool:
        match self.passage:
            case Passage.BOTH_WAYS:
                return True
            case Passage.REQUESTS_ONLY:
                return request
            case Passage.NOTHING:
                return False

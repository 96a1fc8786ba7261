"""Loopback proxies between a node and an outside system."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SilencingLink:
    """A proxy whose open connections may go silent for good while new ones work."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.silent: set[asyncio.Task[None]] = set()
        """Connections that pass nothing on any more; they stay open."""
        self.connections: set[asyncio.Task[None]] = set()
        self.requests: dict[asyncio.Task[None], bytes] = {}
        """The first line of each connection's newest request."""
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close all connections and accept no more."""
        if self.server is not None:
            self.server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def silence(self, text: bytes = b"") -> int:
        """Silence open connections without a reset; return their number.

        With a text, only those are silenced whose newest request line contains it.
        """
        chosen = {task for task in self.connections if text in self.requests.get(task, b"")}
        self.silent |= chosen
        return len(chosen)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._connect(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = asyncio.current_task()
        assert connection is not None
        host, _, port = self.target.rpartition(":")
        upstream: asyncio.StreamWriter | None = None
        # Either side may end its connection at any time; the proxy then ends the other one.
        with contextlib.suppress(OSError):
            try:
                answers, upstream = await asyncio.open_connection(host, int(port))
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._forward(connection, reader, upstream, True))
                    directions.create_task(self._forward(connection, answers, writer, False))
            except* OSError:
                pass
            finally:
                writer.close()
                if upstream is not None:
                    upstream.close()

    async def _forward(
        self,
        connection: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(65536):
            if is_request:
                self.requests[connection] = data.partition(b"\r\n")[0]
            if connection in self.silent:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError("the other side closed the connection")


class PartitionedLink:
    """A proxy that holds up the bytes of both directions while it is cut, as a partition does.

    Held bytes arrive after the cut, unless their sender has reset the connection meanwhile.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.passable = asyncio.Event()
        self.passable.set()
        self.connections: set[asyncio.Task[None]] = set()
        self.on_request: Callable[[bytes], None] = lambda data: None
        """Called with the bytes of each request before they are passed on."""
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Close all connections and accept no more."""
        if self.server is not None:
            self.server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def cut(self) -> None:
        """Begin the partition."""
        self.passable.clear()

    def heal(self) -> None:
        """End the partition."""
        self.passable.set()

    def _note_request(self, data: bytes) -> None:
        self.on_request(data)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._connect(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        upstream: asyncio.StreamWriter | None = None
        # Either side may end its connection at any time; the proxy then ends the other one.
        with contextlib.suppress(OSError):
            try:
                await self.passable.wait()
                answers, upstream = await asyncio.open_connection(host, int(port))
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._forward(reader, upstream, self._note_request))
                    directions.create_task(self._forward(answers, writer, lambda data: None))
            except* OSError:
                pass
            finally:
                writer.close()
                if upstream is not None:
                    upstream.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_data: Callable[[bytes], None],
    ) -> None:
        while data := await reader.read(65536):
            on_data(data)
            await self.passable.wait()
            if reader.exception() is not None:
                raise ConnectionResetError("the sender reset the connection; its bytes are lost")
            writer.write(data)
            await writer.drain()
        await self.passable.wait()
        writer.write_eof()

"""Loopback proxies between a node and an outside system."""

from __future__ import annotations

import asyncio
import contextlib


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

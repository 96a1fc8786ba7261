"""A proxy before the store whose open connections can go silent for good, while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass


@dataclass(eq=False)
class Connection:
    """One connection of a process to the store."""

    request: bytes = b""
    """First line of the newest request."""
    waits: bool = False
    """Whether that request has no answer yet."""
    silent: bool = False


class SilencingProxy:
    """Forwards connections on a free loopback port until they are silenced."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.connections: list[Connection] = []
        self.tasks: set[asyncio.Task[None]] = set()
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
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def silence(self, text: bytes) -> tuple[int, int]:
        """Silence the connections that wait for the answer to a request with a text.

        Return how many these are, and how many are open.
        """
        chosen = [c for c in self.connections if c.waits and text in c.request]
        for connection in chosen:
            connection.silent = True
        return len(chosen), len(self.connections)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._connect(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection()
        self.connections.append(connection)
        host, _, port = self.target.rpartition(":")
        answers, upstream = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(OSError):
            try:
                async with asyncio.TaskGroup() as directions:
                    directions.create_task(self._forward(connection, reader, upstream, True))
                    directions.create_task(self._forward(connection, answers, writer, False))
            except* OSError:
                # One side has closed the connection, so the other one is closed as well.
                pass
            finally:
                self.connections.remove(connection)
                writer.close()
                upstream.close()

    async def _forward(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(65536):
            if connection.silent:
                continue
            if is_request:
                connection.request = data.split(b"\r\n", 1)[0]
            connection.waits = is_request
            writer.write(data)
            await writer.drain()
        if not connection.silent or is_request:
            raise ConnectionResetError("one side has closed the connection")
        await asyncio.Event().wait()

"""A loopback proxy between two parties, which can delay, hold, slow, cut one way and reset."""

from __future__ import annotations

import asyncio
import contextlib
from enum import Enum
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK = 65536

THIN_CHUNK_S = 0.02
"""Time that one piece takes on a thin link, so that its connections share it fairly."""


class Passage(Enum):
    """Which bytes a link carries at present; the others wait until it carries them again."""

    BOTH_WAYS = "both ways"
    REQUESTS_ONLY = "requests only"
    NOTHING = "nothing"


class Link:
    """Listens at a free loopback port and carries each connection to its target."""

    def __init__(self, target: Callable[[], str]) -> None:
        self.target = target
        """Returns the address to connect to, empty while there is none."""
        self.delay_s = 0.0
        self.bytes_per_s = 0.0
        """What all connections together may carry each way in a second; 0 for no limit."""
        self.free_at = {True: 0.0, False: 0.0}
        """When the bytes so far have passed, of requests and of answers (monotonic seconds)."""
        self.passage = Passage.BOTH_WAYS
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.connections: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def listen(self) -> None:
        """Start to carry connections."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Break all connections and take no more."""
        self.let_pass(Passage.BOTH_WAYS)
        if self.server is not None:
            self.server.close()
        for task in self.connections:
            task.cancel()
        await asyncio.gather(*self.connections, return_exceptions=True)

    def let_pass(self, passage: Passage) -> None:
        """Change what the link carries."""
        self.passage = passage
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self) -> None:
        """Break all connections at once."""
        for writer in list(self.writers):
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._connect(reader, writer))
        self.connections.add(task)
        task.add_done_callback(self.connections.discard)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        onward: asyncio.StreamWriter | None = None
        # Either party may break off at any time, which is what a proxy has to pass on.
        with contextlib.suppress(OSError):
            try:
                host, _, port = self.target().rpartition(":")
                answers, onward = await asyncio.open_connection(host, int(port or 0))
                self.writers.add(onward)
                async with asyncio.TaskGroup() as both:
                    both.create_task(self._carry(reader, onward, request=True))
                    both.create_task(self._carry(answers, writer, request=False))
            except* OSError:
                # One way is broken, so the other is broken as well.
                pass
            finally:
                self._drop(writer)
                if onward is not None:
                    self._drop(onward)

    def _drop(self, writer: asyncio.StreamWriter) -> None:
        self.writers.discard(writer)
        # Not aborted: what is written already has to arrive.
        writer.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, request: bool
    ) -> None:
        while data := await reader.read(self._chunk()):
            await self._wait_for_passage(request)
            await self._wait_for_room(len(data), request)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        await self._wait_for_passage(request)
        raise ConnectionResetError("the other party closed")

    def _chunk(self) -> int:
        return max(1, int(self.bytes_per_s * THIN_CHUNK_S)) if self.bytes_per_s else CHUNK

    async def _wait_for_room(self, size: int, request: bool) -> None:
        if self.bytes_per_s:
            now = monotonic()
            self.free_at[request] = max(now, self.free_at[request]) + size / self.bytes_per_s
            await asyncio.sleep(self.free_at[request] - now)

    async def _wait_for_passage(self, request: bool) -> None:
        while not self._passes(request):
            await self.changed.wait()

    def _passes(self, request: bool) -> bool:
        match self.passage:
            case Passage.BOTH_WAYS:
                return True
            case Passage.REQUESTS_ONLY:
                return request
            case Passage.NOTHING:
                return False

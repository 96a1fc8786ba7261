"""Many cheap backend servers in one process, so that a benchmark measures only the entry."""

from __future__ import annotations

import argparse
import asyncio
import json

REQUEST_ID_HEADER = b"pumicespur-request-id: "


class Echo(asyncio.Protocol):
    """Responds to each request with its id and parses nothing else."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport
        self.content = b""

    def data_received(self, data: bytes) -> None:
        """Respond to a complete request; requests must not have a body."""
        self.content += data
        if not self.content.endswith(b"\r\n\r\n"):
            return
        start = self.content.lower().find(REQUEST_ID_HEADER)
        request_id = b""
        if start >= 0:
            end = self.content.index(b"\r\n", start)
            request_id = self.content[start + len(REQUEST_ID_HEADER) : end]
        self.content = b""
        self.transport.write(  # type: ignore[attr-defined]
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\npumicespur-load: 1/8\r\n"
            + REQUEST_ID_HEADER
            + request_id
            + b"\r\n\r\nok"
        )


async def main() -> None:
    """Listen on many ports until stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--ports", type=int, default=8)
    arguments = parser.parse_args()
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(Echo, "127.0.0.1", 0, backlog=512) for _ in range(arguments.ports)
    ]
    addresses = [f"127.0.0.1:{server.sockets[0].getsockname()[1]}" for server in servers]
    print(json.dumps({"process": "echo", "addresses": ",".join(addresses)}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

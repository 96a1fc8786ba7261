"""Load generator: send requests over a few connections and print rate and latencies as JSON."""

from __future__ import annotations

import argparse
import asyncio
import json
import time

from benchmarks._report import percentile


async def send_requests(
    host: str, port: int, request: bytes, end: float, latencies: list[float], failed: list[int]
) -> None:
    """Send requests one after the other on one connection until `end`, a `perf_counter` time."""
    reader, writer = await asyncio.open_connection(host, port)
    while time.perf_counter() < end:
        started = time.perf_counter()
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().split(b"content-length:")[1].split(b"\r\n")[0]
        await reader.readexactly(int(length))
        if b" 200 " in head[:16]:
            latencies.append(time.perf_counter() - started)
        else:
            failed.append(1)
    writer.close()


async def main() -> None:
    """Send load for `--seconds` and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", default="/pool/x")
    parser.add_argument("--connections", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=3)
    arguments = parser.parse_args()
    host, _, port = arguments.address.rpartition(":")
    request = f"GET {arguments.path} HTTP/1.1\r\nhost: {arguments.address}\r\n\r\n".encode()
    latencies: list[float] = []
    failed: list[int] = []
    end = time.perf_counter() + arguments.seconds
    await asyncio.gather(
        *(
            send_requests(host, int(port), request, end, latencies, failed)
            for _ in range(arguments.connections)
        )
    )
    result = {
        "rate": len(latencies) / arguments.seconds,
        "failed": len(failed),
        "p50_ms": percentile(latencies, 0.5) * 1000,
        "p99_ms": percentile(latencies, 0.99) * 1000,
    }
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    asyncio.run(main())

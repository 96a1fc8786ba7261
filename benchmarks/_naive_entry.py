"""The naive entry, for comparison: same libraries, random backend servers, no guarantees."""

from __future__ import annotations

import argparse
import json
import random
from typing import TYPE_CHECKING, Any

import anyio
import httpx

from pumicespur.servers import bound_address, hypercorn_config, listen, serve_app

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def main() -> None:
    """Forward every request to a random backend server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--addresses", required=True)
    addresses = parser.parse_args().addresses.split(",")
    client = httpx.AsyncClient(trust_env=False, limits=httpx.Limits(max_connections=None))

    async def app(
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        if scope["type"] != "http":
            return
        await receive()
        response = await client.get(f"http://{random.choice(addresses)}{scope['path']}")
        headers = [(b"content-length", str(len(response.content)).encode())]
        status = response.status_code
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": response.content})

    bound = listen("127.0.0.1:0")
    print(json.dumps({"process": "naive", "listen": bound_address(bound)}), flush=True)
    await serve_app(app, hypercorn_config(bound))


if __name__ == "__main__":
    anyio.run(main)

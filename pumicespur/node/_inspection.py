"""The HTTP server for metrics, the state dump and what is recorded of a job."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Protocol

from aiohttp import web

from pumicespur.listeners import start_server
from pumicespur.utils import METRICS

if TYPE_CHECKING:
    from aiohttp.web import ServerRunner
    from expression import Result

    from pumicespur.store import Fault

JOBS_PATH = "/jobs/"


class InspectedProcess(Protocol):
    """The part of the process that the server uses."""

    def describe(self) -> dict[str, object]:
        """Return the process's state."""

    async def describe_job(self, name: str) -> Result[dict[str, object] | None, Fault]:
        """Return what is recorded of a job; None if there is no such job."""


async def serve_inspection(address: str, process: InspectedProcess) -> ServerRunner:
    """Serve `/metrics` as text, `/state` and `/jobs/ID` as JSON at an IP number and port."""

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
        match request.path:
            case "/metrics":
                content, headers = METRICS.render_page()
                return web.Response(body=content, headers=headers)
            case "/state":
                return _as_json(process.describe())
            case path if path.startswith(JOBS_PATH):
                return await _respond_with_job(process, path.removeprefix(JOBS_PATH))
            case _:
                return web.Response(status=404)

    return await start_server(address, respond)


async def _respond_with_job(process: InspectedProcess, name: str) -> web.StreamResponse:
    found = await process.describe_job(name)
    if found.is_error():
        return _as_json({"error": f"the store does not tell: {found.error}"}, status=503)
    if found.ok is None:
        return _as_json({"error": f"no job {name!r}"}, status=404)
    return _as_json(found.ok)


def _as_json(content: dict[str, object], status: int = 200) -> web.Response:
    text = json.dumps(content, default=str)
    return web.Response(status=status, text=text, content_type="application/json")

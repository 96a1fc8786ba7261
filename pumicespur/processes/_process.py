"""The base class of both roles: platform client, replica, peers and admin endpoints."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING, Any

import anyio
from aioprometheus import Gauge, Registry
from aioprometheus.renderer import render

from pumicespur import __version__
from pumicespur.connect import PlatformClient
from pumicespur.peers import MemberList, PeerNetwork
from pumicespur.schema.peer_pb import Member, Role
from pumicespur.servers import bound_address, hypercorn_config, listen, serve_app
from pumicespur.state import Log, Replica
from pumicespur.utils import monotonic, stop_on_signals

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskStatus
    from protobuf import Message

    from pumicespur.config import Settings

HEALTHY = "ok"
SECRET_KEYS = frozenset({"tls_key"})


class Process:
    """The components and tasks that both roles share."""

    def __init__(self, settings: Settings, role: Role) -> None:
        self.settings = settings
        self.role = role
        self.started_at = monotonic()
        self.platform = PlatformClient(settings.platform)
        self.replica = Replica(Log(self.platform))
        own_member = Member(id=settings.process.id, role=role, data_hall=settings.process.data_hall)
        self.members = MemberList(self.platform, own_member)
        self.peers = PeerNetwork(settings.process, self.members, self.replica, self.dump)
        own_member.peer_address = self.peers.address
        self.stop = anyio.Event()
        self.stopping = False
        self.admin_socket = listen(settings.process.admin_listen)
        self.metrics = Registry()
        self.gauges: dict[str, Gauge] = {}

    async def run_shared(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run the shared tasks until cancelled; report started once signals are handled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(stop_on_signals, self.stop, self.dump)
            task_status.started()
            tasks.start_soon(self.replica.follow, self.settings.process.poll_s)
            tasks.start_soon(self.members.maintain)
            tasks.start_soon(self.peers.run)
            tasks.start_soon(serve_app, self.admin, hypercorn_config(self.admin_socket))

    def addresses(self) -> dict[str, str]:
        """Return the process's id and role, and the addresses at which it listens."""
        return {
            "process": self.settings.process.id,
            "role": self.role.name.lower(),
            "peer": self.peers.address,
            "admin": bound_address(self.admin_socket),
        }

    def dump(self) -> str:
        """Return the process's state as JSON, secrets left out."""
        return json.dumps(self.describe(), default=str)

    def describe(self) -> dict[str, Any]:
        """Return the process's state."""
        now = monotonic()
        fleet = self.replica.fleet
        return {
            "version": __version__,
            "pid": os.getpid(),
            "addresses": self.addresses(),
            "uptime_s": round(now - self.started_at, 3),
            "stopping": self.stopping,
            "settings": self._describe_settings(),
            "revision": fleet.revision,
            "store": {
                "silent_s": self.platform.last_response_age_s(),
                "reads": self.platform.reads,
                "writes": self.platform.writes,
            },
            "peer_bytes": self.peers.transferred_bytes,
            "members": {
                member.id: {
                    "role": member.role.name.lower(),
                    "peer_address": member.peer_address,
                    "heard_s_ago": now - self.peers.last_heartbeat_at.get(member.id, float("-inf")),
                }
                for member in self.members.members.values()
            },
            "assignments": [_as_dict(row) for row in fleet.assignments.values()],
            "waves": [_as_dict(row) for row in fleet.progress.values()],
        }

    def _describe_settings(self) -> dict[str, Any]:
        shown: dict[str, Any] = {}
        for name in ("process", "platform", self.role.name.lower()):
            section = self.settings.section(name)
            assert section is not None
            values = _as_dict(section)
            shown[name] = {key: value for key, value in values.items() if key not in SECRET_KEYS}
        return shown

    def health(self) -> str:
        """Return the health status for the load balancer; HEALTHY if requests are accepted."""
        if self.stopping:
            return "stopping"
        if not self.replica.revision:
            return "starting"
        return HEALTHY

    def measure(self) -> dict[str, float]:
        """Return the values of the metrics page by metric name; roles add their own."""
        return {
            "revision": self.replica.revision,
            "store_silent_seconds": self.platform.last_response_age_s(),
            "store_reads_total": self.platform.reads,
            "store_writes_total": self.platform.writes,
            "peer_bytes_total": self.peers.transferred_bytes,
            "members": len(self.members.members),
            "stopping": float(self.stopping),
        }

    async def admin(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Serve /health, /metrics and /dump."""
        if scope["type"] != "http":
            return
        match scope["path"]:
            case "/health":
                health = self.health()
                status = 200 if health == HEALTHY else 503
                await _send_response(send, status, "text/plain", f"{health}\n".encode())
            case "/metrics":
                content, headers = self._render_metrics()
                await _send_response(send, 200, headers["Content-Type"], content)
            case "/dump":
                await _send_response(send, 200, "application/json", self.dump().encode())
            case _:
                await _send_response(
                    send, 404, "text/plain", b"known are /health, /metrics and /dump\n"
                )

    def _render_metrics(self) -> tuple[bytes, dict[str, str]]:
        for name, value in self.measure().items():
            if name not in self.gauges:
                metric_name = f"pumicespur_{name}"
                self.gauges[name] = Gauge(
                    metric_name, name.replace("_", " "), registry=self.metrics
                )
            self.gauges[name].set({"process": self.settings.process.id}, value)
        return render(self.metrics, ["text/plain"])


def _as_dict(message: Message[Any]) -> dict[str, Any]:
    return json.loads(message.to_json())


async def _send_response(
    send: Callable[[dict[str, Any]], Awaitable[None]], status: int, kind: str, body: bytes
) -> None:
    headers = [(b"content-type", kind.encode()), (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})

"""Start the program's roles and the stand-ins as processes, for tests and the demo."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import httpx
from pyqwest import Client, HTTPTransport

from pumicespur.schema.fleet_pb import Record, Resources
from pumicespur.schema.platform_pb import ListedInstance, Liveness
from pumicespur.utils import monotonic
from standins.schema.standins_connect import BackendControlClient, PlatformControlClient
from standins.schema.standins_pb import (
    AddInstancesRequest,
    BackendOrder,
    BackendState,
    Empty,
    HistoryResponse,
    PlatformFault,
    SetFaultRequest,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

STOP_S = 60.0
"""Time until a killed process is gone; on a machine with forty busy processes, over 10 s."""

WAIT_S = 30.0
CHECK_S = 0.02

QUICK = {
    "process": {"heartbeat_s": "0.1", "poll_s": "0.2"},
    "platform": {"timeout_s": "0.5", "writes_per_s": "50"},
    "entry": {"stop_grace_s": "10", "eject_s": "1"},
    "manager": {
        "lease_s": "1.5",
        "tick_s": "0.1",
        "missing_s": "3",
        "drain_timeout_s": "10",
        "move_settle_s": "0.5",
    },
}
"""Settings that make a test or demo quick."""


@dataclass
class Child:
    """One started process and what it said when it was ready."""

    name: str
    process: subprocess.Popen[str]
    ready: dict[str, str] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """Where the process answers its callers."""
        return f"http://{self.ready['listen']}"

    @property
    def admin_url(self) -> str:
        """Where the process tells its state."""
        return f"http://{self.ready['admin']}"

    def wait_ready(self) -> None:
        """Read the line that a process prints when it listens."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} ended before it was ready")
        self.ready = json.loads(line)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait(STOP_S)

    def describe(self) -> dict[str, Any]:
        """Ask for the state dump."""
        with httpx.Client(trust_env=False) as client:
            answer: dict[str, Any] = client.get(f"{self.admin_url}/dump", timeout=5).json()
            return answer


class Launcher:
    """Starts processes and ends every one of them."""

    def __init__(self) -> None:
        self.children: list[Child] = []
        self._folder = tempfile.TemporaryDirectory(prefix="pumicespur-")
        self.error_file = (Path(self._folder.name) / "errors.log").open("w+")

    def close(self) -> None:
        """End every process that was started."""
        for child in self.children:
            if child.process.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.process.kill()
        for child in self.children:
            child.process.wait(STOP_S)
            if child.process.stdout is not None:
                child.process.stdout.close()
        self.error_file.close()
        self._folder.cleanup()

    def errors(self) -> str:
        """Return all that the processes wrote to their error output."""
        self.error_file.flush()
        return (Path(self._folder.name) / "errors.log").read_text()

    def start(self, name: str, *arguments: str) -> Child:
        """Start a Python module as a process; `wait_ready` it later."""
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            stdout=subprocess.PIPE,
            stderr=self.error_file,
            text=True,
        )
        child = Child(name, process)
        self.children.append(child)
        return child

    def start_platform(self, reboot_ms: int = 200) -> Child:
        """Start the platform stand-in."""
        child = self.start("platform", "standins.platform", "--reboot-ms", str(reboot_ms))
        child.wait_ready()
        return child

    def start_backend(self, name: str, work_ms: int = 5, slots: int = 8) -> Child:
        """Start a backend server stand-in; wait_ready it later."""
        options = ("--id", name, "--work-ms", str(work_ms), "--slots", str(slots))
        return self.start(name, "standins.backend", *options)

    def start_role(
        self,
        role: str,
        name: str,
        platform: Child,
        sections: dict[str, dict[str, str]] | None = None,
    ) -> Child:
        """Start an entry or a manager; wait_ready it later."""
        path = self.write_settings(role, name, platform, sections)
        return self.start(name, "pumicespur", role, str(path))

    def write_settings(
        self,
        role: str,
        name: str,
        platform: Child,
        sections: dict[str, dict[str, str]] | None,
    ) -> Path:
        """Write a settings file with free ports and quick timers, and what `sections` has."""
        settings = {
            "process": {
                "id": name,
                "data_hall": "regina-a",
                "peer_listen": "127.0.0.1:0",
                "admin_listen": "127.0.0.1:0",
            },
            "platform": {"url": platform.url},
            role: {"listen": "127.0.0.1:0"},
        }
        lines = []
        for section, values in settings.items():
            merged = QUICK.get(section, {}) | values | (sections or {}).get(section, {})
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in merged.items()]
        path = Path(self._folder.name) / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path


class PlatformOrders:
    """Gives orders to the platform stand-in."""

    def __init__(self, platform: Child) -> None:
        client = Client(HTTPTransport(proxy=[], enable_otel=False))
        self.stub = PlatformControlClient(
            f"http://{platform.ready['control']}", http_client=client, send_compression=None
        )

    async def fail(
        self, fault: PlatformFault, *, count: int = 0, delay_ms: int = 0, list_lag_ms: int = 0
    ) -> None:
        """Set a fault; UNSPECIFIED lifts it."""
        request = SetFaultRequest(
            fault=fault, count=count, delay_ms=delay_ms, list_lag_ms=list_lag_ms
        )
        await self.stub.set_fault(request)

    async def restart(self, away_ms: int) -> None:
        """Let the platform close every connection and stay away for a while."""
        await self.stub.set_fault(SetFaultRequest(restart_ms=away_ms))

    async def heal(self) -> None:
        """Lift every fault."""
        await self.fail(PlatformFault.UNSPECIFIED)

    async def add(self, backends: Sequence[Child], places: Sequence[tuple[str, str]]) -> None:
        """List backends as live instances at the given data halls and racks."""
        request = AddInstancesRequest()
        for child, (hall, rack) in zip(backends, places, strict=True):
            request.instances.append(
                ListedInstance(
                    id=child.name,
                    region="west",
                    data_hall=hall,
                    rack=rack,
                    address=child.ready["listen"],
                    resources=Resources(millicores=16000, memory_mb=32768),
                    liveness=Liveness.LIVE,
                    slots=8,
                )
            )
            request.controls[child.name] = child.ready["control"]
        await self.stub.add_instances(request)

    async def history(self) -> HistoryResponse:
        """Ask for all that happened."""
        return await self.stub.history(Empty())

    async def records(self) -> list[Record]:
        """Ask for the log."""
        return list((await self.history()).records)


class BackendOrders:
    """Gives orders to one backend server stand-in."""

    def __init__(self, backend: Child) -> None:
        client = Client(HTTPTransport(proxy=[], enable_otel=False))
        self.stub = BackendControlClient(
            f"http://{backend.ready['control']}", http_client=client, send_compression=None
        )

    async def give(self, order: BackendOrder) -> None:
        """Give an order."""
        await self.stub.give(order)

    async def inspect(self) -> BackendState:
        """Ask for the state and the runs so far."""
        return await self.stub.inspect(Empty())


async def wait_until(
    holds: Callable[[], Awaitable[bool]], what: str, limit_s: float = WAIT_S
) -> None:
    """Wait until a condition holds; raise TimeoutError that names it otherwise."""
    end = monotonic() + limit_s
    while not await holds():
        if monotonic() > end:
            raise TimeoutError(f"waited {limit_s:g} s for: {what}")
        await anyio.sleep(CHECK_S)

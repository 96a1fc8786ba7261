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

KILL_TIMEOUT_S = 60.0
"""A killed process can take over 10 s to disappear on a machine with 40 busy processes."""

WAIT_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.02

FAST_SETTINGS = {
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
"""Settings with short intervals, so that tests and the demo run fast."""


@dataclass
class Child:
    """One started process and the fields of the line that it printed once it was ready."""

    name: str
    process: subprocess.Popen[str]
    ready: dict[str, str] = field(default_factory=dict)

    @property
    def url(self) -> str:
        """URL at which the process serves callers."""
        return f"http://{self.ready['listen']}"

    @property
    def admin_url(self) -> str:
        """URL at which the process serves its state dump and metrics."""
        return f"http://{self.ready['admin']}"

    def wait_ready(self) -> None:
        """Wait for the JSON line that the process prints once it listens, and keep its fields."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} ended before it was ready")
        self.ready = json.loads(line)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it is gone."""
        self.process.kill()
        self.process.wait(KILL_TIMEOUT_S)

    def describe(self) -> dict[str, Any]:
        """Fetch the state dump."""
        with httpx.Client(trust_env=False) as client:
            dump: dict[str, Any] = client.get(f"{self.admin_url}/dump", timeout=5).json()
            return dump


class Launcher:
    """Starts processes and kills them all on `close`."""

    def __init__(self) -> None:
        self.children: list[Child] = []
        self._folder = tempfile.TemporaryDirectory(prefix="pumicespur-")
        self.error_file = (Path(self._folder.name) / "errors.log").open("w+")

    def close(self) -> None:
        """Kill every process that was started and remove their files."""
        for child in self.children:
            if child.process.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.process.kill()
        for child in self.children:
            child.process.wait(KILL_TIMEOUT_S)
            if child.process.stdout is not None:
                child.process.stdout.close()
        self.error_file.close()
        self._folder.cleanup()

    def errors(self) -> str:
        """Return what all the processes wrote to standard error."""
        self.error_file.flush()
        return (Path(self._folder.name) / "errors.log").read_text()

    def start(self, name: str, *arguments: str) -> Child:
        """Start a Python module as a process; call `Child.wait_ready` later."""
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
        """Start a backend server stand-in; call `Child.wait_ready` later."""
        options = ("--id", name, "--work-ms", str(work_ms), "--slots", str(slots))
        return self.start(name, "standins.backend", *options)

    def start_role(
        self,
        role: str,
        name: str,
        platform: Child,
        sections: dict[str, dict[str, str]] | None = None,
    ) -> Child:
        """Start an entry or a manager; call `Child.wait_ready` later."""
        path = self.write_settings(role, name, platform, sections)
        return self.start(name, "pumicespur", role, str(path))

    def write_settings(
        self,
        role: str,
        name: str,
        platform: Child,
        sections: dict[str, dict[str, str]] | None,
    ) -> Path:
        """Write a settings file with free ports, short intervals and the options in `sections`."""
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
            merged = FAST_SETTINGS.get(section, {}) | values | (sections or {}).get(section, {})
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
        """Set a fault; `UNSPECIFIED` lifts the present one."""
        request = SetFaultRequest(
            fault=fault, count=count, delay_ms=delay_ms, list_lag_ms=list_lag_ms
        )
        await self.stub.set_fault(request)

    async def restart(self, down_ms: int) -> None:
        """Let the platform close every connection and be down for `down_ms`."""
        await self.stub.set_fault(SetFaultRequest(restart_ms=down_ms))

    async def lift_faults(self) -> None:
        """Lift every fault."""
        await self.fail(PlatformFault.UNSPECIFIED)

    async def add(self, backends: Sequence[Child], places: Sequence[tuple[str, str]]) -> None:
        """List backend servers as live instances at the given pairs of data hall and rack."""
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
        """Fetch the events and records so far."""
        return await self.stub.history(Empty())

    async def records(self) -> list[Record]:
        """Fetch the log's records."""
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
        """Fetch the state and the runs so far."""
        return await self.stub.inspect(Empty())


async def wait_until(
    condition: Callable[[], Awaitable[bool]], description: str, limit_s: float = WAIT_TIMEOUT_S
) -> None:
    """Wait until a condition holds; raise TimeoutError with its description after `limit_s`."""
    end = monotonic() + limit_s
    while not await condition():
        if monotonic() > end:
            raise TimeoutError(f"waited {limit_s:g} s for: {description}")
        await anyio.sleep(CHECK_INTERVAL_S)

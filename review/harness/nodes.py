"""Node processes with the settings of a small deployment, filled in from `deploy/node.ini`."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from review.harness.record import Record

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
END_TIMEOUT_S = 5.0

BOUNDS = {
    "graceS": 6,
    "configApplyMs": 2000,
    "holdMaxMs": 10000,
    "drainMs": 2000,
    "cancel_ms": 3000,
    "leaseMs": 3000,
    "move_s": 1.5,
    "upkeep_s": 2,
}
"""The bounds of the site `coulee-sched`."""

LIMITS = {"cpuShare": 0.537, "cores": 2}


def free_port(ip: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a settings template as the users' platform does; missing ones stay empty."""

    def value(match: re.Match[str]) -> str:
        found: Any = fields
        for name in match[1].split("."):
            found = found.get(name, "") if isinstance(found, dict) else ""
        return str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class NodeMachine:
    """One machine of the system; its process may be killed and started again."""

    def __init__(self, name: str, number: int, folder: Path, record: Record) -> None:
        self.name = name
        self.ip = f"127.0.1.{number}"
        self.record = record
        self.folder = folder
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.ini"
        self.callers = f"{self.ip}:{free_port(self.ip)}"
        self.readiness = f"{self.ip}:{free_port(self.ip)}"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, store: str, fleet: str, zone: str = "regina-a") -> None:
        """Start the process by the command of the deploy file."""
        role = tomllib.loads(DEPLOY_FILE.read_text())["roles"]["node"]
        template = (ROOT / role["template"]).read_text()
        # Each machine has an address of its own, but the port for metrics may be taken here.
        template = template.replace("{{ip}}:9464", f"{self.ip}:{free_port(self.ip)}")
        fields = {
            "node": self.name,
            "zone": zone,
            "ip": self.ip,
            "listen": {"front": self.callers, "ready": self.readiness},
            "platform": {"address": store},
            "cloudApi": {"address": fleet},
            "limits": LIMITS,
            "bounds": BOUNDS,
            "faultTolerance": {"zones": 0},
        }
        self.settings.write_text(fill_template(template, fields))
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env={**os.environ, "PUMICESPUR_NODE_FILE": str(self.settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.note("node started", node=self.name, process=self.process.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.note("signal sent", node=self.name, signal=number.name)
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        assert self.process is not None
        self.send_signal(signal.SIGKILL)
        self.process.wait(END_TIMEOUT_S)

    def exit_status(self) -> int | None:
        """Return the exit status of the process, None while it runs."""
        return None if self.process is None else self.process.poll()

    def close(self) -> None:
        """End the process, if it still runs."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait(END_TIMEOUT_S)

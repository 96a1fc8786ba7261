"""Start and stop real processes of the role `node`."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from pumicespur.utils import monotonic
from standins.suspendable import MARKER_SUFFIX

KILL_TIMEOUT_S = 10.0
NODE_MODULE = "pumicespur.commands.node"
"""Default for the module to run, which may be followed by arguments."""

SUSPENDABLE_MODULE = "standins.suspendable"
"""The same role with a monotonic clock that omits suspensions."""

SETTINGS = """
[process]
id = {name}
data_hall = hall
stop_grace_s = 3
[listen]
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
metrics = 127.0.0.1:0
[store]
address = {store}
timeout_s = 0.3
heartbeat_s = 0.1
missing_s = 0.6
watch_s = 1
[workers]
lease_s = 1.2
call_timeout_s = 0.3
watch_s = 0.2
owner_silence_s = 1.5
longest_lease_ms = 3000
drain_ms = 1200
cancel_ms = 2000
evacuate_ms = 1500
advice = {advice}
[fleet]
address = {fleet}
lease_ms = 300
move_s = 0.1
maintenance_s = 0.1
"""


@dataclass
class Node:
    """One node process; it logs its addresses once it listens."""

    name: str
    log: Path
    settings: Path
    process: subprocess.Popen[bytes] = field(init=False)

    def address(self, listener: str) -> str:
        """Return the address of a listener, empty until the process has logged that it started."""
        for line in self.log.read_text().splitlines():
            if '"process started"' in line:
                fields = json.loads(line)
                if fields["process_id"] == self.process.pid:
                    return str(fields[listener])
        return ""

    def suspend(self) -> None:
        """Suspend the process, and its monotonic clock if it runs `SUSPENDABLE_MODULE`."""
        self.settings.with_suffix(MARKER_SUFFIX).write_text(str(monotonic()))
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        self.process.send_signal(number)


@dataclass
class Nodes:
    """The nodes that one test started."""

    folder: tempfile.TemporaryDirectory[str] = field(default_factory=tempfile.TemporaryDirectory)
    nodes: dict[str, Node] = field(default_factory=dict)

    def start(self, name: str, addresses: dict[str, str], module: str = NODE_MODULE) -> Node:
        """Write a node's settings file and start it; a stopped node may be started again."""
        node = self.prepare(name, addresses)
        self.launch(node, module)
        return node

    def prepare(self, name: str, addresses: dict[str, str]) -> Node:
        """Write a node's settings file with the stand-ins' addresses by name; don't start it."""
        folder = Path(self.folder.name)
        node = Node(name, folder / f"{name}.log", folder / f"{name}.ini")
        node.settings.write_text(SETTINGS.format(name=name, **addresses))
        return node

    def launch(self, node: Node, module: str = NODE_MODULE) -> None:
        """Start the process of a prepared node."""
        with node.log.open("ab") as output:
            node.process = subprocess.Popen(
                [sys.executable, "-m", *module.split()],
                env={**os.environ, "PUMICESPUR_NODE_FILE": str(node.settings)},
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.nodes[node.name] = node

    def close(self) -> None:
        """Kill every node that was started and remove their files."""
        for node in self.nodes.values():
            if node.process.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.process.kill()
            node.process.wait(KILL_TIMEOUT_S)
        self.folder.cleanup()

"""The settings of the role `node`, read from an INI file."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pumicespur.config._findings import error, has_errors
from pumicespur.config._ini import IniSection, read_ini
from pumicespur.config._options import fill_message
from pumicespur.exceptions import ConfigurationError
from pumicespur.schema.node_pb import (
    FleetSettings,
    ListenSettings,
    NodeProcessSettings,
    StoreSettings,
    WorkerSettings,
)

if TYPE_CHECKING:
    from pathlib import Path

    from protobuf import Message

    from pumicespur.schema.operators_pb import Finding


@dataclass
class NodeSettings:
    """All sections of a node's settings file."""

    process: NodeProcessSettings = field(default_factory=NodeProcessSettings)
    listen: ListenSettings = field(default_factory=ListenSettings)
    store: StoreSettings = field(default_factory=StoreSettings)
    workers: WorkerSettings = field(default_factory=WorkerSettings)
    fleet: FleetSettings = field(default_factory=FleetSettings)

    @property
    def cpu_capacity(self) -> float:
        """The CPU capacity of the process, in cores of the smallest instance."""
        return self.process.cpu_share * self.process.cpu_speed

    def sections(self) -> dict[str, Message[Any]]:
        """Return the message of each section by its name."""
        return {
            "process": self.process,
            "listen": self.listen,
            "store": self.store,
            "workers": self.workers,
            "fleet": self.fleet,
        }


def load_node_settings(path: Path) -> NodeSettings:
    """Read a settings file; raise ConfigurationError with all findings if any is an error."""
    settings = NodeSettings()
    ini = read_ini(path)
    findings: list[Finding] = list(ini.findings)
    known = settings.sections()
    present = {section.name: section for section in ini.sections}
    for section in ini.sections:
        if section.name not in known:
            text = f"no such section; known are {', '.join(known)}"
            findings.append(section.locate(error("", "", text)))
    if not ini.findings:
        for name, message in known.items():
            findings += fill_message(message, present.get(name, IniSection(str(path), name, 0)))
    if has_errors(findings):
        raise ConfigurationError(findings)
    return settings

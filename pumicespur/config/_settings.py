"""The settings of one process of the roles `entry` or `manager`, read from an INI file."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pumicespur.config._findings import error, has_errors
from pumicespur.config._ini import IniSection, read_ini
from pumicespur.config._options import fill_message
from pumicespur.exceptions import ConfigurationError
from pumicespur.schema.settings_pb import (
    EntrySettings,
    ManagerSettings,
    PlatformSettings,
    ProcessSettings,
)

if TYPE_CHECKING:
    from pathlib import Path

    from protobuf import Message

    from pumicespur.schema.operators_pb import Finding
    from pumicespur.schema.peer_pb import Role

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


@dataclass
class Settings:
    """All sections of one settings file."""

    process: ProcessSettings = field(default_factory=ProcessSettings)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    entry: EntrySettings = field(default_factory=EntrySettings)
    manager: ManagerSettings = field(default_factory=ManagerSettings)

    def section(self, name: str) -> Message[Any] | None:
        """Return the message of a section, or None if there is no such section."""
        sections: dict[str, Message[Any]] = {
            "process": self.process,
            "platform": self.platform,
            "entry": self.entry,
            "manager": self.manager,
        }
        return sections.get(name)


def load_settings(path: Path, role: Role | None = None) -> tuple[Settings, list[Finding]]:
    """Read a settings file; raise ConfigurationError with all findings if any is an error.

    With a role, only that role's section is required. The returned findings are all warnings.
    """
    settings = Settings()
    ini = read_ini(path)
    findings = list(ini.findings)
    sections = {section.name: section for section in ini.sections}
    for section in ini.sections:
        if settings.section(section.name) is None:
            known = "process, platform, entry, manager"
            findings.append(section.locate(error("", "", f"no such section; known are {known}")))
    if not ini.findings:
        for name in _select_sections(role, sections):
            section = sections.get(name, IniSection(str(path), name, 0))
            message = settings.section(name)
            assert message is not None
            findings += fill_message(message, section)
        findings += _check_log_level(settings, sections)
    if has_errors(findings):
        raise ConfigurationError(findings)
    return settings, findings


def _select_sections(role: Role | None, present: dict[str, IniSection]) -> list[str]:
    selected = ["process", "platform"]
    roles = ["entry", "manager"]
    if role is not None:
        return [*selected, role.name.lower()]
    return selected + [name for name in roles if name in present]


def _check_log_level(settings: Settings, sections: dict[str, IniSection]) -> list[Finding]:
    level = settings.process.log_level
    if "process" not in sections or level in LOG_LEVELS:
        return []
    finding = error("process", "log_level", f"takes one of {', '.join(LOG_LEVELS)}, not {level!r}")
    return [sections["process"].locate(finding)]

"""Reloads a changed settings file while the process runs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
from logbook import Logger

from pumicespur.config import format_finding, load_node_settings
from pumicespur.exceptions import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

    from protobuf import Message

    from pumicespur.config import NodeSettings

log = Logger(__name__)

CHECK_INTERVAL_S = 2.0
"""Pause between checks of the file, which may change without a signal."""

RESTART_ONLY = frozenset({"id", "data_hall", "callers", "readiness", "metrics", "address"})
"""Settings that take effect only at a start."""


class SettingsFile:
    """The settings file of a process, and the settings last loaded from it."""

    def __init__(self, path: Path, settings: NodeSettings) -> None:
        self.path = path
        self.settings = settings
        self.content = self._read()

    def _read(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError as error:
            log.warning("settings not read", path=str(self.path), reason=str(error))
            return b""

    async def follow(self) -> None:
        """Reload the file whenever it changes, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.reload("changed file", only_if_changed=True)

    def reload(self, reason: str, *, only_if_changed: bool = False) -> None:
        """Put new values in force; a file with errors changes nothing."""
        content = self._read()
        if not content or (only_if_changed and content == self.content):
            return
        self.content = content
        try:
            loaded = load_node_settings(self.path)
        except ConfigurationError as error:
            places = [format_finding(finding) for finding in error.findings]
            log.error("settings refused", reason=reason, findings=places)
            return
        changed = [
            f"{name}.{key}"
            for name, section in self.settings.sections().items()
            for key in _copy_changes(section, loaded.sections()[name])
        ]
        log.info("settings in force", reason=reason, changed=changed)


def _copy_changes(section: Message[Any], loaded: Message[Any]) -> list[str]:
    """Copy the values that differ into the section in use and return their names."""
    changed = []
    for field in section.desc().fields:
        old = getattr(section, field.local_name)
        new = getattr(loaded, field.local_name)
        if old == new:
            continue
        changed.append(field.name)
        if field.name not in RESTART_ONLY:
            setattr(section, field.local_name, new)
    return changed

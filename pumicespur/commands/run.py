"""Run one role as a long-running process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.config import format_finding, load_settings
from pumicespur.processes import EntryProcess, ManagerProcess
from pumicespur.schema.peer_pb import Role
from pumicespur.utils import run_process, set_up_stderr_log

if TYPE_CHECKING:
    from pathlib import Path

    from pumicespur.config import Settings

log = Logger(__name__)


def run(role: Role, path: Path) -> None:
    """Read the settings, then serve until a signal requests a stop."""
    settings, warnings = load_settings(path, role)
    set_up_stderr_log(settings.process.id, settings.process.log_level)
    for finding in warnings:
        log.warning(format_finding(finding))
    run_process(_serve, role, settings)


async def _serve(role: Role, settings: Settings) -> None:
    match role:
        case Role.ENTRY:
            await EntryProcess(settings).run()
        case Role.MANAGER:
            await ManagerProcess(settings).run()

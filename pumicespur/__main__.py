"""The command line."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path
from typing import Annotated

import anyio
from cyclopts import App, Parameter

from pumicespur import __version__
from pumicespur.commands import _output
from pumicespur.commands import apply as apply_command
from pumicespur.commands import check as check_command
from pumicespur.commands import drain as drain_command
from pumicespur.commands import dump as dump_command
from pumicespur.commands import run as run_command
from pumicespur.commands import status as status_command
from pumicespur.commands import wave as wave_command
from pumicespur.config import format_finding
from pumicespur.exceptions import ConfigurationError, PumicespurError
from pumicespur.operators import OperatorClient
from pumicespur.schema.operators_pb import WaveAction
from pumicespur.schema.peer_pb import Role

DEFAULT_MANAGER = "http://127.0.0.1:8090"

SETTINGS_HELP = "The settings file of this process."
FILES_HELP = "Declaration files; together they are one declaration."
MANAGER_HELP = "URL of any manager."
OPERATOR_HELP = "Name to record with a change."
JSON_HELP = "Print JSON for a script."
BASE_HELP = "The revision your files were last in line with; the newest if left out."
PRUNE_HELP = "Remove the sections that the files do not have."
INSTANCE_HELP = "The instance."
WAVE_HELP = "The wave."
WATCH_HELP = "Print the wave's progress until it no longer runs."
PROCESS_HELP = "The process; the manager itself if left out."

Settings = Annotated[Path, Parameter(help=SETTINGS_HELP)]
Files = Annotated[list[Path], Parameter(help=FILES_HELP, negative="")]
Manager = Annotated[str, Parameter(help=MANAGER_HELP, env_var="PUMICESPUR_MANAGER")]
Operator = Annotated[str, Parameter(help=OPERATOR_HELP, env_var="PUMICESPUR_OPERATOR")]
Json = Annotated[bool, Parameter(name="--json", help=JSON_HELP, negative="")]
Instance = Annotated[str, Parameter(help=INSTANCE_HELP)]
WaveName = Annotated[str, Parameter(help=WAVE_HELP)]
Watch = Annotated[bool, Parameter(help=WATCH_HELP, negative="")]

EXIT_CODES = """
Exit codes: 0 done, 1 refused, 2 faulty settings, declarations or arguments,
3 conflict with another operator, 4 no answer (the change may hold; look at status).
"""

app = App(name="pumicespur", help=__doc__, version=__version__, help_epilogue=EXIT_CODES)
check = App(name="check", help="Check files without touching anything.")
wave = App(name="wave", help="Act on a maintenance wave.")
app.command(check)
app.command(wave)


@app.command
def entry(settings: Settings) -> None:
    """Run the entry role: take callers' requests.

    Example: pumicespur entry entry.ini
    """
    run_command.run(Role.ENTRY, settings)


@app.command
def manager(settings: Settings) -> None:
    """Run the manager role: answer operators and plan.

    Example: pumicespur manager manager.ini
    """
    run_command.run(Role.MANAGER, settings)


@check.command(name="settings")
def check_settings(settings: Settings) -> None:
    """Check a settings file.

    Example: pumicespur check settings entry.ini
    """
    check_command.check_settings(settings)


@check.command(name="declarations")
def check_declarations(files: Files) -> None:
    """Check declaration files.

    Example: pumicespur check declarations pools.ini waves.ini
    """
    check_command.check_declarations(files)


@app.command
def plan(
    files: Files,
    *,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    base: Annotated[int | None, Parameter(help=BASE_HELP)] = None,
    prune: Annotated[bool, Parameter(help=PRUNE_HELP, negative="")] = False,
    json: Json = False,
) -> None:
    """Show what applying the files would change; nothing is changed.

    Example: pumicespur plan pools.ini --prune
    """
    _apply(files, manager, operator, base, prune, json, dry_run=True)


@app.command
def apply(
    files: Files,
    *,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    base: Annotated[int | None, Parameter(help=BASE_HELP)] = None,
    prune: Annotated[bool, Parameter(help=PRUNE_HELP, negative="")] = False,
    json: Json = False,
) -> None:
    """Bring the declared sections in line with the files.

    Example: pumicespur apply pools.ini waves.ini --base 41
    """
    _apply(files, manager, operator, base, prune, json, dry_run=False)


@app.command
def status(*, manager: Manager = DEFAULT_MANAGER, json: Json = False) -> None:
    """Show the state of pools, waves and processes.

    Example: pumicespur status --json
    """

    async def ask() -> None:
        await status_command.status(_client(manager, ""), as_json=json)

    anyio.run(ask)


@app.command
def drain(
    instance: Instance,
    *,
    resume: Annotated[bool, Parameter(help="Take the instance back.", negative="")] = False,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    json: Json = False,
) -> None:
    """Take one instance out of service, or back into it.

    Example: pumicespur drain regina-a-r1-1
    """

    async def ask() -> None:
        client = _client(manager, operator)
        await drain_command.drain(client, instance, resume=resume, as_json=json)

    anyio.run(ask)


@wave.command
def start(
    name: WaveName,
    *,
    watch: Watch = False,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    json: Json = False,
) -> None:
    """Start a declared wave.

    Example: pumicespur wave start kernel-update --watch
    """
    _control_wave(name, WaveAction.START, watch, manager, operator, json)


@wave.command
def pause(
    name: WaveName,
    *,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    json: Json = False,
) -> None:
    """Start no more instances of a wave; those under way finish.

    Example: pumicespur wave pause kernel-update
    """
    _control_wave(name, WaveAction.PAUSE, False, manager, operator, json)


@wave.command
def resume(
    name: WaveName,
    *,
    watch: Watch = False,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    json: Json = False,
) -> None:
    """Go on with a paused or halted wave; failed instances are tried again.

    Example: pumicespur wave resume kernel-update
    """
    _control_wave(name, WaveAction.RESUME, watch, manager, operator, json)


@wave.command
def abort(
    name: WaveName,
    *,
    manager: Manager = DEFAULT_MANAGER,
    operator: Operator = "",
    json: Json = False,
) -> None:
    """End a wave; instances under way finish.

    Example: pumicespur wave abort kernel-update
    """
    _control_wave(name, WaveAction.ABORT, False, manager, operator, json)


@app.command
def dump(
    process: Annotated[str, Parameter(help=PROCESS_HELP)] = "",
    *,
    manager: Manager = DEFAULT_MANAGER,
) -> None:
    """Print the state of a process as JSON.

    Example: pumicespur dump entry-1
    """

    async def ask() -> None:
        await dump_command.dump(_client(manager, ""), process)

    anyio.run(ask)


def _client(url: str, operator: str) -> OperatorClient:
    return OperatorClient(url, operator or getpass.getuser())


def _apply(
    files: list[Path],
    url: str,
    operator: str,
    base: int | None,
    prune: bool,
    as_json: bool,
    *,
    dry_run: bool,
) -> None:
    async def ask() -> None:
        client = _client(url, operator)
        response = await apply_command.apply(client, files, base=base, prune=prune, dry_run=dry_run)
        if as_json:
            _output.print_json(response)
        else:
            _output.print_changes(response, dry_run=dry_run)

    anyio.run(ask)


def _control_wave(
    name: str, action: WaveAction, watch: bool, url: str, operator: str, as_json: bool
) -> None:
    async def ask() -> None:
        client = _client(url, operator)
        await wave_command.control_wave(client, name, action, watch=watch, as_json=as_json)

    anyio.run(ask)


def main() -> None:
    """Run a command; print an expected failure as one line for each finding."""
    try:
        app()
    except ConfigurationError as failure:
        for finding in failure.findings:
            print(format_finding(finding), file=sys.stderr)
        print(f"pumicespur: {failure}", file=sys.stderr)
        sys.exit(failure.exit_code)
    except PumicespurError as failure:
        print(f"pumicespur: {failure}", file=sys.stderr)
        sys.exit(failure.exit_code)


if __name__ == "__main__":
    main()

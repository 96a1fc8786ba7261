"""Command line of Pumicespur, a manager of fleet capacity and maintenance."""

from __future__ import annotations

import getpass
import os
import sys
import traceback
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from pumicespur import __version__
from pumicespur.commands import apply as apply_command
from pumicespur.commands import check as check_command
from pumicespur.commands import drain as drain_command
from pumicespur.commands import dump as dump_command
from pumicespur.commands import explain as explain_command
from pumicespur.commands import node as node_command
from pumicespur.commands import run as run_command
from pumicespur.commands import status as status_command
from pumicespur.commands import wave as wave_command
from pumicespur.config import format_finding
from pumicespur.exceptions import ConfigurationError, PumicespurError
from pumicespur.operators import ClientTls, OperatorClient
from pumicespur.schema.operators_pb import WaveAction
from pumicespur.schema.peer_pb import Role

UNEXPECTED_EXIT_CODE = 70
DEFAULT_MANAGER = "http://127.0.0.1:8090"

SETTINGS_HELP = "The settings file of this process."
FILES_HELP = "Declaration files; together they are one declaration."
MANAGER_HELP = "URL of any manager."
OPERATOR_HELP = "Name to record with a change; your login name if left out."
TLS_AUTHORITY_HELP = "Certificate authority of the managers, for an https URL."
TLS_CERTIFICATE_HELP = "Your certificate, if managers ask for one."
TLS_KEY_HELP = "The private key of your certificate."
JSON_HELP = "Print JSON for a script."
BASE_HELP = "The revision that your files are based on; the newest if left out."
PRUNE_HELP = "Remove the declared sections that are not in the files."
INSTANCE_HELP = "The instance."
DATA_HALL_HELP = "A data hall, all instances of which are meant."
RESUME_HELP = "Return the instance to service."
WAVE_HELP = "The wave."
WATCH_HELP = "Print the wave's progress until it no longer runs."
WANTED_HELP = "Id of a job, a task, a worker or a pool."
LOGS_HELP = "Log files of any number of processes."
JOB_HELP = "Id of a job on a hosted platform."
NODE_HELP = "URL of the metrics address of any node."
PROCESS_HELP = "The process; the manager itself if left out."

Settings = Annotated[Path, Parameter(help=SETTINGS_HELP)]
Files = Annotated[list[Path], Parameter(help=FILES_HELP, negative="")]
Base = Annotated[int | None, Parameter(help=BASE_HELP)]
Prune = Annotated[bool, Parameter(help=PRUNE_HELP, negative="")]
Json = Annotated[bool, Parameter(name="--json", help=JSON_HELP, negative="")]
Instance = Annotated[str, Parameter(help=INSTANCE_HELP)]
DataHall = Annotated[str, Parameter(help=DATA_HALL_HELP)]
Resume = Annotated[bool, Parameter(help=RESUME_HELP, negative="")]
Wanted = Annotated[str, Parameter(help=WANTED_HELP)]
Logs = Annotated[list[Path], Parameter(help=LOGS_HELP, negative="")]
WantedJob = Annotated[str, Parameter(help=JOB_HELP)]
NodeUrl = Annotated[str, Parameter(help=NODE_HELP)]
WaveName = Annotated[str, Parameter(help=WAVE_HELP)]
Watch = Annotated[bool, Parameter(help=WATCH_HELP, negative="")]
ProcessName = Annotated[str, Parameter(help=PROCESS_HELP)]

EXIT_CODES = """
Exit codes: 0 success, 1 refused, 2 invalid settings, declarations or arguments,
3 conflict with another operator, 4 no response (the change may have taken effect; check with
status), 70 internal error, with a traceback.
"""


@Parameter(name="*")
@dataclass(frozen=True)
class Connection:
    """How to reach a manager; each option can be given by an environment variable."""

    manager: Annotated[str, Parameter(help=MANAGER_HELP, env_var="PUMICESPUR_MANAGER")] = (
        DEFAULT_MANAGER
    )
    operator: Annotated[str, Parameter(help=OPERATOR_HELP, env_var="PUMICESPUR_OPERATOR")] = ""
    tls_authority: Annotated[
        Path | None, Parameter(help=TLS_AUTHORITY_HELP, env_var="PUMICESPUR_TLS_AUTHORITY")
    ] = None
    tls_certificate: Annotated[
        Path | None, Parameter(help=TLS_CERTIFICATE_HELP, env_var="PUMICESPUR_TLS_CERTIFICATE")
    ] = None
    tls_key: Annotated[Path | None, Parameter(help=TLS_KEY_HELP, env_var="PUMICESPUR_TLS_KEY")] = (
        None
    )

    def client(self) -> OperatorClient:
        """Return a client of this manager."""
        tls = ClientTls(self.tls_authority, self.tls_certificate, self.tls_key)
        return OperatorClient(self.manager, self.operator or getpass.getuser(), tls)


DEFAULT_CONNECTION = Connection()

app = App(name="pumicespur", help=__doc__, version=__version__, help_epilogue=EXIT_CODES)
check = App(name="check", help="Check files without contacting a manager.")
wave = App(name="wave", help="Control a maintenance wave.")
app.command(check)
app.command(wave)


@app.command
def entry(settings: Settings) -> None:
    """Run the entry role: route callers' requests.

    Example: pumicespur entry entry.ini
    """
    run_command.run(Role.ENTRY, settings)


@app.command
def manager(settings: Settings) -> None:
    """Run the manager role: serve operators and plan.

    Example: pumicespur manager manager.ini
    """
    run_command.run(Role.MANAGER, settings)


@app.command
def node(settings: Settings) -> None:
    """Run the node role: serve callers and own pools on a hosted platform.

    Example: pumicespur node node.ini
    """
    node_command.node(settings)


@app.command
def explain(wanted: Wanted, files: Logs, *, json: Json = False) -> None:
    """Print the log lines of several processes about one id, in order of time.

    Example: pumicespur explain 5c0e7a21d94b36f8 node-1.log node-2.log
    """
    explain_command.explain(wanted, files, as_json=json)


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
async def plan(
    files: Files,
    *,
    base: Base = None,
    prune: Prune = False,
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show what applying the files would change; nothing is changed.

    Example: pumicespur plan pools.ini --prune
    """
    client = connection.client()
    await apply_command.apply(client, files, base=base, prune=prune, dry_run=True, as_json=json)


@app.command
async def apply(
    files: Files,
    *,
    base: Base = None,
    prune: Prune = False,
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Change the declared sections to match the files.

    Example: pumicespur apply pools.ini waves.ini --base 41
    """
    client = connection.client()
    await apply_command.apply(client, files, base=base, prune=prune, dry_run=False, as_json=json)


@app.command
async def status(
    *,
    job: WantedJob = "",
    node: NodeUrl = "",
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Show the state of pools, waves and processes, or of one job and why it failed.

    With --node alone, show the evacuated data halls that the node knows, and the long-running
    tasks of its pools that have no run.

    Example: pumicespur status --json

    Example: pumicespur status --job 5c0e7a21d94b36f8 --node http://10.1.0.9:9464

    Example: pumicespur status --node http://10.1.0.9:9464
    """
    if job and not node:
        raise PumicespurError("--job needs --node; any node can report any job")
    if node and not job:
        await status_command.node_status(node, as_json=json)
        return
    if job:
        await status_command.job_status(node, job, as_json=json)
        return
    await status_command.status(connection.client(), as_json=json)


@app.command
async def drain(
    instance: Instance = "",
    *,
    data_hall: DataHall = "",
    resume: Resume = False,
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Drain one instance or those of a data hall within their budgets, or return them to service.

    Example: pumicespur drain regina-a-r1-1

    Example: pumicespur drain --data-hall regina-a
    """
    if bool(instance) == bool(data_hall):
        raise PumicespurError("either an instance or --data-hall must be given")
    client = connection.client()
    if data_hall:
        await drain_command.drain_hall(client, data_hall, resume=resume, as_json=json)
        return
    await drain_command.drain(client, instance, resume=resume, as_json=json)


@wave.command
async def start(
    name: WaveName,
    *,
    watch: Watch = False,
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Start a declared wave.

    Example: pumicespur wave start kernel-update --watch
    """
    client = connection.client()
    await wave_command.control_wave(client, name, WaveAction.START, watch=watch, as_json=json)


@wave.command
async def pause(
    name: WaveName, *, json: Json = False, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """Pause a wave; instances in progress finish, no others are started.

    Example: pumicespur wave pause kernel-update
    """
    client = connection.client()
    await wave_command.control_wave(client, name, WaveAction.PAUSE, watch=False, as_json=json)


@wave.command
async def resume(
    name: WaveName,
    *,
    watch: Watch = False,
    json: Json = False,
    connection: Connection = DEFAULT_CONNECTION,
) -> None:
    """Continue a paused or halted wave; failed instances are retried.

    Example: pumicespur wave resume kernel-update
    """
    client = connection.client()
    await wave_command.control_wave(client, name, WaveAction.RESUME, watch=watch, as_json=json)


@wave.command
async def abort(
    name: WaveName, *, json: Json = False, connection: Connection = DEFAULT_CONNECTION
) -> None:
    """End a wave; instances in progress finish.

    Example: pumicespur wave abort kernel-update
    """
    client = connection.client()
    await wave_command.control_wave(client, name, WaveAction.ABORT, watch=False, as_json=json)


@app.command
async def dump(process: ProcessName = "", *, connection: Connection = DEFAULT_CONNECTION) -> None:
    """Print the state dump of a process as JSON.

    Example: pumicespur dump entry-1
    """
    await dump_command.dump(connection.client(), process)


def main() -> None:
    """Run a command and end the process with its exit code.

    The process ends without the interpreter's cleanup. The HTTP client of the generated stubs
    has threads of its own, and one that wakes up during the cleanup ends the process with
    SIGABRT instead of the exit code.
    """
    code = execute()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


def execute() -> int:
    """Run a command and return its exit code; print expected failures without a traceback."""
    try:
        app()
    except ConfigurationError as failure:
        for finding in failure.findings:
            print(format_finding(finding), file=sys.stderr)
        print(f"pumicespur: {failure}", file=sys.stderr)
        return failure.exit_code
    except PumicespurError as failure:
        print(f"pumicespur: {failure}", file=sys.stderr)
        return failure.exit_code
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else int(stop.code is not None)
    except Exception:
        traceback.print_exc()
        return UNEXPECTED_EXIT_CODE
    return 0


if __name__ == "__main__":
    main()

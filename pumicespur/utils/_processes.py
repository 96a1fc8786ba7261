"""Start and stop of a process: the announcement of its addresses, and signals."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

log = Logger(__name__)


def print_addresses(**addresses: str) -> None:
    """Print one JSON line with the process's id, role and addresses."""
    print(json.dumps(addresses), flush=True)


async def stop_on_signals(
    stop: anyio.Event,
    dump: Callable[[], str],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Set `stop` on SIGTERM or SIGINT; log a state dump on SIGUSR1."""
    handled = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
    with anyio.open_signal_receiver(*handled) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGUSR1:
                log.info("state dump", dump=json.loads(dump()))
            else:
                log.info("stopping", signal=signal.Signals(number).name)
                stop.set()

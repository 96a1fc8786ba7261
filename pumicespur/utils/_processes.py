"""What every process does at its start and at its end."""

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


def announce(**addresses: str) -> None:
    """Print one JSON line that names the process and where it listens."""
    print(json.dumps(addresses), flush=True)


async def stop_on_signals(
    stop: anyio.Event,
    dump: Callable[[], str],
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Set `stop` on SIGTERM or SIGINT; log a state dump on SIGUSR1."""
    kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
    with anyio.open_signal_receiver(*kinds) as signals:
        task_status.started()
        async for number in signals:
            if number == signal.SIGUSR1:
                log.info("state dump", dump=json.loads(dump()))
            else:
                log.info("stopping", signal=signal.Signals(number).name)
                stop.set()

"""Start, pause, resume or abort a maintenance wave."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from pumicespur.commands._output import print_json
from pumicespur.schema.fleet_pb import WavePhase
from pumicespur.schema.operators_pb import WaveAction, WaveRequest

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient

WATCH_INTERVAL_S = 1.0


async def control_wave(
    client: OperatorClient, wave: str, action: WaveAction, *, watch: bool, as_json: bool
) -> None:
    """Apply an action to the wave; with `watch`, print its progress until it no longer runs."""
    response = await client.control_wave(WaveRequest(wave=wave, action=action))
    if as_json:
        print_json(response)
    else:
        print(f"wave {wave}: {action.name.lower()}, revision {response.revision}")
    if watch:
        await watch_wave(client, wave)


async def watch_wave(client: OperatorClient, wave: str) -> None:
    """Print a wave's progress, a line whenever it changes."""
    shown = ""
    while True:
        status = await client.status()
        progress = next((p for p in status.waves if p.wave == wave), None)
        if progress is None:
            return
        line = (
            f"wave {wave}: {progress.phase.name.lower()}, {progress.done} done, "
            f"{progress.failed} failed"
        )
        if line != shown:
            print(line, flush=True)
            shown = line
        if progress.phase is not WavePhase.RUNNING:
            return
        await anyio.sleep(WATCH_INTERVAL_S)

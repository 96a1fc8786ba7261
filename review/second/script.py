"""Runs the scenario of a case and turns its outcome into the exit status of the script."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from review.second.deployment import SmallDeployment

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

TIME_LIMIT_S = 112.0


def run_script(
    folder: Path,
    make: Callable[[], SmallDeployment],
    scenario: Callable[[SmallDeployment, bool], Awaitable[list[str]]],
) -> None:
    """Run a scenario, write its record into the folder of the case, and exit with the outcome.

    The scenario returns where the rule was broken. It gets whether the disruption takes place,
    which `TROUBLE=0` in the environment turns off.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run(folder / "record.txt", make(), scenario, trouble)))


async def _run(
    record: Path,
    deployment: SmallDeployment,
    scenario: Callable[[SmallDeployment, bool], Awaitable[list[str]]],
    trouble: bool,
) -> int:
    verdict: list[str] = []
    try:
        await deployment.open()
        async with asyncio.timeout(TIME_LIMIT_S):
            verdict = await scenario(deployment, trouble)
        outcome = BROKEN if verdict else HELD
    except Exception:
        traceback.print_exc()
        outcome = COULD_NOT_RUN
    finally:
        deployment.write_record(record, verdict)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in deployment.nodes.nodes.values():
                Path(keep, f"{node.name}.log").write_bytes(node.log.read_bytes())
        await deployment.close()
    print("\n".join(verdict[:20]) or "the rule held")
    return outcome

"""The frame of a case: runs it within a time limit and turns its verdict into an exit status."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from review.harness.record import Record
from review.harness.world import CannotRunError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

TIME_LIMIT_S = 110.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_case(script: str, case: Callable[[Record, bool], Awaitable[list[str]]]) -> None:
    """Run a case, which returns the breaks of its rule, and exit with the status for them."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(script).resolve().parent / "record.txt")
    record.note("play", trouble=trouble)
    try:
        breaks = asyncio.run(_limited(case, record, trouble))
    except (CannotRunError, TimeoutError) as error:
        record.note("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    except Exception:
        traceback.print_exc()
        record.note("could not run", reason=traceback.format_exc())
        sys.exit(COULD_NOT_RUN)
    for line in breaks:
        record.note("rule broken", what=line)
        print(line)
    if not breaks:
        record.note("rule held")
        print("rule held")
    record.close()
    sys.exit(BROKEN if breaks else HELD)


async def _limited(
    case: Callable[[Record, bool], Awaitable[list[str]]], record: Record, trouble: bool
) -> list[str]:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(record, trouble)

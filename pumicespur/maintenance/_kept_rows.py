"""Rows that one holder of the fleet's duty leaves to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

if TYPE_CHECKING:
    from pumicespur.jobs import Journal
    from pumicespur.store import Row

log = Logger(__name__)

RETRY_S = 0.4
"""Pause after the row could not be read."""


async def read_kept(journal: Journal, key: str, what: str) -> Row:
    """Read a row, again and again until the store answers; `what` names it in the log."""
    while True:
        found = await journal.table.read(key)
        match found:
            case Result(tag="ok", ok=row):
                return row
            case Result(error=fault):
                log.warning(f"{what} not read", reason=str(fault))
                await anyio.sleep(RETRY_S)

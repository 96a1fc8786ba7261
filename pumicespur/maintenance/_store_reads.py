"""Reads of the rows that one fleet leader leaves to the next."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

if TYPE_CHECKING:
    from pumicespur.jobs import Journal
    from pumicespur.store import Row

log = Logger(__name__)

RETRY_DELAY_S = 0.4
"""Pause after a failed read."""


async def read_with_retry(journal: Journal, key: str, subject: str) -> Row:
    """Read a row, retrying until the store responds; `subject` names it in the log."""
    while True:
        found = await journal.table.read(key)
        match found:
            case Result(tag="ok", ok=row):
                return row
            case Result(error=error):
                log.warning(f"{subject} not read", reason=str(error))
                await anyio.sleep(RETRY_DELAY_S)

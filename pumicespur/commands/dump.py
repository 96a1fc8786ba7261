"""Print the state of a process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient


async def dump(client: OperatorClient, process: str) -> None:
    """Ask a manager for the dump of itself or of any process that it knows."""
    answer = await client.dump(process)
    print(json.dumps(json.loads(answer.json), indent=2))

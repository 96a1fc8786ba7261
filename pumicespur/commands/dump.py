"""Print the state dump of a process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.operators import OperatorClient


async def dump(client: OperatorClient, process: str) -> None:
    """Print the state dump of the manager itself, or of any process that it knows."""
    response = await client.dump(process)
    print(json.dumps(json.loads(response.json), indent=2))

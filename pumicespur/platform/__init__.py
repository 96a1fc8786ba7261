"""The platform: its table service, object store, instance list and orders.

Nothing outside this package knows how the platform is spoken to.
"""

from __future__ import annotations

from pumicespur.platform._client import PlatformClient
from pumicespur.platform._faults import AnswerLost, Conflict, Fault, Unavailable
from pumicespur.platform._rows import Condition, Listing, Row, Transaction, UsageListing, Write

__all__ = [
    "AnswerLost",
    "Condition",
    "Conflict",
    "Fault",
    "Listing",
    "PlatformClient",
    "Row",
    "Transaction",
    "Unavailable",
    "UsageListing",
    "Write",
]

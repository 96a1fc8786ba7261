"""Types of a platform's store: rows, conditions, transactions, listings and errors.

Two clients return them: `pumicespur.connect` for the project's own protocol, and
`pumicespur.platform` for the users' platform.
"""

from __future__ import annotations

from pumicespur.store._clock import StoreClock
from pumicespur.store._errors import (
    AnswerLost,
    Conflict,
    ConnectionBroken,
    Fault,
    HistoryGone,
    NeverDone,
    NotListening,
    Unavailable,
    describe_fault,
)
from pumicespur.store._latency import ResponseTimes
from pumicespur.store._outage import OutageTracker
from pumicespur.store._rows import (
    Condition,
    Listing,
    Page,
    Row,
    TableProgress,
    Transaction,
    UsageListing,
    Write,
)
from pumicespur.store._usage import StoreUse

__all__ = [
    "AnswerLost",
    "Condition",
    "Conflict",
    "ConnectionBroken",
    "Fault",
    "HistoryGone",
    "Listing",
    "NeverDone",
    "NotListening",
    "OutageTracker",
    "Page",
    "ResponseTimes",
    "Row",
    "StoreClock",
    "StoreUse",
    "TableProgress",
    "Transaction",
    "Unavailable",
    "UsageListing",
    "Write",
    "describe_fault",
]

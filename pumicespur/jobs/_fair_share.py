"""Which jobs go beyond their account's share, and so after those of the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import AccountId

MAX_BURST_S = 1.0
"""Time for which an account may be ahead of its rate: a share is so many jobs in each second."""

MAX_ACCOUNTS = 10_000
"""Accounts that are remembered; those of the largest deployment foreseen."""


class FairShareMeter:
    """Measures each account's jobs against its weight, in jobs a second, by the time they came.

    It is the generic cell rate algorithm (ITU-T I.371): for each account one time, that by which
    all jobs so far are due at its rate. It is not durable: a new owner measures what is open.
    """

    def __init__(self) -> None:
        self.due_ms: dict[AccountId, float] = {}

    def exceeds_share(self, account: AccountId, weight: float, accepted_ms: int) -> bool:
        """Count a job; return whether its account has had its share of that second.

        Without an account or a weight nothing goes beyond.
        """
        if not account or weight <= 0:
            return False
        each_ms = 1000 / weight
        due_ms = max(self.due_ms.get(account, 0.0), accepted_ms)
        if due_ms + each_ms - accepted_ms > MAX_BURST_S * 1000 + each_ms:
            return True
        self.due_ms.pop(account, None)
        self.due_ms[account] = due_ms + each_ms
        while len(self.due_ms) > MAX_ACCOUNTS:
            del self.due_ms[next(iter(self.due_ms))]
        return False

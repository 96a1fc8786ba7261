"""Fair shares of accounts: jobs beyond their account's share wait for those of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import AccountId

MAX_BURST_S = 1.0
"""Time by which an account may be ahead of its rate, since weights are in jobs per second."""

MAX_ACCOUNTS = 10_000
"""Accounts that are tracked; those of the largest expected deployment."""


class FairShareMeter:
    """Meters the rate of each account's submissions against its weight, in jobs per second.

    Uses the generic cell rate algorithm (ITU-T I.371): for each account, the time by which all
    its jobs so far are due at its rate. The state is not durable: a new owner starts from the
    unfinished jobs.
    """

    def __init__(self) -> None:
        self.due_ms: dict[AccountId, float] = {}

    def note_job(self, account: AccountId, weight: float, accepted_ms: int) -> bool:
        """Count a job; return whether it is beyond its account's share.

        Jobs without an account or a weight never are.
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

"""What a pool gives another of an account's limit: the part of each, and who goes first."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from pumicespur.jobs._account_usage import ResourceUsage
from pumicespur.jobs._ledger import WHOLE_LIMIT

if TYPE_CHECKING:
    from pumicespur.jobs._ledger import Ledger
    from pumicespur.model import PoolId
    from pumicespur.schema.jobs_pb import PartReport

UNUSED_RETENTION_S = 1.0
"""How long a pool keeps what an account used there at most: the jobs of a steady caller end and
begin within this time. Without it a part goes to and fro between two pools with each job."""


@dataclass(frozen=True)
class PeerAllotment:
    """What the owner of another pool told of an account's part there."""

    pool: PoolId
    report: PartReport

    def given_to(self, pool: PoolId) -> int:
        """Return how much it has ever given to a pool."""
        return next((t.given for t in self.report.transfers if t.pool == pool), 0)

    def taken_from(self, pool: PoolId) -> int:
        """Return how much it has ever taken from a pool."""
        return next((t.taken for t in self.report.transfers if t.pool == pool), 0)


class TransferRank(NamedTuple):
    """Where a pool stands among those that lack some of an account's limit; lower goes first.

    Who uses least does. But a task for which there will be no room before runs of other pools have
    ended keeps nobody waiting.
    """

    must_wait: bool
    used: int
    pool: PoolId


def transfer_rank(pool: PoolId, used: int, needed: int, used_elsewhere: int) -> TransferRank:
    """Return a pool's place, by what its next task needs and what all others use."""
    return TransferRank(needed + used_elsewhere > WHOLE_LIMIT, used, pool)


@dataclass(frozen=True)
class TransferRequest:
    """What a pool that lacks some of an account's limit asks of this one."""

    amount: int
    held: int
    """What it holds, with what is under way to it from here."""
    short: int
    """What it lacks for its next task."""
    rank: TransferRank


@dataclass
class Allotment:
    """One account in one pool: its part of the limit, and who waits for some of it."""

    ledger: Ledger
    withheld: int = 0
    """What is owed to other pools as soon as it is not in use."""
    blocked: ResourceUsage = field(default_factory=ResourceUsage)
    """Waiting tasks for which the workers have room and the part has none, in this round."""
    shortfall: int = 0
    """What the part would have to have more for these."""
    needed: int = 0
    """The part that the first of them needs to start."""
    used_elsewhere: int = 0
    """What other pools told that they use."""
    peak: int = 0
    """The most that was in use of late."""
    peak_at: float = float("-inf")
    confirmed_taken: dict[PoolId, int] = field(default_factory=dict)
    """What other pools told that they have taken from this one."""

    @property
    def available(self) -> int:
        """Return what may be in use here."""
        return self.ledger.allotment - self.withheld

    def note_used(self, share: int, now: float) -> None:
        """Remember the most that was in use."""
        if share >= self.peak or now - self.peak_at > UNUSED_RETENTION_S:
            self.peak, self.peak_at = share, now

    def retained(self, used: int, now: float) -> int:
        """Return what the pool keeps for itself while nothing is blocked here."""
        return max(used, self.peak) if now - self.peak_at <= UNUSED_RETENTION_S else used

    def has_unconfirmed_transfers(self) -> bool:
        """Whether another pool is not known to have taken all that it was given."""
        given = self.ledger.given.items()
        return any(amount > self.confirmed_taken.get(pool, 0) for pool, amount in given)


def make_transfer_request(
    allotment: Allotment, pool: PoolId, other: PeerAllotment, all_used: int
) -> TransferRequest:
    """Return what another pool lacks, apart from what is under way to it from this one."""
    report = other.report
    in_transit = allotment.ledger.given.get(other.pool, 0) - other.taken_from(pool)
    held = report.held + in_transit
    return TransferRequest(
        amount=report.lacking - in_transit,
        held=held,
        short=report.needed - held,
        rank=transfer_rank(other.pool, report.used, report.needed, all_used - report.used),
    )


def transfer_due(
    allotment: Allotment, request: TransferRequest, rank: TransferRank, used: int, now: float
) -> int:
    """Return what a pool that lacks is to get, now or as runs end here.

    What is neither used nor blocked here is free. Beyond that, both end with equal parts. But
    where each of several pools holds less than its next task needs, equal parts would let none
    start: the first in order gets, or keeps, what that task needs.
    """
    available = allotment.available
    if not allotment.shortfall:
        free = min(request.amount, max(0, available - allotment.retained(used, now)))
        ahead = available - free - (request.held + free)
        return free + min(request.amount - free, max(0, ahead // 2))
    equal = min(request.amount, max(0, (available - request.held) // 2))
    if rank < request.rank:
        return max(0, min(equal, available - allotment.needed))
    if allotment.needed > available and not request.rank.must_wait:
        return max(equal, min(request.short, available - used))
    return equal

"""Transfers of allotments between pools: how much a pool gives, and which pool comes first."""

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
"""Time for which a pool retains the highest recent usage of an account. The jobs of a steady caller
end and start within this time; without it, an allotment moves back and forth between two pools
with each job."""


@dataclass(frozen=True)
class PeerAllotment:
    """An account's allotment in another pool, as reported by the owner of that pool."""

    pool: PoolId
    report: PartReport

    def given_to(self, pool: PoolId) -> int:
        """Return the total that the reporting pool has given to a pool."""
        return next((t.given for t in self.report.transfers if t.pool == pool), 0)

    def taken_from(self, pool: PoolId) -> int:
        """Return the total that the reporting pool has taken from a pool."""
        return next((t.taken for t in self.report.transfers if t.pool == pool), 0)


class TransferRank(NamedTuple):
    """Rank of a pool among those with a shortfall of an account's limit; the lowest comes first.

    The pool with the lowest usage comes first. A pool whose next task can't start before runs of
    other pools have ended comes last, so that it does not make others wait.
    """

    must_wait: bool
    used: int
    pool: PoolId


def compute_rank(pool: PoolId, used: int, needed: int, used_elsewhere: int) -> TransferRank:
    """Return a pool's rank from the need of its next task and the usage of all other pools."""
    return TransferRank(needed + used_elsewhere > WHOLE_LIMIT, used, pool)


@dataclass(frozen=True)
class TransferRequest:
    """Request of a pool with a shortfall for a part of this pool's allotment."""

    amount: int
    held: int
    """Allotment of the requesting pool, including transfers in transit to it from this one."""
    next_task_shortfall: int
    """Shortfall of the requesting pool for its next task."""
    rank: TransferRank


@dataclass
class Allotment:
    """Allotment of an account's limit to one pool, and the demand for it here and elsewhere."""

    ledger: Ledger
    withheld: int = 0
    """Amount due to other pools as soon as it is no longer in use."""
    blocked: ResourceUsage = field(default_factory=ResourceUsage)
    """Waiting tasks of this round that fit on workers but exceed the allotment."""
    shortfall: int = 0
    """Additional allotment that the blocked tasks would need."""
    needed: int = 0
    """Allotment that the first blocked task needs to start."""
    used_elsewhere: int = 0
    """Usage reported by other pools."""
    peak: int = 0
    """Highest recent usage."""
    peak_at: float = float("-inf")
    confirmed_taken: dict[PoolId, int] = field(default_factory=dict)
    """Totals that other pools have reported as taken from this one."""

    @property
    def available(self) -> int:
        """Return the part of the allotment that may be used in this pool."""
        return self.ledger.allotment - self.withheld

    def note_used(self, share: int, now: float) -> None:
        """Update the highest recent usage."""
        if share >= self.peak or now - self.peak_at > UNUSED_RETENTION_S:
            self.peak, self.peak_at = share, now

    def retained(self, used: int, now: float) -> int:
        """Return what the pool retains for itself while no task is blocked."""
        return max(used, self.peak) if now - self.peak_at <= UNUSED_RETENTION_S else used

    def has_unconfirmed_transfers(self) -> bool:
        """Whether another pool has not yet confirmed that it took all it was given."""
        given = self.ledger.given.items()
        return any(amount > self.confirmed_taken.get(pool, 0) for pool, amount in given)


def make_transfer_request(
    allotment: Allotment, pool: PoolId, peer: PeerAllotment, all_used: int
) -> TransferRequest:
    """Return the request of another pool, less what is in transit to it from this one."""
    report = peer.report
    in_transit = allotment.ledger.given.get(peer.pool, 0) - peer.taken_from(pool)
    held = report.held + in_transit
    return TransferRequest(
        amount=report.lacking - in_transit,
        held=held,
        next_task_shortfall=report.needed - held,
        rank=compute_rank(peer.pool, report.used, report.needed, all_used - report.used),
    )


def compute_due_amount(
    allotment: Allotment, request: TransferRequest, rank: TransferRank, used: int, now: float
) -> int:
    """Return the amount due to a requesting pool, now or as runs end in this one.

    A pool without blocked tasks gives what it does not use. Beyond that, both pools get equal
    allotments. If several pools hold less than their next task needs, equal allotments would let
    none of these tasks start, so the pool ranked first gets, or keeps, what its task needs.
    """
    available = allotment.available
    if not allotment.shortfall:
        unused = min(request.amount, max(0, available - allotment.retained(used, now)))
        surplus = available - unused - (request.held + unused)
        return unused + min(request.amount - unused, max(0, surplus // 2))
    equal_share = min(request.amount, max(0, (available - request.held) // 2))
    if rank < request.rank:
        return max(0, min(equal_share, available - allotment.needed))
    if allotment.needed > available and not request.rank.must_wait:
        return max(equal_share, min(request.next_task_shortfall, available - used))
    return equal_share

"""What a pool gives another of an account's limit: the part of each, and who goes first."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from pumicespur.jobs._account_use import Use
from pumicespur.jobs._ledger import WHOLE

if TYPE_CHECKING:
    from pumicespur.jobs._ledger import Ledger
    from pumicespur.model import PoolId
    from pumicespur.schema.jobs_pb import PartReport

KEEP_S = 1.0
"""How long a pool keeps what an account used there at most: the jobs of a steady caller end and
begin within this time. Without it a part goes to and fro between two pools with each job."""


@dataclass(frozen=True)
class OtherPart:
    """What the owner of another pool told of an account's part there."""

    pool: PoolId
    report: PartReport

    def given_to(self, pool: PoolId) -> int:
        """Return how much it has ever given to a pool."""
        return next((t.given for t in self.report.transfers if t.pool == pool), 0)

    def taken_from(self, pool: PoolId) -> int:
        """Return how much it has ever taken from a pool."""
        return next((t.taken for t in self.report.transfers if t.pool == pool), 0)


class Place(NamedTuple):
    """Where a pool stands among those that lack some of an account's limit; lower goes first.

    Who uses least does. But a task for which there will be no room before runs of other pools have
    ended keeps nobody waiting.
    """

    hopeless: bool
    used: int
    pool: PoolId


def place_of(pool: PoolId, used: int, needed: int, used_elsewhere: int) -> Place:
    """Return a pool's place, by what its next task needs and what all others use."""
    return Place(needed + used_elsewhere > WHOLE, used, pool)


@dataclass(frozen=True)
class Wish:
    """What a pool that lacks some of an account's limit asks of this one."""

    amount: int
    held: int
    """What it holds, with what is under way to it from here."""
    short: int
    """What it lacks for its next task."""
    place: Place


@dataclass
class AccountPart:
    """One account in one pool: its part of the limit, and who waits for some of it."""

    ledger: Ledger
    withheld: int = 0
    """What is owed to other pools as soon as it is not in use."""
    blocked: Use = field(default_factory=Use)
    """Waiting tasks for which the workers have room and the part has none, in this round."""
    lacking: int = 0
    """What the part would have to have more for these."""
    needed: int = 0
    """The part that the first of them needs to start."""
    used_elsewhere: int = 0
    """What other pools told that they use."""
    peak: int = 0
    """The most that was in use of late."""
    peak_at: float = float("-inf")
    seen_taken: dict[PoolId, int] = field(default_factory=dict)
    """What other pools told that they have taken from this one."""

    @property
    def available(self) -> int:
        """Return what may be in use here."""
        return self.ledger.part - self.withheld

    def note_used(self, share: int, now: float) -> None:
        """Remember the most that was in use."""
        if share >= self.peak or now - self.peak_at > KEEP_S:
            self.peak, self.peak_at = share, now

    def kept(self, used: int, now: float) -> int:
        """Return what the pool keeps for itself while nothing is blocked here."""
        return max(used, self.peak) if now - self.peak_at <= KEEP_S else used

    def unsettled(self) -> bool:
        """Whether another pool is not known to have taken all that it was given."""
        given = self.ledger.given.items()
        return any(amount > self.seen_taken.get(pool, 0) for pool, amount in given)


def make_wish(part: AccountPart, me: PoolId, other: OtherPart, all_used: int) -> Wish:
    """Return what another pool lacks, apart from what is under way to it from this one."""
    report = other.report
    under_way = part.ledger.given.get(other.pool, 0) - other.taken_from(me)
    held = report.held + under_way
    return Wish(
        amount=report.lacking - under_way,
        held=held,
        short=report.needed - held,
        place=place_of(other.pool, report.used, report.needed, all_used - report.used),
    )


def owed(part: AccountPart, wish: Wish, place: Place, used: int, now: float) -> int:
    """Return what a pool that lacks is to get, now or as runs end here.

    What is neither used nor blocked here is free. Beyond that, both end with equal parts. But
    where each of several pools holds less than its next task needs, equal parts would let none
    start: the first in order gets, or keeps, what that task needs.
    """
    available = part.available
    if not part.lacking:
        free = min(wish.amount, max(0, available - part.kept(used, now)))
        ahead = available - free - (wish.held + free)
        return free + min(wish.amount - free, max(0, ahead // 2))
    equal = min(wish.amount, max(0, (available - wish.held) // 2))
    if place < wish.place:
        return max(0, min(equal, available - part.needed))
    if part.needed > available and not wish.place.hopeless:
        return max(equal, min(wish.short, available - used))
    return equal

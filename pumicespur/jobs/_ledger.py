"""One account's limit, divided over pools: the part of each pool and how parts change hands.

Each pool holds a part of the limit and starts tasks up to it without asking anybody. A part moves
by giving first and taking after: the giver records how much it has ever given to the other pool,
then the other one records how much of that it has ever taken. Both figures only rise and each has
one writer, so that a message may be lost, repeated or late, and the parts that pools hold never
add up to more than the whole. This is escrow (O'Neil, "The Escrow Transactional Method", ACM TODS
11(4), 1986) in the form of the bounded counter (Balegas et al., "Extending Eventually Consistent
Cloud Databases for Enforcing Numeric Invariants", SRDS 2015).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import PoolId
from pumicespur.schema.jobs_pb import PartRecord, PartTransfer

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.model import AccountId

WHOLE_LIMIT = 1_000_000
"""A whole limit. Parts are shares, so that a limit that rises or falls does so in all pools at
once, each by its newest configuration, and no part has to be divided anew."""


def founding_allotment(pool: PoolId, founders: Sequence[PoolId]) -> int:
    """Return what a pool holds of every account's limit before any part changed hands."""
    if pool not in founders:
        return 0
    rest = WHOLE_LIMIT % len(founders) if pool == min(founders) else 0
    return WHOLE_LIMIT // len(founders) + rest


@dataclass
class Ledger:
    """What a pool ever gave to others, and took from them, of one account's limit."""

    account: AccountId
    founding: int
    given: dict[PoolId, int] = field(default_factory=dict)
    taken: dict[PoolId, int] = field(default_factory=dict)
    recorded_given: dict[PoolId, int] = field(default_factory=dict)
    """What the others may take: gifts that are known to be recorded."""

    @property
    def allotment(self) -> int:
        """Return the part that the pool holds."""
        return self.founding + sum(self.taken.values()) - sum(self.given.values())

    def give(self, pool: PoolId, amount: int) -> None:
        """Let another pool have some of the part; it may take it once this is recorded."""
        assert 0 < amount <= self.allotment
        self.given[pool] = self.given.get(pool, 0) + amount

    def take(self, pool: PoolId, ever_given: int) -> bool:
        """Take what another pool has recorded as given; return whether there was anything new."""
        if ever_given <= self.taken.get(pool, 0):
            return False
        self.taken[pool] = ever_given
        return True

    def note_recorded(self, record: PartRecord) -> None:
        """Note that a record of this ledger is in the store."""
        for transfer in record.transfers:
            if transfer.given:
                self.recorded_given[PoolId(transfer.pool)] = transfer.given

    def record(self) -> PartRecord:
        """Write the ledger."""
        pools = sorted({*self.given, *self.taken})
        return PartRecord(
            account=self.account,
            transfers=[
                PartTransfer(pool=p, given=self.given.get(p, 0), taken=self.taken.get(p, 0))
                for p in pools
            ],
        )

    def restore(self, record: PartRecord) -> None:
        """Take over what an earlier owner of the pool recorded."""
        for transfer in record.transfers:
            pool = PoolId(transfer.pool)
            if transfer.given:
                self.given[pool] = self.recorded_given[pool] = transfer.given
            if transfer.taken:
                self.taken[pool] = transfer.taken

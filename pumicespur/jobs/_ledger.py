"""Ledger of one account's limit, which is divided between pools into allotments.

Each pool starts tasks up to its allotment without coordination. A transfer takes two steps: the
giver records the total that it has given to the other pool, then the taker records the total that
it has taken from the giver. Both totals only grow and have a single writer each. Messages can thus
be lost, repeated or late, and the allotments never add up to more than the whole limit. This is
escrow (O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986) in the form of the bounded
counter (Balegas et al., "Extending Eventually Consistent Cloud Databases for Enforcing Numeric
Invariants", SRDS 2015).
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
"""A whole limit, in the unit of allotments and usage: millionths of the limit. As allotments are
shares, a change of the limit takes effect in each pool with the new configuration, without dividing
the limit again."""


def compute_founding_allotment(pool: PoolId, founders: Sequence[PoolId]) -> int:
    """Return a pool's initial allotment of every account's limit, before any transfer."""
    if pool not in founders:
        return 0
    rest = WHOLE_LIMIT % len(founders) if pool == min(founders) else 0
    return WHOLE_LIMIT // len(founders) + rest


@dataclass
class Ledger:
    """Totals of one account's limit that a pool has given to and taken from others."""

    account: AccountId
    founding: int
    given: dict[PoolId, int] = field(default_factory=dict)
    taken: dict[PoolId, int] = field(default_factory=dict)
    recorded_given: dict[PoolId, int] = field(default_factory=dict)
    """Given totals that are recorded; only these may be taken by the other pools."""

    @property
    def allotment(self) -> int:
        """Return the pool's current allotment."""
        return self.founding + sum(self.taken.values()) - sum(self.given.values())

    def give(self, pool: PoolId, amount: int) -> None:
        """Give part of the allotment to another pool, which may take it once this is recorded."""
        assert 0 < amount <= self.allotment
        self.given[pool] = self.given.get(pool, 0) + amount

    def take(self, pool: PoolId, ever_given: int) -> bool:
        """Take what another pool has given in total; return whether any of it is new."""
        if ever_given <= self.taken.get(pool, 0):
            return False
        self.taken[pool] = ever_given
        return True

    def note_recorded(self, record: PartRecord) -> None:
        """Note that a record of this ledger is stored."""
        for transfer in record.transfers:
            if transfer.given:
                self.recorded_given[PoolId(transfer.pool)] = transfer.given

    def record(self) -> PartRecord:
        """Return the ledger as a record."""
        pools = sorted({*self.given, *self.taken})
        return PartRecord(
            account=self.account,
            transfers=[
                PartTransfer(pool=p, given=self.given.get(p, 0), taken=self.taken.get(p, 0))
                for p in pools
            ],
        )

    def restore(self, record: PartRecord) -> None:
        """Restore the ledger recorded by an earlier owner of the pool."""
        for transfer in record.transfers:
            pool = PoolId(transfer.pool)
            if transfer.given:
                self.given[pool] = self.recorded_given[pool] = transfer.given
            if transfer.taken:
                self.taken[pool] = transfer.taken

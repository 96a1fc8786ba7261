"""Whether an account's next task may start in a pool, and the pool's parts of all limits.

Decisions only: nothing here waits, reads or writes. The owner of a pool asks before each
placement, records what changed with its next commit, and tells the other owners what it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._account_usage import AccountUsage, ResourceUsage
from pumicespur.jobs._ledger import WHOLE_LIMIT, Ledger, founding_allotment
from pumicespur.jobs._limit_transfers import (
    Allotment,
    PeerAllotment,
    make_transfer_request,
    transfer_due,
    transfer_rank,
)
from pumicespur.model import AccountId, Capacity, PoolId
from pumicespur.schema.jobs_pb import PartReport, PartTransfer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pumicespur.model import ClientAccount
    from pumicespur.schema.jobs_pb import PartRecord, StepRecord

MIN_TRANSFER = WHOLE_LIMIT // 100
"""Smallest gift, unless it is all that is lacking or lets a task start; each costs two writes."""

MAX_REPORTED_ACCOUNTS = 200
"""Accounts in one report: some 60 bytes each, so that it stays far below a row's 64 KB."""

UNLIMITED = Capacity(0, 0)


@dataclass
class PoolLimits:
    """The limits of all accounts in one pool; without other pools it holds them whole."""

    pool: PoolId
    usage: AccountUsage = field(default_factory=AccountUsage)
    accounts: Mapping[AccountId, ClientAccount] = field(default_factory=dict)
    founders: Sequence[PoolId] = ()
    allotments: dict[AccountId, Allotment] = field(default_factory=dict)
    known_limits: dict[AccountId, Capacity] = field(default_factory=dict)
    """Limits of accounts that the operators have dropped while their jobs were there."""
    changed: dict[AccountId, None] = field(default_factory=dict)
    """Accounts whose ledger is to be recorded, oldest first."""
    stale: bool = False
    """Another configuration has been in force elsewhere for too long for its limits to be passed
    over, and is not known here."""
    blocked_accounts: set[AccountId] = field(default_factory=set)
    awaited_accounts: set[AccountId] = field(default_factory=set)
    """Accounts of which another pool waits to hear what was taken from it, or what is used."""
    unconfirmed: set[AccountId] = field(default_factory=set)
    withheld_accounts: set[AccountId] = field(default_factory=set)

    def set_accounts(self, accounts: Mapping[AccountId, ClientAccount]) -> None:
        """Judge by another configuration from now on."""
        if accounts is self.accounts:
            return
        for name, account in self.accounts.items():
            if name not in accounts:
                self.known_limits[name] = account.limit
        self.accounts = accounts

    def set_founders(self, founders: Sequence[PoolId]) -> None:
        """Learn which pools held equal parts at first."""
        self.founders = founders

    def restore(self, records: Iterable[PartRecord]) -> None:
        """Take over what earlier owners of the pool recorded."""
        for record in records:
            account = AccountId(record.account)
            allotment = self.allotment_of(account)
            allotment.ledger.restore(record)
            self._update_unconfirmed(account, allotment)

    def limit_of(self, account: AccountId) -> Capacity:
        """Return an account's limit; one that is declared no more keeps its last one."""
        declared = self.accounts.get(account)
        return declared.limit if declared else self.known_limits.get(account, UNLIMITED)

    def allotment_of(self, account: AccountId) -> Allotment:
        """Return an account's part here."""
        allotment = self.allotments.get(account)
        if allotment is None:
            founding = (
                founding_allotment(self.pool, self.founders) if self.founders else WHOLE_LIMIT
            )
            allotment = self.allotments[account] = Allotment(Ledger(account, founding))
        return allotment

    def begin_round(self) -> None:
        """Forget which tasks were blocked."""
        for account in self.blocked_accounts:
            allotment = self.allotments[account]
            allotment.blocked, allotment.shortfall, allotment.needed = ResourceUsage(), 0, 0
        self.blocked_accounts.clear()

    def allows(self, account: AccountId, task: StepRecord, now: float, count: int = 1) -> bool:
        """Whether one more task of an account may start here, or several together."""
        if not account:
            return True
        limit = self.limit_of(account)
        if limit == UNLIMITED:
            return True
        if self.stale:
            return False
        allotment = self.allotment_of(account)
        used = self.usage.of(account)
        share = used.share_of(limit, task, count)
        # A task that is larger than the whole limit runs alone: it could never start otherwise.
        alone = not used.tasks and allotment.available >= WHOLE_LIMIT
        if share > allotment.available and not alone:
            return False
        allotment.note_used(share, now)
        return True

    def fits_allotment(self, account: AccountId) -> bool:
        """Whether what is counted of an account fits its part, which may have shrunk since."""
        limit = self.limit_of(account)
        if not account or limit == UNLIMITED:
            return True
        used = self.usage.of(account)
        fits = used.share_of(limit) <= self.allotment_of(account).available or used.tasks <= 1
        return fits and not self.stale

    def note_blocked(
        self, account: AccountId, task: StepRecord, count: int, batch_size: int = 1
    ) -> None:
        """Note tasks that could start on the workers but for the part, so many at once."""
        limit = self.limit_of(account)
        allotment = self.allotment_of(account)
        used = self.usage.of(account)
        self.blocked_accounts.add(account)
        if not allotment.needed or allotment.needed + allotment.used_elsewhere > WHOLE_LIMIT:
            # The first task for which there can be room now; before runs end, others can't start.
            needed = used.share_of(limit, task, batch_size)
            allotment.needed = needed if used.tasks else min(WHOLE_LIMIT, needed)
        allotment.blocked.add(task, count)
        wanted = used.share_of(limit) + allotment.blocked.share_of(limit)
        allotment.shortfall = max(0, min(WHOLE_LIMIT, wanted) - allotment.available)

    def apply_reports(
        self, others: Mapping[AccountId, Sequence[PeerAllotment]], now: float
    ) -> bool:
        """Take what other pools gave, and give to those that lack; return whether parts moved."""
        before = len(self.changed)
        self.awaited_accounts = set()
        for account, peers in others.items():
            allotment = self.allotment_of(account)
            for other in peers:
                ever_given = other.given_to(self.pool)
                if ever_given or other.report.lacking > 0:
                    self.awaited_accounts.add(account)
                if allotment.ledger.take(other.pool, ever_given):
                    self.changed[account] = None
                seen = max(
                    allotment.confirmed_taken.get(other.pool, 0), other.taken_from(self.pool)
                )
                allotment.confirmed_taken[other.pool] = seen
            self._decide_transfers(account, allotment, peers, now)
            self._update_unconfirmed(account, allotment)
        for account in self.withheld_accounts - others.keys():
            self.allotments[account].withheld = 0
        self.withheld_accounts = {
            account for account in others if self.allotments[account].withheld
        }
        return len(self.changed) > before

    def _decide_transfers(
        self, account: AccountId, allotment: Allotment, peers: Sequence[PeerAllotment], now: float
    ) -> None:
        """Decide what each pool that lacks gets, the one that holds least first."""
        allotment.withheld = 0
        used = self.usage.of(account).share_of(self.limit_of(account))
        allotment.used_elsewhere = sum(other.report.used for other in peers)
        all_used = used + allotment.used_elsewhere
        rank = transfer_rank(self.pool, used, allotment.needed, allotment.used_elsewhere)
        short_peers = [other for other in peers if other.report.lacking > 0]
        for other in sorted(short_peers, key=lambda other: (other.report.held, other.pool)):
            request = make_transfer_request(allotment, self.pool, other, all_used)
            if request.amount <= 0:
                continue
            due = transfer_due(allotment, request, rank, used, now)
            amount = min(due, max(0, allotment.available - used))
            allotment.withheld += due - amount
            if amount >= min(request.amount, MIN_TRANSFER) or amount >= request.short > 0:
                allotment.ledger.give(other.pool, amount)
                self.changed[account] = None

    def _update_unconfirmed(self, account: AccountId, allotment: Allotment) -> None:
        if allotment.has_unconfirmed_transfers():
            self.unconfirmed.add(account)
        else:
            self.unconfirmed.discard(account)

    def reports(self) -> list[PartReport]:
        """Tell the other owners what is lacking here and what changed hands."""
        blocked = sorted(self.blocked_accounts)
        others = sorted((self.awaited_accounts | self.unconfirmed) - self.blocked_accounts)
        return [self._report(account) for account in [*blocked, *others][:MAX_REPORTED_ACCOUNTS]]

    def _report(self, account: AccountId) -> PartReport:
        allotment = self.allotment_of(account)
        ledger = allotment.ledger
        pools = sorted({*ledger.recorded_given, *ledger.taken})
        return PartReport(
            account=account,
            held=ledger.allotment,
            used=self.usage.of(account).share_of(self.limit_of(account)),
            lacking=allotment.shortfall,
            needed=allotment.needed,
            transfers=[
                PartTransfer(
                    pool=pool,
                    given=ledger.recorded_given.get(pool, 0),
                    taken=ledger.taken.get(pool, 0),
                )
                for pool in pools
            ],
        )

    def take_changed(self, count: int) -> list[PartRecord]:
        """Return ledgers to be recorded, at most so many; they are forgotten here."""
        chosen = list(self.changed)[:count]
        for account in chosen:
            del self.changed[account]
        return [self.allotment_of(account).ledger.record() for account in chosen]

    def note_recorded(self, records: Iterable[PartRecord]) -> bool:
        """Note that ledgers are in the store; return whether other owners are to hear of it."""
        has_news = False
        for record in records:
            account = AccountId(record.account)
            allotment = self.allotment_of(account)
            allotment.ledger.note_recorded(record)
            self._update_unconfirmed(account, allotment)
            has_news = has_news or account in self.unconfirmed or account in self.awaited_accounts
        return has_news

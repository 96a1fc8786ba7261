"""Whether an account's next task may start in a pool, and the pool's parts of all limits.

Decisions only: nothing here waits, reads or writes. The owner of a pool asks before each
placement, records what changed with its next commit, and tells the other owners what it lacks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._account_use import AccountUse, Use
from pumicespur.jobs._gifts import AccountPart, OtherPart, make_wish, owed, place_of
from pumicespur.jobs._ledger import WHOLE, Ledger, founding_part
from pumicespur.model import AccountId, Capacity, PoolId
from pumicespur.schema.jobs_pb import PartReport, PartTransfer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pumicespur.model import ClientAccount
    from pumicespur.schema.jobs_pb import PartRecord, StepRecord

LEAST_GIFT = WHOLE // 100
"""Smallest gift, unless it is all that is lacking or lets a task start; each costs two writes."""

REPORTED_ACCOUNTS = 200
"""Accounts in one report: some 60 bytes each, so that it stays far below a row's 64 KB."""

UNLIMITED = Capacity(0, 0)


@dataclass
class PoolLimits:
    """The limits of all accounts in one pool; without other pools it holds them whole."""

    pool: PoolId
    use: AccountUse = field(default_factory=AccountUse)
    accounts: Mapping[AccountId, ClientAccount] = field(default_factory=dict)
    founders: Sequence[PoolId] = ()
    parts: dict[AccountId, AccountPart] = field(default_factory=dict)
    known_limits: dict[AccountId, Capacity] = field(default_factory=dict)
    """Limits of accounts that the operators have dropped while their jobs were there."""
    changed: dict[AccountId, None] = field(default_factory=dict)
    """Accounts whose ledger is to be recorded, oldest first."""
    doubtful: bool = False
    """Another configuration has been in force elsewhere for too long for its limits to be passed
    over, and is not known here."""
    lacking: set[AccountId] = field(default_factory=set)
    asked: set[AccountId] = field(default_factory=set)
    """Accounts of which another pool waits to hear what was taken from it, or what is used."""
    unsettled: set[AccountId] = field(default_factory=set)
    withholding: set[AccountId] = field(default_factory=set)

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
            part = self.part_of(account)
            part.ledger.restore(record)
            self._note_settled(account, part)

    def limit_of(self, account: AccountId) -> Capacity:
        """Return an account's limit; one that is declared no more keeps its last one."""
        declared = self.accounts.get(account)
        return declared.limit if declared else self.known_limits.get(account, UNLIMITED)

    def part_of(self, account: AccountId) -> AccountPart:
        """Return an account's part here."""
        part = self.parts.get(account)
        if part is None:
            founding = founding_part(self.pool, self.founders) if self.founders else WHOLE
            part = self.parts[account] = AccountPart(Ledger(account, founding))
        return part

    def begin_round(self) -> None:
        """Forget which tasks were blocked."""
        for account in self.lacking:
            part = self.parts[account]
            part.blocked, part.lacking, part.needed = Use(), 0, 0
        self.lacking.clear()

    def allows(self, account: AccountId, task: StepRecord, now: float, count: int = 1) -> bool:
        """Whether one more task of an account may start here, or several together."""
        if not account:
            return True
        limit = self.limit_of(account)
        if limit == UNLIMITED:
            return True
        if self.doubtful:
            return False
        part = self.part_of(account)
        used = self.use.of(account)
        share = used.share_of(limit, task, count)
        # A task that is larger than the whole limit runs alone: it could never start otherwise.
        alone = not used.tasks and part.available >= WHOLE
        if share > part.available and not alone:
            return False
        part.note_used(share, now)
        return True

    def within(self, account: AccountId) -> bool:
        """Whether what is counted of an account fits its part, which may have shrunk since."""
        limit = self.limit_of(account)
        if not account or limit == UNLIMITED:
            return True
        used = self.use.of(account)
        fits = used.share_of(limit) <= self.part_of(account).available or used.tasks <= 1
        return fits and not self.doubtful

    def note_blocked(
        self, account: AccountId, task: StepRecord, count: int, together: int = 1
    ) -> None:
        """Note tasks that could start on the workers but for the part, so many at once."""
        limit = self.limit_of(account)
        part = self.part_of(account)
        used = self.use.of(account)
        self.lacking.add(account)
        if not part.needed or part.needed + part.used_elsewhere > WHOLE:
            # The first task for which there can be room now; before runs end, others can't start.
            needed = used.share_of(limit, task, together)
            part.needed = needed if used.tasks else min(WHOLE, needed)
        part.blocked.add(task, count)
        wanted = used.share_of(limit) + part.blocked.share_of(limit)
        part.lacking = max(0, min(WHOLE, wanted) - part.available)

    def hear(self, others: Mapping[AccountId, Sequence[OtherPart]], now: float) -> bool:
        """Take what other pools gave, and give to those that lack; return whether parts moved."""
        before = len(self.changed)
        self.asked = set()
        for account, told in others.items():
            part = self.part_of(account)
            for other in told:
                ever_given = other.given_to(self.pool)
                if ever_given or other.report.lacking > 0:
                    self.asked.add(account)
                if part.ledger.take(other.pool, ever_given):
                    self.changed[account] = None
                seen = max(part.seen_taken.get(other.pool, 0), other.taken_from(self.pool))
                part.seen_taken[other.pool] = seen
            self._give(account, part, told, now)
            self._note_settled(account, part)
        for account in self.withholding - others.keys():
            self.parts[account].withheld = 0
        self.withholding = {account for account in others if self.parts[account].withheld}
        return len(self.changed) > before

    def _give(
        self, account: AccountId, part: AccountPart, told: Sequence[OtherPart], now: float
    ) -> None:
        """Decide what each pool that lacks gets, the one that holds least first."""
        part.withheld = 0
        used = self.use.of(account).share_of(self.limit_of(account))
        part.used_elsewhere = sum(other.report.used for other in told)
        all_used = used + part.used_elsewhere
        place = place_of(self.pool, used, part.needed, part.used_elsewhere)
        lacking = [other for other in told if other.report.lacking > 0]
        for other in sorted(lacking, key=lambda other: (other.report.held, other.pool)):
            wish = make_wish(part, self.pool, other, all_used)
            if wish.amount <= 0:
                continue
            due = owed(part, wish, place, used, now)
            gift = min(due, max(0, part.available - used))
            part.withheld += due - gift
            if gift >= min(wish.amount, LEAST_GIFT) or gift >= wish.short > 0:
                part.ledger.give(other.pool, gift)
                self.changed[account] = None

    def _note_settled(self, account: AccountId, part: AccountPart) -> None:
        if part.unsettled():
            self.unsettled.add(account)
        else:
            self.unsettled.discard(account)

    def reports(self) -> list[PartReport]:
        """Tell the other owners what is lacking here and what changed hands."""
        lacking = sorted(self.lacking)
        others = sorted((self.asked | self.unsettled) - self.lacking)
        return [self._report(account) for account in [*lacking, *others][:REPORTED_ACCOUNTS]]

    def _report(self, account: AccountId) -> PartReport:
        part = self.part_of(account)
        ledger = part.ledger
        pools = sorted({*ledger.recorded_given, *ledger.taken})
        return PartReport(
            account=account,
            held=ledger.part,
            used=self.use.of(account).share_of(self.limit_of(account)),
            lacking=part.lacking,
            needed=part.needed,
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
        return [self.part_of(account).ledger.record() for account in chosen]

    def note_recorded(self, records: Iterable[PartRecord]) -> bool:
        """Note that ledgers are in the store; return whether other owners are to hear of it."""
        news = False
        for record in records:
            account = AccountId(record.account)
            part = self.part_of(account)
            part.ledger.note_recorded(record)
            self._note_settled(account, part)
            news = news or account in self.unsettled or account in self.asked
        return news

"""Account limits in one pool: whether a task may start, and the pool's allotment of each limit.

Pure decisions without I/O. The owner of a pool checks them before each placement, records changed
ledgers with its next commit, and reports shortfalls to the owners of other pools.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.jobs._account_usage import AccountUsage, ResourceUsage
from pumicespur.jobs._ledger import WHOLE_LIMIT, Ledger, compute_founding_allotment
from pumicespur.jobs._limit_transfers import (
    Allotment,
    PeerAllotment,
    compute_due_amount,
    compute_rank,
    make_transfer_request,
)
from pumicespur.model import AccountId, Capacity, PoolId
from pumicespur.schema.jobs_pb import PartReport, PartTransfer

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from pumicespur.model import ClientAccount
    from pumicespur.schema.jobs_pb import LimitRecord, PartRecord, StepRecord

MIN_TRANSFER = WHOLE_LIMIT // 100
"""Smallest transfer, unless it covers the whole request or lets a task start; each one costs two
writes."""

MAX_REPORTED_ACCOUNTS = 200
"""Maximum number of accounts in a report."""

MAX_REPORTED_BYTES = 16_000
"""Maximum size of the accounts in a report, which shares a row of 64 KB with the workers. An
account takes 30 bytes, and 25 for each pool with which it has transfers."""

UNLIMITED = Capacity(0, 0)


@dataclass
class PoolLimits:
    """Limits of all accounts in one pool; without other pools it holds the whole limits."""

    pool: PoolId
    usage: AccountUsage = field(default_factory=AccountUsage)
    accounts: Mapping[AccountId, ClientAccount] = field(default_factory=dict)
    founders: Sequence[PoolId] = ()
    allotments: dict[AccountId, Allotment] = field(default_factory=dict)
    removed_limits: dict[AccountId, Capacity] = field(default_factory=dict)
    """Last limits of accounts whose removal from the configuration this process has seen."""
    accepted_limits: dict[AccountId, Capacity] = field(default_factory=dict)
    """Limits that accounts had when the newest of their known jobs was accepted."""
    changed: dict[AccountId, None] = field(default_factory=dict)
    """Accounts whose ledger has to be recorded, oldest first."""
    stale: bool = False
    """A newer configuration, not known here, has been in force elsewhere for so long that its
    limits must be observed."""
    blocked_accounts: set[AccountId] = field(default_factory=set)
    """Accounts with tasks that were blocked by their limit in this round."""
    awaited_accounts: set[AccountId] = field(default_factory=set)
    """Accounts whose report another pool waits for: to learn the usage here, or that a transfer was
    taken."""
    unconfirmed_accounts: set[AccountId] = field(default_factory=set)
    """Accounts with transfers that another pool is not known to have taken."""
    last_reported: AccountId | None = None
    """Last account of the last report if that had no room for all."""
    withheld_accounts: set[AccountId] = field(default_factory=set)
    """Accounts with a part of the allotment withheld for other pools."""

    def set_accounts(self, accounts: Mapping[AccountId, ClientAccount]) -> None:
        """Apply the accounts of a configuration."""
        if accounts is self.accounts:
            return
        for name, account in self.accounts.items():
            if name not in accounts:
                self.removed_limits[name] = account.limit
        self.accounts = accounts

    def set_founders(self, founders: Sequence[PoolId]) -> None:
        """Set the pools that initially hold equal allotments."""
        self.founders = founders

    def restore(self, records: Iterable[PartRecord]) -> None:
        """Restore the ledgers recorded by earlier owners of the pool."""
        for record in records:
            account = AccountId(record.account)
            allotment = self.allotment_of(account)
            allotment.ledger.restore(record)
            self._update_unconfirmed(account, allotment)

    def limit_of(self, account: AccountId) -> Capacity:
        """Return an account's limit.

        One that the configuration lacks, since it was removed or is not known here yet, has its
        last known limit.
        """
        declared = self.accounts.get(account)
        if declared is not None:
            return declared.limit
        accepted = self.accepted_limits.get(account, UNLIMITED)
        return self.removed_limits.get(account, accepted)

    def note_accepted(self, account: AccountId, limit: LimitRecord | None) -> None:
        """Note the limit that an account had when a job was accepted; the newest job comes last."""
        if limit is None:
            self.accepted_limits.pop(account, None)
            return
        self.accepted_limits[account] = Capacity(
            limit.cpu_millis, limit.memory_mb, limit.accelerators
        )

    def allotment_of(self, account: AccountId) -> Allotment:
        """Return an account's allotment in this pool."""
        allotment = self.allotments.get(account)
        if allotment is None:
            founding = (
                compute_founding_allotment(self.pool, self.founders)
                if self.founders
                else WHOLE_LIMIT
            )
            allotment = self.allotments[account] = Allotment(Ledger(account, founding))
        return allotment

    def begin_round(self) -> None:
        """Clear the blocked tasks of the previous placement round."""
        for account in self.blocked_accounts:
            allotment = self.allotments[account]
            allotment.blocked, allotment.shortfall, allotment.needed = ResourceUsage(), 0, 0
        self.blocked_accounts.clear()

    def allows(self, account: AccountId, task: StepRecord, now: float, count: int = 1) -> bool:
        """Whether a task of an account may start in this pool, or `count` of them at once."""
        limit = self.limit_of(account) if account else UNLIMITED
        if limit == UNLIMITED:
            return True
        allotment = self.allotment_of(account)
        # A task that is larger than the whole limit may run alone; it could never start otherwise.
        alone = not self.usage.of(account).tasks and allotment.available >= WHOLE_LIMIT
        if self.stale or not (alone or self.fits_together(account, task, count)):
            return False
        allotment.note_used(self.usage.of(account).share_of(limit, task, count), now)
        return True

    def fits_together(self, account: AccountId, task: StepRecord, count: int) -> bool:
        """Whether an account's allotment has room for `count` more tasks at once."""
        limit = self.limit_of(account) if account else UNLIMITED
        if limit == UNLIMITED:
            return True
        share = self.usage.of(account).share_of(limit, task, count)
        return not self.stale and share <= self.allotment_of(account).available

    def fits_allotment(self, account: AccountId) -> bool:
        """Whether an account's usage fits its allotment, which may have shrunk meanwhile."""
        limit = self.limit_of(account)
        if not account or limit == UNLIMITED:
            return True
        used = self.usage.of(account)
        fits = used.share_of(limit) <= self.allotment_of(account).available or used.tasks <= 1
        return fits and not self.stale

    def count_fitting(self, account: AccountId, task: StepRecord, count: int) -> int:
        """Return how many of `count` more tasks fit an account's limit; one runs alone at least."""
        limit = self.limit_of(account) if account else UNLIMITED
        if limit == UNLIMITED:
            return count
        used = self.usage.of(account)
        return max(used.count_fitting(limit, task, count), 0 if used.tasks else 1)

    def note_blocked(
        self, account: AccountId, task: StepRecord, count: int, batch_size: int = 1
    ) -> None:
        """Note tasks that fit on workers but exceed the allotment; `batch_size` start at once."""
        limit = self.limit_of(account)
        allotment = self.allotment_of(account)
        used = self.usage.of(account)
        self.blocked_accounts.add(account)
        if not allotment.needed or allotment.needed + allotment.used_elsewhere > WHOLE_LIMIT:
            # Counts the first task that a transfer can help. A task that does not fit beside the
            # usage of other pools can't start before runs there have ended.
            needed = used.share_of(limit, task, batch_size)
            allotment.needed = needed if used.tasks else min(WHOLE_LIMIT, needed)
        allotment.blocked.add(task, count)
        wanted = used.share_of(limit) + allotment.blocked.share_of(limit)
        allotment.shortfall = max(0, min(WHOLE_LIMIT, wanted) - allotment.available)

    def apply_reports(
        self, peer_allotments: Mapping[AccountId, Sequence[PeerAllotment]], now: float
    ) -> bool:
        """Take transfers from other pools and give to those with a shortfall.

        Returns whether allotments changed.
        """
        before = len(self.changed)
        self.awaited_accounts = set()
        for account, peers in peer_allotments.items():
            allotment = self.allotment_of(account)
            for peer in peers:
                ever_given = peer.given_to(self.pool)
                if ever_given or peer.report.lacking > 0:
                    self.awaited_accounts.add(account)
                if allotment.ledger.take(peer.pool, ever_given):
                    self.changed[account] = None
                taken = max(allotment.confirmed_taken.get(peer.pool, 0), peer.taken_from(self.pool))
                allotment.confirmed_taken[peer.pool] = taken
            self._decide_transfers(account, allotment, peers, now)
            self._update_unconfirmed(account, allotment)
        for account in self.withheld_accounts - peer_allotments.keys():
            self.allotments[account].withheld = 0
        self.withheld_accounts = {
            account for account in peer_allotments if self.allotments[account].withheld
        }
        return len(self.changed) > before

    def _decide_transfers(
        self, account: AccountId, allotment: Allotment, peers: Sequence[PeerAllotment], now: float
    ) -> None:
        """Decide the transfer to each pool with a shortfall, the smallest allotment first."""
        allotment.withheld = 0
        used = self.usage.of(account).share_of(self.limit_of(account))
        allotment.used_elsewhere = sum(peer.report.used for peer in peers)
        all_used = used + allotment.used_elsewhere
        rank = compute_rank(self.pool, used, allotment.needed, allotment.used_elsewhere)
        short_peers = [peer for peer in peers if peer.report.lacking > 0]
        for peer in sorted(short_peers, key=lambda peer: (peer.report.held, peer.pool)):
            request = make_transfer_request(allotment, self.pool, peer, all_used)
            if request.amount <= 0:
                continue
            due = compute_due_amount(allotment, request, rank, used, now)
            amount = min(due, max(0, allotment.available - used))
            allotment.withheld += due - amount
            if (
                amount >= min(request.amount, MIN_TRANSFER)
                or amount >= request.next_task_shortfall > 0
            ):
                allotment.ledger.give(peer.pool, amount)
                self.changed[account] = None

    def _update_unconfirmed(self, account: AccountId, allotment: Allotment) -> None:
        if allotment.has_unconfirmed_transfers():
            self.unconfirmed_accounts.add(account)
        else:
            self.unconfirmed_accounts.discard(account)

    def reports(self) -> list[PartReport]:
        """Return the reports to the other owners: shortfalls, usage and transfers."""
        blocked = sorted(self.blocked_accounts)
        others = sorted((self.awaited_accounts | self.unconfirmed_accounts) - self.blocked_accounts)
        names = [*blocked, *others]
        if self.last_reported in names:
            # Those that the last report had no room for come first.
            following = names.index(self.last_reported) + 1
            names = names[following:] + names[:following]
        reports: list[PartReport] = []
        size = 0
        for account in names[:MAX_REPORTED_ACCOUNTS]:
            report = self._report(account)
            size += len(report.to_binary())
            if reports and size > MAX_REPORTED_BYTES:
                break
            reports.append(report)
        is_complete = len(reports) == len(names)
        self.last_reported = None if is_complete else AccountId(reports[-1].account)
        return reports

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
        """Remove and return up to `count` ledgers that have to be recorded."""
        chosen = list(self.changed)[:count]
        for account in chosen:
            del self.changed[account]
        return [self.allotment_of(account).ledger.record() for account in chosen]

    def note_recorded(self, records: Iterable[PartRecord]) -> bool:
        """Note that ledgers are recorded; return whether other owners need a report of them."""
        needs_report = False
        for record in records:
            account = AccountId(record.account)
            allotment = self.allotment_of(account)
            allotment.ledger.note_recorded(record)
            self._update_unconfirmed(account, allotment)
            needs_report = (
                needs_report
                or account in self.unconfirmed_accounts
                or account in self.awaited_accounts
            )
        return needs_report

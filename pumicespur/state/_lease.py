"""The planner's lease: a row with the holder and an epoch, which fences the holder's appends.

The holder renews the lease by writing a second row. Another process takes the lease over when it
has seen no renewal for the whole duration of the lease on its own monotonic clock, so clocks of
different processes are never compared. The takeover writes the lease row. From then on every append
of the former holder fails, even if that process was paused and still assumes that it is the holder.
"""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.state._keys import LEASE_KEY, RENEWAL_KEY
from pumicespur.store import Condition, Row, Transaction, Write
from pumicespur.structure import Epoch, ProcessId
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.connect import PlatformClient

log = Logger(__name__)

RENEWALS_PER_LEASE = 3
"""How often the holder renews the lease, and the others check it, within its duration."""


class LeaseState(Enum):
    """Whether this process holds the lease or waits for it."""

    WAITING = "waiting"
    HELD = "held"


class Lease:
    """The planner's lease as one process sees it; `lease_s` is its duration."""

    def __init__(self, platform: PlatformClient, holder: ProcessId, lease_s: float) -> None:
        self.platform = platform
        self.process_id = holder
        self.lease_s = lease_s
        self.state = LeaseState.WAITING
        self.holder = ""
        """Id of the process that holds the lease, as last read or written."""
        self.epoch = Epoch(0)
        """Number of the current holder's takeover, as last read or written."""
        self._lease = Row(LEASE_KEY, b"", 0)
        self._renewal = Row(RENEWAL_KEY, b"", 0)
        self._renewal_seen_at = monotonic()
        self._renewed_at = float("-inf")

    @property
    def is_held(self) -> bool:
        """Whether this process holds the lease, judged without asking the table service."""
        unexpired = monotonic() - self._renewed_at < self.lease_s
        return self.state is LeaseState.HELD and unexpired

    def fence(self) -> Condition:
        """Return the condition that fences appends: the lease row has not changed."""
        return Condition(LEASE_KEY, self._lease.version)

    def note_lost(self) -> None:
        """Note that another process has taken the lease over, as an append or renewal showed."""
        if self.state is LeaseState.HELD:
            log.warning("planner lease lost", epoch=self.epoch)
        self.state = LeaseState.WAITING
        self._renewal_seen_at = monotonic()

    async def maintain(self) -> None:
        """Acquire the lease when it is free and renew it while it is held; runs until cancelled."""
        while True:
            if self.state is LeaseState.HELD:
                await self._renew()
            else:
                await self._check()
            await anyio.sleep(self.lease_s / RENEWALS_PER_LEASE)

    async def _renew(self) -> None:
        started_at = monotonic()
        transaction = Transaction([self.fence()], [Write(RENEWAL_KEY, self.process_id.encode())])
        match await self.platform.transact(transaction):
            case Result(tag="ok"):
                self._renewed_at = started_at
            case Result(error=error) if "keys" in vars(error):
                # Only a Conflict has `keys`: the lease row has changed.
                self.note_lost()
            case Result(error=error):
                log.warning("can't renew the planner lease", epoch=self.epoch, fault=str(error))

    async def _check(self) -> None:
        """Read both rows, and take the lease over if it is free, expired or this process's own."""
        response = await self.platform.read([LEASE_KEY, RENEWAL_KEY])
        match response:
            case Result(tag="ok", ok=[lease, renewal]):
                self._note_rows(lease, renewal)
            case _:
                # No renewal can be seen while the table service fails: restart the wait for expiry.
                self._renewal_seen_at = monotonic()
                return
        if self.holder == self.process_id or self._is_expired() or not lease.version:
            await self._take_over()

    def _note_rows(self, lease: Row, renewal: Row) -> None:
        """Note the rows as read; a new version of either one counts as a renewal."""
        if (lease.version, renewal.version) != (self._lease.version, self._renewal.version):
            self._renewal_seen_at = monotonic()
        self._lease = lease
        self._renewal = renewal
        content = json.loads(lease.value or b"{}")
        self.holder = content.get("holder", "")
        self.epoch = Epoch(content.get("epoch", 0))

    def _is_expired(self) -> bool:
        """Return whether this process has seen no renewal for the duration of the lease."""
        return monotonic() - self._renewal_seen_at >= self.lease_s

    async def _take_over(self) -> None:
        started_at = monotonic()
        epoch = Epoch(self.epoch + 1)
        value = json.dumps({"holder": self.process_id, "epoch": epoch}).encode()
        transaction = Transaction(
            [
                Condition(LEASE_KEY, self._lease.version),
                Condition(RENEWAL_KEY, self._renewal.version),
            ],
            [Write(LEASE_KEY, value), Write(RENEWAL_KEY, self.process_id.encode())],
        )
        match await self.platform.transact(transaction):
            case Result(tag="ok", ok=[version, renewal_version]):
                self._lease = Row(LEASE_KEY, value, version)
                self._renewal = Row(RENEWAL_KEY, b"", renewal_version)
                self.epoch = epoch
                self.holder = self.process_id
                self.state = LeaseState.HELD
                self._renewed_at = started_at
                log.info("planner lease acquired", epoch=epoch)
            case Result(error=error):
                # After a lost response the next check finds this process as the holder and acquires
                # the lease again, at a higher epoch.
                log.info("planner lease not acquired", fault=str(error))

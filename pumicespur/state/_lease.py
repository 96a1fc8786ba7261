"""The planner's lease: a row with an epoch that every append of its holder checks.

A lease is renewed by writing a second row. Another process takes over when it has seen
no renewal for the whole lease time on its own monotonic clock, so no clocks are compared.
The takeover writes the lease row; from then on, appends of the former holder fail, also
when it was paused and still believes that it holds the lease.
"""

from __future__ import annotations

import json
from enum import Enum
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.state._keys import BEAT_KEY, LEASE_KEY
from pumicespur.store import Condition, Row, Transaction, Write
from pumicespur.structure import Epoch, ProcessId
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.connect import PlatformClient

log = Logger(__name__)

RENEWALS_PER_LEASE = 3


class LeaseState(Enum):
    """Whether this process may plan."""

    WAITING = "waiting"
    HELD = "held"


class Lease:
    """One process's view of the planner's lease."""

    def __init__(self, platform: PlatformClient, holder: ProcessId, lease_s: float) -> None:
        self.platform = platform
        self.me = holder
        self.lease_s = lease_s
        self.state = LeaseState.WAITING
        self.holder = ""
        self.epoch = Epoch(0)
        self._lease = Row(LEASE_KEY, b"", 0)
        self._beat = Row(BEAT_KEY, b"", 0)
        self._beat_seen_at = monotonic()
        self._renewed_at = float("-inf")

    @property
    def held(self) -> bool:
        """Whether this process holds the lease, as far as it can know by itself."""
        fresh = monotonic() - self._renewed_at < self.lease_s
        return self.state is LeaseState.HELD and fresh

    def fence(self) -> Condition:
        """Return the condition that every append under this lease carries."""
        return Condition(LEASE_KEY, self._lease.version)

    def lose(self) -> None:
        """Note that an append found the lease taken over."""
        if self.state is LeaseState.HELD:
            log.warning("planner lease lost", epoch=self.epoch)
        self.state = LeaseState.WAITING
        self._beat_seen_at = monotonic()

    async def keep(self) -> None:
        """Take the lease when it is free and renew it while it is held."""
        while True:
            if self.state is LeaseState.HELD:
                await self._renew()
            else:
                await self._watch()
            await anyio.sleep(self.lease_s / RENEWALS_PER_LEASE)

    async def _renew(self) -> None:
        started = monotonic()
        transaction = Transaction([self.fence()], [Write(BEAT_KEY, self.me.encode())])
        match await self.platform.transact(transaction):
            case Result(tag="ok"):
                self._renewed_at = started
            case Result(error=fault) if "keys" in vars(fault):
                self.lose()
            case Result(error=fault):
                log.warning("can't renew the planner lease", epoch=self.epoch, fault=str(fault))

    async def _watch(self) -> None:
        answer = await self.platform.read([LEASE_KEY, BEAT_KEY])
        match answer:
            case Result(tag="ok", ok=[lease, beat]):
                self._note(lease, beat)
            case _:
                # Without the table service nobody can be seen to renew; the wait starts anew.
                self._beat_seen_at = monotonic()
                return
        if self.holder == self.me or self._expired() or not lease.version:
            await self._take_over()

    def _note(self, lease: Row, beat: Row) -> None:
        if (lease.version, beat.version) != (self._lease.version, self._beat.version):
            self._beat_seen_at = monotonic()
        self._lease = lease
        self._beat = beat
        content = json.loads(lease.value or b"{}")
        self.holder = content.get("holder", "")
        self.epoch = Epoch(content.get("epoch", 0))

    def _expired(self) -> bool:
        return monotonic() - self._beat_seen_at >= self.lease_s

    async def _take_over(self) -> None:
        started = monotonic()
        epoch = Epoch(self.epoch + 1)
        value = json.dumps({"holder": self.me, "epoch": epoch}).encode()
        transaction = Transaction(
            [Condition(LEASE_KEY, self._lease.version), Condition(BEAT_KEY, self._beat.version)],
            [Write(LEASE_KEY, value), Write(BEAT_KEY, self.me.encode())],
        )
        match await self.platform.transact(transaction):
            case Result(tag="ok", ok=[version, beat]):
                self._lease = Row(LEASE_KEY, value, version)
                self._beat = Row(BEAT_KEY, b"", beat)
                self.epoch = epoch
                self.holder = self.me
                self.state = LeaseState.HELD
                self._renewed_at = started
                log.info("planner lease taken", epoch=epoch)
            case Result(error=fault):
                # After a lost answer the next watch finds this process named as the holder
                # and takes the lease again, at a higher epoch.
                log.info("planner lease not taken", fault=str(fault))

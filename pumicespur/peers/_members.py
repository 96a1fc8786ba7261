"""Which processes there are, from rows that each writes for itself.

Used for routing, for passing revisions on and for status only; nothing that must hold
depends on it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.schema.peer_pb import Member
from pumicespur.store import Transaction, Write
from pumicespur.utils import monotonic, now_ms

if TYPE_CHECKING:
    from pumicespur.connect import PlatformClient

log = Logger(__name__)

MEMBER_PREFIX = "member/"
REFRESH_S = 20.0
SCAN_S = 5.0
FORGET_S = 4 * REFRESH_S


class MemberList:
    """The known processes by id, this one among them."""

    def __init__(self, platform: PlatformClient, me: Member) -> None:
        self.platform = platform
        self.me = me
        self.members: dict[str, Member] = {me.id: me}
        self._versions: dict[str, tuple[int, float]] = {}
        self._written_at = float("-inf")

    def others(self) -> list[Member]:
        """Return all other processes."""
        return [member for member in self.members.values() if member.id != self.me.id]

    def hear_of(self, member: Member) -> None:
        """Note a process that sent a heartbeat."""
        self.members[member.id] = member
        self._versions.setdefault(member.id, (0, monotonic()))

    async def keep(self) -> None:
        """Refresh this process's row and read the others'."""
        while True:
            await self._refresh()
            await self._scan()
            await anyio.sleep(SCAN_S)

    async def leave(self) -> None:
        """Delete this process's row at a planned stop."""
        await self.platform.transact(Transaction([], [Write(MEMBER_PREFIX + self.me.id, None)]))

    async def _refresh(self) -> None:
        if monotonic() - self._written_at < REFRESH_S:
            return
        self.me.refreshed_ms = now_ms()
        row = Write(MEMBER_PREFIX + self.me.id, self.me.to_binary())
        match await self.platform.transact(Transaction([], [row])):
            case Result(tag="ok"):
                self._written_at = monotonic()
            case Result(error=fault):
                log.warning("can't refresh the member row", fault=str(fault))

    async def _scan(self) -> None:
        answer = await self.platform.scan(MEMBER_PREFIX)
        match answer:
            case Result(tag="ok", ok=rows):
                pass
            case _:
                # Without the table service the last known members are kept.
                return
        now = monotonic()
        for row in rows:
            member = Member.from_binary(row.value)
            version, _ = self._versions.get(member.id, (-1, now))
            if version != row.version:
                self._versions[member.id] = (row.version, now)
                self.members[member.id] = member
        present = {row.key.removeprefix(MEMBER_PREFIX) for row in rows}
        for name in [member.id for member in self.others()]:
            version, seen_at = self._versions.get(name, (0, now))
            left = version > 0 and name not in present
            if left or now - seen_at > FORGET_S:
                self._forget(name)

    def _forget(self, name: str) -> None:
        self.members.pop(name, None)
        self._versions.pop(name, None)

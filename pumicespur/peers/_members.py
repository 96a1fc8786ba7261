"""The list of processes, from their member rows in the table service and from heartbeats.

It is used only to choose links to peers and for status and dumps. No guarantee depends on it.
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
REFRESH_INTERVAL_S = 20.0
"""Interval at which a process writes its member row."""

SCAN_INTERVAL_S = 5.0
"""Interval at which a process reads all member rows."""

MEMBER_TIMEOUT_S = 4 * REFRESH_INTERVAL_S
"""Time without a new version of its row after which a member is dropped."""


class MemberList:
    """The known processes by id, including this one."""

    def __init__(self, platform: PlatformClient, own_member: Member) -> None:
        self.platform = platform
        self.own_member = own_member
        self.members: dict[str, Member] = {own_member.id: own_member}
        self._versions: dict[str, tuple[int, float]] = {}
        """Version of each member's row, and when it was first seen; version 0 without a row."""
        self._written_at = float("-inf")

    def others(self) -> list[Member]:
        """Return all other processes."""
        return [member for member in self.members.values() if member.id != self.own_member.id]

    def note_heartbeat(self, member: Member) -> None:
        """Add or update a member from its heartbeat."""
        self.members[member.id] = member
        self._versions.setdefault(member.id, (0, monotonic()))

    async def maintain(self) -> None:
        """Refresh this process's row and read all rows, until cancelled."""
        while True:
            await self._refresh()
            await self._scan()
            await anyio.sleep(SCAN_INTERVAL_S)

    async def leave(self) -> None:
        """Delete this process's row, at a planned stop."""
        await self.platform.transact(
            Transaction([], [Write(MEMBER_PREFIX + self.own_member.id, None)])
        )

    async def _refresh(self) -> None:
        if monotonic() - self._written_at < REFRESH_INTERVAL_S:
            return
        self.own_member.refreshed_ms = now_ms()
        row = Write(MEMBER_PREFIX + self.own_member.id, self.own_member.to_binary())
        match await self.platform.transact(Transaction([], [row])):
            case Result(tag="ok"):
                self._written_at = monotonic()
            case Result(error=error):
                log.warning("can't refresh the member row", fault=str(error))

    async def _scan(self) -> None:
        response = await self.platform.scan(MEMBER_PREFIX)
        match response:
            case Result(tag="ok", ok=rows):
                pass
            case _:
                # While the table service fails, the last known members are kept.
                return
        now = monotonic()
        for row in rows:
            member = Member.from_binary(row.value)
            version, _ = self._versions.get(member.id, (-1, now))
            if version != row.version:
                self._versions[member.id] = (row.version, now)
                self.members[member.id] = member
        listed = {row.key.removeprefix(MEMBER_PREFIX) for row in rows}
        for name in [member.id for member in self.others()]:
            version, seen_at = self._versions.get(name, (0, now))
            left = version > 0 and name not in listed
            if left or now - seen_at > MEMBER_TIMEOUT_S:
                self._remove(name)

    def _remove(self, name: str) -> None:
        self.members.pop(name, None)
        self._versions.pop(name, None)

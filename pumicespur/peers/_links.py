"""Heartbeats between processes, which carry revisions, over pynng.

One task for each linked peer sends heartbeats and passes records on to whichever of the
two lacks them. A process links to a few peers, not to all (see `choose_links`). A new
revision wakes all these tasks, so that it is passed on at once; the poll of the table
service covers what is lost on the way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pynng
from logbook import Logger

from pumicespur.peers._topology import choose_links
from pumicespur.schema.peer_pb import (
    DumpReply,
    DumpRequest,
    FetchReply,
    FetchRequest,
    Heartbeat,
    HeartbeatReply,
    PeerReply,
    PeerRequest,
    PushReply,
)
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.peers._members import MemberList
    from pumicespur.schema.settings_pb import ProcessSettings
    from pumicespur.state import Replica

log = Logger(__name__)

REPLY_TIMEOUT_MS = 1000
SERVING_TASKS = 4

SEED_AFTER_S = 3.0
"""Silence of the table service after which the peers of the settings are linked to."""

MAX_MESSAGE_BYTES = 64 * 1024 * 1024


def open_request_socket(address: str) -> pynng.Req0:
    """Open a socket for requests to one peer; it connects when the peer is there."""
    socket = pynng.Req0(
        recv_timeout=REPLY_TIMEOUT_MS,
        send_timeout=REPLY_TIMEOUT_MS,
        recv_max_size=MAX_MESSAGE_BYTES,
    )
    socket.dial(f"tcp://{address}", block=False)
    return socket


class PeerNetwork:
    """The listener for peers and one link to each of them."""

    def __init__(
        self,
        settings: ProcessSettings,
        members: MemberList,
        replica: Replica,
        dump: Callable[[], str],
    ) -> None:
        self.settings = settings
        self.members = members
        self.replica = replica
        self.dump = dump
        self.stopping = False
        self.heard_at: dict[str, float] = {}
        # Bytes of messages exchanged, without what TCP adds.
        self.bytes = 0
        self._listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        bound = self._listener.listen(f"tcp://{settings.peer_listen}")
        self.address = str(bound.local_address)

    async def run(self) -> None:
        """Answer peers and keep a link to each until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                for _ in range(SERVING_TASKS):
                    tasks.start_soon(self._serve)
                tasks.start_soon(self._keep_links)
        finally:
            self._listener.close()

    async def ask(self, address: str, request: PeerRequest) -> PeerReply:
        """Send one request to a peer; raise pynng.NNGException if it does not answer."""
        with open_request_socket(address) as socket:
            return await self._exchange(socket, request)

    async def _serve(self) -> None:
        with self._listener.new_context() as context:
            while True:
                content = await context.arecv()
                answer = self._reply(content).to_binary()
                self.bytes += len(content) + len(answer)
                await context.asend(answer)

    def _reply(self, content: bytes) -> PeerReply:
        try:
            request = PeerRequest.from_binary(content)
        except ValueError as failure:
            return PeerReply(error=f"not a peer request: {failure}")
        match request:
            case PeerRequest(heartbeat=Heartbeat() as heartbeat):
                return PeerReply(heartbeat=self._hear(heartbeat))
            case PeerRequest(fetch=FetchRequest(after=after)):
                return PeerReply(fetch=self.replica.since(after))
            case PeerRequest(push=FetchReply() as pushed):
                self.replica.take(pushed)
                return PeerReply(push=PushReply(revision=self.replica.revision))
            case PeerRequest(dump=DumpRequest()):
                return PeerReply(dump=DumpReply(json=self.dump()))
            case _:
                return PeerReply(error="no such peer request")

    def _hear(self, heartbeat: Heartbeat) -> HeartbeatReply:
        if heartbeat.sender is not None:
            self.members.hear_of(heartbeat.sender)
            self.heard_at[heartbeat.sender.id] = monotonic()
        return HeartbeatReply(id=self.members.me.id, revision=self.replica.revision)

    async def _keep_links(self) -> None:
        """Hold one task for each peer address, as peers come and go."""
        links: dict[str, anyio.CancelScope] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                wanted = self._wanted()
                for address in wanted - links.keys():
                    links[address] = anyio.CancelScope()
                    tasks.start_soon(self._link, address, links[address])
                for address in links.keys() - wanted:
                    links.pop(address).cancel()
                await anyio.sleep(self.settings.heartbeat_s)

    def _wanted(self) -> set[str]:
        """Return the addresses to link to.

        These are a few members, and the peers of the settings while the table service is
        silent, as the known members may then be out of date.
        """
        members = self.members.members
        chosen = choose_links(self.members.me.id, members)
        addresses = {members[name].peer_address for name in chosen}
        if self.members.platform.silent_s() > SEED_AFTER_S:
            addresses |= set(self.settings.peers) - {self.address}
        return addresses

    async def _link(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._converse(address)
                except pynng.NNGException as failure:
                    log.debug("peer does not answer", peer=address, fault=str(failure))
                await anyio.sleep(self.settings.heartbeat_s)

    async def _converse(self, address: str) -> None:
        with open_request_socket(address) as socket:
            while True:
                changed = self.replica.changed
                await self._beat(socket)
                with anyio.move_on_after(self.settings.heartbeat_s):
                    await changed.wait()

    async def _beat(self, socket: pynng.Req0) -> None:
        heartbeat = Heartbeat(
            sender=self.members.me, revision=self.replica.revision, stopping=self.stopping
        )
        asked_at = monotonic()
        reply = await self._exchange(socket, PeerRequest(heartbeat=heartbeat))
        theirs = reply.heartbeat.revision if reply.heartbeat else self.replica.revision
        if theirs > self.replica.revision:
            fetch = FetchRequest(after=self.replica.revision)
            answer = await self._exchange(socket, PeerRequest(fetch=fetch))
            if answer.fetch is not None:
                self.replica.take(answer.fetch)
        elif theirs < self.replica.revision:
            lacking = self.replica.since(theirs)
            await self._exchange(socket, PeerRequest(push=lacking))
        if reply.heartbeat is not None and self.replica.revision >= theirs:
            self.replica.confirm(asked_at)

    async def _exchange(self, socket: pynng.Req0, request: PeerRequest) -> PeerReply:
        content = request.to_binary()
        await socket.asend(content)
        answer = await socket.arecv()
        self.bytes += len(content) + len(answer)
        return PeerReply.from_binary(answer)

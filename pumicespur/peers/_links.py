"""Heartbeats between processes over pynng, which carry new revisions.

One task for each linked peer sends heartbeats and transfers records to the side that lacks them. A
process links to a few peers, not to all (see `choose_links`). A new revision wakes all these tasks,
so that it is forwarded at once. Lost messages do no harm, since each process also polls the table
service.
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
MAX_PARALLEL_REQUESTS = 4
"""Max number of peers' requests that are handled at the same time."""

SEED_PEERS_DELAY_S = 3.0
"""Time without a response of the table service after which to link to the peers in the settings."""

MAX_MESSAGE_BYTES = 64 * 1024 * 1024


def open_request_socket(address: str) -> pynng.Req0:
    """Open a socket for requests to a peer; it connects as soon as the peer is reachable."""
    socket = pynng.Req0(
        recv_timeout=REPLY_TIMEOUT_MS,
        send_timeout=REPLY_TIMEOUT_MS,
        recv_max_size=MAX_MESSAGE_BYTES,
    )
    socket.dial(f"tcp://{address}", block=False)
    return socket


class PeerNetwork:
    """The listener for requests of peers, and the links to chosen peers."""

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
        self.last_heartbeat_at: dict[str, float] = {}
        """When each process last sent a heartbeat, in monotonic seconds."""
        self.transferred_bytes = 0
        """Total size of all messages sent and received, without the overhead of TCP."""
        self._listener = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        bound = self._listener.listen(f"tcp://{settings.peer_listen}")
        self.address = str(bound.local_address)

    async def run(self) -> None:
        """Handle peers' requests and maintain the links, until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                for _ in range(MAX_PARALLEL_REQUESTS):
                    tasks.start_soon(self._serve)
                tasks.start_soon(self._maintain_links)
        finally:
            self._listener.close()

    async def send_request(self, address: str, request: PeerRequest) -> PeerReply:
        """Send one request to a peer; raise pynng.NNGException if it does not respond."""
        with open_request_socket(address) as socket:
            return await self._exchange(socket, request)

    async def _serve(self) -> None:
        with self._listener.new_context() as context:
            while True:
                content = await context.arecv()
                reply = self._handle_request(content).to_binary()
                self.transferred_bytes += len(content) + len(reply)
                await context.asend(reply)

    def _handle_request(self, content: bytes) -> PeerReply:
        try:
            request = PeerRequest.from_binary(content)
        except ValueError as error:
            return PeerReply(error=f"not a peer request: {error}")
        match request:
            case PeerRequest(heartbeat=Heartbeat() as heartbeat):
                return PeerReply(heartbeat=self._handle_heartbeat(heartbeat))
            case PeerRequest(fetch=FetchRequest(after=after)):
                return PeerReply(fetch=self.replica.changes_after(after))
            case PeerRequest(push=FetchReply() as pushed):
                self.replica.apply_reply(pushed)
                return PeerReply(push=PushReply(revision=self.replica.revision))
            case PeerRequest(dump=DumpRequest()):
                return PeerReply(dump=DumpReply(json=self.dump()))
            case _:
                return PeerReply(error="no such peer request")

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        if heartbeat.sender is not None:
            self.members.note_heartbeat(heartbeat.sender)
            self.last_heartbeat_at[heartbeat.sender.id] = monotonic()
        return HeartbeatReply(id=self.members.own_member.id, revision=self.replica.revision)

    async def _maintain_links(self) -> None:
        """Run one task for each address to link to, as peers come and go."""
        links: dict[str, anyio.CancelScope] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                wanted = self._wanted_addresses()
                for address in wanted - links.keys():
                    links[address] = anyio.CancelScope()
                    tasks.start_soon(self._run_link, address, links[address])
                for address in links.keys() - wanted:
                    links.pop(address).cancel()
                await anyio.sleep(self.settings.heartbeat_s)

    def _wanted_addresses(self) -> set[str]:
        """Return the addresses to link to.

        These are a few members. While the table service does not respond, the known members may be
        out of date, so the peers in the settings are added.
        """
        members = self.members.members
        chosen = choose_links(self.members.own_member.id, members)
        addresses = {members[name].peer_address for name in chosen}
        if self.members.platform.last_response_age_s() > SEED_PEERS_DELAY_S:
            addresses |= set(self.settings.peers) - {self.address}
        return addresses

    async def _run_link(self, address: str, scope: anyio.CancelScope) -> None:
        """Exchange heartbeats with a peer, and reconnect after errors, until cancelled."""
        with scope:
            while True:
                try:
                    await self._send_heartbeats(address)
                except pynng.NNGException as error:
                    log.debug("peer does not respond", peer=address, fault=str(error))
                await anyio.sleep(self.settings.heartbeat_s)

    async def _send_heartbeats(self, address: str) -> None:
        """Send heartbeats over one connection, at intervals and at once on each change."""
        with open_request_socket(address) as socket:
            while True:
                changed = self.replica.changed
                await self._send_heartbeat(socket)
                with anyio.move_on_after(self.settings.heartbeat_s):
                    await changed.wait()

    async def _send_heartbeat(self, socket: pynng.Req0) -> None:
        """Send a heartbeat, then fetch or push the records that one side lacks."""
        heartbeat = Heartbeat(
            sender=self.members.own_member, revision=self.replica.revision, stopping=self.stopping
        )
        requested_at = monotonic()
        reply = await self._exchange(socket, PeerRequest(heartbeat=heartbeat))
        peer_revision = reply.heartbeat.revision if reply.heartbeat else self.replica.revision
        if peer_revision > self.replica.revision:
            fetch = FetchRequest(after=self.replica.revision)
            fetched = await self._exchange(socket, PeerRequest(fetch=fetch))
            if fetched.fetch is not None:
                self.replica.apply_reply(fetched.fetch)
        elif peer_revision < self.replica.revision:
            changes = self.replica.changes_after(peer_revision)
            await self._exchange(socket, PeerRequest(push=changes))
        if reply.heartbeat is not None and self.replica.revision >= peer_revision:
            self.replica.confirm(requested_at)

    async def _exchange(self, socket: pynng.Req0, request: PeerRequest) -> PeerReply:
        content = request.to_binary()
        await socket.asend(content)
        reply = await socket.arecv()
        self.transferred_bytes += len(content) + len(reply)
        return PeerReply.from_binary(reply)

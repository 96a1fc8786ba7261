"""Decides which pools lack a live owner and which process takes them; does no I/O."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from pumicespur.model import DataHall, PoolId, ProcessId
from pumicespur.node._hall_ranking import HallRanking

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pumicespur.config import NodeSettings
    from pumicespur.store import ResponseTimes
    from pumicespur.view import FleetView, SeenOwner, SeenProcess

SLOW_RESPONSE_FACTOR = 3.0
"""Multiple of the slowest recent store response by which the failure timeout is extended: a
heartbeat is written, waited for and read through the same store."""

MAX_SLOW_RESPONSE_DELAY_S = 2.0
"""Limit of that extension, since the tasks of a dead owner wait for the takeover."""

CANDIDATE_DELAY_S = 0.4
"""Head start of each candidate over the next one: time to read which processes are alive, to write
the owner's row and for others to receive it. A process that owns nothing may be gone without being
noticed yet; the next candidate then takes the pool."""


class TakeoverPolicy:
    """Failure detection for owners, and the ranking of candidates to replace them."""

    def __init__(
        self,
        settings: NodeSettings,
        view: FleetView,
        response_times: ResponseTimes,
        presence_timeout_s: float,
    ) -> None:
        self.settings = settings
        self.view = view
        self.response_times = response_times
        self.presence_timeout_s = presence_timeout_s
        """Time without a heartbeat after which a process that owns nothing counts as gone."""
        self.process_id = ProcessId(settings.process.id)
        self.vacant_since: dict[PoolId, float] = {}
        """When each pool was first found to lack an owner (monotonic seconds)."""
        self.vacant_tokens: dict[PoolId, int] = {}
        """Fencing token of each pool's owner row when the pool was last found to lack an owner."""

    def is_own_record(self, owner: SeenOwner) -> bool:
        """Return whether the row names this process, perhaps an earlier incarnation, as owner.

        Such a pool is taken back at once: either an earlier incarnation owned it, or the store
        applied a takeover after its call had timed out. No other process would take it, since this
        one seems alive, and all of its tasks would wait. So pools come back at once also after all
        processes were lost.
        """
        record = owner.record
        return bool(owner.token) and not record.released and record.process == self.process_id

    def is_owner_alive(self, owner: SeenOwner, received_at: float) -> bool:
        """Return whether a pool's owner is alive, as far as its heartbeats show.

        `received_at` is when the store last responded to a poll for heartbeats, also with none
        (monotonic seconds). Time without heartbeats is counted only up to then, since none can
        arrive during an outage of the store. Otherwise a busy pool would be taken from a live owner
        two seconds into an outage, and nothing placed there until the store responds again.
        """
        record = owner.record
        if not owner.token or record.released or record.process == self.process_id:
            return False
        # The takeover itself shows that the owner lived; its first heartbeat may be under way.
        since = max(owner.seen_at, self.view.gapless_since)
        process = self.view.processes.get(ProcessId(record.process))
        if process is None or process.heartbeat.incarnation != record.incarnation:
            if process is not None and process.version > owner.token:
                return False
        elif process.heartbeat.unfit:
            return False
        else:
            since = max(since, process.seen_at)
        return received_at - since < self._failure_timeout_s(received_at)

    def _failure_timeout_s(self, now: float) -> float:
        """Return the time without a heartbeat after which an owner counts as gone."""
        slow_s = min(
            MAX_SLOW_RESPONSE_DELAY_S, SLOW_RESPONSE_FACTOR * self.response_times.max_recent_s(now)
        )
        return self.settings.store.missing_s + slow_s

    def note_owned(self, pool: PoolId) -> None:
        """Note that a pool has a live owner."""
        self.vacant_since.pop(pool, None)
        self.vacant_tokens.pop(pool, None)

    def is_turn(self, pool: PoolId, now: float) -> bool:
        """Return whether it is this process's turn to take a pool without an owner."""
        vacant_s = now - self.vacant_since.setdefault(pool, now)
        owner = self.view.owners.get(pool)
        self.vacant_tokens[pool] = owner.token if owner else 0
        return vacant_s >= CANDIDATE_DELAY_S * self.rank_candidates(pool, now).index(
            self.process_id
        )

    def rank_candidates(self, pool: PoolId, now: float) -> list[ProcessId]:
        """Return the processes that may take a pool, the least loaded for its capacity first.

        Where a data hall may be lost, those in the hall with the fewest owners go first.
        """
        stopping = self._stopping_processes()
        capacities = {
            process: seen.heartbeat.capacity or 1.0
            for process, seen in self.view.processes.items()
            if self._is_alive(seen, now) and process not in stopping
        }
        capacities.setdefault(self.process_id, self.settings.cpu_capacity)
        if self.settings.fleet.tolerated_halls > 0:
            return self._make_hall_ranking(pool, capacities).rank(pool)
        owned_counts = dict.fromkeys(capacities, 0)
        for other, owner in self.view.owners.items():
            process = ProcessId(owner.record.process)
            if other != pool and process in owned_counts and not owner.record.released:
                owned_counts[process] += 1
        return sorted(
            owned_counts,
            key=lambda p: ((owned_counts[p] + 1) / capacities[p], _tie_breaker(pool, p)),
        )

    def _make_hall_ranking(
        self, pool: PoolId, capacities: Mapping[ProcessId, float]
    ) -> HallRanking:
        """Return the ranking for a pool.

        Vacant pools before it in the order of `view.pools()` count as taken by their first
        candidate.
        """
        halls = {p: DataHall(s.heartbeat.data_hall) for p, s in self.view.processes.items()}
        halls[self.process_id] = DataHall(self.settings.process.data_hall)
        ranking = HallRanking(capacities, halls, _tie_breaker)
        for other, owner in self.view.owners.items():
            if owner.token and not owner.record.released:
                failed = other == pool or self._is_vacant(other)
                ranking.note_owner(ProcessId(owner.record.process), failed)
        order = {other: number for number, other in enumerate(self.view.pools())}
        for other in sorted(self.vacant_tokens, key=lambda p: (order.get(p, len(order)), p)):
            if other == pool:
                break
            if self._is_vacant(other):
                ranking.assume_taken(other)
        return ranking

    def _is_vacant(self, pool: PoolId) -> bool:
        """Whether a pool lacked an owner when last checked, and its row has not changed since."""
        owner = self.view.owners.get(pool)
        return self.vacant_tokens.get(pool) == (owner.token if owner else 0)

    def _is_alive(self, seen: SeenProcess, now: float) -> bool:
        since = max(seen.seen_at, self.view.gapless_since)
        return (
            now - since < self.presence_timeout_s + self._failure_timeout_s(now)
            and not seen.heartbeat.unfit
        )

    def _stopping_processes(self) -> set[ProcessId]:
        """Return the processes that have released a pool in their present incarnation.

        A process releases pools only when it stops, and the released row arrives before the
        heartbeat that reports the stop.
        """
        return {
            process
            for owner in self.view.owners.values()
            if owner.record.released
            and (seen := self.view.processes.get(process := ProcessId(owner.record.process)))
            and seen.heartbeat.incarnation == owner.record.incarnation
        }


def _tie_breaker(pool: PoolId, process: ProcessId) -> bytes:
    return hashlib.blake2b(f"{pool}\0{process}".encode(), digest_size=8).digest()

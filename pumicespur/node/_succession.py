"""Which pools lack an owner, and which process takes them: decisions without a network."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from pumicespur.model import PoolId, ProcessId

if TYPE_CHECKING:
    from pumicespur.config import NodeSettings
    from pumicespur.store import AnswerTimes
    from pumicespur.view import NodeView, SeenOwner, SeenProcess

SLOW_ANSWERS = 3.0
"""Times that a slow answer of the store counts when a heartbeat is missed: it was written,
waited for and read through the same store."""

MAX_SLOW_S = 2.0
"""Most that slow answers put a takeover off, in seconds; a dead owner's tasks wait for it."""

RANK_S = 0.4
"""Time for which each process waits for the one before it in the order of succession: to read who
lives, to write itself down and to be heard of. A process that owns nothing may be gone and not
missed yet; the next one then takes the pool."""


class Succession:
    """Judges owners by what is heard of them, and orders those who may follow."""

    def __init__(
        self, settings: NodeSettings, view: NodeView, times: AnswerTimes, presence_s: float
    ) -> None:
        self.settings = settings
        self.view = view
        self.times = times
        self.presence_s = presence_s
        """Time after which a process that owns nothing counts as gone, in seconds."""
        self.me = ProcessId(settings.process.id)
        self.vacant_since: dict[PoolId, float] = {}
        """Since when pools are known to lack an owner (monotonic seconds)."""

    def names_this_process(self, owner: SeenOwner) -> bool:
        """Whether this process took the pool and has not released it, perhaps in an earlier life.

        What names this process is taken back at once: its earlier life held it, or a call to
        take it applied after its answer was given up. No other process takes it, since they see
        a living owner, and all of its tasks wait. So pools come back at once after a loss of all
        processes.
        """
        record = owner.record
        return bool(owner.token) and not record.released and record.process == self.me

    def is_held(self, owner: SeenOwner, heard_at: float) -> bool:
        """Whether a pool's owner is alive, as far as this process has heard.

        `heard_at` is when the store last told of heartbeats (monotonic seconds): a silence counts
        for as long as somebody listened. Counted on while the store was away, it let a busy pool
        be taken from an owner that lived, two seconds into the outage, and nothing was placed
        there until the store's return.
        """
        record = owner.record
        if not owner.token or record.released or record.process == self.me:
            return False
        # The takeover is a sign of life; the first heartbeat after it may still be on the way.
        since = max(owner.seen_at, self.view.steady_since)
        holder = self.view.processes.get(ProcessId(record.process))
        if holder is None or holder.heartbeat.incarnation != record.incarnation:
            if holder is not None and holder.version > owner.token:
                return False
        elif holder.heartbeat.unfit:
            return False
        else:
            since = max(since, holder.seen_at)
        return heard_at - since < self._missing_s(heard_at)

    def _missing_s(self, now: float) -> float:
        """Return the time without a heartbeat after which a process counts as gone."""
        slow_s = min(MAX_SLOW_S, SLOW_ANSWERS * self.times.worst_s(now))
        return self.settings.store.missing_s + slow_s

    def note_held(self, pool: PoolId) -> None:
        """Note that a pool has an owner."""
        self.vacant_since.pop(pool, None)

    def is_turn(self, pool: PoolId, now: float) -> bool:
        """Whether this process takes a pool without an owner now."""
        vacant_s = now - self.vacant_since.setdefault(pool, now)
        return vacant_s >= RANK_S * self.order(pool, now).index(self.me)

    def order(self, pool: PoolId, now: float) -> list[ProcessId]:
        """Return who may take a pool, first the one that would own least for its size."""
        stopping = self._stopping()
        sizes = {
            process: seen.heartbeat.capacity or 1.0
            for process, seen in self.view.processes.items()
            if self._lives(seen, now) and process not in stopping
        }
        sizes.setdefault(self.me, self.settings.capacity)
        counts = dict.fromkeys(sizes, 0)
        for other, owner in self.view.owners.items():
            holder = ProcessId(owner.record.process)
            if other != pool and holder in counts and not owner.record.released:
                counts[holder] += 1
        return sorted(counts, key=lambda p: ((counts[p] + 1) / sizes[p], _rank(pool, p)))

    def _lives(self, seen: SeenProcess, now: float) -> bool:
        since = max(seen.seen_at, self.view.steady_since)
        return now - since < self.presence_s + self._missing_s(now) and not seen.heartbeat.unfit

    def _stopping(self) -> set[ProcessId]:
        """Return the processes that have given a pool up in their present life.

        They do so only when they stop, and the pool's row is heard before the heartbeat that
        tells so.
        """
        return {
            process
            for owner in self.view.owners.values()
            if owner.record.released
            and (seen := self.view.processes.get(process := ProcessId(owner.record.process)))
            and seen.heartbeat.incarnation == owner.record.incarnation
        }


def _rank(pool: PoolId, process: ProcessId) -> bytes:
    return hashlib.blake2b(f"{pool}\0{process}".encode(), digest_size=8).digest()

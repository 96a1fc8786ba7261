"""When pools have their peaks, and which pool's peak is expected next.

Demand often goes round the pools: each asks for several times its mean for a while and for
little in between. What is learnt is the time from one pool's onset to the next one's, and that
the pool whose last peak lies furthest back comes next. Pools without any peak so far come
before those that had one.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.model import PoolId
from pumicespur.schema.jobs_pb import PeakRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

log = Logger(__name__)

BEGIN_SHARE = 0.35
"""Share of a pool's highest demand so far at which a peak begins. A peak of several times the mean
crosses it within its first second; a share that is crossed by what lies in between finds peaks
where there are none."""

PEAK_SHARE = 0.3
"""Share of the instances a pool came with that it takes to carry what arrives at least, for that to
be a peak. Counted from the first instance on, single jobs made four pools out of turn within the
first seconds, and two of them kept 25 idle instances each for half a minute."""

END_SHARE = 0.15
"""Share of the present peak's highest demand below which it is over."""

REOPEN_MS = 3_000
"""Pause after which the same pool's demand is a new peak: while its callers are refused for the
seconds of an outage, their demand only seems to be over."""

HOLD_MS = 2_000
"""Time after an expected onset for which instances are kept ready; onsets are noted a second
late, and a peak that has not come by then may not come at all."""

ONSET_MS = 3_000
"""Time after a peak's begin for which it is expected to grow as others did; after that, what has
come tells more. Told by growth alone, the workers of an onset were asked for 1.5 s later."""

REMEMBERED = 24
"""Peaks that are remembered; some rounds over the busy pools, in a row of a few kilobytes."""

STEADY_SHARE = 0.25
"""Most that the times between onsets may vary, as a share of their median, to be relied on."""

LEAST_INTERVALS = 2
"""Times between onsets that have to be known before the next one is expected."""


class PeakHistory:
    """The peaks of all pools; times are times of day in milliseconds."""

    def __init__(self) -> None:
        self.peaks: list[PeakRecord] = []
        """Oldest first."""
        self.changed = False
        """Whether a peak began or ended since the history was last recorded."""

    def note(self, pool: PoolId, cpu_millis: int, least_cpu_millis: int, now_ms: int) -> None:
        """Take in what a pool's callers ask for; less than `least_cpu_millis` is no peak."""
        peak = self.current(pool)
        if peak is not None:
            peak.cpu_millis = max(peak.cpu_millis, cpu_millis)
            if cpu_millis < END_SHARE * peak.cpu_millis:
                peak.ended_ms = now_ms
                self.changed = True
                log.info("peak over", pool=pool, cpu_millis=cpu_millis, most=peak.cpu_millis)
            return
        highest = max((p.cpu_millis for p in self.peaks if p.pool == pool), default=0)
        if cpu_millis >= max(least_cpu_millis, BEGIN_SHARE * highest):
            self._begin(pool, cpu_millis, now_ms)

    def _begin(self, pool: PoolId, cpu_millis: int, now_ms: int) -> None:
        self.changed = True
        log.info("peak begins", pool=pool, cpu_millis=cpu_millis, foreseen_ms=self.next_onset_ms())
        last = self._last(pool)
        if last is not None and now_ms - last.ended_ms < REOPEN_MS:
            last.ended_ms = 0
            return
        self.peaks.append(PeakRecord(pool=pool, began_ms=now_ms, cpu_millis=cpu_millis))
        del self.peaks[:-REMEMBERED]

    def current(self, pool: PoolId) -> PeakRecord | None:
        """Return the peak that a pool has now."""
        last = self._last(pool)
        return None if last is None or last.ended_ms else last

    def _last(self, pool: PoolId) -> PeakRecord | None:
        return next((peak for peak in reversed(self.peaks) if peak.pool == pool), None)

    def next_pools(self, pools: Iterable[PoolId]) -> set[PoolId]:
        """Return the pools of which one is expected to have the next peak."""
        quiet = [pool for pool in pools if self.current(pool) is None]
        began = {pool: last.began_ms if (last := self._last(pool)) else 0 for pool in quiet}
        first = min(began.values(), default=0)
        return {pool for pool in quiet if began[pool] == first}

    def next_onset_ms(self) -> float | None:
        """Return when the next peak is expected to begin, or None if that can't be told."""
        onsets = [peak.began_ms for peak in self.peaks]
        intervals = [after - before for before, after in zip(onsets, onsets[1:], strict=False)]
        if len(intervals) < LEAST_INTERVALS:
            return None
        usual = statistics.median(intervals)
        if any(abs(interval - usual) > STEADY_SHARE * usual for interval in intervals[-3:]):
            return None
        return onsets[-1] + usual

    def is_overdue(self, now_ms: int) -> bool:
        """Whether the next peak was expected and has not come."""
        onset_ms = self.next_onset_ms()
        return onset_ms is not None and now_ms > onset_ms + HOLD_MS

    def _order_holds(self) -> bool:
        """Whether the newest peak came after the same pool's as the time before."""
        order = [peak.pool for peak in self.peaks]
        newest = order[-1]
        earlier = [place for place in range(1, len(order) - 1) if order[place] == newest]
        return not earlier or order[earlier[-1] - 1] == order[-2]

    def due_pool(self, pools: Iterable[PoolId], now_ms: int, lead_ms: float) -> PoolId | None:
        """Return the pool whose peak begins within a time or a moment ago, if that can be told."""
        onset_ms = self.next_onset_ms()
        coming = self.next_pools(pools)
        if onset_ms is None or len(coming) != 1 or not self._order_holds():
            return None
        if not onset_ms - lead_ms <= now_ms < onset_ms + HOLD_MS:
            return None
        return next(iter(coming))

    def usual_cpu_millis(self, pool: PoolId) -> int:
        """Return what a pool's peak asks for: as its last one, or as the others' on average."""
        last = self._last(pool)
        if last is not None:
            return last.cpu_millis
        known = [peak.cpu_millis for peak in self.peaks]
        return int(statistics.fmean(known)) if known else 0

    def begun_cpu_millis(
        self, pool: PoolId, declared: Mapping[PoolId, int], now_ms: int
    ) -> int | None:
        """Return what a peak that has just begun will ask for, or None if that can't be told.

        It is taken to be as the pool's last one, or as the others' in proportion to their sizes.
        """
        begun = self.current(pool)
        if begun is None or now_ms - begun.began_ms > ONSET_MS:
            return None
        own = [peak.cpu_millis for peak in self.peaks if peak.pool == pool and peak is not begun]
        if own:
            return own[-1]
        shares = [
            peak.cpu_millis / declared[PoolId(peak.pool)]
            for peak in self.peaks
            if peak is not begun and declared.get(PoolId(peak.pool))
        ]
        return round(statistics.fmean(shares) * declared.get(pool, 0)) if shares else None

    def restore(self, peaks: Iterable[PeakRecord]) -> None:
        """Go on from what an earlier holder recorded."""
        self.peaks = list(peaks)


def least_peak(declared: int, room: int) -> int:
    """Return the least demand of a peak, by a pool's own size and the room of one instance.

    The demand and the room are in thousandths of a core.
    """
    return int(PEAK_SHARE * room * max(1, declared))


def reserved_sizes(
    history: PeakHistory, declared: Mapping[PoolId, int], pools: Iterable[PoolId], now_ms: int
) -> dict[PoolId, int]:
    """Return for each pool the instances that it keeps whatever its present work.

    A pool that may have the next peak keeps what it came with, which serves its first seconds;
    the others keep nothing beyond their work. A turn that was expected and has not come is not
    waited for any longer.
    """
    known = list(pools)
    coming = set() if history.is_overdue(now_ms) else history.next_pools(known)
    return {pool: declared.get(pool, 0) if pool in coming else 0 for pool in known}

"""Load peaks of the pools, and a forecast of which pool has the next one and when.

Demand often moves from pool to pool: each asks for several times its mean for a while and for
little in between. The forecast uses the interval between the starts of successive peaks, and
expects the next peak in the pool whose last one is the longest ago. Pools that have had no peak
yet come first.
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

START_RATIO = 0.35
"""Ratio of a pool's highest demand so far at which a peak starts. A peak of several times the mean
crosses it within its first second; a ratio that demand between peaks also crosses would find
peaks where there are none."""

MIN_PEAK_RATIO = 0.3
"""Ratio of a pool's initial size that arriving work must need to count as a peak. When one instance
was enough, single jobs counted as peaks of four pools out of turn within the first seconds, and two
of these pools kept 25 idle instances each for half a minute."""

END_RATIO = 0.15
"""Ratio of the current peak's highest demand below which the peak has ended."""

REOPEN_TIMEOUT_MS = 3_000
"""Time after the end of a peak within which new demand of the same pool continues it: in an outage
of seconds, callers are rejected, so that their demand only seems to have ended."""

START_TIMEOUT_MS = 2_000
"""Time after the expected start of a peak for which instances are kept ready. Starts are noticed
one second late, and a peak that has not started by then may not come at all."""

FORECAST_PERIOD_MS = 3_000
"""Time after the start of a peak for which it is expected to grow like earlier peaks; later on, the
demand itself is the better indicator. From growth alone, the workers for the start of a peak were
requested 1.5 s later."""

MAX_PEAKS = 24
"""Max number of peaks kept in the history: several rounds over the busy pools, in a row of a few
kilobytes."""

MAX_DEVIATION_RATIO = 0.25
"""Max deviation of the intervals between starts from their median, relative to the median, for a
forecast."""

MIN_INTERVALS = 2
"""Min number of known intervals between starts for a forecast."""


class PeakHistory:
    """Peaks of all pools; times are in milliseconds since the epoch."""

    def __init__(self) -> None:
        self.peaks: list[PeakRecord] = []
        """Oldest first."""
        self.changed = False
        """Whether a peak started or ended since the history was last recorded."""

    def note_demand(
        self, pool: PoolId, cpu_millis: int, min_peak_cpu_millis: int, now_ms: int
    ) -> None:
        """Apply the demand of a pool's callers; below `min_peak_cpu_millis` no peak starts."""
        peak = self.current_peak(pool)
        if peak is not None:
            peak.cpu_millis = max(peak.cpu_millis, cpu_millis)
            if cpu_millis < END_RATIO * peak.cpu_millis:
                peak.ended_ms = now_ms
                self.changed = True
                log.info(
                    "peak ended", pool=pool, cpu_millis=cpu_millis, max_cpu_millis=peak.cpu_millis
                )
            return
        highest = max((p.cpu_millis for p in self.peaks if p.pool == pool), default=0)
        if cpu_millis >= max(min_peak_cpu_millis, START_RATIO * highest):
            self._start_peak(pool, cpu_millis, now_ms)

    def _start_peak(self, pool: PoolId, cpu_millis: int, now_ms: int) -> None:
        self.changed = True
        log.info("peak started", pool=pool, cpu_millis=cpu_millis, forecast_ms=self.next_start_ms())
        last = self._last_peak(pool)
        if last is not None and now_ms - last.ended_ms < REOPEN_TIMEOUT_MS:
            last.ended_ms = 0
            return
        self.peaks.append(PeakRecord(pool=pool, began_ms=now_ms, cpu_millis=cpu_millis))
        del self.peaks[:-MAX_PEAKS]

    def current_peak(self, pool: PoolId) -> PeakRecord | None:
        """Return the peak that a pool has now, if any."""
        last = self._last_peak(pool)
        return None if last is None or last.ended_ms else last

    def _last_peak(self, pool: PoolId) -> PeakRecord | None:
        return next((peak for peak in reversed(self.peaks) if peak.pool == pool), None)

    def next_pools(self, pools: Iterable[PoolId]) -> set[PoolId]:
        """Return the pools that may have the next peak."""
        quiet = [pool for pool in pools if self.current_peak(pool) is None]
        began = {pool: last.began_ms if (last := self._last_peak(pool)) else 0 for pool in quiet}
        first = min(began.values(), default=0)
        return {pool for pool in quiet if began[pool] == first}

    def next_start_ms(self) -> float | None:
        """Return when the next peak is expected to start, or None without a forecast."""
        starts = [peak.began_ms for peak in self.peaks]
        intervals = [after - before for before, after in zip(starts, starts[1:], strict=False)]
        if len(intervals) < MIN_INTERVALS:
            return None
        usual = statistics.median(intervals)
        if any(abs(interval - usual) > MAX_DEVIATION_RATIO * usual for interval in intervals[-3:]):
            return None
        return starts[-1] + usual

    def is_overdue(self, now_ms: int) -> bool:
        """Whether a peak was forecast and has not started."""
        start_ms = self.next_start_ms()
        return start_ms is not None and now_ms > start_ms + START_TIMEOUT_MS

    def _is_order_repeated(self) -> bool:
        """Whether the newest peak's pool followed the same pool as the last time."""
        order = [peak.pool for peak in self.peaks]
        newest = order[-1]
        earlier = [place for place in range(1, len(order) - 1) if order[place] == newest]
        return not earlier or order[earlier[-1] - 1] == order[-2]

    def expected_pool(self, pools: Iterable[PoolId], now_ms: int, lead_ms: float) -> PoolId | None:
        """Return the pool whose peak is forecast within the lead time or has just become due.

        Return None if there is no forecast, if not exactly one pool may be next, or if the newest
        peak's pool did not follow the same pool as the last time.
        """
        start_ms = self.next_start_ms()
        candidates = self.next_pools(pools)
        if start_ms is None or len(candidates) != 1 or not self._is_order_repeated():
            return None
        if not start_ms - lead_ms <= now_ms < start_ms + START_TIMEOUT_MS:
            return None
        return next(iter(candidates))

    def typical_cpu_millis(self, pool: PoolId) -> int:
        """Return the demand of a pool's last peak, or else the mean over all pools' peaks."""
        last = self._last_peak(pool)
        if last is not None:
            return last.cpu_millis
        known = [peak.cpu_millis for peak in self.peaks]
        return int(statistics.fmean(known)) if known else 0

    def forecast_cpu_millis(
        self, pool: PoolId, initial_sizes: Mapping[PoolId, int], now_ms: int
    ) -> int | None:
        """Return the demand forecast for a peak that has just started, or None without one.

        The forecast is the demand of the pool's previous peak, or else that of the other pools'
        peaks in proportion to the pools' initial sizes.
        """
        current = self.current_peak(pool)
        if current is None or now_ms - current.began_ms > FORECAST_PERIOD_MS:
            return None
        own = [peak.cpu_millis for peak in self.peaks if peak.pool == pool and peak is not current]
        if own:
            return own[-1]
        per_instance = [
            peak.cpu_millis / initial_sizes[PoolId(peak.pool)]
            for peak in self.peaks
            if peak is not current and initial_sizes.get(PoolId(peak.pool))
        ]
        return (
            round(statistics.fmean(per_instance) * initial_sizes.get(pool, 0))
            if per_instance
            else None
        )

    def restore(self, peaks: Iterable[PeakRecord]) -> None:
        """Continue with the peaks that an earlier fleet leader recorded."""
        self.peaks = list(peaks)


def min_peak_cpu_millis(initial_size: int, instance_cpu_millis: int) -> int:
    """Return the min demand of a peak, from a pool's initial size and one instance's capacity.

    The demand and the capacity are in thousandths of a core.
    """
    return int(MIN_PEAK_RATIO * instance_cpu_millis * max(1, initial_size))


def reserved_sizes(
    history: PeakHistory, initial_sizes: Mapping[PoolId, int], pools: Iterable[PoolId], now_ms: int
) -> dict[PoolId, int]:
    """Return how many instances each pool keeps regardless of its current work.

    A pool that may have the next peak keeps its initial size, which serves the first seconds of
    the peak; the others keep only what their work needs. When a forecast peak is overdue, no pool
    keeps instances for it any longer.
    """
    known = list(pools)
    candidates = set() if history.is_overdue(now_ms) else history.next_pools(known)
    return {pool: initial_sizes.get(pool, 0) if pool in candidates else 0 for pool in known}

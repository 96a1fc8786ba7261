"""Whether the processes of a run were given the processor, as the operating system accounts it.

Nodes that wait for a processor, and stand-ins that do, answer as late as if they were paused.
"""

from __future__ import annotations

import contextlib
from collections import defaultdict, deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STANDSTILL_S = 0.4
"""Time for which a node may wait for a processor within `WINDOW_S`."""

MAX_GAP_S = 0.2
"""Longest time between two looks at which the stand-ins, which share the soak's event loop, answer
in time: a node waits 0.3 s for an answer, which takes several turns of the loop."""

WINDOW_S = 1.0
"""Time over which a process's waits for a processor are summed up."""


@dataclass
class Steadiness:
    """Standstills of the soak itself, in which all stand-ins run, and of the nodes."""

    checked_at: float = float("inf")
    longest_gap_s: float = 0.0
    """Longest time between two looks."""
    longest_wait_s: float = 0.0
    """Longest time within `WINDOW_S` for which a node waited for a processor."""
    steady_since: float = 0.0
    """Since when no node has waited for over `MAX_STANDSTILL_S`, and no look came later than
    `MAX_GAP_S` after the one before."""
    waits: dict[int, deque[tuple[float, float]]] = field(default_factory=lambda: defaultdict(deque))
    """By process id: times of looks, and how long the process had waited in all until then."""

    def note(self, pids: Iterable[int], now: float) -> float:
        """Look at the processes; return the time since the last look."""
        gap_s = max(0.0, now - self.checked_at)
        self.checked_at = now
        wait_s = max((self._wait_s(pid, now) for pid in pids), default=0.0)
        self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.longest_wait_s = max(self.longest_wait_s, wait_s)
        if gap_s > MAX_GAP_S or wait_s > MAX_STANDSTILL_S:
            self.steady_since = now
        return gap_s

    def _wait_s(self, pid: int, now: float) -> float:
        """Return for how long a process waited in the last `WINDOW_S`; 0 if it is not known."""
        with contextlib.suppress(OSError):
            waited_ns = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
            looks = self.waits[pid]
            looks.append((now, waited_ns / 1e9))
            while len(looks) > 2 and looks[1][0] <= now - WINDOW_S:
                looks.popleft()
            return looks[-1][1] - looks[0][1]
        return 0.0

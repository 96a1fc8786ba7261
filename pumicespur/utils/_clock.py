"""Wall-clock time, for rows that people read; durations use time.monotonic()."""

from __future__ import annotations

import time


def now_ms() -> int:
    """Return milliseconds since 1970."""
    return int(time.time() * 1000)

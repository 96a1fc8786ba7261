"""Log lines on standard output that never block the process.

Each line is one JSON object. The number of lines per event and second is limited. Lines beyond this
limit, and lines that can't be written to standard output in time, are dropped and counted in a
summary line.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

from logbook import Handler, lookup_level

if TYPE_CHECKING:
    from logbook import LogRecord

MAX_WAITING_LINES = 2000
"""Lines buffered while standard output is blocked: some seconds of logs, about a megabyte."""

SUMMARY_INTERVAL_S = 1.0
"""Min interval between two summary lines that count dropped lines."""


class EventHandler(Handler):
    """Writes records as JSON to a file descriptor, which it sets to non-blocking mode."""

    def __init__(self, process: str, level: str, lines_per_s: int, descriptor: int = 1) -> None:
        super().__init__(level=lookup_level(level))
        self.process = process
        self.lines_per_s = lines_per_s
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.partial = b""
        """Rest of a line that has been written in part."""
        self.current_second = 0
        self.logged: Counter[str] = Counter()
        """Number of records of the current second by event, also of those beyond the limit."""
        self.dropped: Counter[str] = Counter()
        """Dropped lines since the last summary line, by event."""
        self.summarized_at = 0.0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Write a record now, buffer it, or count it as dropped."""
        now = time.time()
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.logged.clear()
        self.logged[record.message] += 1
        if self.logged[record.message] > self.lines_per_s:
            self.dropped[record.message] += 1
        else:
            self._queue(_format_line(self.process, record), record.message)
        if self.dropped and now - self.summarized_at >= SUMMARY_INTERVAL_S:
            self._queue_summary(now)
        self._flush()

    def _queue(self, line: bytes, event: str) -> None:
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped[event] += 1
        else:
            self.waiting.append(line)

    def _queue_summary(self, now: float) -> None:
        if len(self.waiting) >= MAX_WAITING_LINES:
            return
        fields = {
            "time": round(now, 3),
            "level": "WARNING",
            "process": self.process,
            "event": "log lines left out",
            "counts": dict(self.dropped),
        }
        self.waiting.append(json.dumps(fields).encode() + b"\n")
        self.dropped.clear()
        self.summarized_at = now

    def _flush(self) -> None:
        while self.partial or self.waiting:
            chunk = self.partial or self.waiting.popleft()
            try:
                count = os.write(self.descriptor, chunk)
            except BlockingIOError:
                self.partial = chunk
                return
            except OSError:
                # The reader of standard output is gone, so there is nowhere to report this.
                self.partial = b""
                self.waiting.clear()
                return
            self.partial = chunk[count:]


def _format_line(process: str, record: LogRecord) -> bytes:
    fields: dict[str, Any] = {
        "time": round(record.time.timestamp(), 3),
        "level": record.level_name,
        "process": process,
        "event": record.message,
    }
    fields |= record.kwargs
    if record.exc_info:
        fields["traceback"] = record.formatted_exception
    return json.dumps(fields, default=str, separators=(",", ":")).encode() + b"\n"


def set_up_event_log(process: str, level: str, lines_per_s: int) -> EventHandler:
    """Write all log lines to standard output from now on."""
    handler = EventHandler(process, level, lines_per_s)
    handler.push_application()
    return handler

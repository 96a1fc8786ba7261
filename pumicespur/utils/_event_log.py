"""Log lines on standard output that never hold the process up.

One JSON object a line. Each event has a budget of lines a second; what goes beyond it, and
what standard output does not take, is counted and told in a line of its own.
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
"""Lines kept while standard output takes none: some seconds' worth, about a megabyte."""

SUMMARY_S = 1.0
"""Pause between two lines that count what was left out."""


class EventHandler(Handler):
    """Writes records as JSON to a descriptor that is set not to block."""

    def __init__(self, process: str, level: str, lines_per_s: int, descriptor: int = 1) -> None:
        super().__init__(level=lookup_level(level))
        self.process = process
        self.lines_per_s = lines_per_s
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.rest = b""
        self.second = 0
        self.written: Counter[str] = Counter()
        self.left_out: Counter[str] = Counter()
        self.told_at = 0.0
        os.set_blocking(descriptor, False)

    def emit(self, record: LogRecord) -> None:
        """Write a record now, keep it for later, or count it as left out."""
        now = time.time()
        if int(now) != self.second:
            self.second = int(now)
            self.written.clear()
        self.written[record.message] += 1
        if self.written[record.message] > self.lines_per_s:
            self.left_out[record.message] += 1
        else:
            self._queue(_line(self.process, record), record.message)
        if self.left_out and now - self.told_at >= SUMMARY_S:
            self._tell_left_out(now)
        self._flush()

    def _queue(self, line: bytes, event: str) -> None:
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.left_out[event] += 1
        else:
            self.waiting.append(line)

    def _tell_left_out(self, now: float) -> None:
        if len(self.waiting) >= MAX_WAITING_LINES:
            return
        fields = {
            "time": round(now, 3),
            "level": "WARNING",
            "process": self.process,
            "event": "log lines left out",
            "counts": dict(self.left_out),
        }
        self.waiting.append(json.dumps(fields).encode() + b"\n")
        self.left_out.clear()
        self.told_at = now

    def _flush(self) -> None:
        while self.rest or self.waiting:
            chunk = self.rest or self.waiting.popleft()
            try:
                count = os.write(self.descriptor, chunk)
            except BlockingIOError:
                self.rest = chunk
                return
            except OSError:
                # Nobody reads standard output any more; there is no place left to say so.
                self.rest = b""
                self.waiting.clear()
                return
            self.rest = chunk[count:]


def _line(process: str, record: LogRecord) -> bytes:
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
    """Send all log lines to standard output from now on."""
    handler = EventHandler(process, level, lines_per_s)
    handler.push_application()
    return handler

"""Structured log lines on standard error, one JSON object per line."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from logbook import Handler, StderrHandler, lookup_level

if TYPE_CHECKING:
    from logbook import LogRecord


class JsonHandler(StderrHandler):
    """Writes the message, the extra fields and the process as one JSON object."""

    def __init__(self, process: str, level: str) -> None:
        super().__init__(level=lookup_level(level))
        self.process = process

    def format(self, record: LogRecord) -> str:
        """Return one record as a line."""
        fields: dict[str, Any] = {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "process": self.process,
            "logger": record.channel,
            "message": record.message,
        }
        fields |= record.kwargs
        if record.exc_info:
            fields["traceback"] = record.formatted_exception
        return json.dumps(fields, default=str)


def set_up_stderr_log(process: str, level: str) -> Handler:
    """Write all log lines to standard error from now on."""
    handler = JsonHandler(process, level)
    handler.push_application()
    sys.stderr.reconfigure(line_buffering=True)  # type: ignore[union-attr]
    return handler

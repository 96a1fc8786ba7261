"""Small helpers that several parts of the program share."""

from __future__ import annotations

from pumicespur.utils._clock import now_ms
from pumicespur.utils._logs import set_up_logs
from pumicespur.utils._messages import replace_fields
from pumicespur.utils._processes import announce, stop_on_signals
from pumicespur.utils._rate import TokenBucket
from pumicespur.utils._servers import bound_address, hypercorn_config, listen, serve_app

__all__ = [
    "TokenBucket",
    "announce",
    "bound_address",
    "hypercorn_config",
    "listen",
    "now_ms",
    "replace_fields",
    "serve_app",
    "set_up_logs",
    "stop_on_signals",
]

"""Helpers shared by several packages: clocks, logs, metrics, signals and rate limits."""

from __future__ import annotations

from pumicespur.utils._clock import BootTimeEventLoop, monotonic, now_ms, run_process
from pumicespur.utils._event_log import set_up_event_log
from pumicespur.utils._messages import replace_fields
from pumicespur.utils._metrics import METRICS
from pumicespur.utils._processes import print_addresses, stop_on_signals
from pumicespur.utils._stderr_log import set_up_stderr_log
from pumicespur.utils._token_bucket import TokenBucket

__all__ = [
    "METRICS",
    "BootTimeEventLoop",
    "TokenBucket",
    "monotonic",
    "now_ms",
    "print_addresses",
    "replace_fields",
    "run_process",
    "set_up_event_log",
    "set_up_stderr_log",
    "stop_on_signals",
]

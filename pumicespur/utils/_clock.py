"""Clocks: wall-clock time for rows, and a monotonic clock for durations and timeouts."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


def now_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970, for times that are stored in rows."""
    return int(time.time() * 1000)


def monotonic() -> float:
    """Return the time in seconds of a monotonic clock that includes suspensions of the machine.

    `time.monotonic` does not include them: after a suspension an owner would treat its earlier
    leases as still valid, and give orders while its successor does the same.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BootTimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timeouts use `monotonic`, like all other durations."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return monotonic()


def run_process(function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
    """Run the main coroutine function of a process until it returns."""
    anyio.run(function, *arguments, backend_options={"loop_factory": BootTimeEventLoop})

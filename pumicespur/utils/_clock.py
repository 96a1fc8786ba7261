"""The clocks that the program goes by: wall-clock time for rows, a steady one for durations."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

import anyio

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine


def now_ms() -> int:
    """Return milliseconds since 1970, for rows that people read."""
    return int(time.time() * 1000)


def monotonic() -> float:
    """Return the seconds of a steady clock that counts the time of a suspended machine too.

    `time.monotonic` does not: after a suspension an owner would count its leases from before as
    still valid, and give orders beside its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time-outs count by the same clock as all other times."""

    def time(self) -> float:
        """Return the loop's time in seconds."""
        return monotonic()


def run_process(function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
    """Run a process until its function returns."""
    anyio.run(function, *arguments, backend_options={"loop_factory": SteadyEventLoop})

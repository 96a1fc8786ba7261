"""Helpers of the benchmarks: tables, repeated timing, and a process's processor time and memory."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from pumicespur.commands._output import print_table

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = [
    "percentile",
    "print_section",
    "print_table",
    "process_cpu_s",
    "process_memory_mb",
    "timed",
]

CLOCK_TICKS_PER_S = 100


def print_section(title: str) -> None:
    """Print a heading."""
    print(f"\n## {title}\n", flush=True)


def timed(operation: Callable[[], object], repeats: int = 5) -> tuple[float, float, float]:
    """Return the median, minimum and maximum duration of several runs, in seconds."""
    seconds: list[float] = []
    for _ in range(repeats):
        started = time.perf_counter()
        operation()
        seconds.append(time.perf_counter() - started)
    return statistics.median(seconds), min(seconds), max(seconds)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that the given share of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used so far, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def process_memory_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0

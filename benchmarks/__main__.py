"""Run every benchmark, or those named on the command line."""

from __future__ import annotations

import inspect
import sys

import anyio

from benchmarks import (
    accounts,
    claims,
    control,
    decisions,
    entry,
    evacuations,
    jobs,
    late_work,
    reports,
    routing,
)

BENCHMARKS = {
    "accounts": accounts.main,
    "decisions": decisions.main,
    "evacuations": evacuations.main,
    "jobs": jobs.main,
    "late_work": late_work.main,
    "reports": reports.main,
    "routing": routing.main,
    "claims": claims.main,
    "control": control.main,
    "entry": entry.main,
}


def main() -> None:
    """Run the benchmarks one after the other."""
    for name in sys.argv[1:] or BENCHMARKS:
        benchmark = BENCHMARKS[name]
        if inspect.iscoroutinefunction(benchmark):
            anyio.run(benchmark)
        else:
            benchmark()


if __name__ == "__main__":
    main()

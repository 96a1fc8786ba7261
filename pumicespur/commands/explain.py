"""Put the log lines of several processes about one id in order."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pumicespur.exceptions import PumicespurError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

HIDDEN = frozenset({"time", "level", "process", "event"})
"""Fields that have a column of their own."""

CONTEXT_EVENTS = frozenset(
    {
        "pool taken",
        "pool lost",
        "pool released",
        "commit not answered",
        "worker unreachable",
        "worker gone",
        "worker ejected",
        "configuration in force",
    }
)
"""Events without a job's id that may have decided what became of it."""


@dataclass(frozen=True)
class Line:
    """One log line; the time is seconds since 1970."""

    time: float
    process: str
    event: str
    fields: dict[str, Any]


def explain(wanted: str, files: Sequence[Path], *, as_json: bool = False) -> None:
    """Print what the processes' logs say of a job, a task, a worker or a pool."""
    lines = [line for path in files for line in read_lines(path)]
    found = about(wanted, lines)
    if not found:
        raise PumicespurError(f"no line of {len(files)} file(s) is about {wanted!r}")
    for line in found:
        print(_as_json(line) if as_json else _as_row(line, found[0].time))


def read_lines(path: Path) -> Iterable[Line]:
    """Read the structured lines of a file; anything else in it is passed over."""
    with path.open(encoding="utf-8", errors="replace") as text:
        for row in text:
            start = row.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(row[start:])
            except json.JSONDecodeError:
                # Not one of the program's lines, or one cut off by the end of its process.
                continue
            if "event" in fields and "time" in fields:
                yield Line(fields["time"], fields.get("process", ""), fields["event"], fields)


def about(wanted: str, lines: Iterable[Line]) -> list[Line]:
    """Pick the lines that name an id, and those of its pool that may have decided about it."""
    ordered = sorted(lines, key=lambda line: line.time)
    direct = [line for line in ordered if _names(line, wanted)]
    if not direct:
        return []
    pools = {line.fields["pool"] for line in direct if "pool" in line.fields}
    first, last = direct[0].time, direct[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and first <= line.time <= last
        and line.fields.get("pool") in pools
    ]
    return sorted({id(line): line for line in [*direct, *context]}.values(), key=lambda x: x.time)


def _names(line: Line, wanted: str) -> bool:
    named = (value for key, value in line.fields.items() if key not in HIDDEN)
    return any(
        isinstance(value, str) and (value == wanted or value.startswith(wanted + "."))
        for value in named
    )


def _as_json(line: Line) -> str:
    return json.dumps(line.fields, separators=(",", ":"))


def _as_row(line: Line, start: float) -> str:
    told = " ".join(f"{key}={value}" for key, value in line.fields.items() if key not in HIDDEN)
    return f"{line.time - start:+9.3f}s  {line.process:<20}  {line.event:<24}  {told}"

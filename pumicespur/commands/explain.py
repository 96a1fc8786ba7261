"""Print the log lines of several processes about one id, in order of time."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pumicespur.exceptions import PumicespurError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from pathlib import Path

COLUMN_FIELDS = frozenset({"time", "level", "process", "event"})
"""Log fields that are printed in a column of their own."""

CONTEXT_EVENTS = frozenset(
    {
        "pool taken",
        "workers known",
        "pool lost",
        "pool released",
        "commit not answered",
        "worker unreachable",
        "worker gone",
        "worker ejected",
        "configuration in force",
        "starts suspended",
        "starts resumed",
        "long-running tasks without a run left out",
        "long-running tasks that run again left out",
    }
)
"""Events that carry no job id but may explain what happened to a job of the same pool."""

EVACUATION_BEGINS = "evacuation in force"
EVACUATION_EVENTS = frozenset({EVACUATION_BEGINS, "evacuation over"})
"""Events of data halls, which concern the jobs of all pools."""


@dataclass(frozen=True)
class LogLine:
    """One structured log line; the time is in seconds since 1970."""

    time: float
    process: str
    event: str
    fields: dict[str, Any]


def explain(wanted: str, files: Sequence[Path], *, as_json: bool = False) -> None:
    """Print the log lines about a job, a task, a worker or a pool."""
    lines = [line for path in files for line in read_lines(path)]
    found = select_lines(wanted, lines)
    if not found:
        raise PumicespurError(f"no line of {len(files)} file(s) is about {wanted!r}")
    for line in found:
        print(_as_json(line) if as_json else _as_row(line, found[0].time))


def read_lines(path: Path) -> Iterable[LogLine]:
    """Yield the structured lines of a file; other lines are skipped."""
    with path.open(encoding="utf-8", errors="replace") as text:
        for row in text:
            start = row.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(row[start:])
            except json.JSONDecodeError:
                # Not a line of this program, or one that was cut off when its process ended.
                continue
            if "event" in fields and "time" in fields:
                yield LogLine(fields["time"], fields.get("process", ""), fields["event"], fields)


def select_lines(wanted: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines that mention an id, with the context events of its pool, sorted by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    mentioning = [line for line in ordered if _mentions(line, wanted)]
    if not mentioning:
        return []
    pools = {line.fields["pool"] for line in mentioning if "pool" in line.fields}
    first, last = mentioning[0].time, mentioning[-1].time
    context = [
        line
        for line in ordered
        if line.event in CONTEXT_EVENTS
        and first <= line.time <= last
        and line.fields.get("pool") in pools
    ]
    context += _select_evacuations(ordered, first, last)
    return sorted(
        {id(line): line for line in [*mentioning, *context]}.values(), key=lambda x: x.time
    )


def _select_evacuations(ordered: Iterable[LogLine], first: float, last: float) -> list[LogLine]:
    """Return the lines of evacuations within a time, and of those in force when it begins."""
    in_force: dict[tuple[str, str], LogLine] = {}
    within: list[LogLine] = []
    for line in ordered:
        if line.event not in EVACUATION_EVENTS or line.time > last:
            continue
        if line.time >= first:
            within.append(line)
            continue
        place = (line.process, str(line.fields.get("hall")))
        in_force.pop(place, None)
        if line.event == EVACUATION_BEGINS:
            in_force[place] = line
    return [*in_force.values(), *within]


def _mentions(line: LogLine, wanted: str) -> bool:
    values = (value for key, value in line.fields.items() if key not in COLUMN_FIELDS)
    return any(
        isinstance(value, str) and (value == wanted or value.startswith(wanted + "."))
        for value in values
    )


def _as_json(line: LogLine) -> str:
    return json.dumps(line.fields, separators=(",", ":"))


def _as_row(line: LogLine, start: float) -> str:
    rest = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key not in COLUMN_FIELDS
    )
    return f"{line.time - start:+9.3f}s  {line.process:<20}  {line.event:<24}  {rest}"

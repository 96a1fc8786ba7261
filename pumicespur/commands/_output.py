"""Print responses as tables for people or as JSON for scripts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pumicespur.config import format_finding

if TYPE_CHECKING:
    from collections.abc import Sequence

    from protobuf import Message

    from pumicespur.schema.operators_pb import ApplyResponse, StatusResponse


def print_json(message: Message[Any]) -> None:
    """Print a message as JSON on one line."""
    print(message.to_json())


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in columns as wide as their content."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())


def print_changes(response: ApplyResponse, *, dry_run: bool) -> None:
    """Print the sections that an apply changed, or would change."""
    for finding in response.findings:
        print(format_finding(finding))
    verb = "would change" if dry_run else "changed"
    for section in response.changed:
        print(f"{verb} [{section}]")
    if not response.changed:
        print("nothing to change")
    print(f"revision {response.revision}")


def print_status(status: StatusResponse) -> None:
    """Print the state of pools, waves and processes as tables."""
    print(
        f"revision {status.revision}, reported by {status.process}, planner {status.planner or '-'}"
    )
    print()
    header = ("POOL", "SIZE", "ASSIGNED", "AVAILABLE", "BUDGET", "BUFFER")
    pools = [
        (p.pool, p.size, p.assigned, p.available, p.min_available, p.buffer) for p in status.pools
    ]
    print_table(header, pools)
    if status.waves:
        print()
        waves = [
            (w.wave, w.phase.name.lower(), w.done, w.failed, w.reason or "-") for w in status.waves
        ]
        print_table(("WAVE", "PHASE", "DONE", "FAILED", "REASON"), waves)
    print()
    members = [(m.id, m.role.name.lower(), m.data_hall, m.peer_address) for m in status.members]
    print_table(("PROCESS", "ROLE", "DATA HALL", "PEER ADDRESS"), members)
    for finding in status.findings:
        print(format_finding(finding))

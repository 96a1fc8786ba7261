"""Check files of settings and declarations without contacting a manager."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.config import format_finding, load_declaration, load_settings

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


def check_settings(path: Path) -> None:
    """Check a settings file; raise ConfigurationError with all findings on an error."""
    _, warnings = load_settings(path)
    for finding in warnings:
        print(format_finding(finding))
    print(f"{path}: no errors")


def check_declarations(paths: Sequence[Path]) -> None:
    """Check declaration files; raise ConfigurationError with all findings on an error."""
    declaration, warnings = load_declaration(paths)
    for finding in warnings:
        print(format_finding(finding))
    counts = {
        "pools": len(declaration.pools),
        "jobs": len(declaration.jobs),
        "teams": len(declaration.teams),
        "waves": len(declaration.waves),
    }
    print("no errors: " + ", ".join(f"{count} {kind}" for kind, count in counts.items()))

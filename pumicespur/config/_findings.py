"""Findings: what is wrong in a file or a declaration, with its place."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.operators_pb import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Iterable


def error(section: str, key: str, message: str) -> Finding:
    """Make a finding that stops the work."""
    return Finding(severity=Severity.ERROR, section=section, key=key, message=message)


def warning(section: str, key: str, message: str) -> Finding:
    """Make a finding that is only told."""
    return Finding(severity=Severity.WARNING, section=section, key=key, message=message)


def has_errors(findings: Iterable[Finding]) -> bool:
    """Tell whether any finding stops the work."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def format_finding(finding: Finding) -> str:
    """Write a finding as `file:line: [section] key: error: message`."""
    place = finding.file or "declaration"
    if finding.line:
        place += f":{finding.line}"
    if finding.section:
        place += f": [{finding.section}]"
    if finding.key:
        place += f" {finding.key}"
    return f"{place}: {finding.severity.name.lower()}: {finding.message}"

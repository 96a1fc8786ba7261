"""Findings: errors and warnings about a file or a declaration, with their position."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.operators_pb import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Iterable


def error(section: str, key: str, message: str) -> Finding:
    """Return a finding that makes a file or declaration invalid."""
    return Finding(severity=Severity.ERROR, section=section, key=key, message=message)


def warning(section: str, key: str, message: str) -> Finding:
    """Return a finding that is reported without making anything invalid."""
    return Finding(severity=Severity.WARNING, section=section, key=key, message=message)


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether any finding is an error."""
    return any(finding.severity is Severity.ERROR for finding in findings)


def format_finding(finding: Finding) -> str:
    """Return a finding as `file:line: [section] key: error: message`."""
    position = finding.file or "declaration"
    if finding.line:
        position += f":{finding.line}"
    if finding.section:
        position += f": [{finding.section}]"
    if finding.key:
        position += f" {finding.key}"
    return f"{position}: {finding.severity.name.lower()}: {finding.message}"

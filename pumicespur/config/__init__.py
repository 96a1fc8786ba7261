"""Settings and declarations, read from INI files and checked against the schema."""

from __future__ import annotations

from pumicespur.config._declarations import load_declaration
from pumicespur.config._findings import error, format_finding, has_errors, warning
from pumicespur.config._settings import Settings, load_settings

__all__ = [
    "Settings",
    "error",
    "format_finding",
    "has_errors",
    "load_declaration",
    "load_settings",
    "warning",
]

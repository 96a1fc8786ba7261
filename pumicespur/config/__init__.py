"""Settings and declarations, read from INI files and checked against the schema."""

from __future__ import annotations

from pumicespur.config._declarations import load_declaration
from pumicespur.config._findings import error, format_finding, has_errors, warning
from pumicespur.config._node_settings import NodeSettings, load_node_settings
from pumicespur.config._settings import Settings, load_settings

__all__ = [
    "NodeSettings",
    "Settings",
    "error",
    "format_finding",
    "has_errors",
    "load_declaration",
    "load_node_settings",
    "load_settings",
    "warning",
]

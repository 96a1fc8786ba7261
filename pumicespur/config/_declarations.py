"""Declarations of pools, jobs, teams and waves, read from INI files."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pumicespur.config._findings import error, has_errors
from pumicespur.config._ini import read_ini
from pumicespur.config._options import fill_message
from pumicespur.exceptions import ConfigurationError
from pumicespur.schema.fleet_pb import Declaration, Job, Pool, Team, Wave
from pumicespur.structure import check_declaration

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from protobuf import Message

    from pumicespur.config._ini import IniSection
    from pumicespur.schema.operators_pb import Finding

ID_FIELD = frozenset({"id"})


def load_declaration(paths: Iterable[Path]) -> tuple[Declaration, list[Finding]]:
    """Read files as one declaration; raise ConfigurationError with all findings on an error.

    A section is named by its kind and its id, as in `[pool issuance]`. The returned
    findings are all warnings.
    """
    declaration = Declaration()
    findings: list[Finding] = []
    read_sections: dict[str, IniSection] = {}
    for path in paths:
        ini = read_ini(path)
        findings += ini.findings
        for section in ini.sections:
            findings += _read_section(declaration, section, read_sections)
    for finding in check_declaration(declaration):
        ini_section = read_sections.get(finding.section)
        findings.append(ini_section.locate(finding) if ini_section else finding)
    if has_errors(findings):
        raise ConfigurationError(findings)
    return declaration, findings


def _read_section(
    declaration: Declaration, section: IniSection, read_sections: dict[str, IniSection]
) -> list[Finding]:
    kind, _, name = section.name.partition(" ")
    if section.name in read_sections:
        first = read_sections[section.name]
        text = f"is already declared in {first.file}:{first.line}"
        return [section.locate(error("", "", text))]
    message = _append_section(declaration, kind, name.strip())
    if message is None:
        text = "a section is [pool ID], [job ID], [team ID] or [wave ID]"
        return [section.locate(error("", "", text))]
    read_sections[section.name] = section
    return fill_message(message, section, skip=ID_FIELD)


def _append_section(declaration: Declaration, kind: str, name: str) -> Message[Any] | None:
    match kind:
        case "pool":
            declaration.pools.append(Pool(id=name))
            return declaration.pools[-1]
        case "job":
            declaration.jobs.append(Job(id=name))
            return declaration.jobs[-1]
        case "team":
            declaration.teams.append(Team(id=name))
            return declaration.teams[-1]
        case "wave":
            declaration.waves.append(Wave(id=name))
            return declaration.waves[-1]
        case _:
            return None

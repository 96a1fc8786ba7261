"""INI files, read with the line numbers of sections and keys."""

from __future__ import annotations

import configparser
import re
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.config._findings import error

if TYPE_CHECKING:
    from pathlib import Path

    from pumicespur.schema.operators_pb import Finding

SECTION_LINE = re.compile(r"^\[(?P<name>[^]]+)\]")
KEY_LINE = re.compile(r"^(?P<name>[^\s#;=:\[][^=:]*?)\s*[=:]")


@dataclass
class IniSection:
    """One section: the value and the line of each key."""

    file: str
    name: str
    line: int
    values: dict[str, str] = field(default_factory=dict)
    lines: dict[str, int] = field(default_factory=dict)

    def locate(self, finding: Finding) -> Finding:
        """Set the file, section and line of a finding about this section, and return it."""
        finding.file = self.file
        finding.section = self.name
        finding.line = self.lines.get(finding.key, self.line)
        return finding


@dataclass
class IniFile:
    """The sections of a file in order, and findings about what could not be read."""

    sections: list[IniSection]
    findings: list[Finding]


def read_ini(path: Path) -> IniFile:
    """Read an INI file; errors become findings and are not raised."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as failure:
        return IniFile([], [_file_finding(path, 0, f"can't be read: {failure}")])
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source=str(path))
    except configparser.MissingSectionHeaderError as failure:
        return IniFile([], [_file_finding(path, failure.lineno, "no section starts above")])
    except configparser.ParsingError as failure:
        findings = [
            _file_finding(path, line, f"not INI: {source}") for line, source in failure.errors
        ]
        return IniFile([], findings)
    except (configparser.DuplicateSectionError, configparser.DuplicateOptionError) as failure:
        return IniFile([], [_file_finding(path, failure.lineno or 0, failure.message)])
    except configparser.Error as failure:
        line = getattr(failure, "lineno", 0)
        return IniFile([], [_file_finding(path, line, failure.message)])
    return IniFile(_build_sections(path, parser, text), [])


def _build_sections(path: Path, parser: configparser.ConfigParser, text: str) -> list[IniSection]:
    sections = {name: IniSection(str(path), name, 0, dict(parser[name])) for name in parser if name}
    current: IniSection | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        if found := SECTION_LINE.match(line):
            current = sections[found["name"]]
            current.line = number
        elif current is not None and (found := KEY_LINE.match(line)):
            current.lines[found["name"].strip().lower()] = number
    return list(sections.values())


def _file_finding(path: Path, line: int, message: str) -> Finding:
    finding = error("", "", message.replace("\n", " "))
    finding.file = str(path)
    finding.line = line
    return finding

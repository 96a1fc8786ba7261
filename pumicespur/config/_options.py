"""Parsing of a section's text values into the fields of a schema message."""

from __future__ import annotations

import difflib
import ipaddress
import math
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

from protobuf import (
    DescFieldValueEnum,
    DescFieldValueList,
    DescFieldValueMessage,
    DescFieldValueScalar,
    ScalarType,
)

from pumicespur.config._findings import error
from pumicespur.schema.settings_pb import Option, OptionKind, ext_option

if TYPE_CHECKING:
    from protobuf import DescEnum, DescField, Message

    from pumicespur.config._ini import IniSection
    from pumicespur.schema.operators_pb import Finding

FLOATS = (ScalarType.DOUBLE, ScalarType.FLOAT)
INT32_LIMIT = 2**31


class OptionError(ValueError):
    """A value that an option does not accept; the message says what it accepts."""


def option_of(field: DescField) -> Option:
    """Return the default and the checks of a setting, as its schema field declares them."""
    options = field.proto.options
    if options is None or ext_option not in options:
        return Option()
    return options[ext_option]


def fill_message(
    message: Message[Any], section: IniSection, *, skip: frozenset[str] = frozenset()
) -> list[Finding]:
    """Set the fields of `message` from `section`, with defaults; return findings with positions.

    Fields of a nested message, such as an amount of resources, are keys of the same section.
    """
    fields = _flat_fields(message, skip)
    findings = _unknown_keys(section, fields)
    for name, (owner, field) in fields.items():
        option = option_of(field)
        # An empty value counts as not set: a platform that renders the file from a template
        # writes an empty text where it has no value.
        text = section.values.get(name) or option.default
        if not text:
            if option.required:
                findings.append(section.locate(error(section.name, name, "is required")))
            continue
        try:
            setattr(owner, field.local_name, _parse(field, option, text))
        except OptionError as failure:
            findings.append(section.locate(error(section.name, name, str(failure))))
    return findings


def _flat_fields(
    message: Message[Any], skip: frozenset[str]
) -> dict[str, tuple[Message[Any], DescField]]:
    fields: dict[str, tuple[Message[Any], DescField]] = {}
    for field in message.desc().fields:
        if field.name in skip:
            continue
        if isinstance(field.value, DescFieldValueMessage):
            nested = getattr(message, field.local_name)
            if nested is None:
                nested = field.value.message.type()
                setattr(message, field.local_name, nested)
            fields |= _flat_fields(nested, skip)
        else:
            fields[field.name] = (message, field)
    return fields


def _unknown_keys(section: IniSection, known: dict[str, Any]) -> list[Finding]:
    findings = []
    for key in section.values:
        if key in known:
            continue
        nearest = difflib.get_close_matches(key, known, n=1)
        hint = f"; did you mean {nearest[0]!r}?" if nearest else ""
        findings.append(section.locate(error(section.name, key, f"is not a known key{hint}")))
    return findings


def _parse(field: DescField, option: Option, text: str) -> Any:
    value = field.value
    if isinstance(value, DescFieldValueList):
        parts = (part.strip() for part in text.split(","))
        return [_check_kind(option, part) for part in parts if part]
    if isinstance(value, DescFieldValueEnum):
        return _parse_enum(value.enum, text)
    assert isinstance(value, DescFieldValueScalar)
    if value.scalar is ScalarType.STRING:
        return _check_kind(option, text)
    if value.scalar is ScalarType.BOOL:
        return _parse_bool(text)
    return _parse_number(value.scalar in FLOATS, option, text)


def _parse_bool(text: str) -> bool:
    match text.lower():
        case "yes" | "true" | "on":
            return True
        case "no" | "false" | "off":
            return False
        case _:
            raise OptionError(f"takes yes or no, not {text!r}")


def _parse_number(is_float: bool, option: Option, text: str) -> float:
    try:
        number = float(text) if is_float else int(text)
    except ValueError:
        kind = "a number" if is_float else "a whole number"
        raise OptionError(f"takes {kind}, not {text!r}") from None
    if not math.isfinite(number) or abs(number) >= INT32_LIMIT:
        raise OptionError(f"takes a number that fits 32 bits, not {text!r}")
    if option.max and not option.min <= number <= option.max:
        raise OptionError(f"takes {option.min:g} to {option.max:g}, not {text!r}")
    return number


def _parse_enum(enum: DescEnum, text: str) -> Any:
    members = {m.name.lower(): m for m in enum.type if m.value}
    found = members.get(text.lower())
    if found is None:
        raise OptionError(f"takes one of {', '.join(members)}, not {text!r}")
    return found


def _check_kind(option: Option, text: str) -> str:
    match option.kind:
        case OptionKind.ADDRESS:
            _check_address(text)
        case OptionKind.URL:
            parts = urlsplit(text)
            if parts.scheme not in ("http", "https"):
                raise OptionError(f"takes an http or https URL, not {text!r}")
            _check_address(parts.netloc)
        case OptionKind.FILE:
            if not Path(text).is_file():
                raise OptionError(f"names a file that isn't there: {text!r}")
    return text


def _check_address(text: str) -> None:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise OptionError(f"takes an IP number and a port, as in 10.0.0.1:8080, not {text!r}")

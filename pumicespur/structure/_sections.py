"""Sections of a declaration by name, so that changes to them can be compared."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NewType

if TYPE_CHECKING:
    from protobuf import Message

    from pumicespur.schema.fleet_pb import Declaration, Removals

SectionName = NewType("SectionName", str)


def sections_of(declaration: Declaration) -> dict[SectionName, Message[Any]]:
    """Return each section by its name, such as `pool issuance`."""
    kinds: dict[str, list[Any]] = {
        "pool": declaration.pools,
        "job": declaration.jobs,
        "team": declaration.teams,
        "wave": declaration.waves,
    }
    return {
        SectionName(f"{kind} {section.id}"): section
        for kind, sections in kinds.items()
        for section in sections
    }


def removed_sections(removals: Removals) -> list[SectionName]:
    """Return the names of the sections to remove."""
    kinds = {
        "pool": removals.pools,
        "job": removals.jobs,
        "team": removals.teams,
        "wave": removals.waves,
    }
    return [SectionName(f"{kind} {name}") for kind, names in kinds.items() for name in names]


def changed_sections(
    current: Declaration, put: Declaration, removals: Removals
) -> list[SectionName]:
    """Return the names of the sections that applying `put` and `removals` would change."""
    before = sections_of(current)
    after = sections_of(put)
    changed = [name for name, section in after.items() if before.get(name) != section]
    removed = [name for name in removed_sections(removals) if name in before]
    return changed + removed

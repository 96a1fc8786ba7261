"""Review of an apply request: the sections it would change, and why it may be refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.fleet_pb import Declaration, Record, Removals
from pumicespur.schema.operators_pb import ApplyResponse, Conflict, Finding, Severity
from pumicespur.structure import (
    Fleet,
    SectionName,
    changed_sections,
    check_declaration,
    removed_sections,
    sections_of,
)

if TYPE_CHECKING:
    from pumicespur.schema.operators_pb import ApplyRequest


def review(fleet: Fleet, request: ApplyRequest) -> ApplyResponse:
    """Return the sections that a request would change, its conflicts and its findings."""
    put = request.put or Declaration()
    removals = request.removals or Removals()
    changed = changed_sections(fleet.declaration(), put, removals)
    conflicts = [
        Conflict(section=name, revision=change.revision, author=change.author)
        for name in changed
        if (change := fleet.changes.get(SectionName(name)))
        and change.revision > request.base_revision
    ]
    fleet_after = Fleet.from_snapshot(fleet.snapshot())
    fleet_after.apply(Record(revision=fleet.revision + 1, put=put, removals=removals))
    findings = check_declaration(fleet_after.declaration())
    findings += _find_unknown_removals(fleet, removals)
    return ApplyResponse(changed=list(changed), conflicts=conflicts, findings=findings)


def _find_unknown_removals(fleet: Fleet, removals: Removals) -> list[Finding]:
    present = sections_of(fleet.declaration())
    return [
        Finding(severity=Severity.WARNING, section=name, message="is not there to be removed")
        for name in removed_sections(removals)
        if name not in present
    ]

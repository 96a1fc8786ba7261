"""Change the declared sections to match files, or show what that would change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.commands._output import print_changes, print_json
from pumicespur.config import format_finding, has_errors, load_declaration
from pumicespur.exceptions import ConfigurationError
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import Declaration, Removals
from pumicespur.schema.operators_pb import ApplyRequest
from pumicespur.structure import sections_of

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path


async def apply(
    client: OperatorClient,
    paths: Sequence[Path],
    *,
    base: int | None,
    prune: bool,
    dry_run: bool,
    as_json: bool,
) -> None:
    """Check the files, then apply them; with `prune`, also remove the sections that they lack."""
    declaration, warnings = load_declaration(paths)
    for finding in warnings:
        print(format_finding(finding))
    status = await client.status()
    current = status.declaration or Declaration()
    request = ApplyRequest(
        schema_version=SCHEMA_VERSION,
        put=declaration,
        removals=sections_to_prune(current, declaration) if prune else Removals(),
        base_revision=status.revision if base is None else base,
        dry_run=dry_run,
    )
    response = await client.apply(request)
    if has_errors(response.findings):
        raise ConfigurationError(response.findings)
    if as_json:
        print_json(response)
    else:
        print_changes(response, dry_run=dry_run)


def sections_to_prune(current: Declaration, wanted: Declaration) -> Removals:
    """Return the currently declared sections that are not in the wanted declaration."""
    removals = Removals()
    kinds = {
        "pool": removals.pools,
        "job": removals.jobs,
        "team": removals.teams,
        "wave": removals.waves,
    }
    for name in sections_of(current).keys() - sections_of(wanted).keys():
        kind, _, section = name.partition(" ")
        kinds[kind].append(section)
    return removals

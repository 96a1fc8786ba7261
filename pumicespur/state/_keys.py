"""The keys of the rows and objects that this project keeps in the platform."""

from __future__ import annotations

HEAD_KEY = "log/head"
LEASE_KEY = "lease/planner"
BEAT_KEY = "lease/planner/beat"
CLAIM_PREFIX = "claim/"
SNAPSHOT_OBJECT = "snapshot"


def record_key(revision: int) -> str:
    """Return the key of one record; keys sort as revisions do."""
    return f"log/{revision:015d}"

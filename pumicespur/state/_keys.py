"""Keys of the rows and objects that Pumicespur keeps in the platform's services."""

from __future__ import annotations

HEAD_KEY = "log/head"
LEASE_KEY = "lease/planner"
RENEWAL_KEY = "lease/planner/beat"
CLAIM_PREFIX = "claim/"
SNAPSHOT_OBJECT = "snapshot"


def record_key(revision: int) -> str:
    """Return the key of a record.

    Keys sort in the order of revisions, and all start with `log/0`, unlike that of the head row.
    """
    return f"log/{revision:015d}"

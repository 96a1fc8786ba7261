"""The rows that the job service keeps.

All rows of a pool lie in one part, so that a commit can carry the owner's row as a condition.
Submissions have a table for each pool, so that an owner is told of its own pool's only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pumicespur.model import JobId, PoolId

OWNERS_TABLE = "owners"


def submissions_table(pool: PoolId) -> str:
    """Return the table of a pool's jobs as callers submitted them."""
    return f"jobs-{pool}"


def submission_key(pool: PoolId, job: JobId) -> str:
    """Return the row of a job as its caller submitted it; removed when the job has ended."""
    return f"{submissions_table(pool)}/{pool}/{job}"


def progress_key(pool: PoolId, job: JobId) -> str:
    """Return the row that tells how far a job is; there once a task was placed."""
    return f"progress/{pool}/{job}"


def owner_key(pool: PoolId) -> str:
    """Return the row that names a pool's owner; its version is the fencing token."""
    return f"{OWNERS_TABLE}/{pool}/owner"


def commit_key(pool: PoolId) -> str:
    """Return the row that each commit of an owner replaces."""
    return f"commits/{pool}/last"

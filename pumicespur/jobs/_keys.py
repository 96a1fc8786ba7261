"""The rows that the job service keeps.

What an owner writes lies in one part, so that a commit can carry the owner's row as a
condition. Submissions have a table for each pool, so that an owner is told of its own pool's
only, and several parts, since a store that is slow takes the writes of one part in turn.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from pumicespur.model import key_digest

if TYPE_CHECKING:
    from pumicespur.model import AccountId, JobId, PoolId

OWNERS_TABLE = "owners"

SUBMISSION_PARTS = 32
"""Parts of a pool's submissions. The store takes the writes of one part in turn; at a sixtieth of
its usual speed that is three a second and part, so that 32 carry a peak of 30 jobs a second with
its repeats. A new owner reads each of them."""


def submissions_table(pool: PoolId) -> str:
    """Return the table of a pool's jobs as callers submitted them."""
    return f"jobs-{pool}"


def submission_parts(pool: PoolId) -> list[str]:
    """Return the parts over which a pool's submissions are spread."""
    return [f"{pool}.{number}" for number in range(SUBMISSION_PARTS)]


def submission_key(pool: PoolId, job: JobId) -> str:
    """Return the row of a job as its caller submitted it; emptied when the job has ended."""
    part = zlib.crc32(job.encode()) % SUBMISSION_PARTS
    return f"{submissions_table(pool)}/{pool}.{part}/{job}"


def progress_key(pool: PoolId, job: JobId) -> str:
    """Return the row that tells how far a job is; there once a task was placed."""
    return f"progress/{pool}/{job}"


def owner_key(pool: PoolId) -> str:
    """Return the row that names a pool's owner; its version is the fencing token."""
    return f"{OWNERS_TABLE}/{pool}/owner"


def commit_key(pool: PoolId) -> str:
    """Return the row that each commit of an owner replaces."""
    return f"commits/{pool}/last"


PARTS_TABLE = "parts"

FOUNDERS_KEY = "founders//parts"
"""The row that tells which pools held equal parts of every account's limit at first."""


def part_key(pool: PoolId, account: AccountId) -> str:
    """Return the row of a pool's part of an account's limit; names may be longer than keys."""
    return f"{PARTS_TABLE}/{pool}/{key_digest(account).hex()}"

"""Keys of the rows that the job service stores.

The rows that an owner writes are in one partition, so that a commit can have the owner's row as a
condition. Submissions have a table for each pool, so that an owner follows its own pool only, and
several partitions, since a slow store applies the writes of one partition in sequence. A job's
partition depends on its id alone: one transaction can then write the submission under the condition
that no pool has a job of this id.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from pumicespur.model import key_digest

if TYPE_CHECKING:
    from pumicespur.model import AccountId, JobId, PoolId

OWNERS_TABLE = "owners"
JOB_IDS_TABLE = "ids"

SUBMISSION_PARTITIONS = 32
"""Partitions of the submissions to all pools. The store applies the writes of one partition in
sequence; at a sixtieth of its usual speed that is three a second, so that 32 partitions handle a
peak of 30 jobs a second with its retries. A new owner reads every partition of its pool's table."""


def submissions_table(pool: PoolId) -> str:
    """Return the table of a pool's submissions."""
    return f"jobs-{pool}"


def submission_partitions() -> list[str]:
    """Return the partitions of each pool's submissions."""
    return [str(number) for number in range(SUBMISSION_PARTITIONS)]


def _partition(job: JobId) -> str:
    return str(zlib.crc32(job.encode()) % SUBMISSION_PARTITIONS)


def submission_key(pool: PoolId, job: JobId) -> str:
    """Return the key of the row of a job's submission.

    The row is compacted when the job has ended.
    """
    return f"{submissions_table(pool)}/{_partition(job)}/{job}"


def job_id_key(job: JobId) -> str:
    """Return the key of the row that tells which pool has the job of an id.

    It is in the partition of the job's submission to any pool.
    """
    return f"{JOB_IDS_TABLE}/{_partition(job)}/{job}"


PROGRESS_TABLE = "progress"


def progress_key(pool: PoolId, job: JobId) -> str:
    """Return the key of the row of a job's progress, which exists once a task was placed."""
    return f"{PROGRESS_TABLE}/{pool}/{job}"


def task_range_key(pool: PoolId, job: JobId, first: int) -> str:
    """Return the key of the row of consecutive tasks of a split job, by its first task.

    It is in the table of the jobs' progress, so that a new owner reads both with one call.
    """
    return f"{progress_key(pool, job)}/{first}"


def owner_key(pool: PoolId) -> str:
    """Return the key of the row of a pool's owner; the row's version is the fencing token."""
    return f"{OWNERS_TABLE}/{pool}/owner"


def commit_key(pool: PoolId) -> str:
    """Return the key of the row that each commit of an owner replaces."""
    return f"commits/{pool}/last"


ALLOTMENTS_TABLE = "parts"

FOUNDERS_KEY = "founders//parts"
"""Key of the row that lists the pools with equal initial allotments of every account's limit."""


def allotment_key(pool: PoolId, account: AccountId) -> str:
    """Return the key of the row of a pool's allotment of an account.

    It holds a hash, since the account's id may be longer than a key may be.
    """
    return f"{ALLOTMENTS_TABLE}/{pool}/{key_digest(account).hex()}"

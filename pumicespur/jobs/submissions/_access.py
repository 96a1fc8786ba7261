"""Which callers can see a job.

A job is invisible to other accounts: queries and cancellations get the response for an unused id,
so that no caller learns whose jobs are served or when. Only a submission under an id of another
account is refused openly, since one of the two jobs would be lost otherwise. An id that was
cancelled before a job of it was recorded is invisible to all in the same way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.model import ANONYMOUS_ACCOUNT

if TYPE_CHECKING:
    from pumicespur.model import AccountId, Route
    from pumicespur.schema.jobs_pb import JobIdRecord, JobRecord, ProgressRecord


def is_visible_to(
    caller: AccountId, route: Route, job: JobIdRecord | JobRecord | ProgressRecord
) -> bool:
    """Whether a caller on a route can see a job.

    A job without an account was submitted while its route required no key; anyone who may call the
    route now can see it. If a route no longer requires a key, callers send none for earlier jobs.
    """
    if job.withdrawn:
        return False
    if not job.account or job.account == caller:
        return True
    return caller == ANONYMOUS_ACCOUNT and job.route == route.name

"""Which callers a job is there for.

To another account a job is not there: asking and cancelling are answered as for an id that was
never used, so that nobody learns who else is served or when. Only handing in under an id that is
taken can't be answered so, since one of two jobs would be lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.model import ANYONE

if TYPE_CHECKING:
    from pumicespur.model import AccountId, Route
    from pumicespur.schema.jobs_pb import JobRecord, ProgressRecord


def is_visible_to(caller: AccountId, route: Route, job: JobRecord | ProgressRecord) -> bool:
    """Tell whether a caller on a route may know of a job.

    A job without an account came while its route needed no key; whoever may call the route now
    may ask for it. On a route that needs none any more, callers send none for jobs of before.
    """
    if not job.account or job.account == caller:
        return True
    return caller == ANYONE and job.route == route.name

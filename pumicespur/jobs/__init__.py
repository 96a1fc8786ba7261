"""The job service: submissions, their owners, and the workers that run their tasks."""

from __future__ import annotations

from pumicespur.jobs._account_report import count_accounts, describe_accounts, describe_hold
from pumicespur.jobs._allotment_exchange import PARTS_MAX_AGE_S
from pumicespur.jobs._demand import FILL_SHARE
from pumicespur.jobs._describe import describe_progress
from pumicespur.jobs._journal import Journal, Ownership, OwnershipLostError
from pumicespur.jobs._keys import OWNERS_TABLE, owner_key
from pumicespur.jobs._known_state import workers_max_age_s
from pumicespur.jobs._lease import EarlierLeases
from pumicespur.jobs._owner import PoolOwner
from pumicespur.jobs._service import JobService

__all__ = [
    "FILL_SHARE",
    "OWNERS_TABLE",
    "PARTS_MAX_AGE_S",
    "EarlierLeases",
    "JobService",
    "Journal",
    "Ownership",
    "OwnershipLostError",
    "PoolOwner",
    "count_accounts",
    "describe_accounts",
    "describe_hold",
    "describe_progress",
    "owner_key",
    "workers_max_age_s",
]

"""The job service: submissions, their owners, and the workers that run their tasks."""

from __future__ import annotations

from pumicespur.jobs._allotment_exchange import MAX_ALLOTMENT_REPORT_AGE_S
from pumicespur.jobs._demand import TARGET_UTILIZATION_RATIO
from pumicespur.jobs._journal import Journal, Ownership, OwnershipLostError
from pumicespur.jobs._keys import OWNERS_TABLE, owner_key
from pumicespur.jobs._known_state import evacuations_max_age_s, workers_max_age_s
from pumicespur.jobs._owner import PoolOwner
from pumicespur.jobs.reports import (
    describe_accounts,
    describe_evacuated_hall,
    describe_hall_block,
    describe_limit_block,
    describe_progress,
    describe_waiting_work,
    update_account_metrics,
    update_evacuation_metrics,
    update_waiting_metrics,
)
from pumicespur.jobs.sessions import EarlierLeases
from pumicespur.jobs.submissions import JobService

__all__ = [
    "MAX_ALLOTMENT_REPORT_AGE_S",
    "OWNERS_TABLE",
    "TARGET_UTILIZATION_RATIO",
    "EarlierLeases",
    "JobService",
    "Journal",
    "Ownership",
    "OwnershipLostError",
    "PoolOwner",
    "describe_accounts",
    "describe_evacuated_hall",
    "describe_hall_block",
    "describe_limit_block",
    "describe_progress",
    "describe_waiting_work",
    "evacuations_max_age_s",
    "owner_key",
    "update_account_metrics",
    "update_evacuation_metrics",
    "update_waiting_metrics",
    "workers_max_age_s",
]

"""What a pool's owner tells operators and other processes: metrics, descriptions and reports."""

from __future__ import annotations

from pumicespur.jobs.reports._accounts import (
    MAX_NAMED_ACCOUNTS,
    describe_accounts,
    describe_limit_block,
    update_account_metrics,
)
from pumicespur.jobs.reports._descriptions import (
    describe_evacuated_hall,
    describe_hall_block,
    describe_progress,
    update_evacuation_metrics,
)
from pumicespur.jobs.reports._missing_runs import MissingRuns, describe_inherited_runs
from pumicespur.jobs.reports._pool import report_pool
from pumicespur.jobs.reports._waiting_work import (
    describe_waiting_work,
    measure_waiting_work,
    update_waiting_metrics,
)

__all__ = [
    "MAX_NAMED_ACCOUNTS",
    "MissingRuns",
    "describe_accounts",
    "describe_evacuated_hall",
    "describe_hall_block",
    "describe_inherited_runs",
    "describe_limit_block",
    "describe_progress",
    "describe_waiting_work",
    "measure_waiting_work",
    "report_pool",
    "update_account_metrics",
    "update_evacuation_metrics",
    "update_waiting_metrics",
]

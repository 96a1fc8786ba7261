"""The terms on which a job is accepted, recorded with it for every later owner of the pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.jobs._limits import UNLIMITED
from pumicespur.schema.jobs_pb import JobTerms, LimitRecord

if TYPE_CHECKING:
    from pumicespur.model import ClientAccount, Route


def terms_of(route: Route, account: ClientAccount | None = None) -> JobTerms:
    """Return the terms of a job that an account submits on a route now."""
    terms = JobTerms(
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        latency_objective_ms=route.latency_objective_s * 1000,
        needs_tickets=route.advice is not None,
    )
    if account is not None and account.limit != UNLIMITED:
        terms.account_limit = LimitRecord(
            cpu_millis=account.limit.cpu_millis,
            memory_mb=account.limit.memory_mb,
            accelerators=account.limit.accelerators,
        )
    return terms

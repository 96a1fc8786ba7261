"""What a route promises a job, recorded with the submission for every later owner of the pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pumicespur.schema.jobs_pb import JobTerms

if TYPE_CHECKING:
    from pumicespur.model import Route


def terms_of(route: Route) -> JobTerms:
    """Return the terms of a job that is accepted on a route now."""
    return JobTerms(
        priority=route.priority,
        max_attempts=route.max_attempts,
        stretch=route.stretch,
        latency_objective_ms=route.latency_objective_s * 1000,
        needs_tickets=route.advice is not None,
    )

"""Submissions and cancellations: how callers' requests are recorded and how owners follow them."""

from __future__ import annotations

from pumicespur.jobs.submissions._follower import SubmissionFollower
from pumicespur.jobs.submissions._service import JobService
from pumicespur.jobs.submissions._terms import terms_of

__all__ = ["JobService", "SubmissionFollower", "terms_of"]

"""Submissions and cancellations: how callers' requests are recorded and how owners follow them."""

from __future__ import annotations

from pumicespur.jobs.submissions._follower import SubmissionFollower
from pumicespur.jobs.submissions._service import JobService

__all__ = ["JobService", "SubmissionFollower"]

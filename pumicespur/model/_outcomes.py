"""Outcomes of callers' requests."""

from __future__ import annotations

from enum import Enum


class SubmissionOutcome(Enum):
    """Outcome of the submission of a job."""

    ACCEPTED = "accepted"
    NOT_ACCEPTED = "not taken"
    """It is not recorded, nor will it be later."""
    TOO_LARGE = "too large"
    """It is larger than the store accepts, so it can never be recorded."""
    UNKNOWN = "unknown"
    """Whether it is recorded is not known."""
    OTHER_ACCOUNT = "of another account"
    """A job of another client account has this id."""
    CANCELLED_BEFORE = "cancelled before"
    """The id was cancelled while no job was recorded under it, and stays so."""


class CancellationOutcome(Enum):
    """Outcome of a request to cancel a job."""

    DONE = "done"
    NO_SUCH_JOB = "no such job"
    UNKNOWN = "unknown"

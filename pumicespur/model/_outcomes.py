"""What became of what callers asked for."""

from __future__ import annotations

from enum import Enum


class Submission(Enum):
    """What became of a submitted job."""

    ACCEPTED = "accepted"
    NOT_TAKEN = "not taken"
    """It is recorded nowhere and never will be."""
    UNKNOWN = "unknown"
    FOREIGN = "of another account"
    """A job of another account has the id."""


class Cancellation(Enum):
    """What became of a request to cancel."""

    DONE = "done"
    NO_SUCH_JOB = "no such job"
    UNKNOWN = "unknown"

"""What the scripts of the second review share: a small deployment, its jobs, and the rule LOST."""

from __future__ import annotations

from review.second.deployment import SECONDS_TO_FINISH, SmallDeployment, Step, SubmittedJob
from review.second.lost import find_lost
from review.second.script import run_script

__all__ = [
    "SECONDS_TO_FINISH",
    "SmallDeployment",
    "Step",
    "SubmittedJob",
    "find_lost",
    "run_script",
]

"""Recorded progress of jobs: how it is divided into rows that the store accepts, and read back."""

from __future__ import annotations

from pumicespur.jobs.progress._recorder import MAX_ROW_RATIO, ProgressRecorder
from pumicespur.jobs.progress._restore import RecordedProgress, read_progress
from pumicespur.jobs.progress._write_batch import WriteBatch

__all__ = ["MAX_ROW_RATIO", "ProgressRecorder", "RecordedProgress", "WriteBatch", "read_progress"]

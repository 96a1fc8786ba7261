"""The role `node` on a machine that can be suspended: its monotonic clock omits suspensions.

Run as `python -m standins.suspendable` in place of the role's own module. A suspension is simulated
by SIGSTOP, during which the real monotonic clock goes on; a marker file beside the settings file
holds the time at which the suspension began.
"""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # Like the role's own module: a process that is still loading has no settings to reload. This
    # module's package imports nothing, so that no signal arrives before this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
import sys
import time
from pathlib import Path

SETTINGS_VARIABLE = "PUMICESPUR_NODE_FILE"
MARKER_SUFFIX = ".suspended"
"""Suffix of the marker file, which holds the monotonic time at which a suspension began."""

SYSTEM_MONOTONIC = time.monotonic  # noqa: TID251 - the clock that is replaced here


class SuspendableClock:
    """The system's monotonic clock minus the time for which the process was suspended."""

    def __init__(self, marker: Path) -> None:
        self.marker = marker
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return SYSTEM_MONOTONIC() - self.suspended_s

    def on_resume(self, *_: object) -> None:
        """Subtract the suspension that just ended.

        Without a marker file, the process was only stopped, and its clock went on.
        """
        if self.marker.exists():
            self.suspended_s += SYSTEM_MONOTONIC() - float(self.marker.read_text())
            self.marker.unlink()


def install(marker: Path) -> None:
    """Replace this process's monotonic clock by one that can be suspended."""
    clock = SuspendableClock(marker)
    time.monotonic = clock.monotonic  # noqa: TID251 - the clock that is replaced here
    signal.signal(signal.SIGCONT, clock.on_resume)


def main() -> int:
    """Run the role with the settings that the environment names; return the exit status."""
    install(Path(os.environ[SETTINGS_VARIABLE]).with_suffix(MARKER_SUFFIX))
    # Imported only after the clock is replaced.
    from pumicespur.commands import node

    return node.main()


if __name__ == "__main__":
    sys.exit(main())

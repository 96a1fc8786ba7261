"""The role `node` on a machine that can be suspended: its steady clock leaves such times out.

Run as `python -m standins.suspendable` in place of the role's own module. The process is stopped
meanwhile, which by itself no clock leaves out; a file beside the settings tells since when.
"""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # As the role's own module does: a process that still loads has nothing to read again. This
    # module lies in a package that loads nothing, so that the signal can't come before.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
import sys
import time
from pathlib import Path

SETTINGS_VARIABLE = "PUMICESPUR_NODE_FILE"
MARK_SUFFIX = ".suspended"
"""Ending of the file that holds the steady time at which a suspension began."""

SYSTEM_MONOTONIC = time.monotonic  # noqa: TID251 - the clock that is changed here


class SuspendableClock:
    """The system's steady clock without the times for which the process was suspended."""

    def __init__(self, mark: Path) -> None:
        self.mark = mark
        self.left_out_s = 0.0

    def monotonic(self) -> float:
        """Return the seconds that the clock shows."""
        return SYSTEM_MONOTONIC() - self.left_out_s

    def note_resumed(self, *_: object) -> None:
        """Leave out the suspension that is over; a mere pause has no mark."""
        if self.mark.exists():
            self.left_out_s += SYSTEM_MONOTONIC() - float(self.mark.read_text())
            self.mark.unlink()


def install(mark: Path) -> None:
    """Give this process a clock that can be suspended."""
    clock = SuspendableClock(mark)
    time.monotonic = clock.monotonic  # noqa: TID251 - the clock that is changed here
    signal.signal(signal.SIGCONT, clock.note_resumed)


def main() -> int:
    """Run the role with the settings that the environment names; return the exit status."""
    install(Path(os.environ[SETTINGS_VARIABLE]).with_suffix(MARK_SUFFIX))
    # The program is loaded only with the clock in place.
    from pumicespur.commands import node

    return node.main()


if __name__ == "__main__":
    sys.exit(main())

"""Decides when a refused caller is to come back, so that its tries outlast an outage."""

from __future__ import annotations

SHORT_OUTAGE_S = 1.0
"""Outages up to this length cost a caller one second at most, the shortest wait in whole
seconds."""

LONG_OUTAGE_S = 2.0
"""Length of an outage after which waits double. The outages seen last 4 to 6 s, and a caller has
four waits: with at least 1, 1, 2 and 2 s they add up to 6 s, whenever in the outage it came."""

SHORT_WAIT_S = 1
LONG_WAIT_S = 2


def retry_after_s(failing_for_s: float, time_limit_s: float, jitter: float) -> int:
    """Return the value of `Retry-After`, in whole seconds.

    `failing_for_s` is how long the store has been failing; 0 while it answers.
    `time_limit_s` is how long the caller waits for a response. It bounds the value, since a caller
    that gives one call less time does not use a longer wait either. `jitter`, from 0 to 1, is drawn
    for each refusal: callers that are refused at the same moment return in different seconds.
    """
    if failing_for_s < SHORT_OUTAGE_S:
        return SHORT_WAIT_S
    shortest_s = SHORT_WAIT_S if failing_for_s < LONG_OUTAGE_S else LONG_WAIT_S
    wait_s = shortest_s + int(jitter >= 0.5)
    return max(SHORT_WAIT_S, min(wait_s, int(time_limit_s)))

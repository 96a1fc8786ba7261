"""Tests of the counts of store calls and bytes, and of the length of outages."""

from __future__ import annotations

import unittest

from pumicespur.store import OutageTracker, StoreUse


class OutageTrackerTest(unittest.TestCase):
    """How long calls to the store have failed."""

    def test_an_outage_begins_with_its_first_failure(self) -> None:
        # A process without calls for 1.4 s took one lost response for an outage of 1.4 s, and
        # refused all callers until its next call.
        outage = OutageTracker()
        outage.note_success()
        self.assertEqual(0.0, outage.length_s(11.4))
        outage.note_failure(11.4)
        outage.note_failure(11.9)
        self.assertEqual(0.5, round(outage.length_s(11.9), 6))
        outage.note_success()
        self.assertEqual(0.0, outage.length_s(12.0))


class StoreUseTest(unittest.TestCase):
    """Totals of calls and bytes by table."""

    def test_sums_by_table(self) -> None:
        use = StoreUse()
        use.note("heartbeats", 100, 20)
        use.note("heartbeats", 0, 3000)
        use.note("owners", 0, 5)
        self.assertEqual(
            {
                "heartbeats": {"calls": 2, "sent_bytes": 100, "received_bytes": 3020},
                "owners": {"calls": 1, "sent_bytes": 0, "received_bytes": 5},
            },
            use.describe(),
        )

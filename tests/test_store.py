"""Tests of the counts of store calls and bytes."""

from __future__ import annotations

import unittest

from pumicespur.store import StoreUse


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

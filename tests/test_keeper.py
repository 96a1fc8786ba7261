"""Tests of what a process does with other processes' heartbeats, without processes."""

from __future__ import annotations

import unittest
from typing import Any, cast

from pumicespur.config import NodeSettings
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._keeper import RENEW_AGAIN_S, OwnershipKeeper
from pumicespur.node._view import NodeView
from pumicespur.schema.jobs_pb import HeartbeatRecord
from pumicespur.schema.node_pb import NodeProcessSettings, StoreSettings
from pumicespur.store import AnswerTimes, Row

NOW = 100.0


class CountingTable:
    """Counts how often watches are given up."""

    def __init__(self) -> None:
        self.renewals = 0
        self.times = AnswerTimes(0.4, 3.0)

    def renew_watches(self) -> None:
        """Count."""
        self.renewals += 1


class KeeperCase(unittest.TestCase):
    """A keeper that hears of others."""

    def setUp(self) -> None:
        settings = NodeSettings(
            process=NodeProcessSettings(id="small", cpu_share=0.5, cpu_speed=1.0),
            store=StoreSettings(missing_s=1.8),
        )
        self.table = CountingTable()
        nothing = cast("Any", None)
        self.keeper = OwnershipKeeper(
            settings, NodeView(), cast("Any", self.table), nothing, nothing, "life"
        )
        self.keeper.view.steady_since = NOW

    def hear(self, process: str, now: float = NOW, **fields: Any) -> None:
        """Hear a heartbeat; the first one only makes a process known."""
        for number in (1, 2):
            record = HeartbeatRecord(process=process, incarnation="life", number=number, **fields)
            self.keeper._see(Row(f"heartbeats/{process}/newest", record.to_binary(), number), now)


class ConfigurationBehindTest(KeeperCase):
    """Another process has a newer configuration."""

    def test_watches_are_given_up_once_for_each_version(self) -> None:
        # Found on the bench (grown Sofia, scale-1): a large configuration never arrived over a
        # thin link, since each heartbeat broke its transfer off.
        self.hear("other", configuration_version=14)
        self.hear("other", NOW + 0.4, configuration_version=14)
        self.assertEqual(1, self.table.renewals)
        self.hear("other", NOW + 0.8, configuration_version=15)
        self.assertEqual(2, self.table.renewals)

    def test_and_again_when_it_still_does_not_come(self) -> None:
        self.hear("other", configuration_version=14)
        self.hear("other", NOW + RENEW_AGAIN_S, configuration_version=14)
        self.assertEqual(2, self.table.renewals)


class SuccessorTest(KeeperCase):
    """Who takes a pool."""

    def test_larger_instance_goes_first(self) -> None:
        self.hear("large", capacity=2.0)
        self.hear("other-small", capacity=0.5)
        self.assertEqual("large", self.keeper._successor(PoolId("main"), NOW))

    def test_all_choose_alike(self) -> None:
        for name in ("small", "second", "third"):
            self.hear(name, capacity=0.5)
        pools = [PoolId(f"pool-{number}") for number in range(20)]
        here = [self.keeper._successor(pool, NOW) for pool in pools]
        self.keeper.me = ProcessId("second")
        self.assertEqual(here, [self.keeper._successor(pool, NOW) for pool in pools])
        self.assertGreater(len(set(here)), 1)

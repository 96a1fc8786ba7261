"""Tests of what a process does with other processes' heartbeats, without processes."""

from __future__ import annotations

import unittest
from typing import Any, cast

from pumicespur.config import NodeSettings
from pumicespur.model import PoolId, ProcessId
from pumicespur.node._keeper import RENEW_AGAIN_S, OwnershipKeeper
from pumicespur.node._view import NodeView
from pumicespur.schema.jobs_pb import HeartbeatRecord, OwnerRecord
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

    def see_owner(self, pool: str, process: str, **fields: Any) -> PoolId:
        """Hear who owns a pool."""
        record = OwnerRecord(process=process, **({"incarnation": "life"} | fields))
        self.keeper._see_owner(Row(f"owners/{pool}/owner", record.to_binary(), 1))
        return PoolId(pool)


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

    def test_process_that_gave_a_pool_up_is_none(self) -> None:
        # Its heartbeat that tells so is heard up to half a second later.
        self.hear("large", capacity=2.0)
        self.see_owner("other", "large", released=True)
        self.assertEqual("small", self.keeper._successor(PoolId("main"), NOW))

    def test_its_next_life_is_one(self) -> None:
        self.hear("large", capacity=2.0)
        self.see_owner("other", "large", released=True, incarnation="earlier")
        self.assertEqual("large", self.keeper._successor(PoolId("main"), NOW))


class EarlierLifeTest(KeeperCase):
    """A process that starts again finds what its earlier life held."""

    def test_it_is_taken_back_before_anybody_is_heard(self) -> None:
        # Found on the bench: after a loss of all processes nothing was placed for 1.75 s.
        pool = self.see_owner("main", "small", incarnation="earlier")
        self.assertTrue(self.keeper._is_due(pool, self.keeper.started_at + 0.01))

    def test_what_others_hold_waits(self) -> None:
        pool = self.see_owner("main", "other", incarnation="earlier")
        self.assertFalse(self.keeper._is_due(pool, self.keeper.started_at + 0.01))

    def test_what_it_released_waits(self) -> None:
        pool = self.see_owner("main", "small", incarnation="earlier", released=True)
        self.assertFalse(self.keeper._is_due(pool, self.keeper.started_at + 0.01))

    def test_what_this_life_holds_is_no_matter_of_haste(self) -> None:
        pool = self.see_owner("main", "small")
        self.assertFalse(self.keeper._is_due(pool, self.keeper.started_at + 0.01))

"""Tests of what a process does with other processes' heartbeats, without processes."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from expression import Ok, Result

from pumicespur.config import NodeSettings
from pumicespur.model import PoolId, ProcessId, Route, RouteName
from pumicespur.node._beats import HeartbeatWriter
from pumicespur.node._duties import Duties
from pumicespur.node._hearing import RENEW_AGAIN_S, count_waiting
from pumicespur.node._keeper import SETTLE_S, OwnershipKeeper
from pumicespur.node._predecessors import Predecessors
from pumicespur.node._succession import RANK_S
from pumicespur.node._tables import HEARTBEATS_TABLE, PRESENCE_TABLE
from pumicespur.schema.jobs_pb import (
    DutyReport,
    GivenUp,
    HeartbeatRecord,
    OwnerRecord,
    PoolReport,
    WaitingCount,
)
from pumicespur.schema.node_pb import NodeProcessSettings, StoreSettings, WorkerSettings
from pumicespur.store import AnswerTimes, Row, StoreClock
from pumicespur.utils import monotonic
from pumicespur.view import NodeView, SeenOwner, SeenProcess

if TYPE_CHECKING:
    from pumicespur.jobs import EarlierLeases
    from pumicespur.store import Fault, Transaction

NOW = 100.0
ROUTE = Route(RouteName("quick"), "host", "/quick/", PoolId("main"), 3.0, 0, 2, 1.5, 0.6)


class CountingTable:
    """Counts how often watches are given up."""

    def __init__(self) -> None:
        self.renewals = 0
        self.times = AnswerTimes(0.4, 3.0)
        self.clock = StoreClock()

    def renew_readings(self) -> None:
        """Count."""
        self.renewals += 1


class KeeperCase(unittest.TestCase):
    """A keeper that hears of others."""

    def setUp(self) -> None:
        settings = NodeSettings(
            process=NodeProcessSettings(id="small", cpu_share=0.5, cpu_speed=1.0),
            store=StoreSettings(missing_s=1.8, heartbeat_s=0.5, watch_s=5.0),
        )
        self.table = CountingTable()
        nothing = cast("Any", None)
        self.keeper = OwnershipKeeper(
            settings, NodeView(), cast("Any", self.table), nothing, nothing, "life"
        )
        self.keeper.view.steady_since = NOW
        self.hearing = self.keeper.hearing
        self.succession = self.keeper.succession
        self.version = 1

    def hear(self, process: str, now: float = NOW, **fields: Any) -> None:
        """Hear a heartbeat."""
        self.version += 1
        record = HeartbeatRecord(process=process, incarnation="life", number=1, **fields)
        row = Row(f"heartbeats/{process}/newest", record.to_binary(), self.version)
        self.hearing.see(row, now)

    def successor(self, pool: str = "main") -> ProcessId:
        """Return who takes a pool first."""
        return self.succession.order(PoolId(pool), NOW)[0]

    def see_owner(self, pool: str, process: str, version: int = 1, **fields: Any) -> PoolId:
        """Hear who owns a pool."""
        record = OwnerRecord(process=process, **({"incarnation": "life"} | fields))
        self.hearing.see_owner(Row(f"owners/{pool}/owner", record.to_binary(), version))
        return PoolId(pool)


class StartedTogetherTest(KeeperCase):
    """Processes that start at one time, some of which wrote their first heartbeat unheard."""

    def is_due(self, started_s: float) -> bool:
        """Whether the keeper would take the pool, so long after its start."""
        now = monotonic()
        self.keeper.started_at = now - started_s
        self.hearing.heard_at = now
        self.keeper.view.owners[PoolId("main")] = SeenOwner(OwnerRecord(), 0, now)
        return asyncio.run(self.keeper._is_due(PoolId("main")))

    def test_a_small_one_takes_no_pool_before_a_large_one_can_be_heard_of(self) -> None:
        self.assertFalse(self.is_due(self.keeper.beats.idle_pause_s()))

    def test_nor_then_if_there_is_a_large_one(self) -> None:
        self.hear("large", monotonic(), capacity=2.0)
        self.assertFalse(self.is_due(self.keeper.beats.idle_pause_s() + SETTLE_S))

    def test_it_does_if_there_is_none(self) -> None:
        self.assertTrue(self.is_due(self.keeper.beats.idle_pause_s() + SETTLE_S))


class ConfigurationBehindTest(KeeperCase):
    """Another process has a newer configuration."""

    def test_watches_are_given_up_once_for_each_version(self) -> None:
        # A large configuration never arrived over a thin link: each heartbeat broke it off.
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
        self.assertEqual("large", self.successor())

    def test_all_choose_alike(self) -> None:
        for name in ("small", "second", "third"):
            self.hear(name, capacity=0.5)
        pools = [PoolId(f"pool-{number}") for number in range(20)]
        here = [self.successor(pool) for pool in pools]
        self.succession.me = ProcessId("second")
        self.assertEqual(here, [self.successor(pool) for pool in pools])
        self.assertGreater(len(set(here)), 1)

    def test_process_that_gave_a_pool_up_is_none(self) -> None:
        # Its heartbeat that tells so is heard up to half a second later.
        self.hear("large", capacity=2.0)
        self.see_owner("other", "large", released=True)
        self.assertEqual("small", self.successor())

    def test_its_next_life_is_one(self) -> None:
        self.hear("large", capacity=2.0)
        self.see_owner("other", "large", released=True, incarnation="earlier")
        self.assertEqual("large", self.successor())


class NewLifeTest(KeeperCase):
    """A process that starts again takes a pool before its first heartbeat is heard."""

    def is_held(self, pool: PoolId) -> bool:
        """Return whether the pool's owner counts as alive."""
        return self.succession.is_held(self.keeper.view.owners[pool], monotonic())

    def test_heartbeat_of_the_life_before_says_nothing(self) -> None:
        self.hear("other")
        self.assertTrue(self.is_held(self.see_owner("main", "other", 10, incarnation="later")))

    def test_heartbeat_of_a_later_life_ends_it(self) -> None:
        pool = self.see_owner("main", "other", 1, incarnation="earlier")
        self.hear("other")
        self.assertFalse(self.is_held(pool))


class PredecessorsTest(unittest.TestCase):
    """How long leases of owners before are reckoned with."""

    def setUp(self) -> None:
        self.settings = NodeSettings(
            process=NodeProcessSettings(id="me"),
            store=StoreSettings(max_timeout_s=3.0),
            workers=WorkerSettings(lease_s=3.5, owner_silence_s=8.0),
        )
        self.clock = StoreClock()
        self.clock.note(1_000, NOW, NOW)
        self.pool = PoolId("main")

    def owner(self, token: int = 10, **fields: Any) -> SeenOwner:
        """Make an owner's row."""
        return SeenOwner(OwnerRecord(process="before", incarnation="life", **fields), token, NOW)

    def seen(self, version: int, **fields: Any) -> SeenProcess:
        """Make a heartbeat of that owner."""
        values = {"process": "before", "incarnation": "life"} | fields
        return SeenProcess(HeartbeatRecord(**values), NOW, version)

    def take(self, owner: SeenOwner, now: float = NOW) -> tuple[Predecessors, EarlierLeases]:
        """Take the pool after an owner."""
        predecessors = Predecessors(self.settings, NodeView(), self.clock)
        return predecessors, predecessors.earlier_leases(self.pool, owner, now)

    def test_owner_that_may_be_cut_off_is_waited_out(self) -> None:
        _, leases = self.take(self.owner())
        self.assertGreater(leases.until, NOW + 8.0 + 3.5)

    def test_wait_does_not_begin_anew_with_each_owner(self) -> None:
        # Tasks of a lost worker waited for 12 s more after each takeover.
        first, _ = self.take(self.owner())
        told_ms = first.leases_until_ms(self.pool, self.owner(), NOW)
        later = NOW + 10.0
        _, leases = self.take(self.owner(released=True, leases_until_ms=told_ms), later)
        self.assertLess(leases.until, NOW + 17.0)

    def test_shorter_wait_for_the_last_owner_does_not_cut_the_older_ones(self) -> None:
        first, waited = self.take(self.owner())
        told_ms = first.leases_until_ms(self.pool, self.owner(), NOW)
        _, leases = self.take(self.owner(released=True, leases_until_ms=told_ms), NOW + 1.0)
        self.assertGreaterEqual(leases.until, waited.until)

    def test_later_life_of_its_process_shortens_it(self) -> None:
        predecessors, leases = self.take(self.owner())
        predecessors.hear(self.seen(11, incarnation="next"), NOW + 1.0)
        self.assertLess(leases.until, NOW + 6.0)

    def test_pool_given_up_shortens_it(self) -> None:
        predecessors, leases = self.take(self.owner())
        given_up = [GivenUp(pool="main", fencing_token=10)]
        predecessors.hear(self.seen(11, given_up=given_up), NOW + 1.0)
        self.assertLess(leases.until, NOW + 6.0)

    def test_word_from_before_it_owned_the_pool_does_not(self) -> None:
        predecessors, leases = self.take(self.owner())
        predecessors.hear(self.seen(9, incarnation="earlier"), NOW + 1.0)
        given_up = [GivenUp(pool="main", fencing_token=8)]
        predecessors.hear(self.seen(11, given_up=given_up), NOW + 1.0)
        self.assertGreater(leases.until, NOW + 8.0 + 3.5)


class EarlierLifeTest(KeeperCase):
    """A process that starts again finds what its earlier life held."""

    def is_due(self, pool: PoolId) -> bool:
        """Return whether the pool is taken now, right after the start."""
        return asyncio.run(self.keeper._is_due(pool))

    def test_it_is_taken_back_before_anybody_is_heard(self) -> None:
        # After a loss of all processes nothing was placed for 1.75 s.
        self.assertTrue(self.is_due(self.see_owner("main", "small", incarnation="earlier")))

    def test_what_others_hold_waits(self) -> None:
        self.assertFalse(self.is_due(self.see_owner("main", "other", incarnation="earlier")))

    def test_what_it_released_waits(self) -> None:
        pool = self.see_owner("main", "small", incarnation="earlier", released=True)
        self.assertFalse(self.is_due(pool))

    def test_what_names_this_life_and_does_not_run_here_is_taken_again(self) -> None:
        # A pool was without an owner for 20 s: the call that took it had no answer and applied
        # later; the others saw a living owner, which saw another successor.
        self.hear("large", capacity=2.0)
        pool = self.see_owner("main", "small")
        self.keeper.started_at -= 100.0
        self.assertTrue(self.is_due(pool))
        self.see_owner("other", "large", released=True, incarnation="earlier")
        self.assertEqual("large", self.successor())


class OutageTest(KeeperCase):
    """The store answers nobody for some seconds, while a pool's owner lives on.

    Users saw jobs of one pool late or failed for six seconds around an outage of three. Order of
    events: the store goes away; two seconds later all processes that own nothing call the owner
    dead, since its last heartbeat is two seconds old; one of their calls to take the pool applies
    although its answer is lost; the owner's next commit is refused, and it gives the pool up.
    """

    def setUp(self) -> None:
        super().setUp()
        self.now = monotonic()
        self.keeper.started_at = self.keeper.view.steady_since = self.now - 100.0

    def silent_owner(self, silent_s: float) -> PoolId:
        """Hear of a pool that was taken long ago, and last of its owner a while ago."""
        self.hear("other", self.now - silent_s)
        pool = self.see_owner("main", "other")
        owner = self.keeper.view.owners[pool]
        self.keeper.view.owners[pool] = replace(owner, seen_at=self.now - 50.0)
        return pool

    def is_held(self, pool: PoolId) -> bool:
        """Return whether the pool's owner counts as alive, by the last hearing."""
        return self.succession.is_held(self.keeper.view.owners[pool], self.hearing.heard_at)

    def test_silence_that_nobody_listened_to_is_none(self) -> None:
        pool = self.silent_owner(2.1)
        self.hearing.heard_at = self.now - 1.6
        self.assertFalse(asyncio.run(self.keeper._is_due(pool)))

    def test_answer_after_a_gap_tells_of_no_silence_before_it(self) -> None:
        pool = self.silent_owner(2.2)
        self.hearing.heard_at = self.now - 2.1
        self.hearing.hear([], False)
        self.assertTrue(self.is_held(pool))

    def test_silence_that_was_listened_to_ends_it(self) -> None:
        pool = self.silent_owner(2.1)
        self.hearing.heard_at = self.now
        self.assertFalse(self.is_held(pool))


class TurnTest(KeeperCase):
    """A pool lacks an owner, and the process that is to take it may be gone too."""

    def test_each_waits_for_the_one_before(self) -> None:
        self.hear("large", capacity=2.0)
        pool = PoolId("main")
        self.assertFalse(self.succession.is_turn(pool, NOW))
        self.assertTrue(self.succession.is_turn(pool, NOW + RANK_S))

    def test_first_one_does_not_wait(self) -> None:
        self.hear("other-small", capacity=0.1)
        self.assertTrue(self.succession.is_turn(PoolId("main"), NOW))

    def test_next_owner_begins_the_wait_anew(self) -> None:
        self.hear("large", capacity=2.0)
        pool = PoolId("main")
        self.succession.is_turn(pool, NOW)
        self.succession.note_held(pool)
        self.assertFalse(self.succession.is_turn(pool, NOW + RANK_S))

    def test_takeover_is_a_sign_of_life(self) -> None:
        # Who owned nothing before was last heard of when it started.
        self.hear("other", monotonic() - 100.0)
        pool = self.see_owner("main", "other", 50)
        owner = self.keeper.view.owners[pool]
        self.assertTrue(self.succession.is_held(owner, monotonic()))


class WritingTable(CountingTable):
    """Takes what is written and remembers where."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[str] = []

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Take a write."""
        self.written.append(transaction.writes[0].key.split("/", 1)[0])
        return Ok(len(self.written))


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """Which heartbeats all processes hear."""

    async def asyncSetUp(self) -> None:
        self.table = WritingTable()
        settings = NodeSettings(
            process=NodeProcessSettings(id="me"), store=StoreSettings(heartbeat_s=0.5)
        )
        self.duties = Duties()
        self.writer = HeartbeatWriter(
            settings, NodeView(), cast("Any", self.table), self.duties, "life"
        )

    async def beat(self) -> str:
        """Write a heartbeat; return its table."""
        await self.writer._beat()
        return self.table.written[-1]

    async def test_start_is_heard_then_an_idle_process_is_quiet(self) -> None:
        self.assertEqual([HEARTBEATS_TABLE, PRESENCE_TABLE], [await self.beat(), await self.beat()])

    async def test_owner_is_heard(self) -> None:
        await self.beat()
        self.duties.owned[PoolId("main")] = cast("Any", SimpleNamespace())
        self.assertEqual(HEARTBEATS_TABLE, await self.beat())

    async def test_what_is_given_up_and_a_stop_are_heard_once(self) -> None:
        await self.beat()
        self.duties.given_up[PoolId("main")] = 7
        self.assertEqual([HEARTBEATS_TABLE, PRESENCE_TABLE], [await self.beat(), await self.beat()])
        self.duties.stopping = True
        self.assertEqual([HEARTBEATS_TABLE, PRESENCE_TABLE], [await self.beat(), await self.beat()])

    async def test_changes_are_asked_for_from_before_a_moment(self) -> None:
        self.assertIsNone(self.writer.version_before(NOW))
        for at in (10.0, 11.0, 12.0):
            self.writer._note_answer(at, int(at))
        self.assertEqual(11, self.writer.version_before(11.5))
        self.assertEqual(10, self.writer.version_before(9.0))


class WaitingJobsTest(unittest.TestCase):
    """Waiting jobs by a report that is read when somebody asks."""

    def setUp(self) -> None:
        self.clock = StoreClock()
        self.now = monotonic()
        self.clock.note(10_000, self.now, self.now)

    def count(self, told_ms: int) -> int | None:
        """Count by a report that was told at a time of the store's clock."""
        waiting = [WaitingCount(route="quick", jobs=3), WaitingCount(route="other", jobs=9)]
        pools = [PoolReport(pool="main", fencing_token=4, waiting=waiting)]
        record = DutyReport(process="owner", pools=pools, told_ms=told_ms)
        row = Row("reports/owner/newest", record.to_binary(), 5)
        return count_waiting(row, ROUTE, self.clock, 6.0)

    def test_route_is_counted(self) -> None:
        self.assertEqual(3, self.count(9_000))

    def test_old_word_counts_for_nothing(self) -> None:
        self.assertIsNone(self.count(3_000))

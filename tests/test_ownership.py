"""Tests of heartbeats, failure detection and takeovers, without real processes."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast
from unittest.mock import patch

from expression import Error, Ok, Result

from pumicespur.config import NodeSettings
from pumicespur.model import (
    Configuration,
    PoolId,
    PoolSettings,
    ProcessId,
    Route,
    RouteName,
)
from pumicespur.node import _ownership_controller
from pumicespur.node._heartbeats import HeartbeatWriter
from pumicespur.node._owned_roles import OwnedRoles
from pumicespur.node._ownership_controller import STARTUP_DELAY_S, OwnershipController
from pumicespur.node._predecessors import Predecessors
from pumicespur.node._process_tracker import RENEWAL_INTERVAL_S
from pumicespur.node._tables import HEARTBEATS_TABLE, PRESENCE_TABLE
from pumicespur.node._takeover_policy import CANDIDATE_DELAY_S
from pumicespur.node._waiting_jobs import decode_reports, sum_waiting
from pumicespur.schema.jobs_pb import (
    DutyReport,
    GivenUp,
    HeartbeatRecord,
    OwnerRecord,
    PoolReport,
    WaitingCount,
)
from pumicespur.schema.node_pb import NodeProcessSettings, StoreSettings, WorkerSettings
from pumicespur.store import Conflict, ResponseTimes, Row, StoreClock
from pumicespur.utils import monotonic
from pumicespur.view import FleetView, SeenOwner, SeenProcess

if TYPE_CHECKING:
    from collections.abc import Callable

    from pumicespur.jobs import EarlierLeases
    from pumicespur.store import Fault, Transaction

NOW = 100.0
ROUTE = Route(RouteName("quick"), "host", "/quick/", PoolId("main"), 3.0, 0, 2, 1.5, 0.6)


class CountingTable:
    """A table that counts how often pending reads are renewed."""

    def __init__(self) -> None:
        self.renewals = 0
        self.response_times = ResponseTimes(0.4, 3.0)
        self.clock = StoreClock()

    def renew_pending_reads(self) -> None:
        """Count a renewal."""
        self.renewals += 1


class ControllerCase(unittest.TestCase):
    """Tests with an ownership controller that receives rows of other processes."""

    def setUp(self) -> None:
        settings = NodeSettings(
            process=NodeProcessSettings(id="small", cpu_share=0.5, cpu_speed=1.0),
            store=StoreSettings(missing_s=1.8, heartbeat_s=0.5, watch_s=5.0),
        )
        self.table = CountingTable()
        nothing = cast("Any", None)
        self.controller = OwnershipController(
            settings, FleetView(), cast("Any", self.table), nothing, nothing, "life"
        )
        self.controller.view.gapless_since = NOW
        self.tracker = self.controller.tracker
        self.takeover_policy = self.controller.takeover_policy
        self.version = 1

    def receive_heartbeat(self, process: str, now: float = NOW, **fields: Any) -> None:
        """Receive a heartbeat."""
        self.version += 1
        record = HeartbeatRecord(process=process, incarnation="life", number=1, **fields)
        row = Row(f"heartbeats/{process}/newest", record.to_binary(), self.version)
        self.tracker.apply_heartbeat(row, now)

    def successor(self, pool: str = "main") -> ProcessId:
        """Return the first candidate for a pool."""
        return self.takeover_policy.rank_candidates(PoolId(pool), NOW)[0]

    def receive_owner(self, pool: str, process: str, version: int = 1, **fields: Any) -> PoolId:
        """Receive a pool's owner row."""
        record = OwnerRecord(process=process, **({"incarnation": "life"} | fields))
        self.tracker.apply_owner(Row(f"owners/{pool}/owner", record.to_binary(), version))
        return PoolId(pool)


class SimultaneousStartTest(ControllerCase):
    """Processes that start together, so that some miss the others' first heartbeats."""

    def should_take_over(self, started_s: float) -> bool:
        """Return whether the controller takes the pool that long after its start."""
        now = monotonic()
        self.controller.started_at = now - started_s
        self.tracker.heartbeats_received_at = now
        owner = SeenOwner(OwnerRecord(), 0, now)
        self.controller.view.owners[PoolId("main")] = owner
        replaced = asyncio.run(self.controller._owner_to_replace(PoolId("main"), owner))
        return replaced is not None

    def test_no_pool_is_taken_before_all_candidates_can_be_known(self) -> None:
        self.assertFalse(self.should_take_over(self.controller.heartbeats.idle_interval_s()))

    def test_small_instance_takes_no_pool_if_there_is_a_large_one(self) -> None:
        self.receive_heartbeat("large", monotonic(), capacity=2.0)
        self.assertFalse(
            self.should_take_over(self.controller.heartbeats.idle_interval_s() + STARTUP_DELAY_S)
        )

    def test_small_instance_takes_the_pool_if_there_is_no_large_one(self) -> None:
        self.assertTrue(
            self.should_take_over(self.controller.heartbeats.idle_interval_s() + STARTUP_DELAY_S)
        )


class OutdatedConfigurationTest(ControllerCase):
    """Another process has a newer configuration."""

    def test_reads_are_renewed_once_for_each_version(self) -> None:
        # A large configuration never arrived over a slow link: each heartbeat aborted its transfer.
        self.receive_heartbeat("other", configuration_version=14)
        self.receive_heartbeat("other", NOW + 0.4, configuration_version=14)
        self.assertEqual(1, self.table.renewals)
        self.receive_heartbeat("other", NOW + 0.8, configuration_version=15)
        self.assertEqual(2, self.table.renewals)

    def test_reads_are_renewed_again_when_the_version_still_is_missing(self) -> None:
        self.receive_heartbeat("other", configuration_version=14)
        self.receive_heartbeat("other", NOW + RENEWAL_INTERVAL_S, configuration_version=14)
        self.assertEqual(2, self.table.renewals)


class CandidateRankingTest(ControllerCase):
    """The ranking of candidates for a pool."""

    def test_larger_instance_goes_first(self) -> None:
        self.receive_heartbeat("large", capacity=2.0)
        self.receive_heartbeat("other-small", capacity=0.5)
        self.assertEqual("large", self.successor())

    def test_all_processes_choose_the_same_candidate(self) -> None:
        for name in ("small", "second", "third"):
            self.receive_heartbeat(name, capacity=0.5)
        pools = [PoolId(f"pool-{number}") for number in range(20)]
        here = [self.successor(pool) for pool in pools]
        self.takeover_policy.process_id = ProcessId("second")
        self.assertEqual(here, [self.successor(pool) for pool in pools])
        self.assertGreater(len(set(here)), 1)

    def test_process_that_released_a_pool_is_no_candidate(self) -> None:
        # The heartbeat that reports its stop arrives up to half a second later.
        self.receive_heartbeat("large", capacity=2.0)
        self.receive_owner("other", "large", released=True)
        self.assertEqual("small", self.successor())

    def test_next_incarnation_of_that_process_is_a_candidate(self) -> None:
        self.receive_heartbeat("large", capacity=2.0)
        self.receive_owner("other", "large", released=True, incarnation="earlier")
        self.assertEqual("large", self.successor())


class SpreadOverHallsTest(ControllerCase):
    """The ranking of candidates where a data hall may be lost."""

    HALLS = {"north": 16, "east": 12, "south": 9, "west": 4}
    POOLS = [PoolId(f"pool-{number}") for number in range(5)]

    def setUp(self) -> None:
        super().setUp()
        self.controller.settings.process.data_hall = "west"
        self.controller.settings.fleet.tolerated_halls = 1
        self.halls = {"small": "west"}
        for hall, count in self.HALLS.items():
            for number in range(count):
                self.halls[f"{hall}-{number}"] = hall
                self.receive_heartbeat(f"{hall}-{number}", data_hall=hall, capacity=1.0)

    def find_owners(self) -> dict[PoolId, str]:
        """Return the first candidates for pools that have all lost their owners at once."""
        found = {}
        for pool in self.POOLS:
            self.takeover_policy.is_turn(pool, NOW)
            found[pool] = str(self.successor(pool))
        return found

    def largest_count(self, owners: dict[PoolId, str]) -> int:
        """Return the number of owners in the hall that has most of them."""
        return max(Counter(self.halls[process] for process in owners.values()).values())

    def test_hall_without_an_owner_goes_first(self) -> None:
        self.receive_owner("pool-0", "north-0")
        self.receive_owner("pool-1", "east-0")
        self.receive_owner("pool-2", "west-0")
        self.assertEqual("south", self.halls[self.successor("pool-3")])

    def test_a_small_process_in_a_hall_without_an_owner_goes_last(self) -> None:
        # A process that is too slow for a busy pool would own it for the sake of the spread.
        self.receive_owner("pool-0", "north-0")
        for number in range(self.HALLS["south"]):
            self.receive_heartbeat(f"south-{number}", data_hall="south", capacity=0.2)
        for hall in ("east", "west"):
            self.receive_owner(f"pool-{hall}", f"{hall}-0")
        self.assertNotEqual("south", self.halls[self.successor("pool-3")])

    def test_pools_without_owners_at_once_do_not_go_to_the_same_hall(self) -> None:
        # Five pools had three owners in one of four halls when each was ranked by load alone.
        self.assertEqual(2, self.largest_count(self.find_owners()))
        self.controller.settings.fleet.tolerated_halls = 0
        self.assertEqual(3, self.largest_count(self.find_owners()))

    def test_pool_that_was_taken_meanwhile_counts_once(self) -> None:
        owners = self.find_owners()
        for version, (pool, process) in enumerate(owners.items(), start=1):
            self.receive_owner(pool, process, version)
            rest = {other: self.successor(other) for other in self.POOLS[version:]}
            self.assertEqual(owners, owners | rest)

    def test_candidates_in_the_hall_of_a_failed_owner_wait(self) -> None:
        # After the loss of a hall, each of its other processes would delay the takeover by the head
        # start of one candidate, since they count as alive for seconds.
        for pool, hall in zip(self.POOLS, self.HALLS, strict=False):
            self.receive_owner(pool, f"{hall}-0")
        self.takeover_policy.is_turn(self.POOLS[0], NOW)
        candidates = self.takeover_policy.rank_candidates(self.POOLS[0], NOW)
        last = [self.halls[process] for process in candidates[-self.HALLS["north"] :]]
        self.assertEqual({"north"}, set(last))

    def play_losses(self) -> int:
        """Lose owners one by one; return the largest number of owners in a hall at any time."""
        owners = self.find_owners()
        version, largest = 10, 0
        for lost in range(32):
            for pool, process in owners.items():
                version += 1
                self.receive_owner(pool, process, version)
                self.takeover_policy.note_owned(pool)
            largest = max(largest, self.largest_count(owners))
            pool = self.POOLS[lost % len(self.POOLS)]
            self.controller.view.processes.pop(ProcessId(owners[pool]), None)
            self.takeover_policy.is_turn(pool, NOW)
            owners[pool] = str(self.successor(pool))
        return largest

    def test_no_hall_has_more_owners_than_necessary_after_losses(self) -> None:
        # With four halls, two of five owners in one hall are necessary.
        self.assertEqual(2, self.play_losses())

    def test_load_alone_puts_most_owners_into_one_hall(self) -> None:
        self.controller.settings.fleet.tolerated_halls = 0
        self.assertEqual(4, self.play_losses())


class NextIncarnationTest(ControllerCase):
    """A restarted process that takes a pool before its first heartbeat arrives."""

    def is_owner_alive(self, pool: PoolId) -> bool:
        """Return whether the pool's owner counts as alive now."""
        return self.takeover_policy.is_owner_alive(self.controller.view.owners[pool], monotonic())

    def test_heartbeat_of_the_previous_incarnation_is_ignored(self) -> None:
        self.receive_heartbeat("other")
        self.assertTrue(
            self.is_owner_alive(self.receive_owner("main", "other", 10, incarnation="later"))
        )

    def test_heartbeat_of_a_later_incarnation_ends_ownership(self) -> None:
        pool = self.receive_owner("main", "other", 1, incarnation="earlier")
        self.receive_heartbeat("other")
        self.assertFalse(self.is_owner_alive(pool))


class PredecessorsTest(unittest.TestCase):
    """How long leases of previous owners are waited for."""

    def setUp(self) -> None:
        self.settings = NodeSettings(
            process=NodeProcessSettings(id="me"),
            store=StoreSettings(max_timeout_s=3.0),
            workers=WorkerSettings(lease_s=3.5, owner_silence_s=8.0),
        )
        self.clock = StoreClock()
        self.clock.note(1_000, NOW, NOW)
        self.pool = PoolId("main")

    def make_owner(self, token: int = 10, **fields: Any) -> SeenOwner:
        """Make an owner's row."""
        return SeenOwner(OwnerRecord(process="before", incarnation="life", **fields), token, NOW)

    def make_heartbeat(self, version: int, **fields: Any) -> SeenProcess:
        """Make a heartbeat of that owner."""
        values = {"process": "before", "incarnation": "life"} | fields
        return SeenProcess(HeartbeatRecord(**values), NOW, version)

    def take_over(self, owner: SeenOwner, now: float = NOW) -> tuple[Predecessors, EarlierLeases]:
        """Take the pool over from an owner."""
        predecessors = Predecessors(self.settings, FleetView(), self.clock)
        return predecessors, predecessors.track_leases(self.pool, owner, now)

    def test_leases_of_an_owner_that_may_be_cut_off_are_waited_for(self) -> None:
        _, leases = self.take_over(self.make_owner())
        self.assertGreater(leases.until, NOW + 8.0 + 3.5)

    def test_wait_does_not_restart_with_each_owner(self) -> None:
        # Each takeover restarted the wait of 12 s for the tasks of a lost worker.
        first, _ = self.take_over(self.make_owner())
        told_ms = first.leases_until_ms(self.pool, self.make_owner(), NOW)
        later = NOW + 10.0
        _, leases = self.take_over(self.make_owner(released=True, leases_until_ms=told_ms), later)
        self.assertLess(leases.until, NOW + 17.0)

    def test_shorter_wait_for_the_last_owner_does_not_shorten_the_wait_for_older_ones(self) -> None:
        first, waited = self.take_over(self.make_owner())
        told_ms = first.leases_until_ms(self.pool, self.make_owner(), NOW)
        _, leases = self.take_over(
            self.make_owner(released=True, leases_until_ms=told_ms), NOW + 1.0
        )
        self.assertGreaterEqual(leases.until, waited.until)

    def test_later_incarnation_of_the_owner_shortens_the_wait(self) -> None:
        predecessors, leases = self.take_over(self.make_owner())
        predecessors.apply_heartbeat(self.make_heartbeat(11, incarnation="next"), NOW + 1.0)
        self.assertLess(leases.until, NOW + 6.0)

    def test_pool_given_up_shortens_the_wait(self) -> None:
        predecessors, leases = self.take_over(self.make_owner())
        given_up = [GivenUp(pool="main", fencing_token=10)]
        predecessors.apply_heartbeat(self.make_heartbeat(11, given_up=given_up), NOW + 1.0)
        self.assertLess(leases.until, NOW + 6.0)

    def test_heartbeat_from_before_the_ownership_does_not_shorten_the_wait(self) -> None:
        predecessors, leases = self.take_over(self.make_owner())
        predecessors.apply_heartbeat(self.make_heartbeat(9, incarnation="earlier"), NOW + 1.0)
        given_up = [GivenUp(pool="main", fencing_token=8)]
        predecessors.apply_heartbeat(self.make_heartbeat(11, given_up=given_up), NOW + 1.0)
        self.assertGreater(leases.until, NOW + 8.0 + 3.5)


class OwnPoolsTest(ControllerCase):
    """A restarted process, and the pools of its earlier incarnations."""

    def should_take_over(self, pool: PoolId) -> bool:
        """Return whether the pool is taken now, right after the start."""
        owner = self.controller.view.owners[pool]
        return asyncio.run(self.controller._owner_to_replace(pool, owner)) is not None

    def test_own_pool_is_taken_back_before_any_heartbeat_arrives(self) -> None:
        # Nothing was placed for 1.75 s after all processes had been lost.
        self.assertTrue(
            self.should_take_over(self.receive_owner("main", "small", incarnation="earlier"))
        )

    def test_pool_of_another_process_is_not_taken(self) -> None:
        self.assertFalse(
            self.should_take_over(self.receive_owner("main", "other", incarnation="earlier"))
        )

    def test_pool_that_it_released_is_not_taken(self) -> None:
        pool = self.receive_owner("main", "small", incarnation="earlier", released=True)
        self.assertFalse(self.should_take_over(pool))

    def test_pool_of_this_incarnation_that_does_not_run_here_is_taken_again(self) -> None:
        # A pool had no owner for 20 s: the call that took it got no response and was applied later.
        # The other processes saw a live owner, while that process ranked another candidate first.
        self.receive_heartbeat("large", capacity=2.0)
        pool = self.receive_owner("main", "small")
        self.controller.started_at -= 100.0
        self.assertTrue(self.should_take_over(pool))
        self.receive_owner("other", "large", released=True, incarnation="earlier")
        self.assertEqual("large", self.successor())


class OutageTest(ControllerCase):
    """The store is unavailable for some seconds, while a pool's owner is alive.

    Guards against a needless takeover, which delayed or failed a pool's jobs for six seconds
    around an outage of three. Two seconds into the outage, idle processes held the owner for dead,
    since its last heartbeat was two seconds old. A takeover by one of them was applied although
    its response was lost; the owner's next commit was refused, and it gave the pool up.
    """

    def setUp(self) -> None:
        super().setUp()
        self.now = monotonic()
        self.controller.started_at = self.controller.view.gapless_since = self.now - 100.0

    def make_silent_owner(self, silent_s: float) -> PoolId:
        """Make a pool taken long ago whose owner's last heartbeat is `silent_s` old."""
        self.receive_heartbeat("other", self.now - silent_s)
        pool = self.receive_owner("main", "other")
        owner = self.controller.view.owners[pool]
        self.controller.view.owners[pool] = replace(owner, seen_at=self.now - 50.0)
        return pool

    def is_owner_alive(self, pool: PoolId) -> bool:
        """Return whether the pool's owner counts as alive as of the last poll."""
        return self.takeover_policy.is_owner_alive(
            self.controller.view.owners[pool], self.tracker.heartbeats_received_at
        )

    def test_silence_while_no_poll_succeeds_does_not_count(self) -> None:
        pool = self.make_silent_owner(2.1)
        self.tracker.heartbeats_received_at = self.now - 1.6
        owner = self.controller.view.owners[pool]
        replaced = asyncio.run(self.controller._owner_to_replace(pool, owner))
        self.assertIsNone(replaced)

    def test_response_after_a_gap_does_not_count_the_silence_before_it(self) -> None:
        pool = self.make_silent_owner(2.2)
        self.tracker.heartbeats_received_at = self.now - 2.1
        self.tracker.apply_heartbeats([], False)
        self.assertTrue(self.is_owner_alive(pool))

    def test_silence_while_polls_succeed_ends_ownership(self) -> None:
        pool = self.make_silent_owner(2.1)
        self.tracker.heartbeats_received_at = self.now
        self.assertFalse(self.is_owner_alive(pool))


class CandidateDelayTest(ControllerCase):
    """A pool lacks an owner, and the first candidate may be gone too."""

    def test_each_candidate_waits_for_the_one_before(self) -> None:
        self.receive_heartbeat("large", capacity=2.0)
        pool = PoolId("main")
        self.assertFalse(self.takeover_policy.is_turn(pool, NOW))
        self.assertTrue(self.takeover_policy.is_turn(pool, NOW + CANDIDATE_DELAY_S))

    def test_first_candidate_does_not_wait(self) -> None:
        self.receive_heartbeat("other-small", capacity=0.1)
        self.assertTrue(self.takeover_policy.is_turn(PoolId("main"), NOW))

    def test_next_owner_restarts_the_wait(self) -> None:
        self.receive_heartbeat("large", capacity=2.0)
        pool = PoolId("main")
        self.takeover_policy.is_turn(pool, NOW)
        self.takeover_policy.note_owned(pool)
        self.assertFalse(self.takeover_policy.is_turn(pool, NOW + CANDIDATE_DELAY_S))

    def test_takeover_counts_as_a_heartbeat(self) -> None:
        # A process that owned nothing before last announced itself when it started.
        self.receive_heartbeat("other", monotonic() - 100.0)
        pool = self.receive_owner("main", "other", 50)
        owner = self.controller.view.owners[pool]
        self.assertTrue(self.takeover_policy.is_owner_alive(owner, monotonic()))


class RecordingTable(CountingTable):
    """A table that records which tables are written to."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[str] = []

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Record the table of a write."""
        self.written.append(transaction.writes[0].key.split("/", 1)[0])
        return Ok(len(self.written))


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """Which heartbeats are written to the table that all processes follow."""

    async def asyncSetUp(self) -> None:
        self.table = RecordingTable()
        settings = NodeSettings(
            process=NodeProcessSettings(id="me"), store=StoreSettings(heartbeat_s=0.5)
        )
        self.roles = OwnedRoles()
        self.writer = HeartbeatWriter(
            settings, FleetView(), cast("Any", self.table), self.roles, "life"
        )

    async def write_heartbeat(self) -> str:
        """Write a heartbeat; return its table."""
        await self.writer._write_heartbeat()
        return self.table.written[-1]

    async def test_idle_process_announces_its_start_only(self) -> None:
        self.assertEqual(
            [HEARTBEATS_TABLE, PRESENCE_TABLE],
            [await self.write_heartbeat(), await self.write_heartbeat()],
        )

    async def test_owner_writes_to_the_table_that_all_follow(self) -> None:
        await self.write_heartbeat()
        self.roles.owned[PoolId("main")] = cast("Any", SimpleNamespace())
        self.assertEqual(HEARTBEATS_TABLE, await self.write_heartbeat())

    async def test_given_up_pools_and_a_stop_are_announced_once(self) -> None:
        await self.write_heartbeat()
        self.roles.given_up[PoolId("main")] = 7
        self.assertEqual(
            [HEARTBEATS_TABLE, PRESENCE_TABLE],
            [await self.write_heartbeat(), await self.write_heartbeat()],
        )
        self.roles.stopping = True
        self.assertEqual(
            [HEARTBEATS_TABLE, PRESENCE_TABLE],
            [await self.write_heartbeat(), await self.write_heartbeat()],
        )

    async def test_version_before_a_time_is_the_newest_one_known_then(self) -> None:
        self.assertIsNone(self.writer.version_before(NOW))
        for at in (10.0, 11.0, 12.0):
            self.writer._note_written(at, int(at))
        self.assertEqual(11, self.writer.version_before(11.5))
        self.assertEqual(10, self.writer.version_before(9.0))


class WaitingJobsTest(unittest.TestCase):
    """The number of waiting jobs by a report that is read on request."""

    def setUp(self) -> None:
        self.clock = StoreClock()
        self.now = monotonic()
        self.clock.note(10_000, self.now, self.now)

    def count(self, told_ms: int) -> int | None:
        """Count by a report that was written at a time of the store's clock."""
        waiting = [WaitingCount(route="quick", jobs=3), WaitingCount(route="other", jobs=9)]
        pools = [PoolReport(pool="main", fencing_token=4, waiting=waiting)]
        record = DutyReport(process="owner", pools=pools, told_ms=told_ms)
        row = Row("reports/owner/newest", record.to_binary(), 5)
        return sum_waiting(decode_reports(row, self.clock, 6.0), ROUTE)

    def test_route_is_counted(self) -> None:
        self.assertEqual(3, self.count(9_000))

    def test_the_newest_report_on_each_pool_counts(self) -> None:
        waiting = [WaitingCount(route="quick", jobs=3)]
        reports = [
            PoolReport(pool=pool, fencing_token=token, waiting=waiting * token)
            for pool, token in (("main", 1), ("main", 2), ("second", 1))
        ]
        self.assertEqual(9, sum_waiting(reports, ROUTE))

    def test_old_report_is_ignored(self) -> None:
        self.assertIsNone(self.count(3_000))


class OwnersTable(CountingTable):
    """A table of owners' rows on which something may happen during each call."""

    def __init__(self, happens: Callable[[], None]) -> None:
        super().__init__()
        self.happens = happens
        self.rows: dict[str, Row] = {}
        self.version = 100

    def put(self, key: str, record: OwnerRecord) -> Row:
        self.version += 1
        self.rows[key] = Row(key, record.to_binary(), self.version)
        return self.rows[key]

    async def read(self, key: str) -> Result[Row, Fault]:
        self.happens()
        row = self.rows.get(key, Row(key, b"", 0))
        self.happens()
        return Ok(row)

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        self.happens()
        (condition,), (write,) = transaction.conditions, transaction.writes
        if self.rows[condition.key].version != condition.version:
            return Error(Conflict((condition.key,)))
        assert write.value is not None
        row = self.put(write.key, OwnerRecord.from_binary(write.value))
        self.happens()
        return Ok(row.version)


class ScanDuringCheckTest(ControllerCase):
    """The owners' table is scanned again, or a pool taken, while this process checks its pools."""

    POOLS = ("main", "second", "third")
    SEEDS = range(60)
    MAX_EVENTS = 6

    def test_pools_without_an_owner_are_taken_whatever_happens_during_the_calls(self) -> None:
        # Processes ended with a KeyError when the store forgot its history at a takeover.
        for seed in self.SEEDS:
            self.setUp()
            self.play(random.Random(seed))

    def play(self, source: random.Random) -> None:
        self.source, self.events = source, 0
        self.told: dict[PoolId, int] = {}
        self.owners_table = OwnersTable(self.happens)
        self.controller.table = cast("Any", self.owners_table)
        pools = {PoolId(p): PoolSettings(PoolId(p), True, False) for p in self.POOLS}
        self.controller.view.apply_configuration(Configuration(1, {}, pools))
        for pool in self.POOLS:
            released = OwnerRecord(process="other", incarnation="life", released=True)
            self.tracker.apply_owner(self.owners_table.put(f"owners/{pool}/owner", released))
        self.controller.started_at = monotonic() - 100.0
        taken: list[PoolId] = []
        with (
            patch.object(self.tracker, "read_presence", self.read_presence),
            patch.object(self.tracker, "is_receiving", lambda now: True),
            patch.object(self.controller, "_start_owner", lambda own, _: taken.append(own.pool)),
            patch.object(_ownership_controller.log, "exception") as logged,
        ):
            for _ in range(2 * self.MAX_EVENTS):
                asyncio.run(self.controller._check_pools())
                self.assert_newest_known()
        logged.assert_not_called()
        for pool in self.POOLS:
            row = self.owners_table.rows[f"owners/{pool}/owner"]
            self.assertEqual("small", OwnerRecord.from_binary(row.value).process)
            self.assertIn(PoolId(pool), taken)

    def assert_newest_known(self) -> None:
        """Assert that no takeover has hidden a newer owner, which became known during its call."""
        for pool, version in self.told.items():
            self.assertGreaterEqual(self.controller.view.owners[pool].token, version)

    async def read_presence(self) -> None:
        self.happens()

    def happens(self) -> None:
        """Let a scan, or a takeover and release by another process, happen now and then."""
        if self.events == self.MAX_EVENTS or self.source.random() < 0.6:
            return
        self.events += 1
        if self.source.random() < 0.5:
            self.tracker._apply_owners([], True)
            return
        record = OwnerRecord(process="far", incarnation="life", released=True)
        pool = PoolId(self.source.choice(self.POOLS))
        row = self.owners_table.put(f"owners/{pool}/owner", record)
        if self.source.random() < 0.5:
            self.tracker._apply_owners([row], False)
            self.told[pool] = row.version

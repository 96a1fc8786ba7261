"""Tests of what a fleet leader reads of its predecessors, and of the history of load peaks."""

from __future__ import annotations

import unittest
from typing import Any, cast

from expression import Ok, Result

from pumicespur.config import NodeSettings
from pumicespur.jobs import Ownership
from pumicespur.maintenance import FleetLeader
from pumicespur.maintenance._intents import FLEET_ROLE, IntentLog
from pumicespur.maintenance._peaks import PeakHistory, min_peak_cpu_millis, reserved_sizes
from pumicespur.maintenance._persisted_state import PersistedState
from pumicespur.model import (
    Capacity,
    DataHall,
    HallEvacuation,
    Instance,
    InstanceId,
    InstanceState,
    PoolId,
    ProcessId,
    Rack,
    WorkerName,
)
from pumicespur.schema.node_pb import WorkerSettings
from pumicespur.store import Row, StoreClock, TableProgress, Write
from pumicespur.utils import monotonic
from pumicespur.view import FleetView

MAIN = PoolId("main")
OTHER = PoolId("other")
THIRD = PoolId("third")


class FakeJournal:
    """A journal and table in memory, whose rows the next fleet leader reads."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.commits = 0
        self.confirmed_at = 0.0
        self.clock = StoreClock()
        self.table = self

    async def read(self, key: str) -> Result[Row, Any]:
        """Return a row, empty and with version 0 if it doesn't exist."""
        value = self.rows.get(key)
        return Ok(Row(key, value or b"", 0 if value is None else 1))

    async def commit(self, writes: list[Write]) -> None:
        """Store rows."""
        self.commits += 1
        self.confirmed_at = monotonic()
        for write in writes:
            self.rows[write.key] = write.value or b""


def make_instances(pool: PoolId, count: int) -> list[Instance]:
    """Make instances of a pool."""
    return [
        Instance(
            InstanceId(f"{pool}-{number}"),
            pool,
            InstanceState.UP,
            DataHall("hall"),
            Rack("r1-1"),
            frozenset(),
            Capacity(16_000, 32_768),
            WorkerName(f"w-{pool}-{number}"),
        )
        for number in range(count)
    ]


class TestPersistedState(unittest.IsolatedAsyncioTestCase):
    """State that passes from one fleet leader to the next."""

    def setUp(self) -> None:
        self.journal = FakeJournal()

    async def become_leader(self, main: int, other: int) -> PersistedState:
        """Start a fleet leader that sees so many instances in two pools."""
        state = PersistedState(cast("Any", self.journal))
        await state.load()
        state.note_instances(make_instances(MAIN, main) + make_instances(OTHER, other))
        await state.record()
        return state

    async def test_successor_does_not_take_a_peak_for_the_initial_size(self) -> None:
        # After a takeover a pool with a peak counted as one of 11 instances instead of 6 and kept
        # them permanently.
        await self.become_leader(6, 6)
        successor = await self.become_leader(11, 4)
        self.assertEqual({MAIN: 6, OTHER: 6}, dict(successor.initial_sizes))

    async def test_unchanged_state_is_not_written_again(self) -> None:
        state = await self.become_leader(6, 6)
        await state.record()
        self.assertEqual(1, self.journal.commits)
        state.peaks.note_demand(MAIN, 90_000, 16_000, 5_000)
        await state.record()
        self.assertEqual(2, self.journal.commits)

    async def test_successor_reads_the_peaks(self) -> None:
        state = await self.become_leader(6, 6)
        state.peaks.note_demand(MAIN, 90_000, 16_000, 5_000)
        await state.record()
        successor = await self.become_leader(6, 6)
        self.assertIsNotNone(successor.peaks.current_peak(MAIN))


MIN_PEAK = 16_000
INTENT_VALIDITY_S = 4.5
PEAK = 90_000


class TestPeakHistory(unittest.TestCase):
    """Detection and forecast of load peaks."""

    def setUp(self) -> None:
        self.history = PeakHistory()

    def add_peak(self, pool: PoolId, at_s: float, length_s: float = 8.0) -> None:
        """Add a peak of a pool."""
        self.history.note_demand(pool, PEAK, MIN_PEAK, int(at_s * 1000))
        self.history.note_demand(pool, 100, MIN_PEAK, int((at_s + length_s) * 1000))

    def test_little_demand_is_no_peak(self) -> None:
        self.history.note_demand(MAIN, MIN_PEAK - 1, MIN_PEAK, 1_000)
        self.assertIsNone(self.history.current_peak(MAIN))

    def test_single_jobs_do_not_count_as_peaks(self) -> None:
        # Single jobs changed the order of the pools: each kept an idle pool, as the one whose last
        # peak was the longest ago, at its initial size for half a minute.
        min_peak = min_peak_cpu_millis(initial_size=36, instance_cpu_millis=16_000)
        self.history.note_demand(MAIN, 30_000, min_peak, 1_000)
        self.history.note_demand(OTHER, 5 * min_peak, min_peak, 2_000)
        self.assertEqual({MAIN}, self.history.next_pools([MAIN, OTHER]))

    def test_peak_continues_while_demand_falls_a_little(self) -> None:
        self.history.note_demand(MAIN, PEAK, MIN_PEAK, 1_000)
        self.history.note_demand(MAIN, PEAK // 3, MIN_PEAK, 2_000)
        self.assertIsNotNone(self.history.current_peak(MAIN))

    def test_pools_without_a_peak_come_first_then_the_oldest(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        self.assertEqual(set(pools), self.history.next_pools(pools))
        self.add_peak(MAIN, 10)
        self.assertEqual({OTHER, THIRD}, self.history.next_pools(pools))
        self.add_peak(OTHER, 20)
        self.add_peak(THIRD, 30)
        self.assertEqual({MAIN}, self.history.next_pools(pools))

    def test_outage_does_not_make_two_peaks(self) -> None:
        self.add_peak(MAIN, 10, 1.0)
        self.history.note_demand(MAIN, PEAK, MIN_PEAK, 12_500)
        self.assertEqual(1, len(self.history.peaks))
        self.assertIsNotNone(self.history.current_peak(MAIN))

    def test_start_is_forecast_after_regular_peaks(self) -> None:
        self.add_peak(MAIN, 10)
        self.add_peak(OTHER, 19)
        self.assertIsNone(self.history.next_start_ms())
        self.add_peak(THIRD, 28)
        self.assertEqual(37_000, self.history.next_start_ms())

    def test_no_forecast_for_irregular_demand(self) -> None:
        for pool, at_s in ((MAIN, 10), (OTHER, 12), (THIRD, 28), (MAIN, 30)):
            self.add_peak(pool, at_s, 1.0)
        self.assertIsNone(self.history.next_start_ms())

    def test_first_peak_of_a_pool_is_expected_to_be_like_others(self) -> None:
        self.add_peak(MAIN, 10)
        self.assertEqual(PEAK, self.history.typical_cpu_millis(OTHER))

    def test_starting_peak_is_forecast_from_other_pools(self) -> None:
        # Without the forecast a pool requested 31 workers one second after the start of its peak,
        # and needed 77.
        initial_sizes = {MAIN: 6, OTHER: 12}
        self.assertIsNone(self.history.forecast_cpu_millis(MAIN, initial_sizes, 10_000))
        self.add_peak(MAIN, 10)
        self.history.note_demand(OTHER, MIN_PEAK, MIN_PEAK, 20_000)
        expected = self.history.forecast_cpu_millis(OTHER, initial_sizes, 21_000)
        self.assertEqual(2 * PEAK, expected)
        self.assertIsNone(self.history.forecast_cpu_millis(OTHER, initial_sizes, 24_000))

    def test_starting_peak_is_forecast_from_its_own_last_one(self) -> None:
        self.add_peak(MAIN, 10)
        self.history.note_demand(MAIN, PEAK // 2, MIN_PEAK, 40_000)
        self.assertEqual(PEAK, self.history.forecast_cpu_millis(MAIN, {MAIN: 6}, 41_000))

    def test_pool_keeps_its_initial_size_until_its_peak(self) -> None:
        initial_sizes = {MAIN: 6, OTHER: 5}
        self.assertEqual(
            initial_sizes, reserved_sizes(self.history, initial_sizes, [MAIN, OTHER], 0)
        )
        self.add_peak(MAIN, 10)
        expected = {MAIN: 0, OTHER: 5}
        self.assertEqual(
            expected, reserved_sizes(self.history, initial_sizes, [MAIN, OTHER], 20_000)
        )

    def test_no_instances_are_reserved_for_an_overdue_peak(self) -> None:
        # Idle pools kept 66 instances for the rest of the day after their callers had gone.
        initial_sizes = {MAIN: 6, OTHER: 5, THIRD: 4}
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28)):
            self.add_peak(pool, at_s)
        sizes = [
            reserved_sizes(self.history, initial_sizes, initial_sizes, at)
            for at in (38_900, 39_100)
        ]
        self.assertEqual([{MAIN: 6, OTHER: 0, THIRD: 0}, dict.fromkeys(initial_sizes, 0)], sizes)

    def test_only_candidate_is_expected_shortly_before_its_start(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28)):
            self.add_peak(pool, at_s)
        self.assertIsNone(self.history.expected_pool(pools, 34_000, 2_500))
        self.assertEqual(MAIN, self.history.expected_pool(pools, 35_000, 2_500))
        self.assertIsNone(self.history.expected_pool(pools, 39_100, 2_500))

    def test_no_pool_is_expected_after_the_order_changed(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28), (OTHER, 37)):
            self.add_peak(pool, at_s)
        self.assertIsNone(self.history.expected_pool(pools, 45_000, 2_500))


class TestEvacuatedHalls(unittest.TestCase):
    """What a fleet leader makes of the evacuated data halls that its process knows."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.leader = FleetLeader(
            NodeSettings(workers=WorkerSettings(evacuate_ms=5_000)),
            self.view,
            *cast("Any", [None, None, Ownership(FLEET_ROLE, 1, "life", 0.0), 0.0, None]),
        )
        self.leader.instances = {i.id: i for i in make_instances(MAIN, 2)}

    def test_instances_of_evacuated_halls_are_closed(self) -> None:
        self.assertEqual(frozenset(), self.leader._rebalance_input().closed)
        hall = DataHall("hall")
        self.view.evacuated_halls = {hall: HallEvacuation(hall, 7)}
        self.assertEqual(frozenset(self.leader.instances), self.leader._rebalance_input().closed)

    def test_pools_wait_for_the_first_reading_only(self) -> None:
        # A new leader took closed instances for a surplus and moved them to other pools.
        self.assertFalse(self.leader._are_evacuated_halls_known())
        self.view.evacuations_progress = TableProgress(7, 1.0)
        self.assertTrue(self.leader._are_evacuated_halls_known())

    def test_pools_do_not_wait_where_halls_are_not_evacuated(self) -> None:
        self.leader.settings.workers.evacuate_ms = 0
        self.assertTrue(self.leader._are_evacuated_halls_known())


class TestIntentLog(unittest.IsolatedAsyncioTestCase):
    """Instances that a fleet leader leaves alone because of its predecessor's orders."""

    async def asyncSetUp(self) -> None:
        self.journal = FakeJournal()
        self.journal.clock.note(1_000, monotonic(), monotonic())
        self.name = InstanceId("i-1")

    async def become_leader(self, process: str) -> IntentLog:
        """Start a fleet leader whose default wait is ten seconds."""
        log = IntentLog(
            cast("Any", self.journal), ProcessId(process), monotonic() + 10.0, INTENT_VALIDITY_S
        )
        await log.load()
        return log

    def may_order_after(self, log: IntentLog) -> float:
        """Return how long the instance is left alone, in seconds."""
        return log.blocked_until[self.name] - monotonic()

    async def test_wait_counts_from_the_intent(self) -> None:
        # Instances that had moved to the spare pool before a takeover stayed idle for 4.5 s
        # afterwards.
        first = await self.become_leader("first")
        await first.announce({self.name})
        self.journal.clock.reading_ms += 3_000
        second = await self.become_leader("second")
        self.assertFalse(second.may_order(self.name))
        self.assertLess(self.may_order_after(second), INTENT_VALIDITY_S - 2.9)

    async def test_intent_of_an_earlier_incarnation_expires_early(self) -> None:
        first = await self.become_leader("first")
        await first.announce({self.name})
        again = await self.become_leader("first")
        self.assertFalse(again.may_order(self.name))
        self.assertLess(self.may_order_after(again), 2.0)

    async def test_intents_outlive_a_short_leadership(self) -> None:
        first = await self.become_leader("first")
        await first.announce({self.name})
        second = await self.become_leader("second")
        await second.announce({InstanceId("i-2")})
        third = await self.become_leader("second")
        self.assertGreater(self.may_order_after(third), INTENT_VALIDITY_S - 1.0)

    async def test_without_a_clock_the_default_wait_applies(self) -> None:
        self.journal.clock = StoreClock()
        first = await self.become_leader("first")
        await first.announce({self.name})
        second = await self.become_leader("second")
        self.assertGreater(self.may_order_after(second), 9.0)

    async def test_slow_commit_is_no_fresh_proof(self) -> None:
        log = await self.become_leader("first")
        await log.announce({self.name})
        self.assertTrue(log.is_proof_fresh())
        log.write_began_at -= 1.5
        self.assertFalse(log.is_proof_fresh())

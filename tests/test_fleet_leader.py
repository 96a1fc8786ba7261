"""Tests of what a holder of the fleet's duty finds of its predecessors, and of pools' peaks."""

from __future__ import annotations

import unittest
from typing import Any, cast

from expression import Ok, Result

from pumicespur.maintenance._intents import IntentLog
from pumicespur.maintenance._peaks import PeakHistory, min_peak_cpu_millis, reserved_sizes
from pumicespur.maintenance._persisted_state import PersistedState
from pumicespur.model import (
    Capacity,
    DataHall,
    Instance,
    InstanceId,
    InstanceState,
    PoolId,
    ProcessId,
    Rack,
    WorkerName,
)
from pumicespur.store import Row, StoreClock, Write
from pumicespur.utils import monotonic

MAIN = PoolId("main")
OTHER = PoolId("other")
THIRD = PoolId("third")


class KeptRows:
    """A journal whose rows a next holder finds."""

    def __init__(self) -> None:
        self.rows: dict[str, bytes] = {}
        self.commits = 0
        self.confirmed_at = 0.0
        self.clock = StoreClock()
        self.table = self

    async def read(self, key: str) -> Result[Row, Any]:
        """Return a row, empty with version 0 if it is not there."""
        value = self.rows.get(key)
        return Ok(Row(key, value or b"", 0 if value is None else 1))

    async def commit(self, writes: list[Write]) -> None:
        """Keep rows."""
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


class HolderMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Two holders, one after the other."""

    def setUp(self) -> None:
        self.rows = KeptRows()

    async def hold(self, main: int, other: int) -> PersistedState:
        """Begin as a holder that sees so many instances in two pools."""
        memory = PersistedState(cast("Any", self.rows))
        await memory.load()
        memory.note_instances(make_instances(MAIN, main) + make_instances(OTHER, other))
        await memory.record()
        return memory

    async def test_successor_does_not_take_a_peak_for_the_size(self) -> None:
        # After a takeover a pool at its peak counted as one of 11 instances instead of 6 and kept
        # them for good.
        await self.hold(6, 6)
        successor = await self.hold(11, 4)
        self.assertEqual({MAIN: 6, OTHER: 6}, dict(successor.initial_sizes))

    async def test_nothing_is_written_without_news(self) -> None:
        memory = await self.hold(6, 6)
        await memory.record()
        self.assertEqual(1, self.rows.commits)
        memory.peaks.note_demand(MAIN, 90_000, 16_000, 5_000)
        await memory.record()
        self.assertEqual(2, self.rows.commits)

    async def test_successor_knows_the_peaks(self) -> None:
        memory = await self.hold(6, 6)
        memory.peaks.note_demand(MAIN, 90_000, 16_000, 5_000)
        await memory.record()
        successor = await self.hold(6, 6)
        self.assertIsNotNone(successor.peaks.current_peak(MAIN))


ROOM = 16_000
INTENT_AGE_S = 4.5
PEAK = 90_000


class PeakHistoryTest(unittest.TestCase):
    """What is learnt from pools' peaks."""

    def setUp(self) -> None:
        self.history = PeakHistory()

    def turn(self, pool: PoolId, at_s: float, length_s: float = 8.0) -> None:
        """Let a pool have a peak."""
        self.history.note_demand(pool, PEAK, ROOM, int(at_s * 1000))
        self.history.note_demand(pool, 100, ROOM, int((at_s + length_s) * 1000))

    def test_little_demand_is_no_peak(self) -> None:
        self.history.note_demand(MAIN, ROOM - 1, ROOM, 1_000)
        self.assertIsNone(self.history.current_peak(MAIN))

    def test_single_jobs_do_not_change_whose_turn_it_is(self) -> None:
        # Each kept an idle pool at its own size for half a minute: it counted as the pool whose
        # peak lies furthest back.
        least = min_peak_cpu_millis(initial_size=36, instance_cpu_millis=16_000)
        self.history.note_demand(MAIN, 30_000, least, 1_000)
        self.history.note_demand(OTHER, 5 * least, least, 2_000)
        self.assertEqual({MAIN}, self.history.next_pools([MAIN, OTHER]))

    def test_demand_that_falls_a_little_goes_on(self) -> None:
        self.history.note_demand(MAIN, PEAK, ROOM, 1_000)
        self.history.note_demand(MAIN, PEAK // 3, ROOM, 2_000)
        self.assertIsNotNone(self.history.current_peak(MAIN))

    def test_pools_without_a_peak_come_first_then_the_oldest(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        self.assertEqual(set(pools), self.history.next_pools(pools))
        self.turn(MAIN, 10)
        self.assertEqual({OTHER, THIRD}, self.history.next_pools(pools))
        self.turn(OTHER, 20)
        self.turn(THIRD, 30)
        self.assertEqual({MAIN}, self.history.next_pools(pools))

    def test_outage_does_not_make_two_peaks(self) -> None:
        self.turn(MAIN, 10, 1.0)
        self.history.note_demand(MAIN, PEAK, ROOM, 12_500)
        self.assertEqual(1, len(self.history.peaks))
        self.assertIsNotNone(self.history.current_peak(MAIN))

    def test_onset_is_expected_after_steady_turns(self) -> None:
        self.turn(MAIN, 10)
        self.turn(OTHER, 19)
        self.assertIsNone(self.history.next_start_ms())
        self.turn(THIRD, 28)
        self.assertEqual(37_000, self.history.next_start_ms())

    def test_nothing_is_expected_of_irregular_demand(self) -> None:
        for pool, at_s in ((MAIN, 10), (OTHER, 12), (THIRD, 28), (MAIN, 30)):
            self.turn(pool, at_s, 1.0)
        self.assertIsNone(self.history.next_start_ms())

    def test_unseen_peak_is_expected_as_the_others(self) -> None:
        self.turn(MAIN, 10)
        self.assertEqual(PEAK, self.history.typical_cpu_millis(OTHER))

    def test_peak_that_begins_is_expected_as_the_others(self) -> None:
        # Its pool asked for 31 workers a second after the onset and had use for 77.
        declared = {MAIN: 6, OTHER: 12}
        self.assertIsNone(self.history.forecast_cpu_millis(MAIN, declared, 10_000))
        self.turn(MAIN, 10)
        self.history.note_demand(OTHER, ROOM, ROOM, 20_000)
        expected = self.history.forecast_cpu_millis(OTHER, declared, 21_000)
        self.assertEqual(2 * PEAK, expected)
        self.assertIsNone(self.history.forecast_cpu_millis(OTHER, declared, 24_000))

    def test_and_as_its_own_last_one(self) -> None:
        self.turn(MAIN, 10)
        self.history.note_demand(MAIN, PEAK // 2, ROOM, 40_000)
        self.assertEqual(PEAK, self.history.forecast_cpu_millis(MAIN, {MAIN: 6}, 41_000))

    def test_pool_keeps_what_it_came_with_until_its_turn(self) -> None:
        declared = {MAIN: 6, OTHER: 5}
        self.assertEqual(declared, reserved_sizes(self.history, declared, [MAIN, OTHER], 0))
        self.turn(MAIN, 10)
        expected = {MAIN: 0, OTHER: 5}
        self.assertEqual(expected, reserved_sizes(self.history, declared, [MAIN, OTHER], 20_000))

    def test_turn_that_does_not_come_is_not_waited_for(self) -> None:
        # Idle pools kept 66 instances for the rest of the day once callers had gone.
        declared = {MAIN: 6, OTHER: 5, THIRD: 4}
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28)):
            self.turn(pool, at_s)
        sizes = [reserved_sizes(self.history, declared, declared, at) for at in (38_900, 39_100)]
        self.assertEqual([{MAIN: 6, OTHER: 0, THIRD: 0}, dict.fromkeys(declared, 0)], sizes)

    def test_only_pool_left_is_due_shortly_before_its_onset(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28)):
            self.turn(pool, at_s)
        self.assertIsNone(self.history.expected_pool(pools, 34_000, 2_500))
        self.assertEqual(MAIN, self.history.expected_pool(pools, 35_000, 2_500))
        self.assertIsNone(self.history.expected_pool(pools, 39_100, 2_500))

    def test_nothing_is_due_where_the_order_changed(self) -> None:
        pools = [MAIN, OTHER, THIRD]
        for pool, at_s in ((MAIN, 10), (OTHER, 19), (THIRD, 28), (OTHER, 37)):
            self.turn(pool, at_s)
        self.assertIsNone(self.history.expected_pool(pools, 45_000, 2_500))


class IntentTest(unittest.IsolatedAsyncioTestCase):
    """What a holder leaves alone of what another one ordered just before."""

    async def asyncSetUp(self) -> None:
        self.rows = KeptRows()
        self.rows.clock.note(1_000, monotonic(), monotonic())
        self.name = InstanceId("i-1")

    async def hold(self, process: str) -> IntentLog:
        """Begin as a holder that would otherwise wait for ten seconds."""
        log = IntentLog(
            cast("Any", self.rows), ProcessId(process), monotonic() + 10.0, INTENT_AGE_S
        )
        await log.load()
        return log

    def may_order_after(self, log: IntentLog) -> float:
        """Return how long the instance is left alone, in seconds."""
        return log.reserved[self.name] - monotonic()

    async def test_wait_counts_from_the_intent(self) -> None:
        # Instances parked before the takeover stood idle for 4.5 s after it.
        first = await self.hold("first")
        await first.announce({self.name})
        self.rows.clock.shown_ms += 3_000
        second = await self.hold("second")
        self.assertFalse(second.may_order(self.name))
        self.assertLess(self.may_order_after(second), INTENT_AGE_S - 2.9)

    async def test_own_earlier_life_is_waited_out_shortly(self) -> None:
        first = await self.hold("first")
        await first.announce({self.name})
        again = await self.hold("first")
        self.assertFalse(again.may_order(self.name))
        self.assertLess(self.may_order_after(again), 2.0)

    async def test_intents_outlive_a_short_holder(self) -> None:
        first = await self.hold("first")
        await first.announce({self.name})
        second = await self.hold("second")
        await second.announce({InstanceId("i-2")})
        third = await self.hold("second")
        self.assertGreater(self.may_order_after(third), INTENT_AGE_S - 1.0)

    async def test_without_a_clock_the_whole_wait_counts(self) -> None:
        self.rows.clock = StoreClock()
        first = await self.hold("first")
        await first.announce({self.name})
        second = await self.hold("second")
        self.assertGreater(self.may_order_after(second), 9.0)

    async def test_commit_that_took_long_allows_no_order(self) -> None:
        log = await self.hold("first")
        await log.announce({self.name})
        self.assertTrue(log.is_proof_fresh())
        log.announced_at -= 1.5
        self.assertFalse(log.is_proof_fresh())

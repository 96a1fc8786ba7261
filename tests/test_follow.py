"""Tests of what a follower asks of the store, against a table that keeps to a script."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING, Any, cast

import anyio
from expression import Error, Ok, Result

from pumicespur.node._follow import SLOW_S, CatchUp, Reread, TableFollower
from pumicespur.schema.node_pb import StoreSettings
from pumicespur.store import AnswerLost, AnswerTimes, Page, Row
from pumicespur.utils import monotonic
from tests.base import quiet_loop

if TYPE_CHECKING:
    from collections.abc import Sequence

    from pumicespur.store import Fault

LOST: Result[Page, Fault] = Error(AnswerLost("nothing came"))


def page(version: int, row_version: int = 0, **fields: Any) -> Result[Page, Fault]:
    """Make an answer with one row, or without any."""
    rows = [Row("op//config", b"", row_version)] if row_version else []
    return Ok(Page(rows, version, **fields))


class ScriptedTable:
    """Hands out answers in turn and notes what it was asked."""

    def __init__(self, answers: list[Result[Page, Fault]]) -> None:
        self.script = answers
        self.asked: list[str] = []
        self.done = anyio.Event()
        self.times = AnswerTimes(0.4, 3.0)

    def answers(self) -> bool:
        """Whether other calls are answered."""
        return True

    async def rows(self) -> Result[Page, Fault]:
        """Answer a reading of the rows themselves."""
        return await self._answer("rows")

    async def scan(self, name: str, part: str, patience_s: float = math.inf) -> Result[Page, Fault]:
        """Answer a whole reading."""
        return await self._answer("all")

    async def changes(
        self, name: str, since: int, wait_s: float, patience_s: float | None = None
    ) -> Result[Page, Fault]:
        """Answer a request for changes."""
        return await self._answer(f"since {since}")

    async def _answer(self, asked: str) -> Result[Page, Fault]:
        if not self.script:
            self.done.set()
            await anyio.sleep_forever()
        self.asked.append(asked)
        return self.script.pop(0)


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    """Whole readings and changes."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.heard: list[tuple[int, bool]] = []

    def hear(self, rows: Sequence[Row], whole: bool) -> None:
        """Note what the follower tells."""
        self.heard.append((len(rows), whole))

    async def follow(
        self,
        catch_up: CatchUp,
        *answers: Result[Page, Fault],
        rereads: bool = False,
        max_age_s: float = math.inf,
    ) -> list[str]:
        """Follow until the script is over; return what was asked."""
        table = ScriptedTable(list(answers))
        follower = TableFollower(
            cast("Any", table),
            StoreSettings(),
            "op",
            self.hear,
            catch_up,
            reread=Reread(table.rows, whole=False, max_age_s=max_age_s) if rereads else None,
        )
        self.follower = follower
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await table.done.wait()
            tasks.cancel_scope.cancel()
        return table.asked

    async def test_rows_are_read_themselves_where_changes_stay_silent(self) -> None:
        # The store answered all but requests for changes for 1.2 s after it had dropped its
        # history; a pool's onset was heard of after them.
        answers = (page(5, 5), LOST, page(0, 7), page(8, 8))
        asked = await self.follow(CatchUp(math.inf), *answers, rereads=True)
        self.assertEqual(["all", "since 5", "rows", "since 5"], asked)
        self.assertEqual([(1, True), (1, False), (1, False)], self.heard)

    async def test_rows_are_read_themselves_before_what_is_known_is_too_old(self) -> None:
        answers = (page(5, 5), page(5), page(0, 7), page(8, 8))
        asked = await self.follow(CatchUp(math.inf), *answers, rereads=True, max_age_s=0.0)
        self.assertEqual(["all", "rows", "since 5", "rows"], asked)

    async def test_a_quiet_answer_proves_nothing_where_rows_change_all_the_time(self) -> None:
        answers = (page(5, 5), page(6))
        await self.follow(CatchUp(math.inf), *answers, rereads=True, max_age_s=60.0)
        self.assertEqual(5, self.follower.reading.version)

    async def test_an_answer_that_was_cut_off_proves_nothing_newer(self) -> None:
        answers = (page(5, 5), page(6, 6, complete=False))
        await self.follow(CatchUp(math.inf), *answers)
        self.assertEqual(5, self.follower.reading.version)

    async def test_what_is_known_is_as_old_as_the_request(self) -> None:
        began = monotonic()
        await self.follow(CatchUp(math.inf), page(5, 5), page(6))
        self.assertEqual(6, self.follower.reading.version)
        self.assertLessEqual(began, self.follower.reading.asked_at)

    async def test_changes_follow_the_first_reading(self) -> None:
        late = CatchUp(math.inf, when_late=True)
        asked = await self.follow(late, page(5, 5), page(6, 6), page(6))
        self.assertEqual(["all", "since 5", "since 6"], asked)
        self.assertEqual([(1, True), (1, False), (0, False)], self.heard)

    async def test_answer_with_several_states_of_a_row_is_late(self) -> None:
        late = CatchUp(math.inf, when_late=True)
        asked = await self.follow(late, page(5, 5), page(9, 9, superseded=3), page(12, 12))
        self.assertEqual(["all", "since 5", "all"], asked)

    async def test_slow_answers_are_read_anew_until_nothing_is_new(self) -> None:
        slow_s = 2 * SLOW_S
        late = CatchUp(math.inf, when_late=True)
        answers = [page(5, 5, receiving_s=slow_s) for _ in range(2)]
        asked = await self.follow(late, *answers, page(6, 6, receiving_s=slow_s))
        self.assertEqual(["all", "all", "since 5"], asked)

    async def test_many_small_rows_are_not(self) -> None:
        asked = await self.follow(CatchUp(math.inf), page(5, 5), page(9, 9, superseded=3), page(9))
        self.assertEqual(["all", "since 5", "since 9"], asked)

    async def test_after_a_fault_missed_changes_are_replayed(self) -> None:
        asked = await self.follow(CatchUp(math.inf), page(5, 5), LOST, page(6, 6))
        self.assertEqual(["all", "since 5", "since 5"], asked)

    async def test_or_the_table_is_read_whole(self) -> None:
        asked = await self.follow(CatchUp(0.0), page(5, 5), LOST, page(6, 6))
        self.assertEqual(["all", "since 5", "all"], asked)

"""Tests of the non-blocking event log, of `explain`, and of timeouts by response times."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path

from logbook import Logger

from pumicespur.commands.explain import read_lines, select_lines
from pumicespur.store import ResponseTimes
from pumicespur.utils._event_log import MAX_WAITING_LINES, EventHandler


class EventHandlerTest(unittest.TestCase):
    """Format of lines, the limit per event, and a stalled reader."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.log = Logger("test")

    def read(self) -> list[dict[str, object]]:
        os.set_blocking(self.reader, False)
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_line_holds_event_and_fields(self) -> None:
        with EventHandler("p", "INFO", 10, self.writer).applicationbound():
            self.log.info("job accepted", job="1", version=7)
        (line,) = self.read()
        self.assertEqual(
            ("p", "job accepted", "1", 7),
            tuple(line[key] for key in ("process", "event", "job", "version")),
        )

    def test_limit_is_per_event_and_dropped_lines_are_counted(self) -> None:
        handler = EventHandler("p", "INFO", 5, self.writer)
        handler.current_second = 2**40
        with handler.applicationbound():
            for _ in range(50):
                self.log.info("often")
            self.log.info("seldom")
        lines = self.read()
        events = [line["event"] for line in lines]
        self.assertIn("seldom", events)
        counted = sum(
            line["counts"].get("often", 0)  # type: ignore[attr-defined]
            for line in lines
            if line["event"] == "log lines left out"
        )
        self.assertEqual(50, events.count("often") + counted + handler.dropped["often"])

    def test_stalled_reader_drops_lines_and_never_blocks(self) -> None:
        handler = EventHandler("p", "INFO", 10**9, self.writer)
        with handler.applicationbound():
            for number in range(MAX_WAITING_LINES + 20_000):
                self.log.info("line", number=number)
        self.assertLessEqual(len(handler.waiting), MAX_WAITING_LINES + 1)
        self.assertGreater(handler.dropped["line"], 0)


class ExplainTest(unittest.TestCase):
    """Log lines of several processes that concern one id."""

    def test_lines_of_a_job_and_its_pool_are_in_order(self) -> None:
        rows = [
            {"time": 3.0, "event": "task ended", "task": "j.0.0.1", "pool": "a"},
            {"time": 1.0, "event": "job accepted", "job": "j", "pool": "a"},
            {"time": 2.0, "event": "pool taken", "pool": "a"},
            {"time": 2.5, "event": "pool taken", "pool": "b"},
            {"time": 4.0, "event": "pool lost", "pool": "a"},
            {"time": 2.0, "event": "job accepted", "job": "jj", "pool": "a"},
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("not a line\n{broken\n" + "\n".join(map(json.dumps, rows)))
            found = select_lines("j", list(read_lines(path)))
        self.assertEqual([1.0, 2.0, 3.0], [line.time for line in found])


class AnswerTimesTest(unittest.TestCase):
    """Timeouts that adapt to the store's response times."""

    def test_a_missing_response_doubles_the_timeout_and_a_response_resets_it(self) -> None:
        times = ResponseTimes(0.4, 3.0)
        times.note_timeout(0.0, 0.4)
        self.assertAlmostEqual(0.8, times.timeout_s())
        times.note_response(1.0, 0.3)
        self.assertAlmostEqual(0.4 + 4 * 0.06, times.timeout_s())

    def test_timeout_is_bounded(self) -> None:
        times = ResponseTimes(0.4, 3.0)
        for second in range(20):
            times.note_timeout(second, 3.0)
        self.assertEqual(3.0, times.timeout_s())

    def test_slow_responses_are_remembered_for_a_while(self) -> None:
        times = ResponseTimes(0.4, 3.0)
        times.note_response(0.0, 0.9)
        self.assertEqual(0.9, times.max_recent_s(2.0))
        self.assertEqual(0.0, times.max_recent_s(4.0))

"""Tests of what the adapter makes of what others write into the platform's store."""

from __future__ import annotations

import asyncio
import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.model import WorkerState
from pumicespur.platform import decode_worker
from standins.hosted import FOREIGN_ENTRIES, USUAL_ENTRY
from tests.test_node import STEP, NodeCase, job_id


class WorkerEntryTest(unittest.TestCase):
    """A worker's description, and what is none."""

    def refused(self, **changes: Any) -> bool:
        entry = {k: v for k, v in {**USUAL_ENTRY, **changes}.items() if v is not None}
        return decode_worker("w", json.dumps(entry).encode()).is_error()

    def test_description_is_read(self) -> None:
        worker = decode_worker("w", json.dumps(USUAL_ENTRY).encode()).ok
        self.assertEqual(("main", "r1-1"), (worker.pool, worker.rack))
        self.assertIs(WorkerState.READY, worker.state)

    def test_missing_fields_name_no_worker(self) -> None:
        for field in ("backend", "address", "zone", "state", "capacity"):
            with self.subTest(field):
                self.assertTrue(self.refused(**{field: None}))

    def test_fields_of_another_type_name_no_worker(self) -> None:
        wrong: dict[str, Any] = {
            "backend": 7,
            "address": ["10.0.0.1", 80],
            "zone": {},
            "state": True,
            "capacity": "much",
            "labels": "a",
            "machine": 3,
            "remainingMs": "soon",
        }
        for field, value in wrong.items():
            with self.subTest(field):
                self.assertTrue(self.refused(**{field: value}))

    def test_values_that_mean_nothing_here_name_no_worker(self) -> None:
        self.assertTrue(self.refused(state="resting"))
        self.assertTrue(self.refused(address="nowhere"))
        self.assertTrue(self.refused(capacity={"cpu": -1}))

    @given(
        st.binary()
        | st.recursive(st.none() | st.integers() | st.text(), st.lists).map(
            lambda value: json.dumps(value).encode()
        )
    )
    def test_any_bytes_are_borne(self, value: bytes) -> None:
        self.assertTrue(decode_worker("w", value).is_error())

    def test_deep_nesting_is_borne(self) -> None:
        self.assertTrue(decode_worker("w", b'{"more":' + b"[" * 100_000).is_error())


class ForeignEntriesTest(NodeCase):
    """Entries of other writers stand between those of the workers."""

    async def test_the_workers_beside_them_are_used(self) -> None:
        for number, entry in enumerate(FOREIGN_ENTRIES):
            self.world.store.put(("servers", "", f"foreign-{number}"), entry)
        self.assertEqual(200, await self.world.submit(self.node, job_id(1), [STEP]))
        await self.world.wait_state(self.node, job_id(1), "completed")
        for number, entry in enumerate(reversed(FOREIGN_ENTRIES)):
            self.world.store.put(("servers", "", f"foreign-{number}"), entry)
        self.assertEqual(200, await self.world.submit(self.node, job_id(2), [STEP]))
        await self.world.wait_state(self.node, job_id(2), "completed")
        used = {run.worker for run in self.world.history}
        self.assertFalse([name for name in used if name.startswith("foreign")])

    async def test_worker_whose_entry_can_not_be_read_gets_nothing_new(self) -> None:
        victim = self.world.workers["m-0"]
        self.world.store.put(("servers", "", victim.id), FOREIGN_ENTRIES[-1])
        await self.world.wait_for(
            lambda: "worker not understood" in self.node.log.read_text(), "the entry is refused"
        )
        await asyncio.sleep(0.2)
        for number in range(6):
            await self.world.submit(self.node, job_id(number), [STEP])
        for number in range(6):
            await self.world.wait_state(self.node, job_id(number), "completed")
        self.assertNotIn(victim.id, {run.worker for run in self.world.history})

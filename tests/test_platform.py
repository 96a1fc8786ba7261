"""Tests of decoding rows that others write into the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import sys
import unittest
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.jobs import PoolOwner
from pumicespur.jobs._worker_load import WorkerLoad
from pumicespur.model import Configuration, PoolId, PoolSettings, WorkerName, WorkerState, worker_id
from pumicespur.node._workers import WorkerList
from pumicespur.platform import decode_worker
from pumicespur.platform._http import HttpClient
from pumicespur.store import AnswerLost, ConnectionBroken, NotListening, Row
from pumicespur.view import FleetView
from standins.hosted import FOREIGN_ENTRIES, USUAL_ENTRY, Link, Passage
from tests.base import default_settings
from tests.test_jobs import make_worker
from tests.test_node import STEP, NodeCase, job_id

if TYPE_CHECKING:
    from collections.abc import Callable

CALL_S = 20.0
"""Timeout of a call that fails before."""

SILENT_CALL_S = 0.3
"""Timeout of a call that gets no response."""

CALL_TWICE = """
import sys, anyio
from pumicespur.platform._http import HttpClient

async def call_twice():
    client = HttpClient(1)
    print((await client.call("GET", sys.argv[1], 20.0)).is_ok(), flush=True)
    sys.stdin.readline()
    await client.call("POST", sys.argv[1], 20.0, body=b"order")

anyio.run(call_twice)
"""
"""Program that calls an address, and once more after a line of input, without an answer."""

W = WorkerName("w")
START_TIME_MS = 1_776_052_017_694
INVALID_START_TIMES: tuple[Any, ...] = (True, 1.5, -1, 0, [1], {}, "1776052017694", None)


class WorkerEntryTest(unittest.TestCase):
    """Valid and invalid entries of workers."""

    def is_rejected(self, **changes: Any) -> bool:
        entry = {k: v for k, v in {**USUAL_ENTRY, **changes}.items() if v is not None}
        return decode_worker(W, json.dumps(entry).encode()).is_error()

    def test_description_is_read(self) -> None:
        worker = decode_worker(W, json.dumps(USUAL_ENTRY).encode()).ok
        self.assertEqual(("main", "r1-1"), (worker.pool, worker.rack))
        self.assertIs(WorkerState.READY, worker.state)

    def test_entry_with_a_missing_field_is_rejected(self) -> None:
        for field in ("backend", "address", "zone", "state", "capacity"):
            with self.subTest(field):
                self.assertTrue(self.is_rejected(**{field: None}))

    def test_entry_with_a_field_of_another_type_is_rejected(self) -> None:
        wrong: dict[str, Any] = {
            "backend": 7,
            "address": ["10.0.0.1", 80],
            "zone": {},
            "state": True,
            "capacity": "much",
            "labels": "a",
            "machine": 3,
            "remainingMs": "soon",
            "born": "1776052017694",
        }
        for field, value in wrong.items():
            with self.subTest(field):
                self.assertTrue(self.is_rejected(**{field: value}))

    def test_entry_with_an_invalid_value_is_rejected(self) -> None:
        self.assertTrue(self.is_rejected(state="resting"))
        self.assertTrue(self.is_rejected(address="nowhere"))
        self.assertTrue(self.is_rejected(capacity={"cpu": -1}))

    def test_entry_with_an_invalid_start_time_is_rejected(self) -> None:
        for value in INVALID_START_TIMES:
            with self.subTest(value=value):
                entry = json.dumps({**USUAL_ENTRY, "born": value}).encode()
                self.assertTrue(decode_worker(W, entry).is_error())

    def test_start_time_distinguishes_incarnations(self) -> None:
        workers = [
            decode_worker(W, json.dumps({**USUAL_ENTRY, "born": born}).encode()).ok
            for born in (START_TIME_MS, START_TIME_MS + 1)
        ]
        self.assertNotEqual(*[worker.id for worker in workers])
        self.assertEqual([W, W], [worker.name for worker in workers])

    @given(
        st.binary()
        | st.recursive(st.none() | st.integers() | st.text(), st.lists).map(
            lambda value: json.dumps(value).encode()
        )
    )
    def test_arbitrary_bytes_are_rejected_without_an_exception(self, value: bytes) -> None:
        self.assertTrue(decode_worker(W, value).is_error())

    def test_deep_nesting_is_rejected_without_an_exception(self) -> None:
        self.assertTrue(decode_worker(W, b'{"more":' + b"[" * 100_000).is_error())


class WorkerListTest(unittest.TestCase):
    """Rows of the workers' table as an owner applies them."""

    def setUp(self) -> None:
        self.view = FleetView()
        controller: Any = SimpleNamespace(sync_workers=lambda: None)
        self.list = WorkerList(default_settings(), self.view, cast("Any", None), controller)

    def take(self, key: str, value: bytes, version: int = 1) -> None:
        self.list._apply_rows([Row(key, value, version)], False)

    def test_repeated_older_entry_does_not_restore_an_earlier_incarnation(self) -> None:
        for born, version in ((START_TIME_MS, 5), (START_TIME_MS + 1, 9), (START_TIME_MS, 7)):
            self.take("servers//w", json.dumps({**USUAL_ENTRY, "born": born}).encode(), version)
        self.assertEqual(worker_id(W, START_TIME_MS + 1), self.view.workers[W].id)

    def test_invalid_entry_replaces_the_previous_one(self) -> None:
        self.take("servers//w", json.dumps(USUAL_ENTRY).encode())
        self.assertEqual(["w"], list(self.view.workers))
        self.take("servers//w", b"\xff")
        self.assertEqual([], list(self.view.workers))

    def test_entry_without_a_start_time_is_ignored_where_others_have_one(self) -> None:
        without = {name: value for name, value in USUAL_ENTRY.items() if name != "born"}
        for name in ("v", "w"):
            self.take(f"servers//{name}", json.dumps(USUAL_ENTRY).encode())
        self.take("servers//w", json.dumps(without).encode())
        self.assertEqual(["v"], list(self.view.workers))

    def test_platform_without_start_times_is_supported(self) -> None:
        without = {name: value for name, value in USUAL_ENTRY.items() if name != "born"}
        for name in ("u", "v", "w"):
            self.take(f"servers//{name}", json.dumps(without).encode())
        self.take("servers//x", json.dumps(USUAL_ENTRY).encode())
        self.assertEqual(["u", "v", "w", "x"], list(self.view.workers))

    def test_row_of_another_part_does_not_affect_the_worker_of_the_same_name(self) -> None:
        self.take("servers//w", json.dumps(USUAL_ENTRY).encode())
        self.take("servers/elsewhere/w", b"\xff")
        self.take("servers/elsewhere/v", json.dumps(USUAL_ENTRY).encode())
        self.assertEqual(["w"], list(self.view.workers))


class SuccessorEntryTest(unittest.TestCase):
    """An entry that names the instance of a worker whose own entry has expired."""

    def has_successor(self, pool: str) -> bool:
        worker = make_worker("w")
        entry = replace(make_worker("other"), instance=worker.instance, pool=PoolId(pool))
        known = {PoolId("main"): PoolSettings(PoolId("main"), True, False)}
        view = FleetView(Configuration(1, {}, known), workers={entry.name: entry})
        owner: Any = SimpleNamespace(view=view)
        session: Any = SimpleNamespace(load=WorkerLoad(worker))
        return PoolOwner._has_successor(owner, session)

    def test_successor_counts_only_if_its_pool_is_known(self) -> None:
        self.assertTrue(self.has_successor("main"))
        self.assertFalse(self.has_successor("nowhere"))


class CallFaultTest(unittest.IsolatedAsyncioTestCase):
    """What a failed call says about the process at the other end."""

    async def fault_of(
        self, serve: Callable[[asyncio.StreamWriter], None], timeout_s: float = CALL_S
    ) -> object:
        """Call a server that treats each connection as given; return the error."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1)
            serve(writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        try:
            return await self.fault_at(server.sockets[0].getsockname()[1], timeout_s)
        finally:
            server.close()

    async def fault_at(self, port: int, timeout_s: float = CALL_S) -> object:
        """Call a port; return the error."""
        client = HttpClient(1)
        try:
            result = await client.call("GET", f"http://127.0.0.1:{port}/", timeout_s)
        finally:
            await client.aclose()
        return result.error

    async def test_a_process_that_ends_breaks_the_connection(self) -> None:
        closed = await self.fault_of(lambda writer: writer.close())
        self.assertIsInstance(closed, ConnectionBroken)
        reset = await self.fault_of(lambda writer: writer.transport.abort())
        self.assertIsInstance(reset, ConnectionBroken)

    async def test_a_process_that_is_gone_refuses_the_connection(self) -> None:
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            fault = await self.fault_at(bound.getsockname()[1])
        self.assertIsInstance(fault, NotListening)

    async def test_silence_is_neither(self) -> None:
        fault = await self.fault_of(lambda writer: None, SILENT_CALL_S)
        self.assertIs(type(fault), AnswerLost)


class HeldUpRequestTest(unittest.IsolatedAsyncioTestCase):
    """A link holds a request up and delivers it later, unless its sender resets the connection."""

    async def asyncSetUp(self) -> None:
        self.received = asyncio.Event()
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.link = Link(lambda: f"127.0.0.1:{port}")
        await self.link.listen()
        self.addAsyncCleanup(self.link.close)

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Note the second request on a connection; the first one gets a response."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        with contextlib.suppress(OSError):
            if await reader.read(1):
                self.received.set()
        writer.close()

    async def assert_lost_when_the_link_carries_again(self) -> None:
        await asyncio.sleep(SILENT_CALL_S)
        self.link.set_passage(Passage.BOTH_WAYS)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(self.received.wait(), SILENT_CALL_S)

    async def hold_up(self, client: HttpClient, timeout_s: float) -> object:
        """Open a connection, cut the link, then call once more on that connection."""
        url = f"http://{self.link.address}/"
        self.assertTrue((await client.call("GET", url, CALL_S)).is_ok())
        self.link.set_passage(Passage.NOTHING)
        return (await client.call("POST", url, timeout_s, body=b"order")).error

    async def test_a_call_that_timed_out_does_not_arrive_after_a_cut(self) -> None:
        """Guards against orders of a fleet leader that arrive after those of the next one."""
        client = HttpClient(1)
        self.addAsyncCleanup(client.aclose)
        self.assertIs(type(await self.hold_up(client, SILENT_CALL_S)), AnswerLost)
        await self.assert_lost_when_the_link_carries_again()

    async def test_a_call_of_a_killed_process_does_not_arrive_after_a_cut(self) -> None:
        """Guards against orders of a killed fleet leader that arrive after the next one's."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", CALL_TWICE, f"http://{self.link.address}/"),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        await process.stdout.readline()
        self.link.set_passage(Passage.NOTHING)
        process.stdin.write(b"\n")
        await asyncio.sleep(SILENT_CALL_S)
        process.kill()
        await process.wait()
        await self.assert_lost_when_the_link_carries_again()


class ForeignEntriesTest(NodeCase):
    """The workers' table also contains entries of other writers."""

    async def test_valid_workers_beside_them_are_used(self) -> None:
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

    async def test_worker_whose_entry_is_invalid_gets_no_new_tasks(self) -> None:
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

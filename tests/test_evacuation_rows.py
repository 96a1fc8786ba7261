"""Tests of reading and decoding the rows by which operators evacuate data halls."""

from __future__ import annotations

import json
import unittest

from aiohttp import web

from pumicespur.model import DataHall, HallEvacuation, WorkerName
from pumicespur.platform import (
    EVACUATION_PREFIX,
    HttpClient,
    PlatformTable,
    decode_evacuation,
    decode_worker,
)
from pumicespur.schema.node_pb import StoreSettings
from pumicespur.store import AnswerLost, Conflict, Row, Transaction, Unavailable, Write
from standins.hosted import USUAL_ENTRY
from standins.hosted._store import HostedStore
from tests.base import quiet_loop


class DecodedEvacuationTest(unittest.TestCase):
    """Keys that name a data hall, and others."""

    def test_the_value_is_ignored(self) -> None:
        for value in (b"", b"{}", b"\xff", b'{"hall": "other"}'):
            found = decode_evacuation(Row(EVACUATION_PREFIX + "hall-1", value, 7))
            self.assertEqual(HallEvacuation(DataHall("hall-1"), 7), found.ok)

    def test_a_key_without_a_usable_name_is_rejected(self) -> None:
        for name in ("", " ", " hall-1", "hall-1\n", "hall\0"):
            with self.subTest(name=name):
                self.assertTrue(decode_evacuation(Row(EVACUATION_PREFIX + name, b"", 7)).is_error())

    def test_another_key_is_rejected(self) -> None:
        self.assertTrue(decode_evacuation(Row("op//config", b"", 7)).is_error())


class ColdWorkerEntryTest(unittest.TestCase):
    """The time for which a worker is still slow."""

    def cold_for_s(self, **fields: object) -> float:
        entry = json.dumps({**USUAL_ENTRY, **fields}).encode()
        return decode_worker(WorkerName("w"), entry).ok.cold_for_s

    def test_it_is_read_in_seconds(self) -> None:
        self.assertEqual(1.25, self.cold_for_s(coldRemainingMs=1250))

    def test_a_worker_that_tells_none_or_less_is_warm(self) -> None:
        self.assertEqual(0.0, self.cold_for_s())
        self.assertEqual(0.0, self.cold_for_s(coldRemainingMs=-3))
        self.assertEqual(0.0, self.cold_for_s(coldRemainingMs=None))


class RangeReadTest(unittest.IsolatedAsyncioTestCase):
    """A read of a range of keys from the stand-in for the store."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        self.store = HostedStore()
        runner = web.AppRunner(self.store.app())
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = runner.addresses[0][1]
        client = HttpClient(2)
        self.addAsyncCleanup(client.aclose)
        settings = StoreSettings(address=f"127.0.0.1:{port}", timeout_s=5.0, max_timeout_s=10.0)
        self.table = PlatformTable(settings, client)

    async def read(self) -> list[str]:
        found = await self.table.scan_range("op", "", "evacuate/", "evacuate0")
        return [row.key for row in found.ok.rows]

    async def test_only_rows_of_the_range_are_read(self) -> None:
        for key in ("config", "evacuate", "evacuate/a", "evacuate/b", "evacuate0", "wave/1"):
            self.store.put(("op", "", key), b"x")
        self.store.put(("op", "other", "evacuate/c"), b"x")
        self.assertEqual(["op//evacuate/a", "op//evacuate/b"], await self.read())
        self.assertEqual(1, self.store.calls["/pumicespur/rows-get"])

    async def test_a_range_larger_than_a_response_is_read_whole(self) -> None:
        for number in range(501):
            self.store.put(("op", "", f"evacuate/{number:03}"), b"")
        self.store.put(("op", "", "wave/1"), b"x")
        self.assertEqual(501, len(await self.read()))

    async def test_an_empty_range_tells_the_version(self) -> None:
        self.store.put(("op", "", "config"), b"x")
        found = await self.table.scan_range("op", "", "evacuate/", "evacuate0")
        self.assertEqual(([], 1), (found.ok.rows, found.ok.version))


class TransactionStatusTest(unittest.IsolatedAsyncioTestCase):
    """What the status of a response to a transaction says about the write."""

    async def fault_of(self, status: int, text: str = "") -> object:
        """Write to a store that answers with a status; return the error."""

        async def respond(request: web.Request) -> web.Response:
            return web.Response(status=status, text=text)

        app = web.Application()
        app.router.add_post("/pumicespur/rows-tx", respond)
        runner = web.AppRunner(app)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        client = HttpClient(1)
        self.addAsyncCleanup(client.aclose)
        settings = StoreSettings(
            address=f"127.0.0.1:{runner.addresses[0][1]}", timeout_s=5.0, max_timeout_s=10.0
        )
        table = PlatformTable(settings, client)
        return (await table.transact(Transaction([], [Write("t//k", b"x")]))).error

    async def test_only_a_refusal_proves_that_nothing_was_done(self) -> None:
        # A submission was refused as not recorded although the store may have applied it.
        for status in (429, 503):
            self.assertIsInstance(await self.fault_of(status), Unavailable, status)
        for status in (201, 500, 502, 504):
            self.assertIsInstance(await self.fault_of(status), AnswerLost, status)

    async def test_a_conflict_that_cannot_be_decoded_is_no_exception(self) -> None:
        self.assertNotIsInstance(await self.fault_of(412, "<html>"), Conflict)

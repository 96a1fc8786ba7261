"""Tests of how the stand-ins are served."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from aiohttp import web

from standins.hosted._serving import SHUTDOWN_S, Served
from tests.base import quiet_loop

TRIES = 40
STEP_S = 0.00001
"""By how much the request ends later from one try to the next; a loop's step takes some of them."""


class ServedTest(unittest.IsolatedAsyncioTestCase):
    """A stand-in that ends under an open request."""

    async def asyncSetUp(self) -> None:
        quiet_loop()

    async def test_a_request_that_ends_as_the_stand_in_does_raises_nothing(self) -> None:
        async with aiohttp.ClientSession() as session:
            with self.assertNoLogs("aiohttp.server", "ERROR"):
                for number in range(-TRIES // 2, TRIES // 2):
                    await self._end_under_request(session, SHUTDOWN_S + number * STEP_S)

    async def _end_under_request(self, session: aiohttp.ClientSession, after_s: float) -> None:
        asked, ended = asyncio.Event(), asyncio.Event()

        async def answer(request: web.Request) -> web.Response:
            asked.set()
            await ended.wait()
            return web.Response()

        app = web.Application()
        app.router.add_get("/", answer)
        served = Served(app)
        await served.open()
        call = asyncio.create_task(self._call(session, served.address))
        await asked.wait()
        asyncio.get_running_loop().call_later(after_s, ended.set)
        await served.close()
        await call

    async def _call(self, session: aiohttp.ClientSession, address: str) -> None:
        try:
            async with session.get(f"http://{address}/") as response:
                await response.read()
        except aiohttp.ClientError:
            return

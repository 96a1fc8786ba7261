"""Tests of the request path under faults of backend servers, callers, and several at once."""

from __future__ import annotations

import signal

import anyio
import httpx

from standins.launcher import BackendOrders, wait_until
from standins.schema.standins_pb import BackendFault, BackendOrder, PlatformFault
from tests.base import ClusterCase, one_pool, outcome_of


class TestBackendFaults(ClusterCase):
    """Backend servers that freeze, hang, crash or send duplicate responses."""

    async def get_all(self, count: int) -> list[str]:
        """Send idempotent requests one after the other; return their outcomes."""
        url = f"{self.entries[0].url}/issuance/x"
        headers = {"pumicespur-timeout-ms": "2000"}
        return [outcome_of(await self.http.get(url, headers=headers)) for _ in range(count)]

    async def test_a_duplicated_response_reaches_no_other_caller(self) -> None:
        await self.start_cluster(one_pool(1, 0), backends=1)
        backend = BackendOrders(self.backends[0])
        await backend.give(BackendOrder(fault=BackendFault.DUPLICATE))
        for number in range(10):
            response = await self.post(self.entries[0], f"k{number}")
            self.assertIn(outcome_of(response), ("answered", "unknown"))
            if outcome_of(response) == "answered":
                self.assertEqual(response.json()["key"], f"k{number}")
            self.assertLessEqual(await self.runs(f"k{number}"), 1)

    async def test_a_late_response_reaches_no_other_caller(self) -> None:
        await self.start_cluster(one_pool(1, 0), backends=1)
        backend = BackendOrders(self.backends[0])
        for number in range(5):
            await backend.give(BackendOrder(delay_ms=400))
            late = await self.post(self.entries[0], f"late-{number}", timeout_ms=200)
            self.assertEqual(outcome_of(late), "unknown")
            await backend.give(BackendOrder())
            response = await self.post(self.entries[0], f"next-{number}")
            self.assertEqual(response.json()["key"], f"next-{number}")
            self.assertLessEqual(await self.runs(f"late-{number}"), 1)

    async def test_a_backend_server_killed_while_requests_run_on_it(self) -> None:
        """Idempotent requests get a response from another one; at-most-once ones are unknown."""
        await self.start_cluster(one_pool(2, 0), backends=2)
        for backend in self.backends:
            await BackendOrders(backend).give(BackendOrder(delay_ms=1000))
        outcomes: dict[str, list[str]] = {"GET": [], "POST": []}

        async def call(method: str, number: int) -> None:
            headers = {"idempotency-key": f"k{number}"} if method == "POST" else {}
            url = f"{self.entries[0].url}/issuance/x"
            response = await self.http.request(method, url, headers=headers)
            outcomes[method].append(outcome_of(response))

        async def running() -> bool:
            states = [await BackendOrders(backend).inspect() for backend in self.backends]
            return sum(state.running for state in states) == 8

        async with anyio.create_task_group() as tasks:
            for number in range(4):
                tasks.start_soon(call, "GET", number)
                tasks.start_soon(call, "POST", number)
            await wait_until(running, "all requests run")
            lost = await BackendOrders(self.backends[0]).inspect()
            self.backends[0].kill()
        self.assertEqual(outcomes["GET"], ["answered"] * 4)
        keyed = sum(1 for run in lost.runs if run.key)
        self.assertEqual(sorted(outcomes["POST"]), ["answered"] * (4 - keyed) + ["unknown"] * keyed)

    async def test_a_frozen_backend_server_fails_no_idempotent_request(self) -> None:
        await self.start_cluster(one_pool(3, 0), backends=3, entry={"eject_s": "60"})
        self.backends[0].send_signal(signal.SIGSTOP)
        self.assertEqual(set(await self.get_all(20)), {"answered"})

    async def test_a_rack_frozen_while_the_store_is_down(self) -> None:
        quick_ejection = {"eject_s": "60", "eject_after": "2"}
        await self.start_cluster(one_pool(4, 0), backends=4, racks=2, entry=quick_ejection)
        await self.orders.fail(PlatformFault.HANG)
        for backend in self.backends[::2]:
            backend.send_signal(signal.SIGSTOP)
        self.assertEqual(set(await self.get_all(20)), {"answered"})
        response = await self.post(self.entries[0], "k1")
        self.assertEqual(outcome_of(response), "unknown")

    async def test_a_backend_server_is_used_again_after_a_hang(self) -> None:
        await self.start_cluster(one_pool(1, 0), backends=1)
        backend = BackendOrders(self.backends[0])
        await backend.give(BackendOrder(fault=BackendFault.HANG))
        headers = {"pumicespur-timeout-ms": "300"}
        for _ in range(3):
            response = await self.http.get(f"{self.entries[0].url}/issuance/x", headers=headers)
            self.assertEqual(outcome_of(response), "unknown")
        await backend.give(BackendOrder())
        self.assertEqual(await self.get_all(3), ["answered"] * 3)

    async def test_a_backend_server_is_used_again_after_a_reboot(self) -> None:
        await self.start_cluster(one_pool(1, 0), backends=1, entry={"eject_s": "0.1"})
        await BackendOrders(self.backends[0]).give(BackendOrder(reboot_ms=500))

        async def outcome(wanted: str) -> bool:
            return (await self.get_all(1))[0] == wanted

        await wait_until(lambda: outcome("not-run"), "it is down")
        await wait_until(lambda: outcome("answered"), "it is back")


class TestCallerFaults(ClusterCase):
    """Callers that are slow, disconnect, or arrive all at once."""

    async def connect(self) -> anyio.abc.SocketStream:
        """Open a plain connection to the first entry."""
        host, _, port = self.entries[0].ready["listen"].rpartition(":")
        return await anyio.connect_tcp(host, int(port))

    async def test_slow_callers_do_not_delay_others(self) -> None:
        await self.start_cluster(one_pool(1, 0), backends=1)
        slow = [await self.connect() for _ in range(100)]
        for stream in slow[:50]:
            await stream.send(b"GET /issuance/x HTTP/1.1\r\nhost:")
        for stream in slow[50:]:
            await stream.send(
                b"PUT /issuance/x HTTP/1.1\r\nhost: x\r\npumicespur-timeout-ms: 300\r\n"
                b"content-length: 10\r\n\r\n123"
            )
        response = await self.http.get(f"{self.entries[0].url}/issuance/x")
        self.assertEqual(response.status_code, 200)
        head = await slow[-1].receive()
        self.assertIn(b" 408 ", head)
        self.assertIn(b"pumicespur-outcome: not-run", head)
        for stream in slow:
            await stream.aclose()

        async def idle() -> bool:
            return bool(self.entries[0].describe()["running"] == 0)

        await wait_until(idle, "nothing is held for slow callers")

    async def test_many_simultaneous_cancellations_leave_no_requests_behind(self) -> None:
        await self.start_cluster(one_pool(2, 0), backends=2)
        for backend in self.backends:
            await BackendOrders(backend).give(BackendOrder(delay_ms=300))
        entry = self.entries[0]

        async def call(number: int) -> None:
            with anyio.move_on_after(0.1):
                async with httpx.AsyncClient(trust_env=False) as client:
                    headers = {"idempotency-key": f"k{number}"}
                    await client.post(f"{entry.url}/issuance/x", headers=headers)

        async with anyio.create_task_group() as tasks:
            for number in range(60):
                tasks.start_soon(call, number)

        async def idle() -> bool:
            dump = entry.describe()
            backends = dump["pools"]["issuance"]["backends"].values()
            return dump["running"] == 0 and not any(b["in_flight"] for b in backends)

        await wait_until(idle, "all have ended")
        for number in range(60):
            self.assertLessEqual(await self.runs(f"k{number}"), 1)
        for backend in self.backends:
            await BackendOrders(backend).give(BackendOrder())
        response = await self.post(entry, "after")
        self.assertEqual(outcome_of(response), "answered")

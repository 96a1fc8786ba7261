"""Tests of the log, the lease and claims against the platform stand-in, under its faults."""

from __future__ import annotations

import unittest

import anyio
from expression import Result

from pumicespur.connect import PlatformClient
from pumicespur.planning import Decision, Planner
from pumicespur.routing import ClaimWriter
from pumicespur.routing._claims import Taken, Unresolved, Won
from pumicespur.schema.claims_pb import ClaimState
from pumicespur.schema.fleet_pb import Declaration, Pool, Record
from pumicespur.schema.settings_pb import ManagerSettings, PlatformSettings
from pumicespur.state import Lease, Log, Replica, Retention, Uncertain
from pumicespur.store import AnswerLost, Conflict, Unavailable
from pumicespur.structure import Fleet, ProcessId
from standins.launcher import Launcher, PlatformOrders, wait_until
from standins.schema.standins_pb import PlatformFault
from tests.base import quiet_loop

LEASE_S = 0.3

PATIENT_S = 20.0
"""Time of a call where nothing is to go wrong: a busy machine took over 0.5 s for one."""

FAULT_TIMEOUT_S = 0.5
"""Time of a call that is to be waited for in vain."""


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Tests with a platform stand-in and clients in this process."""

    async def asyncSetUp(self) -> None:
        quiet_loop()
        launcher = Launcher()
        self.addCleanup(launcher.close)
        self.child = launcher.start_platform()
        self.orders = PlatformOrders(self.child)

    call_s = PATIENT_S
    """Time that a client made from now on gives a call."""

    def client(self) -> PlatformClient:
        settings = PlatformSettings(url=self.child.url, timeout_s=self.call_s, writes_per_s=100)
        return PlatformClient(settings)

    def replica(self) -> Replica:
        return Replica(Log(self.client()))

    async def tokens(self) -> list[str]:
        return [record.token for record in await self.orders.records()]


def by(author: str) -> Record:
    """Make a record that changes nothing but the revision."""
    return Record(author=author)


class TestAppend(PlatformCase):
    """Appends happen once, or are known not to have happened."""

    async def test_concurrent_appends_leave_no_gap_and_lose_none(self) -> None:
        replicas = [self.replica() for _ in range(4)]
        failed: list[object] = []

        async def append(replica: Replica, author: str) -> None:
            for _ in range(8):
                answer = await replica.append(lambda _: by(author))
                if answer.is_error():
                    failed.append(answer.error)

        async with anyio.create_task_group() as tasks:
            for number, replica in enumerate(replicas):
                tasks.start_soon(append, replica, f"writer-{number}")
        records = await self.orders.records()
        self.assertEqual([r.revision for r in records], list(range(1, len(records) + 1)))
        self.assertEqual(len(records) + len(failed), 32)
        for replica in replicas:
            await replica.catch_up()
            self.assertEqual(replica.revision, len(records))

    async def test_a_lost_answer_is_settled_by_the_token(self) -> None:
        self.call_s = FAULT_TIMEOUT_S
        replica = self.replica()
        for lost in (1, 2):
            await replica.catch_up()
            await self.orders.fail(PlatformFault.LOSE_ANSWERS, count=lost)
            answer = await replica.append(lambda _: by("ann"))
            self.assertTrue(answer.is_ok(), answer)
        self.assertEqual(len(await self.tokens()), 2)

    async def test_when_every_answer_is_lost_it_is_said_to_be_uncertain(self) -> None:
        head = (await self.replica().store.head()).ok
        self.call_s = FAULT_TIMEOUT_S
        await self.orders.fail(PlatformFault.LOSE_ANSWERS, count=1000)
        answer = await self.replica().store.append(by("ann"), head)
        match answer:
            case Result(error=Uncertain(token=token)):
                self.assertEqual(await self.tokens(), [token])
            case _:
                self.fail(str(answer))

    async def test_a_hanging_store_is_uncertain_and_a_refused_connection_is_not(self) -> None:
        head = (await self.replica().store.head()).ok
        self.call_s = FAULT_TIMEOUT_S
        replica = self.replica()
        await self.orders.fail(PlatformFault.HANG)
        hung = await replica.store.append(by("ann"), head)
        self.assertIsInstance(hung.error, Uncertain)
        await self.orders.lift_faults()
        self.child.kill()
        refused = await replica.store.append(by("ann"), head)
        self.assertIsInstance(refused.error, Unavailable)

    async def test_build_sees_the_state_that_its_record_follows(self) -> None:
        first, second = self.replica(), self.replica()
        seen: list[int] = []

        def build(fleet: Fleet) -> Record:
            seen.append(fleet.revision)
            return by("ann")

        await first.catch_up()
        await second.append(lambda _: by("bob"))
        answer = await first.append(build)
        self.assertEqual(answer.ok, 2)
        self.assertEqual(seen[-1], 1)


class AlwaysDecision(Decision):
    """A decision that always wants to change something."""

    def record(self) -> Record:
        return Record()


class TestLease(PlatformCase):
    """One holder at a time, and a former one can append nothing."""

    def lease(self, name: str) -> Lease:
        return Lease(self.client(), ProcessId(name), LEASE_S)

    async def take(self, lease: Lease) -> None:
        """Watch until the lease is taken."""

        async def held() -> bool:
            await lease._watch()
            return lease.held

        await wait_until(held, "the lease")

    async def test_it_is_not_taken_while_it_is_renewed(self) -> None:
        first, second = self.lease("a"), self.lease("b")
        await self.take(first)
        for _ in range(8):
            await first._renew()
            await second._watch()
            self.assertFalse(second.held)
            await anyio.sleep(LEASE_S / 4)

    async def test_a_former_holder_cannot_append(self) -> None:
        first, second = self.lease("a"), self.lease("b")
        replica = self.replica()
        await self.take(first)
        await self.take(second)
        answer = await replica.append(lambda _: by("a"), [first.fence()])
        self.assertIsInstance(answer.error, Conflict)
        answer = await replica.append(lambda _: by("b"), [second.fence()])
        self.assertTrue(answer.is_ok())
        self.assertGreater(second.epoch, first.epoch)

    async def test_a_former_planner_that_missed_the_takeover_decides_nothing(self) -> None:
        first, second = self.lease("a"), self.lease("b")
        settings = ManagerSettings(lease_s=LEASE_S, tick_s=0.01, moves_per_round=4, missing_s=0)
        platform, replica = self.client(), self.replica()
        retention = Retention(settings, platform, first)
        planner = Planner(settings, platform, replica, first, retention)
        await self.take(first)
        await replica.append(lambda _: Record(put=Declaration(pools=[Pool(id="p", size=1)])))
        await self.take(second)
        first._renewed_at = float("inf")  # as if its clock had stood still
        planner.decide = lambda fleet: AlwaysDecision()  # type: ignore[method-assign]
        await planner.observe()
        await planner._round()
        authors = [record.author for record in await self.orders.records()]
        self.assertNotIn("a", authors)
        self.assertFalse(first.held)

    async def test_a_takeover_whose_answer_was_lost_is_taken_again(self) -> None:
        self.call_s = FAULT_TIMEOUT_S
        lease = self.lease("a")
        await self.orders.fail(PlatformFault.LOSE_ANSWERS, count=1)
        await lease._watch()
        self.assertFalse(lease.held)
        await self.take(lease)
        self.assertEqual(lease.epoch, 2)


class TestClaims(PlatformCase):
    """A key is won once, by whoever; also when answers are lost."""

    async def claim_all(
        self, writers: list[ClaimWriter], keys: list[str]
    ) -> dict[str, list[object]]:
        """Claim every key through every writer at the same time."""
        results: dict[str, list[object]] = {key: [] for key in keys}

        async def claim(writer: ClaimWriter, key: str) -> None:
            row = writer.new_claim(ClaimState.HELD, key.encode())
            results[key].append(await writer.write(key, row, 0, 5))

        async with anyio.create_task_group() as runners:
            for writer in writers:
                runners.start_soon(writer.run)
            async with anyio.create_task_group() as tasks:
                for key in keys:
                    for writer in writers:
                        tasks.start_soon(claim, writer, key)
            runners.cancel_scope.cancel()
        return results

    async def test_each_key_is_won_once(self) -> None:
        writers = [ClaimWriter(self.client(), f"entry-{n}") for n in range(3)]
        keys = [f"k{n}" for n in range(40)]
        for key, results in (await self.claim_all(writers, keys)).items():
            kinds = sorted(type(result).__name__ for result in results)
            self.assertEqual(kinds, ["Taken", "Taken", "Won"], key)
        writes = sum(writer.transactions for writer in writers)
        self.assertLess(writes, len(keys))

    async def test_lost_answers_never_give_a_key_to_two(self) -> None:
        self.call_s = FAULT_TIMEOUT_S
        writers = [ClaimWriter(self.client(), f"entry-{n}") for n in range(2)]
        await self.orders.fail(PlatformFault.LOSE_ANSWERS, count=2)
        for key, results in (await self.claim_all(writers, [f"k{n}" for n in range(20)])).items():
            won = [result for result in results if isinstance(result, Won)]
            self.assertEqual(len(won), 1, key)

    async def test_an_outage_is_unresolved_and_names_its_cause(self) -> None:
        self.call_s = FAULT_TIMEOUT_S
        await self.orders.fail(PlatformFault.REFUSE)
        results = await self.claim_all([ClaimWriter(self.client(), "entry-1")], ["k1"])
        match results["k1"]:
            case [Unresolved(reason=reason)]:
                self.assertIn("did not answer", reason)
            case other:
                self.fail(str(other))

    async def test_a_taken_key_shows_its_row(self) -> None:
        first, second = (ClaimWriter(self.client(), name) for name in ("a", "b"))
        await self.claim_all([first], ["k1"])
        match (await self.claim_all([second], ["k1"]))["k1"]:
            case [Taken(claim=claim)]:
                self.assertEqual((claim.entry, claim.state), ("a", ClaimState.HELD))
            case other:
                self.fail(str(other))


class TestRetention(PlatformCase):
    """Old rows go, and nothing else."""

    async def test_only_old_claims_are_deleted(self) -> None:
        lease = Lease(self.client(), ProcessId("a"), LEASE_S)
        await lease._watch()
        settings = ManagerSettings(claim_retention_h=1)
        retention = Retention(settings, self.client(), lease)
        writer = ClaimWriter(self.client(), "a")
        old, new = (writer.new_claim(ClaimState.HELD, b"") for _ in range(2))
        old.at_ms -= 2 * 3_600_000
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            await writer.write("old", old, 0, 5)
            await writer.write("new", new, 0, 5)
            tasks.cancel_scope.cancel()
        await retention.sweep_claims()
        rows = (await self.client().scan("claim/")).ok
        self.assertEqual([row.key for row in rows], ["claim/new"])


class TestClient(PlatformCase):
    """What may have reached the platform is never called unavailable."""

    async def test_a_connection_closed_before_the_answer_is_a_lost_answer(self) -> None:
        async def close(stream: anyio.abc.SocketStream) -> None:
            await stream.receive()
            await stream.aclose()

        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        settings = PlatformSettings(url=f"http://127.0.0.1:{port}", timeout_s=1)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, close)
            answer = await PlatformClient(settings).read(["a"])
            tasks.cancel_scope.cancel()
        self.assertIsInstance(answer.error, AnswerLost)

"""Tests of backend server selection, queueing and the retry budget."""

from __future__ import annotations

import unittest

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicespur.routing import Backend, PoolQueue, Refusal, pick_least_loaded
from pumicespur.routing._attempts import MAX_RETRY_TOKENS, RetryBudget
from pumicespur.routing._messages import CallerRequest
from pumicespur.routing._picker import SAMPLE_SIZE
from pumicespur.schema.fleet_pb import Assignment, Urgency
from pumicespur.schema.settings_pb import EntrySettings
from pumicespur.structure import PoolId, TeamId
from pumicespur.utils import monotonic

LIMIT = 2
SETTINGS = EntrySettings(
    entries=1, backend_connections=LIMIT, eject_after=3, eject_s=60, max_queue=100
)


def make_backend(name: str, in_flight: int = 0) -> Backend:
    """Make a backend server with some requests on it."""
    backend = Backend(Assignment(instance=name, slots=8), SETTINGS)
    backend.in_flight = in_flight
    return backend


def make_request(urgency: Urgency = Urgency.LIVE, seconds: float = 60) -> CallerRequest:
    """Make an idempotent request."""
    return CallerRequest(
        id="r",
        pool=PoolId("p"),
        method="GET",
        target="/",
        headers=[],
        body=b"",
        urgency=urgency,
        team=TeamId(""),
        deadline=monotonic() + seconds,
    )


class TestPick(unittest.TestCase):
    """The selected backend server is one that a search over the whole pool would allow."""

    @given(
        st.lists(
            st.tuples(st.integers(0, LIMIT), st.booleans(), st.booleans()), max_size=3 * SAMPLE_SIZE
        )
    )
    def test_the_selected_one_has_free_capacity_and_is_not_leaving(
        self, states: list[tuple[int, bool, bool]]
    ) -> None:
        backends = []
        for number, (in_flight, leaving, ejected) in enumerate(states):
            backend = make_backend(f"b{number}", in_flight)
            backend.leaving = leaving
            backend.ejected_until = float("inf") if ejected else 0.0
            backends.append(backend)
        chosen = pick_least_loaded(backends)
        usable = [b for b in backends if not b.leaving and b.has_free_capacity and not b.is_ejected]
        staying = [b for b in backends if not b.leaving]
        if chosen is None:
            few_ejected = sum(b.is_ejected for b in staying) <= len(staying) / 2
            self.assertFalse(few_ejected and usable)
            return
        self.assertTrue(chosen.has_free_capacity and not chosen.leaving)
        if len(backends) <= SAMPLE_SIZE and not chosen.is_ejected:
            self.assertEqual(chosen.load(), min(b.load() for b in usable))

    def test_a_pool_whose_backend_servers_are_all_ejected_is_still_used(self) -> None:
        backends = [make_backend(f"b{n}") for n in range(4)]
        for backend in backends:
            for _ in range(SETTINGS.eject_after):
                backend.note_failure()
        self.assertTrue(all(backend.is_ejected for backend in backends))
        self.assertIsNotNone(pick_least_loaded(backends))

    def test_a_tried_backend_server_is_avoided_while_another_is_eligible(self) -> None:
        backends = [make_backend("a"), make_backend("b", 1)]
        chosen = pick_least_loaded(backends, {"a"})
        assert chosen is not None
        self.assertEqual(chosen.id, "b")


class TestQueue(unittest.TestCase):
    """Capacity is never granted twice, live goes first, and batch is not starved."""

    @settings(deadline=None, max_examples=40)
    @given(
        st.lists(st.sampled_from([Urgency.LIVE, Urgency.BATCH]), min_size=1, max_size=30),
        st.integers(1, 3),
    )
    def test_all_requests_are_served_and_no_limit_is_exceeded(
        self, urgencies: list[Urgency], servers: int
    ) -> None:
        order: list[Urgency] = []
        queue = PoolQueue(100)
        backends = [make_backend(f"b{n}") for n in range(servers)]
        queue.replace_backends(backends)

        async def take(urgency: Urgency) -> None:
            acquired = await queue.acquire(make_request(urgency))
            backend = acquired.ok
            self.assertLessEqual(backend.in_flight, LIMIT)
            order.append(urgency)
            await anyio.sleep(0)
            queue.release(backend, 0.001)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for urgency in urgencies:
                    tasks.start_soon(take, urgency)

        anyio.run(main)
        self.assertEqual(sorted(order), sorted(urgencies))
        self.assertEqual([backend.in_flight for backend in backends], [0] * servers)

    def test_batch_requests_get_a_share_while_live_ones_keep_waiting(self) -> None:
        granted: list[Urgency] = []

        async def main() -> None:
            queue = PoolQueue(1000)
            backend = make_backend("b", LIMIT)
            queue.replace_backends([backend])

            async def take(urgency: Urgency) -> None:
                await queue.acquire(make_request(urgency))
                granted.append(urgency)

            async with anyio.create_task_group() as tasks:
                for _ in range(40):
                    tasks.start_soon(take, Urgency.LIVE)
                for _ in range(10):
                    tasks.start_soon(take, Urgency.BATCH)
                await anyio.wait_all_tasks_blocked()
                for _ in range(50):
                    queue.release(backend, 0.001)
                    await anyio.wait_all_tasks_blocked()

        anyio.run(main)
        first = granted[:20]
        self.assertEqual(first.count(Urgency.BATCH), 5)

    def test_a_deadline_that_cannot_be_met_is_refused_at_once(self) -> None:
        async def main() -> object:
            queue = PoolQueue(100)
            queue.replace_backends([make_backend("b", LIMIT)])
            queue.service_s = 5.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(queue.acquire, make_request())
                await anyio.wait_all_tasks_blocked()
                refusal = (await queue.acquire(make_request(seconds=1))).error
                tasks.cancel_scope.cancel()
            return refusal

        refusal = anyio.run(main)
        self.assertIsInstance(refusal, Refusal)
        assert isinstance(refusal, Refusal)
        self.assertEqual(refusal.reason, "deadline can't be met")

    def test_a_long_service_time_does_not_refuse_a_request_that_can_start_now(self) -> None:
        """Otherwise no request would run, and the average service time would never fall."""

        async def main() -> bool:
            queue = PoolQueue(100)
            queue.replace_backends([make_backend("b")])
            queue.service_s = 60.0
            return (await queue.acquire(make_request(seconds=1))).is_ok()

        self.assertTrue(anyio.run(main))

    def test_a_cancelled_wait_leaves_no_waiter_and_no_capacity_taken(self) -> None:
        async def main() -> tuple[int, int]:
            queue = PoolQueue(100)
            backend = make_backend("b", LIMIT)
            queue.replace_backends([backend])
            with anyio.move_on_after(0.01):
                await queue.acquire(make_request())
            queue.release(backend, 0.001)
            return len(queue.waiting[Urgency.LIVE]), backend.in_flight

        self.assertEqual(anyio.run(main), (0, LIMIT - 1))


class TestRetryBudget(unittest.TestCase):
    """Retries stay within a share of first attempts, in any order of events."""

    @given(st.lists(st.booleans(), max_size=200), st.floats(0, 1))
    def test_retries_never_exceed_the_share(self, retries: list[bool], share: float) -> None:
        budget = RetryBudget(share)
        first = spent = 0
        for wants_retry in retries:
            if wants_retry:
                spent += budget.try_take()
            else:
                budget.add_share()
                first += 1
        self.assertLessEqual(spent, MAX_RETRY_TOKENS + share * first + 1e-6)

"""Tests of deciding and keeping state on real processes, under failure.

What is judged comes from the stand-ins' histories (see standins/checker.py), not from the
system's own view.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from pumicespur.exceptions import ConflictError, PumicespurError, UnreachableError
from pumicespur.operators import SCHEMA_VERSION, OperatorClient
from pumicespur.schema.fleet_pb import (
    Declaration,
    FailureDomain,
    InstanceState,
    Record,
    WavePhase,
)
from pumicespur.schema.operators_pb import (
    ApplyRequest,
    ApplyResponse,
    DrainRequest,
    WaveAction,
    WaveRequest,
)
from standins.checker import lowest_availability, undrained_moves
from standins.launcher import BackendOrders, Child, wait_until
from standins.schema.standins_pb import HistoryEvent, PlatformFault
from tests.base import ClusterCase, make_pool, make_wave, one_pool, outcome_of

if TYPE_CHECKING:
    from collections.abc import Sequence


class WaveCase(ClusterCase):
    """Tests that run a wave over one pool and judge it in the end."""

    async def start_wave_cluster(self, managers: int = 2, entries: int = 0) -> None:
        """Start four instances with a budget of three and a wave that is not started."""
        declaration = one_pool(4, 3, [make_wave("issuance")])
        await self.start_cluster(declaration, backends=4, managers=managers, entries=entries)

    async def act(self, action: WaveAction, operator: OperatorClient | None = None) -> None:
        """Act on the wave."""
        request = WaveRequest(wave="wave", action=action)
        await (operator or self.operator).control_wave(request)

    async def wait_event(self, kind: str, count: int = 1) -> None:
        """Wait until the platform has noted so many events of a kind."""

        async def seen() -> bool:
            events = (await self.orders.history()).events
            return sum(event.kind == kind for event in events) >= count

        await wait_until(seen, f"{count} of {kind}")

    async def wait_phase(self, phase: WavePhase, operator: OperatorClient | None = None) -> None:
        """Wait until the wave is in a phase."""

        async def reached() -> bool:
            status = await (operator or self.operator).status()
            return any(progress.phase is phase for progress in status.waves)

        await wait_until(reached, phase.name, 60)

    async def planner(self) -> Child:
        """Return the manager that holds the lease, once all managers name the same one."""

        async def agreed() -> bool:
            return len(set(await self._named())) == 1

        await wait_until(agreed, "all managers name one planner")
        name = (await self._named())[0]
        return next(manager for manager in self.managers if manager.name == name)

    async def _named(self) -> list[str]:
        clients = [OperatorClient(manager.url, "tester") for manager in self.managers]
        return [(await client.status()).planner for client in clients]

    async def other(self, planner: Child) -> OperatorClient:
        """Return a client of a manager that is not the given one."""
        manager = next(manager for manager in self.managers if manager is not planner)
        return OperatorClient(manager.url, "tester")

    async def assert_promises(self, reboots: int = 4) -> None:
        """Judge budgets and pools by the stand-ins' histories."""
        history = await self.orders.history()
        for pool, seen in lowest_availability(history).items():
            self.assertGreaterEqual(seen.lowest, seen.minimum, pool)
        self.assertEqual(undrained_moves(history), [])
        done = [event for event in history.events if event.kind == "order-reboot"]
        self.assertEqual(len(done), reboots)
        self.assertEqual(len({event.token for event in done}), reboots)
        revisions = [record.revision for record in history.records]
        self.assertEqual(revisions, list(range(1, len(revisions) + 1)))
        epochs = [record.epoch for record in history.records if record.epoch]
        self.assertEqual(epochs, sorted(epochs))


class TestPlannerFailures(WaveCase):
    """Budgets hold when the planner dies or freezes between its steps."""

    async def test_killed_after_each_kind_of_order(self) -> None:
        for kind in ("order-drain", "order-reboot", "up"):
            with self.subTest(kind=kind):
                await self.start_wave_cluster()
                planner = await self.planner()
                operator = await self.other(planner)
                before = 4 if kind == "up" else 0
                await self.act(WaveAction.START, operator)
                await self.wait_event(kind, before + 1)
                planner.kill()
                await self.wait_phase(WavePhase.DONE, operator)
                await self.assert_promises()

    async def test_a_frozen_planner_that_wakes_up_changes_nothing(self) -> None:
        await self.start_wave_cluster()
        planner = await self.planner()
        operator = await self.other(planner)
        await self.act(WaveAction.START, operator)
        await self.wait_event("order-drain")
        planner.send_signal(signal.SIGSTOP)
        await self.wait_phase(WavePhase.DONE, operator)
        records = len(await self.orders.records())
        planner.send_signal(signal.SIGCONT)
        name = planner.name

        async def knows() -> bool:
            dump = planner.describe()["lease"]
            return bool(dump["holder"] != name and not dump["held"])

        await wait_until(knows, "the former planner knows")
        self.assertEqual(len(await self.orders.records()), records)
        await self.assert_promises()

    async def test_two_that_believe_to_plan_are_told_apart_by_the_epoch(self) -> None:
        """A takeover while the holder is cut off for a moment: only one can append."""
        await self.start_wave_cluster()
        for _ in range(3):
            planner = await self.planner()
            planner.send_signal(signal.SIGSTOP)
            other = next(manager for manager in self.managers if manager is not planner)
            await wait_until(lambda other=other: self._holds(other), "a takeover")  # type: ignore[misc]
            planner.send_signal(signal.SIGCONT)
        await self.act(WaveAction.START)
        await self.wait_phase(WavePhase.DONE)
        await self.assert_promises()

    @staticmethod
    async def _holds(manager: Child) -> bool:
        return bool(manager.describe()["lease"]["held"])


QUICK_LOSS = {"reboot_timeout_s": "2", "missing_s": "2"}


class TestLosses(WaveCase):
    """Instances lost together in the middle of a wave."""

    async def test_a_data_hall_lost_mid_wave_leaves_the_budget(self) -> None:
        pool = make_pool("issuance", 8, 3, FailureDomain.DATA_HALL)
        wave = make_wave("issuance", halt_share=1)
        declaration = Declaration(pools=[pool], waves=[wave])
        await self.start_cluster(declaration, backends=8, racks=4, manager=QUICK_LOSS)
        await self.act(WaveAction.START)
        await self.wait_event("order-reboot", 2)
        for backend in self.backends[::2]:
            backend.kill()

        async def dropped() -> bool:
            return len((await self.status()).assignments) == 4

        await wait_until(dropped, "the lost instances are dropped")
        await self.wait_settled()
        drains = self.count("order-drain", (await self.orders.history()).events)
        await self.wait_round()
        history = await self.orders.history()
        seen = lowest_availability(history)["issuance"]
        self.assertGreaterEqual(seen.lowest, seen.minimum)
        # With one hall left its loss would take all, so nothing more may start.
        status = await self.status()
        self.assertIs(status.waves[0].phase, WavePhase.RUNNING)
        self.assertEqual(self.count("order-drain", history.events), drains)

    async def wait_round(self) -> None:
        """Wait until the planner has decided once more."""
        rounds = self.managers[0].describe()["rounds"]

        async def decided() -> bool:
            return bool(self.managers[0].describe()["rounds"] > rounds)

        await wait_until(decided, "another round")

    async def wait_settled(self) -> None:
        """Wait until every instance that is left serves."""

        async def serving() -> bool:
            assignments = (await self.status()).assignments
            return all(a.state is InstanceState.SERVING for a in assignments)

        await wait_until(serving, "all that are left serve")

    @staticmethod
    def count(kind: str, events: Sequence[HistoryEvent]) -> int:
        """Count events of a kind."""
        return sum(event.kind == kind for event in events)

    async def test_the_planner_dies_as_a_rack_does(self) -> None:
        pool = make_pool("issuance", 8, 3, FailureDomain.RACK)
        wave = make_wave("issuance", halt_share=1)
        declaration = Declaration(pools=[pool], waves=[wave])
        await self.start_cluster(declaration, backends=8, racks=4, managers=2, manager=QUICK_LOSS)
        planner = await self.planner()
        operator = await self.other(planner)
        await self.act(WaveAction.START, operator)
        await self.wait_event("order-drain", 2)
        planner.kill()
        for backend in self.backends[::4]:
            backend.kill()
        await self.wait_phase(WavePhase.DONE, operator)
        history = await self.orders.history()
        seen = lowest_availability(history)["issuance"]
        self.assertGreaterEqual(seen.lowest, seen.minimum)
        self.assertEqual(undrained_moves(history), [])

    async def test_a_wave_halts_when_its_instances_do_not_come_back(self) -> None:
        quick = {"reboot_timeout_s": "1", "missing_s": "600"}
        declaration = one_pool(4, 2, [make_wave("issuance")])
        await self.start_cluster(declaration, backends=4, manager=quick)
        await self.act(WaveAction.START)
        await self.wait_event("order-reboot", 2)
        for backend in self.backends:
            backend.kill()
        await self.wait_phase(WavePhase.HALTED)
        status = await self.status()
        self.assertGreater(status.waves[0].failed, 0)
        self.assertIn("failed", status.waves[0].reason)


class TestStoreFailures(WaveCase):
    """A store that is down, slow or loses answers breaks nothing."""

    async def test_a_wave_goes_on_after_each_fault(self) -> None:
        await self.start_wave_cluster(managers=1, entries=1)
        await self.act(WaveAction.START)
        for number, fault in enumerate(
            (PlatformFault.LOSE_ANSWERS, PlatformFault.REFUSE, PlatformFault.HANG), start=1
        ):
            await self.wait_event("order-drain", number)
            await self.orders.fail(fault)
            # The entry goes on all the while.
            for _ in range(5):
                answer = await self.http.get(f"{self.entries[0].url}/issuance/x")
                self.assertEqual(answer.status_code, 200)
            await self.orders.lift_faults()
        await self.wait_phase(WavePhase.DONE)
        await self.assert_promises()

    async def test_a_wave_goes_on_after_restarts_of_the_store(self) -> None:
        await self.start_wave_cluster(managers=2, entries=1)
        await self.act(WaveAction.START)
        for number in range(1, 4):
            await self.wait_event("order-drain", number)
            await self.orders.restart(300)
            answer = await self.http.get(f"{self.entries[0].url}/issuance/x")
            self.assertEqual(answer.status_code, 200)
        await self.wait_phase(WavePhase.DONE)
        await self.assert_promises()

    async def test_nothing_starts_while_the_store_is_down(self) -> None:
        await self.start_wave_cluster(managers=1)
        await self.orders.fail(PlatformFault.REFUSE)
        with self.assertRaises(UnreachableError):
            await self.act(WaveAction.START)
        before = len(await self.orders.records())
        await anyio.sleep(0.5)  # long enough for several rounds, were they to start
        self.assertEqual(len(await self.orders.records()), before)
        await self.orders.lift_faults()
        await self.act(WaveAction.START)
        await self.wait_phase(WavePhase.DONE)
        await self.assert_promises()

    async def test_an_apply_whose_answer_was_lost_is_there_once(self) -> None:
        await self.start_wave_cluster(managers=1)
        for number in range(3):
            await self.orders.fail(PlatformFault.LOSE_ANSWERS, count=1)
            name = f"pool-{number}"
            await self.apply(Declaration(pools=[make_pool(name, 0, 0)]))
            records = [r for r in await self.orders.records() if puts(r, name)]
            self.assertEqual(len(records), 1)

    async def test_an_apply_in_an_outage_says_what_is_known(self) -> None:
        await self.start_wave_cluster(managers=1)
        await self.orders.fail(PlatformFault.REFUSE)
        declaration = Declaration(pools=[make_pool("late", 0, 0)])
        with self.assertRaises(UnreachableError) as caught:
            await self.apply(declaration)
        self.assertIn("nothing was changed", str(caught.exception))
        await self.orders.lift_faults()
        self.assertFalse([r for r in await self.orders.records() if puts(r, "late")])


def puts(record: Record, pool: str) -> bool:
    """Tell whether a record puts a pool."""
    return record.put is not None and any(p.id == pool for p in record.put.pools)


class TestOperators(WaveCase):
    """Operators who race each other, and operators who are wrong."""

    async def send(self, base: int, size: int, operator: str, manager: int = 0) -> ApplyResponse:
        """Resize the pool from a base revision, as some operator."""
        client = OperatorClient(self.managers[manager].url, operator)
        request = ApplyRequest(
            schema_version=SCHEMA_VERSION,
            put=Declaration(pools=[make_pool("issuance", size, 1)]),
            base_revision=base,
        )
        return await client.apply(request)

    async def test_the_loser_of_a_race_is_told_who_and_what(self) -> None:
        await self.start_wave_cluster()
        base = (await self.status()).revision
        results: list[object] = []

        async def race(name: str, size: int, manager: int) -> None:
            try:
                results.append(await self.send(base, size, name, manager))
            except ConflictError as failure:
                results.append(failure)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(race, "ann", 2, 0)
            tasks.start_soon(race, "bob", 3, 1)
        losers = [result for result in results if isinstance(result, ConflictError)]
        self.assertEqual(len(losers), 1, results)
        winner = "bob" if "bob" in str(losers[0]) else "ann"
        self.assertRegex(str(losers[0]), rf"\[pool issuance\] was changed by {winner} at revision")

    async def test_changes_of_different_sections_do_not_conflict(self) -> None:
        await self.start_wave_cluster(managers=1)
        base = (await self.status()).revision
        for name in ("a", "b"):
            request = ApplyRequest(
                schema_version=SCHEMA_VERSION,
                put=Declaration(pools=[make_pool(name, 0, 0)]),
                base_revision=base,
            )
            response = await self.operator.apply(request)
            self.assertEqual(list(response.changed), [f"pool {name}"])

    async def test_wrong_calls_name_their_place_and_change_nothing(self) -> None:
        await self.start_wave_cluster(managers=1)
        before = len(await self.orders.records())
        calls = [
            (self.operator.drain(DrainRequest(instance="nobody")), "instance: no such instance"),
            (self.operator.control_wave(WaveRequest(wave="x")), "wave: no such wave 'x'"),
            (self.operator.control_wave(WaveRequest(wave="wave")), "action: takes start, pause"),
            (
                self.operator.control_wave(WaveRequest(wave="wave", action=WaveAction.PAUSE)),
                "wave: wave is not started and can't pause",
            ),
            (self.operator.apply(ApplyRequest(schema_version=9)), "schema_version: this process"),
            (self.operator.dump("nobody"), "process: no such process"),
        ]
        for call, text in calls:
            with self.assertRaises(PumicespurError) as caught:
                await call
            self.assertIn(text, str(caught.exception))
        faulty = Declaration(pools=[make_pool("BAD name", 2, 3)])
        request = ApplyRequest(schema_version=SCHEMA_VERSION, put=faulty, base_revision=10**9)
        response = await self.operator.apply(request)
        self.assertEqual(len(response.findings), 2)
        self.assertEqual(len(await self.orders.records()), before)

    async def test_a_drain_that_would_break_the_budget_is_refused(self) -> None:
        await self.start_wave_cluster(managers=1)
        await self.operator.drain(DrainRequest(instance="b0"))
        with self.assertRaises(PumicespurError) as caught:
            await self.operator.drain(DrainRequest(instance="b1"))
        self.assertIn("its budget needs 3", str(caught.exception))
        await self.operator.drain(DrainRequest(instance="b0", resume=True))
        await self.wait_full()
        await self.operator.drain(DrainRequest(instance="b1"))

    async def test_pause_resume_and_abort(self) -> None:
        self.reboot_ms = 1500  # so slow that the wave can't end before it is aborted
        await self.start_wave_cluster(managers=1)
        await self.act(WaveAction.START)
        await self.wait_event("order-drain")
        await self.act(WaveAction.PAUSE)
        await self.wait_full()
        paused_at = len((await self.orders.history()).events)
        await self.act(WaveAction.RESUME)
        await self.wait_event("order-drain", 2)
        self.assertGreater(len((await self.orders.history()).events), paused_at)
        await self.act(WaveAction.ABORT)
        await self.wait_full()
        status = await self.status()
        self.assertIs(status.waves[0].phase, WavePhase.ABORTED)
        self.assertLess(status.waves[0].done, 4)


class TestConfiguration(WaveCase):
    """An accepted configuration reaches every process and never goes back."""

    async def test_it_reaches_a_process_that_is_cut_off_from_the_store(self) -> None:
        """Peers pass it on while one process's own way to the store is cut."""
        await self.start_wave_cluster(managers=1, entries=1)
        dead = {"url": "http://127.0.0.1:1"}
        peers = {"peers": self.managers[0].ready["peer"]}
        cut_off = self.start_role("entry", 9, {"platform": dead, "process": peers})
        cut_off.wait_ready()
        revision = await self.apply(Declaration(pools=[make_pool("new", 0, 0)]))

        async def reached() -> bool:
            return bool(cut_off.describe()["revision"] >= revision)

        await wait_until(reached, "the cut-off process has the revision")

    async def test_a_process_started_in_an_outage_learns_from_peers(self) -> None:
        await self.start_wave_cluster(managers=1, entries=1)
        await self.orders.fail(PlatformFault.REFUSE)
        peers = {"peers": self.entries[0].ready["peer"]}
        late = self.start_role("entry", 9, {"process": peers})
        late.wait_ready()

        async def serves() -> bool:
            answer = await self.http.get(f"{late.url}/issuance/x")
            return answer.status_code == 200

        await wait_until(serves, "the late entry serves")

    async def test_one_cut_off_from_everything_goes_on(self) -> None:
        limits = {"doubt_after_s": "0.3", "doubt_wait_s": "0.2"}
        declaration = one_pool(2, 1)
        await self.start_cluster(declaration, backends=2, entry=limits)
        self.managers[0].kill()
        await self.orders.fail(PlatformFault.HANG)
        await anyio.sleep(0.5)  # past doubt_after_s
        answer = await self.http.get(f"{self.entries[0].url}/issuance/x")
        self.assertEqual(outcome_of(answer), "answered")

    async def test_a_new_process_starts_from_a_snapshot(self) -> None:
        quick = {"snapshot_every": "3"}
        await self.start_cluster(one_pool(2, 1), backends=2, manager=quick)
        for number in range(5):
            revision = await self.apply(Declaration(pools=[make_pool(f"p{number}", 0, 0)]))
        late = self.start_role("manager", 9)
        late.wait_ready()

        async def same() -> bool:
            return bool(late.describe()["revision"] >= revision)

        await wait_until(same, "the new process is up to date")
        status = await OperatorClient(late.url, "t").status()
        self.assertEqual(len(status.pools), 6)


class TestStaleRouting(ClusterCase):
    """A process that slept through a move does not use its old table."""

    async def test_a_woken_entry_waits_for_the_newest_table(self) -> None:
        limits = {"doubt_after_s": "0.5", "doubt_wait_s": "5"}
        pools = [make_pool("issuance", 1, 0), make_pool("draws", 0, 0)]
        settle = {"move_settle_s": "1"}
        await self.start_cluster(Declaration(pools=pools), backends=1, entry=limits, manager=settle)
        entry = self.entries[0]
        url = f"{entry.url}/issuance/x"
        self.assertEqual((await self.http.get(url)).status_code, 200)
        entry.send_signal(signal.SIGSTOP)
        moved = [make_pool("issuance", 0, 0), make_pool("draws", 1, 0)]
        await self.apply(Declaration(pools=moved))

        async def is_moved() -> bool:
            status = await self.status()
            return status.assignments[0].pool == "draws"

        await wait_until(is_moved, "the instance moves")
        async with anyio.create_task_group() as tasks:
            answers: list[str] = []

            async def call() -> None:
                answers.append(outcome_of(await self.http.get(url)))

            for _ in range(4):
                tasks.start_soon(call)
            await anyio.sleep(0.1)  # lets the request reach the frozen entry's socket
            entry.send_signal(signal.SIGCONT)
        self.assertEqual(answers, ["not-run"] * 4)
        runs = (await BackendOrders(self.backends[0]).inspect()).runs
        self.assertEqual(len(runs), 1)

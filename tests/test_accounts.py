"""Tests of client accounts and their keys."""

from __future__ import annotations

import base64
import json
import unittest
from typing import Any

from expression import Result

from pumicespur.jobs.submissions._access import is_visible_to
from pumicespur.model import (
    ANONYMOUS_ACCOUNT,
    AccountId,
    Capacity,
    Configuration,
    JobId,
    PoolId,
    Route,
    RouteName,
    key_digest,
)
from pumicespur.node._refusals import MAX_REFUSALS, KeyRefusals
from pumicespur.platform import decode_configuration
from pumicespur.platform._callers import bearer_key
from pumicespur.schema.jobs_pb import JobRecord
from pumicespur.view import FleetView
from tests.test_node import LONG_RUNNING, STEP, NodeCase, job_id

KEY = "k-first-0001"
NEXT_KEY = "k-next-0002"
OTHER_KEY = "k-other-0003"
SECRETS = (KEY, NEXT_KEY, OTHER_KEY)

ROUTE = Route(RouteName("quick"), "host", "/quick/", PoolId("main"), 3.0, 0, 2, 1.5, 0.6)


def configuration(*accounts: dict[str, Any], **route: Any) -> bytes:
    """Encode a configuration with one route."""
    made = {"name": "quick", "host": "host", "pathPrefix": "/quick/", "backend": "main", **route}
    return json.dumps({"version": 1, "routes": [made], "tenants": list(accounts)}).encode()


def account(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Build the declaration of an account."""
    return {"name": name, "apiKeys": list(keys), **fields}


class DeclarationTest(unittest.TestCase):
    """Accounts in the operators' configuration."""

    def decode(self, content: bytes) -> Configuration:
        match decode_configuration(content):
            case Result(tag="ok", ok=found):
                return found
            case Result(error=reason):
                raise AssertionError(reason)

    def reason(self, content: bytes) -> str:
        found = decode_configuration(content)
        self.assertTrue(found.is_error())
        return found.error

    def test_account_has_keys_weight_and_limit(self) -> None:
        limit = {"cpu": 1940440, "memMb": 2833597, "gpu": 0}
        found = self.decode(configuration(account("a", KEY, NEXT_KEY, weight=84, upperLimit=limit)))
        self.assertEqual(AccountId("a"), found.keys[key_digest(KEY)])
        self.assertEqual(AccountId("a"), found.keys[key_digest(NEXT_KEY)])
        self.assertEqual(84, found.accounts[AccountId("a")].weight)
        self.assertEqual(Capacity(1940440, 2833597), found.accounts[AccountId("a")].limit)

    def test_routes_need_a_key_once_there_are_accounts(self) -> None:
        self.assertTrue(self.decode(configuration()).routes[RouteName("quick")].public)
        found = self.decode(configuration(account("a", KEY)))
        self.assertFalse(found.routes[RouteName("quick")].public)
        found = self.decode(configuration(account("a", KEY), public=True))
        self.assertTrue(found.routes[RouteName("quick")].public)

    def test_errors_name_the_field_and_no_key(self) -> None:
        cases = {
            "$.tenants[1].apiKeys[0]": [account("a", KEY), account("b", KEY)],
            "$.tenants[1].name": [account("a", KEY), account("a", NEXT_KEY)],
            "$.tenants[0].weight": [account("a", KEY, weight=-1)],
            "$.tenants[0].upperLimit.cpu": [account("a", KEY, upperLimit={"cpu": -1})],
            "$.tenants[0].apiKeys[1]": [account("a", KEY, "")],
        }
        for place, accounts in cases.items():
            with self.subTest(place):
                reason = self.reason(configuration(*accounts))
                self.assertIn(place, reason)
                self.assertFalse(any(secret in reason for secret in SECRETS), reason)

    def test_repr_of_a_configuration_contains_no_key(self) -> None:
        found = self.decode(configuration(account("a", KEY)))
        self.assertNotIn(KEY, repr(found))
        self.assertNotIn(key_digest(KEY).hex(), repr(found))


class HeaderTest(unittest.TestCase):
    """The header with a caller's key."""

    def test_only_the_bearer_scheme_is_accepted(self) -> None:
        self.assertEqual(KEY, bearer_key(f"Bearer {KEY}"))
        self.assertEqual(KEY, bearer_key(f"bearer  {KEY} "))
        for header in ("", KEY, f"Basic {KEY}", "Bearer", "Bearer "):
            with self.subTest(header):
                self.assertIsNone(bearer_key(header))


class AccessTest(unittest.TestCase):
    """Which callers a job is visible to."""

    def is_visible(self, owner: str, caller: str, route: str = "quick") -> bool:
        job = JobRecord(id="0" * 16, route=route, account=owner)
        return is_visible_to(AccountId(caller), ROUTE, job)

    def test_job_is_visible_to_its_own_account_only(self) -> None:
        self.assertTrue(self.is_visible("a", "a"))
        self.assertFalse(self.is_visible("a", "b"))

    def test_job_without_an_account_is_visible_to_all(self) -> None:
        self.assertTrue(self.is_visible("", "b"))
        self.assertTrue(self.is_visible("", ANONYMOUS_ACCOUNT))

    def test_public_route_shows_its_own_jobs_and_no_others(self) -> None:
        self.assertTrue(self.is_visible("a", ANONYMOUS_ACCOUNT))
        self.assertFalse(self.is_visible("a", ANONYMOUS_ACCOUNT, route="slow"))


class RefusalsTest(unittest.TestCase):
    """What operators can see of refused calls."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.refusals = KeyRefusals()

    def take(self, version: int, *keys: str) -> None:
        digests = {key_digest(key): AccountId("a") for key in keys}
        self.view.apply_configuration(Configuration(version, {}, {}, keys=digests))

    def reason(self, key: str | None) -> str:
        self.refusals.note(JobId("job"), None if key is None else key_digest(key), 2)
        told = self.refusals.describe(JobId("job"), self.view)
        assert told is not None
        self.assertFalse(any(secret in str(told) for secret in SECRETS))
        return str(told["refused"])

    def test_revoked_key_is_distinguished_from_an_unknown_one(self) -> None:
        self.take(1, KEY)
        self.take(2, NEXT_KEY)
        self.assertIn("taken away by configuration 2", self.reason(KEY))
        self.assertIn("no configuration", self.reason(OTHER_KEY))
        self.assertIn("not known yet", self.reason(NEXT_KEY))
        self.assertIn("no key was shown", self.reason(None))

    def test_only_the_newest_refusals_are_kept(self) -> None:
        for number in range(MAX_REFUSALS + 5):
            self.refusals.note(JobId(f"{number}"), None, 1)
        self.assertEqual(MAX_REFUSALS, len(self.refusals.newest))
        self.assertIsNone(self.refusals.describe(JobId("0"), self.view))


class VersionTest(unittest.TestCase):
    """Which configuration decides whether a key is valid."""

    def test_older_configuration_does_not_replace_a_newer_one(self) -> None:
        view = FleetView()
        for version, key in ((2, NEXT_KEY), (1, KEY), (2, KEY)):
            keys = {key_digest(key): AccountId("a")}
            view.apply_configuration(Configuration(version, {}, {}, keys=keys))
        self.assertEqual({key_digest(NEXT_KEY)}, set(view.configuration.keys))


class KeyedCallsTest(NodeCase):
    """Calls to a process, with and without keys."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.world.set_account("a", KEY)
        self.world.set_account("b", OTHER_KEY)
        self.world.configure(2)
        await self.wait_status(KEY, 410)

    async def ask(self, key: str, method: str = "GET", job: int = 1) -> int:
        status, body = await self.world.call(
            self.node, method, f"/quick/{job_id(job)}", {"steps": [LONG_RUNNING]}, key
        )
        self.assertFalse(any(secret in str(body) for secret in SECRETS))
        return status

    async def wait_status(self, key: str, wanted: int) -> None:
        """Repeat a call until it gets the status of a newer configuration."""
        status = 0
        while status != wanted:
            status = await self.ask(key)

    async def test_calls_without_a_key_in_force_are_refused(self) -> None:
        for method in ("POST", "GET", "DELETE"):
            for key in ("", "k-unknown"):
                self.assertEqual(401, await self.ask(key, method))
        status, _ = await self.world.call(self.node, "GET", "/quick/")
        self.assertEqual(401, status)
        self.assertEqual([], self.world.history)

    async def test_refusal_names_the_authentication_scheme(self) -> None:
        assert self.world.session is not None
        url = f"http://{self.node.address('callers')}/quick/{job_id(1)}"
        async with self.world.session.get(url, headers={"Host": "jobs.example"}) as answer:
            self.assertEqual("Bearer", answer.headers["WWW-Authenticate"])

    async def test_job_is_not_visible_to_another_account(self) -> None:
        self.assertEqual(200, await self.ask(KEY, "POST"))
        await self.world.wait_for(lambda: len(self.world.history) == 2, "both tasks run")
        self.assertEqual(410, await self.ask(OTHER_KEY))
        self.assertEqual(410, await self.ask(OTHER_KEY, "DELETE"))
        self.assertEqual(409, await self.ask(OTHER_KEY, "POST"))
        self.assertEqual(200, await self.ask(KEY, "POST"))
        self.assertEqual(200, await self.ask(KEY, "DELETE"))
        # The end is recorded, and the id still belongs to the account.
        self.assertEqual(410, await self.ask(OTHER_KEY))
        self.assertEqual(409, await self.ask(OTHER_KEY, "POST"))

    async def test_key_rotates_without_a_refused_call(self) -> None:
        self.assertEqual(200, await self.ask(KEY, "POST"))
        self.world.set_account("a", KEY, NEXT_KEY)
        self.world.configure(3)
        await self.wait_status(NEXT_KEY, 200)
        self.assertEqual(200, await self.ask(KEY))
        self.world.set_account("a", NEXT_KEY)
        self.world.configure(4)
        await self.wait_status(KEY, 401)
        # The job submitted with the old key goes on, and still belongs to the account.
        self.assertEqual(200, await self.ask(NEXT_KEY))
        self.assertTrue(all(run.ended_at is None for run in self.world.history))

    async def test_logs_and_rows_contain_no_key(self) -> None:
        await self.ask(KEY, "POST")
        await self.ask("k-unknown", "POST", 2)
        rows = [row for place, row in self.world.store.rows.items() if place[0] != "op"]
        written = b" ".join(base64.b64decode(str(row.value)) for row in rows)
        shown = self.node.log.read_text() + written.decode(errors="replace")
        for secret in (*SECRETS, "k-unknown"):
            self.assertNotIn(secret, shown)
        self.assertIn(f'"call refused","job":"{job_id(2)}"', shown)

    async def test_invalid_accounts_leave_the_previous_configuration_in_force(self) -> None:
        self.world.accounts.append({"name": "a", "apiKeys": []})
        self.world.configure(3)
        await self.world.wait_for(
            lambda: "$.tenants[2].name" in self.node.log.read_text(), "the error is logged"
        )
        self.assertEqual(410, await self.ask(KEY, job=9))


class PublicRouteTest(NodeCase):
    """A public route, although accounts with keys are declared."""

    async def test_call_without_a_key_is_served(self) -> None:
        self.world.set_account("a", KEY)
        self.world.configure(2, public=True)
        self.assertEqual(200, await self.world.submit(self.node, job_id(1), [STEP]))
        await self.world.wait_state(self.node, job_id(1), "completed")

"""A model check of commits and takeovers: the real journal against a store that misbehaves.

Two owners commit to one pool, one after the other, through a table that answers, loses the
answer, does a write late, or refuses. Whatever the order, no commit of an earlier owner takes
effect after a takeover, and each commit that is reported as recorded took effect exactly once.
The mutants take one guard out each; the check has to find them.
"""

from __future__ import annotations

import itertools
import random
import unittest
from dataclasses import dataclass, field

import anyio
from expression import Error, Ok, Result

import pumicespur.jobs._journal as module
from pumicespur.jobs import Journal, Ownership, OwnershipLostError, owner_key
from pumicespur.jobs._keys import commit_key
from pumicespur.model import PoolId
from pumicespur.store import (
    AnswerLost,
    Condition,
    Conflict,
    Fault,
    Row,
    Transaction,
    Unavailable,
    Write,
)
from tests.base import quiet_loop

POOL = PoolId("main")
PLANS = 400
COMMITS = 4
FATES = ("answered", "lost", "late", "refused")


@dataclass
class FickleTable:
    """A table in memory whose answers follow a plan."""

    chance: random.Random
    dropped_condition: str = ""
    """A mutant: conditions on this key are not checked."""
    rows: dict[str, Row] = field(default_factory=dict)
    version: int = 0
    late: list[Transaction] = field(default_factory=list)
    applied: list[tuple[int, str]] = field(default_factory=list)
    """Writes in the order in which they took effect: version and key."""

    def apply(self, transaction: Transaction) -> Result[int, Fault]:
        """Do a transaction if its conditions hold."""
        for condition in transaction.conditions:
            if condition.key == self.dropped_condition:
                continue
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                return Error(Conflict((condition.key,)))
        self.version += 1
        for write in transaction.writes:
            assert write.value is not None
            self.rows[write.key] = Row(write.key, write.value, self.version)
            self.applied.append((self.version, write.key))
        return Ok(self.version)

    def let_late_ones_happen(self) -> None:
        """Do some of the writes that were put off."""
        for transaction in list(self.late):
            if self.chance.random() < 0.5:
                self.late.remove(transaction)
                self.apply(transaction)

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Do, lose, put off or refuse a transaction."""
        await anyio.lowlevel.checkpoint()
        self.let_late_ones_happen()
        match self.chance.choice(FATES):
            case "answered":
                return self.apply(transaction)
            case "lost":
                self.apply(transaction)
                return Error(AnswerLost("lost"))
            case "late":
                self.late.append(transaction)
                return Error(AnswerLost("late"))
            case _:
                return Error(Unavailable("refused"))

    async def read(self, key: str) -> Result[Row, Fault]:
        """Read a row as it is now."""
        self.let_late_ones_happen()
        return Ok(self.rows.get(key, Row(key, b"", 0)))


class ForgetfulJournal(Journal):
    """A mutant that never conditions on its last commit, so that one may apply twice."""

    def _transaction(self, writes: list[Write]) -> tuple[Transaction, bytes]:
        transaction, record = super()._transaction(writes)
        kept = [c for c in transaction.conditions if c.key != commit_key(POOL)]
        return Transaction(kept, transaction.writes), record


async def play(seed: int, journal: type[Journal], dropped: str = "") -> list[str]:
    """Play one plan; return what was broken."""
    chance = random.Random(seed)
    table = FickleTable(chance, dropped)
    taken: list[int] = []
    recorded: list[str] = []

    async def own(name: str, delay: int) -> None:
        for _ in range(delay):
            await anyio.lowlevel.checkpoint()
        key = owner_key(POOL)
        before = table.rows.get(key, Row(key, b"", 0)).version
        taken_now = table.apply(Transaction([Condition(key, before)], [Write(key, name.encode())]))
        assert taken_now.is_ok()
        taken.append(taken_now.ok)
        owner = journal(table, Ownership(POOL, taken_now.ok, name, 0.0))  # type: ignore[arg-type]
        await owner.load()
        for number in range(COMMITS):
            try:
                await owner.commit([Write(f"progress/main/{name}-{number}", b"x")])
            except OwnershipLostError:
                return
            recorded.append(f"progress/main/{name}-{number}")

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(own, "first", 0)
        tasks.start_soon(own, "second", chance.randrange(1, 40))
    for _ in range(20):
        table.let_late_ones_happen()
    return broken(table, taken, recorded)


def broken(table: FickleTable, taken: list[int], recorded: list[str]) -> list[str]:
    """Judge by what the table saw, not by what the owners believe."""
    found = []
    counts = {key: [v for v, k in table.applied if k == key] for _, key in table.applied}
    for key in recorded:
        if len(counts.get(key, [])) != 1:
            found.append(f"{key} recorded, applied {len(counts.get(key, []))} times")
    for key, versions in counts.items():
        if "first-" in key and any(version > taken[1] for version in versions):
            found.append(f"{key} applied after the takeover")
        if "progress/" in key and len(versions) > 1:
            found.append(f"{key} applied {len(versions)} times")
    return found


class TakeoverModelTest(unittest.TestCase):
    """Many plans, and two mutants that must be found."""

    def search(self, journal: type[Journal], dropped: str = "") -> list[str]:
        async def search() -> list[str]:
            quiet_loop()
            for seed in range(PLANS):
                found = await play(seed, journal, dropped)
                if found:
                    return [f"seed {seed}: {text}" for text in found]
            return []

        return anyio.run(search)

    def setUp(self) -> None:
        pauses = (module.RETRY_DELAY_S, module.MAX_RETRY_DELAY_S)
        module.RETRY_DELAY_S = module.MAX_RETRY_DELAY_S = 0.0
        self.addCleanup(
            lambda: module.__dict__.update(
                zip(("RETRY_DELAY_S", "MAX_RETRY_DELAY_S"), pauses, strict=True)
            )
        )

    def test_commits_apply_once_and_never_after_a_takeover(self) -> None:
        self.assertEqual([], self.search(Journal))

    def test_finds_a_missing_fence(self) -> None:
        self.assertNotEqual([], self.search(Journal, owner_key(POOL)))

    def test_finds_a_commit_that_may_apply_twice(self) -> None:
        self.assertNotEqual([], self.search(ForgetfulJournal))

    def test_fates_are_all_played(self) -> None:
        chance = random.Random(1)
        drawn = {chance.choice(FATES) for _ in itertools.repeat(None, 100)}
        self.assertEqual(set(FATES), drawn)

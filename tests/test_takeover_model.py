"""A randomized model check of commits and takeovers: the real journal against a faulty store.

Two owners commit to one pool in succession, through a table that responds, loses the response,
applies a write late, or refuses it. In every case no commit of the earlier owner may apply after
the takeover, and each commit that is reported as recorded must have applied exactly once. Each
mutant removes one safeguard, and the check must detect it.
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
FATES = ("responded", "lost", "late", "refused")


@dataclass
class FaultyTable:
    """A table in memory with random faults."""

    chance: random.Random
    dropped_condition: str = ""
    """The key whose conditions a mutant does not check."""
    rows: dict[str, Row] = field(default_factory=dict)
    version: int = 0
    late: list[Transaction] = field(default_factory=list)
    applied: list[tuple[int, str]] = field(default_factory=list)
    """Writes in the order in which they took effect: version and key."""

    def apply(self, transaction: Transaction) -> Result[int, Fault]:
        """Apply a transaction if its conditions hold."""
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

    def apply_late_ones(self) -> None:
        """Apply some of the delayed writes."""
        for transaction in list(self.late):
            if self.chance.random() < 0.5:
                self.late.remove(transaction)
                self.apply(transaction)

    async def transact(self, transaction: Transaction) -> Result[int, Fault]:
        """Apply, delay or refuse a transaction, or lose its response."""
        await anyio.lowlevel.checkpoint()
        self.apply_late_ones()
        match self.chance.choice(FATES):
            case "responded":
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
        """Read the current row."""
        self.apply_late_ones()
        return Ok(self.rows.get(key, Row(key, b"", 0)))


class UnconditionalJournal(Journal):
    """A mutant without the condition on its last commit, so that a commit may apply twice."""

    def _transaction(self, writes: list[Write]) -> tuple[Transaction, bytes]:
        transaction, record = super()._transaction(writes)
        kept = [c for c in transaction.conditions if c.key != commit_key(POOL)]
        return Transaction(kept, transaction.writes), record


async def play(seed: int, journal: type[Journal], dropped: str = "") -> list[str]:
    """Run one plan; return the violations."""
    chance = random.Random(seed)
    table = FaultyTable(chance, dropped)
    taken: list[int] = []
    recorded: list[str] = []

    async def own(name: str, delay: int) -> None:
        for _ in range(delay):
            await anyio.lowlevel.checkpoint()
        key = owner_key(POOL)
        before = table.rows.get(key, Row(key, b"", 0)).version
        acquired = table.apply(Transaction([Condition(key, before)], [Write(key, name.encode())]))
        assert acquired.is_ok()
        taken.append(acquired.ok)
        owner = journal(table, Ownership(POOL, acquired.ok, name, 0.0))  # type: ignore[arg-type]
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
        table.apply_late_ones()
    return find_violations(table, taken, recorded)


def find_violations(table: FaultyTable, taken: list[int], recorded: list[str]) -> list[str]:
    """Return violations, judged by the table's history and not by the owners' state."""
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
    """Many plans, and two mutants that must be detected."""

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

    def test_detects_a_missing_fencing_condition(self) -> None:
        self.assertNotEqual([], self.search(Journal, owner_key(POOL)))

    def test_detects_a_commit_that_may_apply_twice(self) -> None:
        self.assertNotEqual([], self.search(UnconditionalJournal))

    def test_all_fates_occur(self) -> None:
        chance = random.Random(1)
        drawn = {chance.choice(FATES) for _ in itertools.repeat(None, 100)}
        self.assertEqual(set(FATES), drawn)

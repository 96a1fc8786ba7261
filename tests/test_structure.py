"""Tests of the fleet state that is folded from the log."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pumicespur.schema.fleet_pb import (
    Assignment,
    Declaration,
    Pool,
    Record,
    Removals,
    Team,
    WaveProgress,
)
from pumicespur.structure import Fleet, RevisionGapError, min_available_instances

NAMES = st.sampled_from(["a", "b", "c"])
RECORDS = st.builds(
    Record,
    author=NAMES,
    put=st.builds(
        Declaration,
        pools=st.lists(st.builds(Pool, id=NAMES, size=st.integers(0, 3)), max_size=2),
        teams=st.lists(st.builds(Team, id=NAMES), max_size=1),
    ),
    removals=st.builds(Removals, pools=st.lists(NAMES, max_size=1)),
    assignments=st.lists(
        st.builds(Assignment, instance=NAMES, pool=NAMES, removed=st.booleans()), max_size=3
    ),
    waves=st.lists(st.builds(WaveProgress, wave=NAMES), max_size=1),
)


def numbered(records: list[Record]) -> list[Record]:
    """Return the records, numbered with consecutive revisions from 1."""
    for revision, record in enumerate(records, start=1):
        record.revision = revision
    return records


class TestFleet(unittest.TestCase):
    """The fleet state depends on the records alone."""

    @given(st.lists(RECORDS, max_size=12), st.integers(0, 12))
    def test_restoring_a_snapshot_changes_nothing(self, records: list[Record], cut: int) -> None:
        uninterrupted = Fleet()
        restored = Fleet()
        for record in numbered(records):
            uninterrupted.apply(record)
            if record.revision == cut:
                restored = Fleet.from_snapshot(restored.snapshot())
            restored.apply(record)
        self.assertEqual(restored, uninterrupted)

    @given(st.lists(RECORDS, max_size=12))
    def test_an_instance_is_in_the_pool_of_its_last_assignment(self, records: list[Record]) -> None:
        fleet = Fleet()
        naive: dict[str, str] = {}
        for record in numbered(records):
            fleet.apply(record)
            for assignment in record.assignments:
                naive.pop(assignment.instance, None)
                if not assignment.removed:
                    naive[assignment.instance] = assignment.pool
        self.assertEqual({name: a.pool for name, a in fleet.assignments.items()}, naive)

    def test_record_with_another_revision_than_the_next_is_refused(self) -> None:
        fleet = Fleet(revision=3)
        for revision in (3, 5):
            with self.assertRaises(RevisionGapError):
                fleet.apply(Record(revision=revision))
        self.assertEqual(fleet.revision, 3)

    def test_changes_name_the_last_author_of_a_section(self) -> None:
        fleet = Fleet()
        fleet.apply(Record(revision=1, author="ann", put=Declaration(pools=[Pool(id="a")])))
        same = Declaration(pools=[Pool(id="a"), Pool(id="b")])
        fleet.apply(Record(revision=2, author="bob", put=same))
        seen = {name: change.author for name, change in fleet.changes.items()}
        self.assertEqual(seen, {"pool a": "ann", "pool b": "bob"})


class TestMinimumAvailable(unittest.TestCase):
    """A budget given as a share is never below the declared share."""

    def test_shares_round_up(self) -> None:
        for size, share, wanted in ((8, 0.75, 6), (7, 0.5, 4), (10, 0.3, 3), (3, 1.0, 3)):
            pool = Pool(size=size, min_available_share=share)
            self.assertEqual(min_available_instances(pool), wanted)

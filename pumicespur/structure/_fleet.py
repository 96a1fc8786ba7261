"""The state of the fleet, built by applying the records of the log."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.model import InstanceId, JobId, PoolId, TaskId, TeamId, WaveId, task_id
from pumicespur.schema.fleet_pb import (
    Assignment,
    Declaration,
    Job,
    Placement,
    Pool,
    Record,
    Removals,
    SectionChange,
    Snapshot,
    Team,
    Wave,
    WaveProgress,
)
from pumicespur.structure._sections import (
    SectionName,
    changed_sections,
    removed_sections,
    sections_of,
)

if TYPE_CHECKING:
    from collections.abc import Iterable


class RevisionGapError(Exception):
    """A record whose revision is not the one after the state's."""


@dataclass
class Fleet:
    """All declarations and decisions, up to one revision of the log.

    Every process applies the same records in the same order, so two processes at the same
    revision have the same state.
    """

    revision: int = 0
    pools: dict[PoolId, Pool] = field(default_factory=dict)
    jobs: dict[JobId, Job] = field(default_factory=dict)
    teams: dict[TeamId, Team] = field(default_factory=dict)
    waves: dict[WaveId, Wave] = field(default_factory=dict)
    assignments: dict[InstanceId, Assignment] = field(default_factory=dict)
    placements: dict[TaskId, Placement] = field(default_factory=dict)
    progress: dict[WaveId, WaveProgress] = field(default_factory=dict)
    """Progress of each wave that was started."""
    changes: dict[SectionName, SectionChange] = field(default_factory=dict)
    """The last change of each section."""

    def apply(self, record: Record) -> None:
        """Apply the next record; raise RevisionGapError for any other."""
        if record.revision != self.revision + 1:
            raise RevisionGapError(f"record {record.revision} at revision {self.revision}")
        self.revision = record.revision
        self._note_changes(record)
        if record.put is not None:
            self._put(record.put)
        if record.removals is not None:
            self._remove(record.removals)
        self._replace_rows(record.assignments, record.placements, record.waves)

    def declaration(self) -> Declaration:
        """Return all declared sections."""
        return Declaration(
            pools=list(self.pools.values()),
            jobs=list(self.jobs.values()),
            teams=list(self.teams.values()),
            waves=list(self.waves.values()),
        )

    def snapshot(self) -> Snapshot:
        """Return the whole state as one message."""
        return Snapshot(
            revision=self.revision,
            declaration=self.declaration(),
            assignments=list(self.assignments.values()),
            placements=list(self.placements.values()),
            waves=list(self.progress.values()),
            changes=list(self.changes.values()),
        )

    @classmethod
    def from_snapshot(cls, snapshot: Snapshot) -> Fleet:
        """Restore the state that `snapshot()` returned."""
        fleet = cls(revision=snapshot.revision)
        fleet._put(snapshot.declaration or Declaration())
        fleet._replace_rows(snapshot.assignments, snapshot.placements, snapshot.waves)
        fleet.changes = {SectionName(change.section): change for change in snapshot.changes}
        return fleet

    def _note_changes(self, record: Record) -> None:
        put = record.put or Declaration()
        removals = record.removals or Removals()
        named = list(sections_of(put)) + removed_sections(removals)
        if not named:
            return
        for name in changed_sections(self.declaration(), put, removals):
            self.changes[name] = SectionChange(
                section=name, revision=record.revision, author=record.author
            )

    def _put(self, put: Declaration) -> None:
        self.pools |= {PoolId(pool.id): pool for pool in put.pools}
        self.jobs |= {JobId(job.id): job for job in put.jobs}
        self.teams |= {TeamId(team.id): team for team in put.teams}
        self.waves |= {WaveId(wave.id): wave for wave in put.waves}

    def _remove(self, removals: Removals) -> None:
        for pool in removals.pools:
            self.pools.pop(PoolId(pool), None)
        for job in removals.jobs:
            self.jobs.pop(JobId(job), None)
        for team in removals.teams:
            self.teams.pop(TeamId(team), None)
        for wave in removals.waves:
            self.waves.pop(WaveId(wave), None)
            self.progress.pop(WaveId(wave), None)

    def _replace_rows(
        self,
        assignments: Iterable[Assignment],
        placements: Iterable[Placement],
        waves: Iterable[WaveProgress],
    ) -> None:
        for assignment in assignments:
            if assignment.removed:
                self.assignments.pop(InstanceId(assignment.instance), None)
            else:
                self.assignments[InstanceId(assignment.instance)] = assignment
        for placement in placements:
            key = task_id(placement.job, placement.index)
            if placement.removed:
                self.placements.pop(key, None)
            else:
                self.placements[key] = placement
        for progress in waves:
            self.progress[WaveId(progress.wave)] = progress

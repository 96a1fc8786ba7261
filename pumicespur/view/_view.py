"""Holds the known state of the fleet: configuration, waves, workers, processes and owners."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.model import Configuration, PoolId, ProcessId, WorkerName
from pumicespur.store import TableProgress
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from pumicespur.model import DataHall, HallEvacuation, KeyDigest, Wave, Worker
    from pumicespur.schema.jobs_pb import DutyReport, HeartbeatRecord, OwnerRecord, PoolReport

log = Logger(__name__)

MAX_REVOKED_KEYS = 10_000
"""Revoked keys that are remembered; 1 MB at most."""


@dataclass
class SeenProcess:
    """Another process's newest heartbeat, and when it was first seen (monotonic seconds)."""

    heartbeat: HeartbeatRecord
    seen_at: float
    version: int = 0
    """The heartbeat's version in the store, which orders it among other rows."""


@dataclass(frozen=True)
class SeenReport:
    """A process's report on its roles, and the earliest time of writing (monotonic seconds)."""

    report: DutyReport
    reported_at: float
    version: int = 0
    """The report's version in the store, by which a newer one is recognised."""


@dataclass(frozen=True)
class SeenOwner:
    """A pool's owner, its fencing token, and when it was first seen (monotonic seconds)."""

    record: OwnerRecord
    token: int
    seen_at: float


def newest_reports(reports: Iterable[PoolReport]) -> dict[PoolId, PoolReport]:
    """Return the report on each pool under the newest fencing token."""
    newest: dict[PoolId, PoolReport] = {}
    for report in reports:
        known = newest.get(PoolId(report.pool))
        if known is None or report.fencing_token > known.fencing_token:
            newest[PoolId(report.pool)] = report
    return newest


@dataclass(frozen=True)
class EndedWorkers:
    """Workers that ran on no instance at a time on the store's clock (ms); 0 for no word."""

    names: frozenset[WorkerName] = frozenset()
    as_of_ms: int = 0


@dataclass
class FleetView:
    """The known state of the fleet in one process; each part is updated by one task."""

    configuration: Configuration = field(default_factory=lambda: Configuration(-1, {}, {}))
    newer_versions: dict[int, float] = field(default_factory=dict)
    """Newer configuration versions in force elsewhere, and when they were first seen (monotonic
    seconds)."""
    waves: dict[int, Wave] = field(default_factory=dict)
    workers: dict[WorkerName, Worker] = field(default_factory=dict)
    """Followed only while this process owns a pool; empty otherwise."""
    workers_known: bool = False
    workers_progress: TableProgress = field(default_factory=TableProgress)
    """The version up to which the list of workers is known, and as of when."""
    evacuated_halls: Mapping[DataHall, HallEvacuation] = field(default_factory=dict)
    """Data halls in which no task may start. Followed only while this process owns a pool or is the
    fleet leader; empty otherwise."""
    evacuations_progress: TableProgress = field(default_factory=TableProgress)
    """The version up to which the evacuations are known, and as of when."""
    processes: dict[ProcessId, SeenProcess] = field(default_factory=dict)
    reports: dict[ProcessId, SeenReport] = field(default_factory=dict)
    """Followed only while this process owns a pool or is the fleet leader; empty otherwise."""
    owners: dict[PoolId, SeenOwner] = field(default_factory=dict)
    """The owner of each pool as last read; entries are replaced, never removed."""
    owners_to_read: set[PoolId] = field(default_factory=set)
    """Pools whose owner may have changed without being noticed, so that its row is to be read."""
    revoked_keys: dict[KeyDigest, int] = field(default_factory=dict, repr=False)
    """Keys revoked since this process started, with the configuration version that did so."""
    gapless_since: float = field(default_factory=monotonic)
    """Since when heartbeats have been received without a gap (monotonic seconds)."""

    def apply_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.configuration.version:
            return False
        log.info(
            "configuration in force",
            version=configuration.version,
            before=self.configuration.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
            keys=len(configuration.keys),
        )
        self._note_revoked_keys(configuration)
        self.configuration = configuration
        self.newer_versions = {
            v: at for v, at in self.newer_versions.items() if v > configuration.version
        }
        return True

    def _note_revoked_keys(self, configuration: Configuration) -> None:
        for digest in self.configuration.keys.keys() - configuration.keys.keys():
            self.revoked_keys[digest] = configuration.version
        for digest in self.revoked_keys.keys() & configuration.keys.keys():
            del self.revoked_keys[digest]
        while len(self.revoked_keys) > MAX_REVOKED_KEYS:
            del self.revoked_keys[next(iter(self.revoked_keys))]

    def note_newer_configuration(self, version: int, now: float) -> None:
        """Note that another process has a configuration in force, if it is a newer one."""
        if version > self.configuration.version:
            self.newer_versions.setdefault(version, now)

    def newest_known_version(self) -> int:
        """Return the newest configuration version that any process is known to have in force."""
        return max(self.newer_versions, default=self.configuration.version)

    def configuration_behind_s(self, now: float) -> float:
        """Return for how long this process has known of a newer configuration that it lacks."""
        return now - min(self.newer_versions.values(), default=now)

    def pools(self) -> list[PoolId]:
        """Return the pools that need an owner."""
        return [pool.id for pool in self.configuration.pools.values() if not pool.spare]

    def fresh_reports(self, max_age_s: float) -> dict[PoolId, PoolReport]:
        """Return the recent reports on pools, each under the newest fencing token."""
        now = monotonic()
        fresh = (s.report for s in self.reports.values() if now - s.reported_at <= max_age_s)
        return newest_reports(report for told in fresh for report in told.pools)

    def fresh_report(self, pool: PoolId, max_age_s: float) -> PoolReport | None:
        """Return the recent report on a pool under the newest fencing token."""
        return self.fresh_reports(max_age_s).get(pool)

    def workers_to_evacuate(self, max_age_s: float) -> set[WorkerName] | None:
        """Return the workers that the newest fleet leader wants evacuated.

        None if there is no recent report of a leader. A name covers all incarnations of a worker,
        since the instance is evacuated.
        """
        newest = self._newest_leader_report(max_age_s)
        return None if newest is None else {WorkerName(name) for name in newest.evacuations}

    def ended_workers(self, max_age_s: float) -> EndedWorkers:
        """Return the workers that have ended according to the newest fleet leader."""
        newest = self._newest_leader_report(max_age_s)
        if newest is None or not newest.ended_as_of_ms:
            return EndedWorkers()
        names = frozenset(WorkerName(name) for name in newest.ended_workers)
        return EndedWorkers(names, newest.ended_as_of_ms)

    def _newest_leader_report(self, max_age_s: float) -> DutyReport | None:
        """Return the recent report of the newest fleet leader."""
        now = monotonic()
        fresh = [s.report for s in self.reports.values() if now - s.reported_at <= max_age_s]
        newest = max(fresh, key=lambda report: report.fleet_token, default=None)
        return newest if newest is not None and newest.fleet_token else None

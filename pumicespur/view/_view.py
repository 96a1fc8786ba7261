"""What a process believes of the world: configuration, waves, workers, processes, owners."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from logbook import Logger

from pumicespur.model import Configuration, PoolId, ProcessId, RouteName, WorkerName
from pumicespur.store import Reading
from pumicespur.utils import monotonic

if TYPE_CHECKING:
    from pumicespur.model import KeyDigest, Route, Wave, Worker
    from pumicespur.schema.jobs_pb import DutyReport, HeartbeatRecord, OwnerRecord, PoolReport

log = Logger(__name__)

TAKEN_KEYS_KEPT = 10_000
"""Keys of which it is remembered that they were taken away; 1 MB at most."""


@dataclass
class SeenProcess:
    """Another process's newest heartbeat, and when it was first seen (monotonic seconds)."""

    heartbeat: HeartbeatRecord
    seen_at: float
    version: int = 0
    """The heartbeat's version in the store, to tell it from rows written before or after."""


@dataclass(frozen=True)
class SeenReport:
    """What a process tells of its duties, and when it was told at the earliest (monotonic s)."""

    report: DutyReport
    told_at: float
    version: int = 0
    """The report's version in the store, to tell a newer one."""


@dataclass(frozen=True)
class SeenOwner:
    """Who owns a pool, under which token, and when that was first seen (monotonic seconds)."""

    record: OwnerRecord
    token: int
    seen_at: float


@dataclass
class NodeView:
    """One process's beliefs; each part is kept by one task."""

    configuration: Configuration = field(default_factory=lambda: Configuration(-1, {}, {}))
    missing: dict[int, float] = field(default_factory=dict)
    """Newer configurations that others have in force, and when that was heard (monotonic s)."""
    waves: dict[int, Wave] = field(default_factory=dict)
    workers: dict[WorkerName, Worker] = field(default_factory=dict)
    """Followed only while this process owns a pool, as are `reports`."""
    workers_known: bool = False
    workers_reading: Reading = field(default_factory=Reading)
    """How far the list of workers is known."""
    processes: dict[ProcessId, SeenProcess] = field(default_factory=dict)
    reports: dict[ProcessId, SeenReport] = field(default_factory=dict)
    owners: dict[PoolId, SeenOwner] = field(default_factory=dict)
    earlier_pools: dict[RouteName, set[PoolId]] = field(default_factory=dict)
    """Pools that a route had in earlier configurations of this process's life."""
    taken_keys: dict[KeyDigest, int] = field(default_factory=dict, repr=False)
    """Keys that were in force in this process's life, by the version that took them away."""
    steady_since: float = field(default_factory=monotonic)
    """Since when the store has told of heartbeats without a gap (monotonic seconds)."""

    def take_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force unless it is older than the present one."""
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
        for name, route in configuration.routes.items():
            before = self.configuration.routes.get(name)
            if before is not None and before.pool != route.pool:
                self.earlier_pools.setdefault(name, set()).add(before.pool)
        self._note_taken_keys(configuration)
        self.configuration = configuration
        self.missing = {v: at for v, at in self.missing.items() if v > configuration.version}
        return True

    def _note_taken_keys(self, configuration: Configuration) -> None:
        for digest in self.configuration.keys.keys() - configuration.keys.keys():
            self.taken_keys[digest] = configuration.version
        for digest in self.taken_keys.keys() & configuration.keys.keys():
            del self.taken_keys[digest]
        while len(self.taken_keys) > TAKEN_KEYS_KEPT:
            del self.taken_keys[next(iter(self.taken_keys))]

    def note_newer(self, version: int, now: float) -> None:
        """Hear that another process has a configuration in force."""
        if version > self.configuration.version:
            self.missing.setdefault(version, now)

    def newest_heard(self) -> int:
        """Return the newest configuration that any process is known to have in force."""
        return max(self.missing, default=self.configuration.version)

    def outdated_s(self, now: float) -> float:
        """Return for how long a newer configuration has been known and not been in force here."""
        return now - min(self.missing.values(), default=now)

    def other_pools(self, route: Route, earlier: bool) -> list[PoolId]:
        """Return pools beside a route's own: its earlier ones, or all that have owners."""
        known = self.earlier_pools.get(route.name, set()) if earlier else set(self.pools())
        return sorted(known - {route.pool})

    def pools(self) -> list[PoolId]:
        """Return the pools that need an owner."""
        return [pool.id for pool in self.configuration.pools.values() if not pool.spare]

    def fresh_reports(self, max_age_s: float) -> dict[PoolId, PoolReport]:
        """Return what the owners of pools told lately, each under the newest token."""
        now = monotonic()
        newest: dict[PoolId, PoolReport] = {}
        for seen in self.reports.values():
            if now - seen.told_at > max_age_s:
                continue
            for report in seen.report.pools:
                known = newest.get(PoolId(report.pool))
                if known is None or report.fencing_token > known.fencing_token:
                    newest[PoolId(report.pool)] = report
        return newest

    def fresh_report(self, pool: PoolId, max_age_s: float) -> PoolReport | None:
        """Return what the owner of a pool told lately, under the newest token."""
        return self.fresh_reports(max_age_s).get(pool)

    def evacuations(self, max_age_s: float) -> set[WorkerName] | None:
        """Return the workers that the newest holder of the fleet's duty wants emptied.

        None if no holder told so lately enough. They stand for all of their lives: what is
        emptied is the instance.
        """
        now = monotonic()
        fresh = [s.report for s in self.reports.values() if now - s.told_at <= max_age_s]
        newest = max(fresh, key=lambda report: report.fleet_token, default=None)
        if newest is None or not newest.fleet_token:
            return None
        return {WorkerName(name) for name in newest.evacuations}

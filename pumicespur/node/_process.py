"""The process of the role `node`: its parts, its start and its planned stop."""

from __future__ import annotations

import math
import os
import signal
import uuid
from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.jobs import (
    MAX_ALLOTMENT_REPORT_AGE_S,
    JobService,
    PoolOwner,
    describe_accounts,
    describe_evacuated_hall,
    describe_hall_block,
    describe_limit_block,
    describe_progress,
    describe_waiting_work,
    update_account_metrics,
    update_evacuation_metrics,
    update_waiting_metrics,
)
from pumicespur.listeners import bound_address
from pumicespur.model import JobId, ProcessId
from pumicespur.node._evacuations import EvacuationFollower
from pumicespur.node._inspection import serve_inspection
from pumicespur.node._ownership_controller import OwnershipController
from pumicespur.node._refusals import KeyRefusals
from pumicespur.node._reload import SettingsFile
from pumicespur.node._table_follower import RescanPolicy, TableFollower
from pumicespur.node._tables import PRESENCE_TABLE, process_row_key
from pumicespur.node._waiting_jobs import count_waiting_jobs
from pumicespur.node._workers import WorkerList
from pumicespur.platform import (
    CONFIGURATION_KEY,
    OPERATORS_TABLE,
    WAVE_PREFIX,
    CallerServer,
    FleetOrders,
    HttpClient,
    PlatformTable,
    StoreProbe,
    WorkerOrders,
    decode_configuration,
    decode_wave,
)
from pumicespur.utils import METRICS, monotonic, now_ms
from pumicespur.view import FleetView

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from anyio.abc import TaskStatus

    from pumicespur.config import NodeSettings
    from pumicespur.model import Configuration, KeyDigest, PoolId, Route
    from pumicespur.store import Fault, Row

log = Logger(__name__)

STORE_CONNECTIONS = 16
PROBE_CONNECTIONS = 5
"""Connections to the store for probes in an outage: one for each that waits for a response."""

ORDER_CONNECTIONS = 4
"""Connections to one worker for orders; eight processes together stay under its limit of 64."""

WATCH_CONNECTIONS = 2
"""Connections to one worker for long polls: one in use, and one to replace a broken one."""

NOT_READY_AFTER_S = 2.0
"""Time without the store after which another process serves callers better."""

REFUSE_AFTER_S = 1.0
"""Length of an outage of the store after which callers are refused at once: two heartbeats.
Attempts that cannot succeed would only keep callers from trying elsewhere."""

OUTDATED_RATIO = 0.5
"""Part of the time allowed for a new configuration after which a process that lacks it refuses
callers. The process learns of a version up to half a second after operators get confirmation that
it is stored."""

DEREGISTRATION_DELAY_S = 2.5
"""Time until the platform stops listing a stopping process: two readiness checks, one of them
with a late response."""

SHUTDOWN_RESERVE_S = 0.7
"""Part of the grace period reserved for the shutdown of the process itself."""

POLL_INTERVAL_S = 0.05

GAUGE_INTERVAL_S = 1.0
"""Pause between updates of the gauges."""

JOB_LOOKUP_TIMEOUT_S = 3.0
"""Longest wait for the store when an operator looks up a job."""

STORE_USE_LOG_INTERVAL_S = 10.0
"""Pause between log lines with the calls and bytes of each table of the store so far."""


class NodeProcess:
    """A process of the role `node` with all of its parts."""

    def __init__(self, settings: NodeSettings, path: Path) -> None:
        self.settings = settings
        self.settings_file = SettingsFile(path, settings)
        self.view = FleetView()
        self.incarnation = uuid.uuid4().hex
        self.operator_row_versions: dict[str, int] = {}
        """Known versions of the operators' rows, by key."""
        self.refusals = KeyRefusals()
        self.outdated = False
        """Whether the configuration was last logged as out of date."""
        self.use_logged_at = monotonic()
        """When the use of the store was last logged (monotonic seconds)."""
        self.stopping = False
        self.stop_requested = anyio.Event()

    async def run(self) -> None:
        """Serve until a signal requests a stop, then release all pools, finish requests and end."""
        settings = self.settings
        self.store_client = HttpClient(STORE_CONNECTIONS)
        self.probe_client = HttpClient(PROBE_CONNECTIONS)
        self.order_client = HttpClient(ORDER_CONNECTIONS)
        self.watch_client = HttpClient(WATCH_CONNECTIONS)
        self.table = PlatformTable(settings.store, self.store_client)
        self.jobs = JobService(self.table, self.view, settings.store)
        self.orders = WorkerOrders(settings.workers, self.order_client, self.watch_client)
        self.fleet_orders = FleetOrders(settings.fleet, settings.process.id, self.store_client)
        self.controller = OwnershipController(
            settings, self.view, self.table, self.orders, self.fleet_orders, self.incarnation
        )
        self.evacuations = EvacuationFollower(settings, self.view, self.table, self.controller)
        self.server = CallerServer(self)
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._listen_to_signals)
            bound = await self.server.listen(settings.listen.callers, settings.listen.readiness)
            self.operators = TableFollower(
                self.table,
                settings.store,
                OPERATORS_TABLE,
                self._on_operators_rows,
                RescanPolicy(after_s=0.0, when_outdated=True),
            )
            tasks.start_soon(self.operators.run)
            tasks.start_soon(self.evacuations.run)
            own_row = process_row_key(PRESENCE_TABLE, ProcessId(settings.process.id))
            probe = PlatformTable(settings.store, self.probe_client)
            probe.usage = self.table.usage
            tasks.start_soon(StoreProbe(self.table, probe, own_row).run)
            tasks.start_soon(WorkerList(settings, self.view, self.table, self.controller).run)
            if settings.listen.metrics:
                inspection = await serve_inspection(settings.listen.metrics, self)
                self.server.runners.append(inspection)
                bound["metrics"] = bound_address(inspection)
            log.info(
                "process started",
                process_id=os.getpid(),
                incarnation=self.incarnation,
                data_hall=settings.process.data_hall,
                **bound,
            )
            tasks.start_soon(self.settings_file.follow)
            tasks.start_soon(self._update_gauges)
            tasks.start_soon(self.controller.run)
            await self.stop_requested.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        await self.server.aclose()
        clients = (self.store_client, self.probe_client, self.order_client, self.watch_client)
        for client in clients:
            await client.aclose()
        log.info("process stopped", in_flight=self.server.in_flight)

    async def _listen_to_signals(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        kinds = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
        with anyio.open_signal_receiver(*kinds) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self.settings_file.reload("SIGHUP")
                elif number == signal.SIGUSR1:
                    log.info("state dump", **self.describe())
                else:
                    log.info("stop requested", reason=signal.Signals(number).name)
                    self.stopping = True
                    self.stop_requested.set()

    async def _drain(self) -> None:
        """Release all pools, then serve callers until they use other processes.

        Requests in flight are finished, as far as the grace period allows.
        """
        started = monotonic()
        deadline = started + self.settings.process.stop_grace_s - SHUTDOWN_RESERVE_S
        with anyio.move_on_after(deadline - started):
            await self.controller.stop()
            await anyio.sleep(max(0.0, started + DEREGISTRATION_DELAY_S - monotonic()))
            while self.server.in_flight:
                await anyio.sleep(POLL_INTERVAL_S)

    async def _update_gauges(self) -> None:
        """Update the gauges until cancelled."""
        while True:
            self._report_store_use()
            METRICS.configuration_version.set(
                {"which": "in force"}, self.view.configuration.version
            )
            METRICS.configuration_version.set(
                {"which": "newest heard"}, self.view.newest_known_version()
            )
            METRICS.clear_pools()
            for owner in self.controller.roles.pool_owners():
                METRICS.owned_jobs.set({"pool": owner.pool.pool}, len(owner.pool.jobs))
                update_account_metrics(owner.pool)
                update_waiting_metrics(owner.pool, now_ms())
                owner.missing_runs.update(monotonic(), now_ms())
            if self.settings.workers.evacuate_ms:
                self._update_evacuation_gauges()
            await anyio.sleep(GAUGE_INTERVAL_S)

    def _update_evacuation_gauges(self) -> None:
        METRICS.evacuated_halls.set({}, len(self.evacuations.in_force))
        METRICS.clear_evacuated_tasks()
        for owner in self.controller.roles.pool_owners():
            update_evacuation_metrics(owner.pool)

    def _report_store_use(self) -> None:
        for table, used in self.table.usage.describe().items():
            METRICS.store_calls.set({"table": table}, used["calls"])
            for direction in ("sent", "received"):
                labels = {"table": table, "direction": direction}
                METRICS.store_bytes.set(labels, used[f"{direction}_bytes"])
        now = monotonic()
        if now - self.use_logged_at >= STORE_USE_LOG_INTERVAL_S:
            self.use_logged_at = now
            log.info("store used", **self.table.usage.describe())

    def describe(self) -> dict[str, object]:
        """Return the process's state."""
        evacuates = self.settings.workers.evacuate_ms > 0
        return self._describe_roles() | (
            {"evacuations": self._describe_evacuations()} if evacuates else {}
        )

    def _describe_evacuations(self) -> dict[str, object]:
        """Return what this process knows of evacuated halls, and what its pools still run there."""
        now = monotonic()
        age_s = self.view.evacuations_progress.age_s(now)
        halls: dict[str, object] = {}
        for hall, evacuation in sorted(self.view.evacuated_halls.items()):
            left = {
                str(owner.pool.pool): describe_evacuated_hall(owner.pool, hall, now)
                for owner in self.controller.roles.pool_owners()
            }
            halls[hall] = {"since_version": evacuation.version, "pools": left}
        return {"age_s": round(age_s, 3) if age_s < math.inf else None, "halls": halls}

    def _describe_roles(self) -> dict[str, object]:
        view = self.view
        return {
            "incarnation": self.incarnation,
            "configuration_version": view.configuration.version,
            "store_use": self.table.usage.describe(),
            "workers": len(view.workers),
            "processes": sorted(view.processes),
            "owners": {pool: owner.record.process for pool, owner in view.owners.items()},
            "owned": {
                pool: {
                    "jobs": len(owner.pool.jobs),
                    "workers": len(owner.sessions),
                    "accounts": describe_accounts(owner.pool),
                    "waiting": describe_waiting_work(owner.pool, now_ms()),
                    "without_run": owner.missing_runs.describe(monotonic()),
                }
                for pool, owner in self.controller.roles.owned.items()
                if isinstance(owner, PoolOwner)
            },
        }

    async def describe_job(self, name: str) -> Result[dict[str, object] | None, Fault]:
        """Return what is recorded of a job; None if there is no such job."""
        give_up_at = monotonic() + JOB_LOOKUP_TIMEOUT_S
        found = await self.jobs.find(JobId(name), give_up_at)
        refused = self.refusals.describe(JobId(name), self.view)
        return found.map(
            lambda job: (
                refused
                if job is None
                else describe_progress(name, *job)
                | self._describe_owner(job[0])
                | self._describe_block(JobId(name))
            )
        )

    def _describe_owner(self, pool: PoolId) -> dict[str, object]:
        """Return which process knows what holds back a job of a pool, if any is known to."""
        seen = self.view.owners.get(pool)
        return {} if seen is None else {"owner": seen.record.process}

    def _describe_block(self, name: JobId) -> dict[str, object]:
        """Describe what holds back a job of a pool that this process owns.

        It may be its account's limit, the evacuation of data halls, or what keeps its long-running
        tasks from running.
        """
        for owner in self.controller.roles.pool_owners():
            job = owner.pool.jobs.get(name)
            if job is not None:
                reports = self.view.fresh_reports(MAX_ALLOTMENT_REPORT_AGE_S)
                now = monotonic()
                return (
                    describe_limit_block(owner.pool, job, reports)
                    | describe_hall_block(owner.pool, job, now, now_ms())
                    | owner.missing_runs.describe_job(job, now)
                )
        return {}

    def _on_operators_rows(self, rows: Sequence[Row], whole: bool) -> None:
        self.evacuations.note_operators_rows(rows, whole)
        for row in rows:
            if row.version <= self.operator_row_versions.get(row.key, 0):
                continue
            self.operator_row_versions[row.key] = row.version
            if row.key == CONFIGURATION_KEY:
                self._apply_configuration(row.value)
            elif row.key.startswith(WAVE_PREFIX):
                self._apply_wave(row.value)

    def _apply_configuration(self, value: bytes) -> None:
        match decode_configuration(value):
            case Result(tag="ok", ok=configuration):
                self.view.apply_configuration(configuration)
                self.controller.announce_configuration()
            case Result(error=reason):
                log.error("configuration not understood", reason=reason)

    def _apply_wave(self, value: bytes) -> None:
        match decode_wave(value):
            case Result(tag="ok", ok=wave):
                self.view.waves[wave.number] = wave
                log.info("wave known", wave=wave.number, instances=len(wave.instances))
            case Result(error=reason):
                log.error("wave not understood", reason=reason)

    def current_configuration(self) -> Configuration | None:
        """Return the configuration in force, or None before the first one."""
        configuration = self.view.configuration
        return configuration if configuration.version >= 0 else None

    def is_ready(self) -> bool:
        """Return whether this process can serve callers well."""
        reachable = monotonic() - self.table.last_success_at < NOT_READY_AFTER_S
        if self.stopping or self.current_configuration() is None:
            return False
        return reachable and not self.is_configuration_outdated()

    def is_configuration_outdated(self) -> bool:
        """Return whether the configuration in force may be too old to serve callers by.

        Other processes may serve a route that is unknown here, or may have dropped a known one.
        """
        now = monotonic()
        behind_s = max(self.view.configuration_behind_s(now), self.operators.failing_for_s(now))
        outdated = behind_s > self.settings.process.configuration_ms / 1000 * OUTDATED_RATIO
        if outdated != self.outdated:
            self.outdated = outdated
            log.warning(
                "configuration out of date" if outdated else "configuration up to date",
                version=self.view.configuration.version,
                newest=self.view.newest_known_version(),
                behind_s=round(behind_s, 3),
            )
        return outdated

    def is_newer_configuration_known(self) -> bool:
        """Return whether other processes have a newer configuration in force."""
        return bool(self.view.newer_versions)

    def note_refused(self, job: JobId, digest: KeyDigest | None, version: int) -> None:
        """Note that a call was refused for its key, and by which configuration version."""
        self.refusals.note(job, digest, version)
        METRICS.refused_keys.inc({"why": "no key" if digest is None else "unknown key"})

    def is_store_responding(self) -> bool:
        """Return whether calls to the store succeed, or have failed only for a short time."""
        return self.store_failing_for_s() < REFUSE_AFTER_S

    def store_failing_for_s(self) -> float:
        """Return how long calls to the store have failed, in seconds."""
        return self.table.outage.length_s(monotonic())

    def is_stopping(self) -> bool:
        """Return whether connections are to be closed after their response."""
        return self.stopping

    async def waiting_jobs(self, route: Route) -> int | None:
        """Return how many jobs wait on a route, or None if that is not known."""
        return await count_waiting_jobs(self.table, self.view, route)

"""Where each job's tasks run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.planning._moves import covers
from pumicespur.schema.fleet_pb import (
    Assignment,
    InstanceState,
    Job,
    Placement,
    Resources,
    Urgency,
)
from pumicespur.schema.operators_pb import Finding, Severity
from pumicespur.schema.platform_pb import Liveness
from pumicespur.structure import JobId, PoolId, TaskId, TeamId, task_id
from pumicespur.utils import replace_fields

if TYPE_CHECKING:
    from pumicespur.planning._round import Decision, PlanInput


@dataclass
class Host:
    """An instance that can take tasks, with what is left on it."""

    assignment: Assignment
    total: Resources
    free: Resources
    tasks: Counter[str] = field(default_factory=Counter)

    @property
    def name(self) -> str:
        """The instance's id."""
        return self.assignment.instance

    def take(self, job: Job, needs: Resources) -> None:
        """Use the resources of one task."""
        self.free.millicores -= needs.millicores
        self.free.memory_mb -= needs.memory_mb
        self.free.accelerators -= needs.accelerators
        self.tasks[job.id] += 1


def plan_placements(known: PlanInput, decision: Decision) -> None:
    """Keep every task that has a place, and place the others, live jobs first.

    A task is taken off an instance that no longer serves its pool; one that has a good
    place never moves.
    """
    _Placements(known, decision).plan()


class _Placements:
    """One round of placements over the hosts as decided so far."""

    def __init__(self, known: PlanInput, decision: Decision) -> None:
        self.known = known
        self.decision = decision
        self.hosts: dict[PoolId, dict[str, Host]] = {pool: {} for pool in known.fleet.pools}
        self.needs = {job.id: known.usage.needs(job) for job in known.fleet.jobs.values()}
        self.team_millicores: Counter[str] = Counter()
        self.lost: dict[TaskId, Placement] = {}
        self.kept: set[TaskId] = set()

    def plan(self) -> None:
        self._read_hosts()
        self._keep_or_lose()
        jobs = sorted(
            self.known.fleet.jobs.values(),
            key=lambda job: (job.urgency is not Urgency.LIVE, job.id),
        )
        for job in jobs:
            self._place_job(job)

    def _read_hosts(self) -> None:
        for name, before in self.known.fleet.assignments.items():
            assignment = self.decision.assignments.get(name, before)
            listed = self.known.listed.get(name)
            hosts = self.hosts.get(PoolId(assignment.pool))
            if hosts is None or listed is None or listed.liveness is not Liveness.LIVE:
                continue
            if assignment.state is InstanceState.SERVING and not assignment.removed:
                total = listed.resources or Resources()
                free = replace_fields(total)
                hosts[name] = Host(assignment, total, free)

    def _keep_or_lose(self) -> None:
        """Charge tasks that stay; the rest lose their place."""
        for key, placement in self.known.fleet.placements.items():
            job = self.known.fleet.jobs.get(JobId(placement.job))
            host = self._host_of(placement, job)
            if job is None or placement.index >= job.tasks:
                self._remove(placement)
            elif self.known.usage.has_failed(key, placement.instance):
                self.lost[key] = placement
            elif host is not None:
                host.take(job, self.needs[job.id])
                self._charge_team(job)
                self.kept.add(key)
            elif self._is_really_gone(placement):
                self.lost[key] = placement
            else:
                # Out of the list for a moment: the task may still run, so it keeps its place.
                self._charge_team(job)
                self.kept.add(key)

    def _host_of(self, placement: Placement, job: Job | None) -> Host | None:
        if job is None:
            return None
        return self.hosts.get(PoolId(job.pool), {}).get(placement.instance)

    def _is_really_gone(self, placement: Placement) -> bool:
        """Tell whether a task's instance was decided away, rather than just not listed."""
        fleet = self.known.fleet
        before = fleet.assignments.get(placement.instance)  # type: ignore[call-overload]
        assignment = self.decision.assignments.get(placement.instance, before)  # type: ignore[call-overload]
        if assignment is None or assignment.removed:
            return True
        job = fleet.jobs[JobId(placement.job)]
        return assignment.state is not InstanceState.SERVING or assignment.pool != job.pool

    def _remove(self, placement: Placement) -> None:
        self.decision.place([replace_fields(placement, removed=True)])

    def _place_job(self, job: Job) -> None:
        unplaced = 0
        reason = ""
        for index in range(job.tasks):
            key = task_id(job.id, index)
            if key in self.kept:
                continue
            chosen = self._choose(job, self.lost.get(key))
            if isinstance(chosen, str):
                unplaced += 1
                reason = chosen
                continue
            self._place(job, index, chosen)
        if unplaced:
            self._report(job, f"{unplaced} task(s) not placed: {reason}")

    def _choose(self, job: Job, before: Placement | None) -> Host | str:
        """Return the host that spreads the job best, or why there is none."""
        needs = self.needs[job.id]
        if not self._within_quota(job):
            return f"team {job.team} is at its quota"
        hosts = self.hosts.get(PoolId(job.pool), {})
        large_enough = [host for host in hosts.values() if covers(host.total, needs)]
        sound = [h for h in large_enough if not self.known.usage.is_avoided(h.name)]
        fitting = [host for host in sound if covers(host.free, needs)]
        elsewhere = [host for host in fitting if before is None or host.name != before.instance]
        if fitting:
            return self._best(job, elsewhere or fitting, hosts)
        if sound:
            return "no instance of the pool has room now"
        if large_enough:
            return "every instance of the pool that is large enough fails its tasks"
        return "no instance of the pool is large enough, so it can never run there"

    def _best(self, job: Job, fitting: list[Host], hosts: dict[str, Host]) -> Host:
        halls: Counter[str] = Counter()
        racks: Counter[str] = Counter()
        for host in hosts.values():
            count = host.tasks[job.id]
            if count:
                halls[host.assignment.data_hall] += count
                racks[host.assignment.rack] += count

        def cost(host: Host) -> tuple[int, int, int, int, str]:
            place = host.assignment
            return (
                halls[place.data_hall],
                racks[place.rack],
                host.tasks[job.id],
                -host.free.millicores,
                place.instance,
            )

        return min(fitting, key=cost)

    def _place(self, job: Job, index: int, host: Host) -> None:
        before = self.lost.get(task_id(job.id, index))
        placement = Placement(
            job=job.id,
            index=index,
            instance=host.assignment.instance,
            attempt=before.attempt + 1 if before else 1,
        )
        host.take(job, self.needs[job.id])
        self._charge_team(job)
        self.decision.place([placement])

    def _within_quota(self, job: Job) -> bool:
        team = self.known.fleet.teams.get(TeamId(job.team))
        if team is None or not team.max_millicores:
            return True
        needs = self.needs[job.id]
        return self.team_millicores[job.team] + needs.millicores <= team.max_millicores

    def _charge_team(self, job: Job) -> None:
        self.team_millicores[job.team] += self.needs[job.id].millicores

    def _report(self, job: Job, message: str) -> None:
        self.decision.findings.append(
            Finding(
                severity=Severity.WARNING, section=f"job {job.id}", key="tasks", message=message
            )
        )

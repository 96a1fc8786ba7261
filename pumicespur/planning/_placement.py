"""Placement of the jobs' tasks on instances."""

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
    """Instance that can run tasks, with its free resources."""

    assignment: Assignment
    total: Resources
    free: Resources
    tasks: Counter[str] = field(default_factory=Counter)

    @property
    def name(self) -> str:
        """The instance's id."""
        return self.assignment.instance

    def allocate(self, job: Job, needs: Resources) -> None:
        """Subtract the resources of one task from the free ones."""
        self.free.millicores -= needs.millicores
        self.free.memory_mb -= needs.memory_mb
        self.free.accelerators -= needs.accelerators
        self.tasks[job.id] += 1


def plan_placements(plan_input: PlanInput, decision: Decision) -> None:
    """Keep the placements that are still valid, and place all other tasks, live jobs first.

    A task leaves an instance that no longer serves its pool or on which it failed; a task with a
    valid placement never moves.
    """
    _PlacementPlanner(plan_input, decision).plan()


class _PlacementPlanner:
    """Planner of one round of placements, by the hosts as decided so far."""

    def __init__(self, plan_input: PlanInput, decision: Decision) -> None:
        self.plan_input = plan_input
        self.decision = decision
        self.hosts: dict[PoolId, dict[str, Host]] = {pool: {} for pool in plan_input.fleet.pools}
        self.needs = {job.id: plan_input.usage.needs(job) for job in plan_input.fleet.jobs.values()}
        self.team_millicores: Counter[str] = Counter()
        self.displaced: dict[TaskId, Placement] = {}
        self.kept: set[TaskId] = set()

    def plan(self) -> None:
        self._read_hosts()
        self._keep_placements()
        jobs = sorted(
            self.plan_input.fleet.jobs.values(),
            key=lambda job: (job.urgency is not Urgency.LIVE, job.id),
        )
        for job in jobs:
            self._place_job(job)

    def _read_hosts(self) -> None:
        for name, before in self.plan_input.fleet.assignments.items():
            assignment = self.decision.assignments.get(name, before)
            listed = self.plan_input.listed.get(name)
            hosts = self.hosts.get(PoolId(assignment.pool))
            if hosts is None or listed is None or listed.liveness is not Liveness.LIVE:
                continue
            if assignment.state is InstanceState.SERVING and not assignment.removed:
                total = listed.resources or Resources()
                free = replace_fields(total)
                hosts[name] = Host(assignment, total, free)

    def _keep_placements(self) -> None:
        """Charge hosts and teams with the tasks that stay; the others lose their placement."""
        for key, placement in self.plan_input.fleet.placements.items():
            job = self.plan_input.fleet.jobs.get(JobId(placement.job))
            host = self._current_host(placement, job)
            if job is None or placement.index >= job.tasks:
                self._remove(placement)
            elif self.plan_input.usage.has_failed(key, placement.instance):
                self.displaced[key] = placement
            elif host is not None:
                host.allocate(job, self.needs[job.id])
                self._charge_team(job)
                self.kept.add(key)
            elif self._has_lost_instance(placement):
                self.displaced[key] = placement
            else:
                # Temporarily absent from the list: the task may still run, so it stays placed.
                self._charge_team(job)
                self.kept.add(key)

    def _current_host(self, placement: Placement, job: Job | None) -> Host | None:
        if job is None:
            return None
        return self.hosts.get(PoolId(job.pool), {}).get(placement.instance)

    def _has_lost_instance(self, placement: Placement) -> bool:
        """Return whether a task's instance left the pool or stopped serving.

        An instance that is just unlisted doesn't count.
        """
        fleet = self.plan_input.fleet
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
            chosen = self._choose_host(job, self.displaced.get(key))
            if isinstance(chosen, str):
                unplaced += 1
                reason = chosen
                continue
            self._place(job, index, chosen)
        if unplaced:
            self._report_unplaced(job, f"{unplaced} task(s) not placed: {reason}")

    def _choose_host(self, job: Job, before: Placement | None) -> Host | str:
        """Return the host that spreads the job best, or the reason why there is none."""
        needs = self.needs[job.id]
        if not self._within_quota(job):
            return f"team {job.team} is at its quota"
        hosts = self.hosts.get(PoolId(job.pool), {})
        large_enough = [host for host in hosts.values() if covers(host.total, needs)]
        reliable = [h for h in large_enough if not self.plan_input.usage.is_avoided(h.name)]
        fitting = [host for host in reliable if covers(host.free, needs)]
        other_hosts = [host for host in fitting if before is None or host.name != before.instance]
        if fitting:
            return self._choose_best(job, other_hosts or fitting, hosts)
        if reliable:
            return "no instance of the pool has room now"
        if large_enough:
            return "every instance of the pool that is large enough fails its tasks"
        return "no instance of the pool is large enough, so it can never run there"

    def _choose_best(self, job: Job, fitting: list[Host], hosts: dict[str, Host]) -> Host:
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
        before = self.displaced.get(task_id(job.id, index))
        placement = Placement(
            job=job.id,
            index=index,
            instance=host.assignment.instance,
            attempt=before.attempt + 1 if before else 1,
        )
        host.allocate(job, self.needs[job.id])
        self._charge_team(job)
        self.decision.place([placement])

    def _within_quota(self, job: Job) -> bool:
        team = self.plan_input.fleet.teams.get(TeamId(job.team))
        if team is None or not team.max_millicores:
            return True
        needs = self.needs[job.id]
        return self.team_millicores[job.team] + needs.millicores <= team.max_millicores

    def _charge_team(self, job: Job) -> None:
        self.team_millicores[job.team] += self.needs[job.id].millicores

    def _report_unplaced(self, job: Job, message: str) -> None:
        self.decision.findings.append(
            Finding(
                severity=Severity.WARNING, section=f"job {job.id}", key="tasks", message=message
            )
        )

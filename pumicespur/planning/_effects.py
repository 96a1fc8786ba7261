"""Carry out what the log says: orders to instances and tasks, each by its token.

Every order was committed to the log before. A new planner gives all open orders again;
the platform carries out each token once, so a paused former planner that wakes up and
repeats an order changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.planning._lifecycle import drain_token, reboot_token, resume_token
from pumicespur.planning._usage import platform_name
from pumicespur.schema.fleet_pb import Assignment, InstanceState, Placement, Resources
from pumicespur.schema.platform_pb import Order, TaskRequest
from pumicespur.structure import Fleet, JobId, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.connect import PlatformClient
    from pumicespur.schema.platform_pb import TaskUsage

log = Logger(__name__)

PARALLEL_ORDERS = 16


class Effects:
    """Gives orders until the platform has taken them."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform
        # When each order's token was known to be taken, on the monotonic clock.
        self.taken_at: dict[str, float] = {}
        self.running: dict[TaskId, Placement] = {}
        self._limit = anyio.CapacityLimiter(PARALLEL_ORDERS)

    def taken_before(self, seen_at: float) -> frozenset[str]:
        """Return the tokens of orders taken before a list was made."""
        return frozenset(token for token, at in self.taken_at.items() if at < seen_at)

    async def carry_out(self, fleet: Fleet, reported: Iterable[TaskUsage] = ()) -> None:
        """Give every order that the state asks for and that was not yet taken.

        `reported` are tasks that the platform says are running; those that have no place
        there are stopped.
        """
        async with anyio.create_task_group() as tasks:
            for assignment in fleet.assignments.values():
                if assignment.state is not InstanceState.SERVING:
                    tasks.start_soon(self._order, assignment)
            for key, placement in self._changed_tasks(fleet):
                tasks.start_soon(self._run_task, fleet, key, placement)
            for usage in reported:
                placement = fleet.placements.get(TaskId(usage.task))
                if placement is None or placement.instance != usage.instance:
                    tasks.start_soon(self._stop_stray, fleet, usage, placement)
        self._forget(fleet)

    async def _order(self, assignment: Assignment) -> None:
        async with self._limit:
            match assignment.state:
                case InstanceState.DRAINING:
                    await self._give(assignment, Order.DRAIN, drain_token(assignment))
                case InstanceState.MAINTAINING:
                    await self._give(assignment, Order.REBOOT, reboot_token(assignment))
                case InstanceState.RETURNING:
                    # The drain first: once taken, a late repeat of it can't undo the resume.
                    if await self._give(assignment, Order.DRAIN, drain_token(assignment)):
                        await self._give(assignment, Order.RESUME, resume_token(assignment))

    async def _give(self, assignment: Assignment, order: Order, token: str) -> bool:
        if token in self.taken_at:
            return True
        answer = await self.platform.give_order(assignment.instance, order, token)
        match answer:
            case Result(tag="ok", ok=taken_at):
                self.taken_at[token] = taken_at
                log.info(
                    "order taken",
                    instance=assignment.instance,
                    pool=assignment.pool,
                    order=order.name,
                    token=token,
                )
                return True
            case Result(error=fault):
                log.warning("order not taken", instance=assignment.instance, fault=str(fault))
                return False

    def _changed_tasks(self, fleet: Fleet) -> list[tuple[TaskId, Placement | None]]:
        changes: list[tuple[TaskId, Placement | None]] = [
            (key, placement)
            for key, placement in fleet.placements.items()
            if self.running.get(key) != placement
        ]
        changes += [(key, None) for key in self.running.keys() - fleet.placements.keys()]
        return changes

    async def _run_task(self, fleet: Fleet, key: TaskId, wanted: Placement | None) -> None:
        """Stop a task where it ran before, then start it in its new place."""
        async with self._limit:
            before = self.running.get(key)
            if before is not None:
                stopped = await self._send_task(key, before, None, stop=True)
                if not stopped:
                    return
                del self.running[key]
            if wanted is None:
                return
            job = fleet.jobs.get(JobId(wanted.job))
            needs = job.needs if job else None
            if await self._send_task(key, wanted, needs, stop=False):
                self.running[key] = wanted

    async def _stop_stray(
        self, fleet: Fleet, usage: TaskUsage, placement: Placement | None
    ) -> None:
        """Stop a task that runs where the log has no place for it.

        A former planner may have died between the record of a move and the stop order.
        """
        since = f"attempt-{placement.attempt}" if placement else f"revision-{fleet.revision}"
        request = TaskRequest(
            instance=usage.instance,
            task=platform_name(usage.task),
            token=f"{usage.task}/{since}/{usage.instance}/stray",
            stop=True,
        )
        async with self._limit:
            log.info("stopping a stray task", task=usage.task, instance=usage.instance)
            await self.platform.run_task(request)

    async def _send_task(
        self, key: TaskId, placement: Placement, needs: Resources | None, *, stop: bool
    ) -> bool:
        verb = "stop" if stop else "start"
        request = TaskRequest(
            instance=placement.instance,
            task=platform_name(key),
            token=f"{key}/{placement.attempt}/{placement.instance}/{verb}",
            needs=needs,
            stop=stop,
        )
        match await self.platform.run_task(request):
            case Result(tag="ok", ok=response) if response.accepted:
                return True
            case Result(tag="ok", ok=response):
                log.warning(f"task {verb} refused", task=key, reason=response.reason)
            case Result(error=fault):
                log.warning(f"task {verb} not taken", task=key, fault=str(fault))
        return False

    def _forget(self, fleet: Fleet) -> None:
        """Drop tokens that no assignment uses any more."""
        open_tokens = {a.token for a in fleet.assignments.values() if a.token}
        self.taken_at = {
            token: at
            for token, at in self.taken_at.items()
            if token.partition("/")[0] in open_tokens
        }

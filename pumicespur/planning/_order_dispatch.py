"""Dispatch of the orders that the committed state requires, each with a token.

Every order is committed to the log before it is sent. A new planner sends all open orders again.
The platform executes each token once, so a former planner that resumes after a pause and repeats
an order changes nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.planning._lifecycle import drain_token, reboot_token, resume_token
from pumicespur.planning._usage import platform_task_name
from pumicespur.schema.fleet_pb import Assignment, InstanceState, Placement, Resources
from pumicespur.schema.platform_pb import Order, TaskRequest
from pumicespur.structure import Fleet, JobId, TaskId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.connect import PlatformClient
    from pumicespur.schema.platform_pb import TaskUsage

log = Logger(__name__)

MAX_PARALLEL_ORDERS = 16


class OrderDispatcher:
    """Sender of orders, which repeats each one until the platform has accepted it."""

    def __init__(self, platform: PlatformClient) -> None:
        self.platform = platform
        # By token, the time at which the order was known to be accepted (monotonic seconds).
        self.accepted_at: dict[str, float] = {}
        # Tasks whose start the platform has accepted, with the placement that was sent.
        self.running: dict[TaskId, Placement] = {}
        self._limit = anyio.CapacityLimiter(MAX_PARALLEL_ORDERS)

    def accepted_before(self, seen_at: float) -> frozenset[str]:
        """Return the tokens of orders accepted before a list was made."""
        return frozenset(token for token, at in self.accepted_at.items() if at < seen_at)

    async def dispatch(self, fleet: Fleet, reported: Iterable[TaskUsage] = ()) -> None:
        """Send each order that the state requires and that was not accepted yet.

        `reported` are the tasks that run according to the platform; those without a placement on
        their instance are stopped.
        """
        async with anyio.create_task_group() as tasks:
            for assignment in fleet.assignments.values():
                if assignment.state is not InstanceState.SERVING:
                    tasks.start_soon(self._dispatch_order, assignment)
            for key, placement in self._changed_tasks(fleet):
                tasks.start_soon(self._apply_placement, fleet, key, placement)
            for usage in reported:
                placement = fleet.placements.get(TaskId(usage.task))
                if placement is None or placement.instance != usage.instance:
                    tasks.start_soon(self._stop_misplaced, fleet, usage, placement)
        self._drop_unused_tokens(fleet)

    async def _dispatch_order(self, assignment: Assignment) -> None:
        async with self._limit:
            match assignment.state:
                case InstanceState.DRAINING:
                    await self._send_order(assignment, Order.DRAIN, drain_token(assignment))
                case InstanceState.MAINTAINING:
                    await self._send_order(assignment, Order.REBOOT, reboot_token(assignment))
                case InstanceState.RETURNING:
                    # The drain first: once it is accepted, a delayed repeat of it can't undo the
                    # resume.
                    if await self._send_order(assignment, Order.DRAIN, drain_token(assignment)):
                        await self._send_order(assignment, Order.RESUME, resume_token(assignment))

    async def _send_order(self, assignment: Assignment, order: Order, token: str) -> bool:
        if token in self.accepted_at:
            return True
        response = await self.platform.give_order(assignment.instance, order, token)
        match response:
            case Result(tag="ok", ok=accepted_at):
                self.accepted_at[token] = accepted_at
                log.info(
                    "order accepted",
                    instance=assignment.instance,
                    pool=assignment.pool,
                    order=order.name,
                    token=token,
                )
                return True
            case Result(error=error):
                log.warning("order not confirmed", instance=assignment.instance, fault=str(error))
                return False

    def _changed_tasks(self, fleet: Fleet) -> list[tuple[TaskId, Placement | None]]:
        changes: list[tuple[TaskId, Placement | None]] = [
            (key, placement)
            for key, placement in fleet.placements.items()
            if self.running.get(key) != placement
        ]
        changes += [(key, None) for key in self.running.keys() - fleet.placements.keys()]
        return changes

    async def _apply_placement(self, fleet: Fleet, key: TaskId, wanted: Placement | None) -> None:
        """Stop a task on its previous instance, then start it on its new one."""
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

    async def _stop_misplaced(
        self, fleet: Fleet, usage: TaskUsage, placement: Placement | None
    ) -> None:
        """Stop a task that runs on an instance where it is not placed.

        A former planner may have crashed between the commit of a move and the stop order.
        """
        since = f"attempt-{placement.attempt}" if placement else f"revision-{fleet.revision}"
        request = TaskRequest(
            instance=usage.instance,
            task=platform_task_name(usage.task),
            token=f"{usage.task}/{since}/{usage.instance}/stray",
            stop=True,
        )
        async with self._limit:
            log.info(
                "stopping a task on an instance where it is not placed",
                task=usage.task,
                instance=usage.instance,
            )
            await self.platform.run_task(request)

    async def _send_task(
        self, key: TaskId, placement: Placement, needs: Resources | None, *, stop: bool
    ) -> bool:
        action = "stop" if stop else "start"
        request = TaskRequest(
            instance=placement.instance,
            task=platform_task_name(key),
            token=f"{key}/{placement.attempt}/{placement.instance}/{action}",
            needs=needs,
            stop=stop,
        )
        match await self.platform.run_task(request):
            case Result(tag="ok", ok=response) if response.accepted:
                return True
            case Result(tag="ok", ok=response):
                log.warning(f"task {action} refused", task=key, reason=response.reason)
            case Result(error=error):
                log.warning(f"task {action} not confirmed", task=key, fault=str(error))
        return False

    def _drop_unused_tokens(self, fleet: Fleet) -> None:
        """Drop the tokens that no assignment uses any more."""
        open_tokens = {a.token for a in fleet.assignments.values() if a.token}
        self.accepted_at = {
            token: at
            for token, at in self.accepted_at.items()
            if token.partition("/")[0] in open_tokens
        }

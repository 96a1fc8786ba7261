"""Tests of the dispatch of orders against the platform stand-in."""

from __future__ import annotations

from pumicespur.planning import OrderDispatcher, own_tasks
from pumicespur.schema.fleet_pb import Job, Placement, Resources
from pumicespur.schema.platform_pb import ListedInstance, Liveness, TaskRequest, TaskUsage
from pumicespur.structure import Fleet, JobId, TaskId
from standins.schema.standins_pb import AddInstancesRequest
from tests.test_state import PlatformCase


class TestTasks(PlatformCase):
    """A task runs on the instance where it is placed and nowhere else."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        listed = [
            ListedInstance(id=name, liveness=Liveness.LIVE, resources=Resources(millicores=8000))
            for name in ("a", "b")
        ]
        await self.orders.stub.add_instances(AddInstancesRequest(instances=listed))
        self.platform = self.client()
        self.fleet = Fleet()
        self.fleet.jobs[JobId("j")] = Job(id="j", tasks=1, needs=Resources(millicores=1000))

    async def running(self) -> list[tuple[str, str]]:
        return sorted((usage.task, usage.instance) for usage in await self.reported())

    async def reported(self) -> list[TaskUsage]:
        return own_tasks((await self.platform.list_usage()).ok.tasks)

    def place(self, instance: str, attempt: int) -> None:
        placement = Placement(job="j", index=0, instance=instance, attempt=attempt)
        self.fleet.placements[TaskId("j/0")] = placement

    async def test_a_task_follows_its_placement(self) -> None:
        dispatcher = OrderDispatcher(self.platform)
        for attempt, instance in enumerate(("a", "b", "a"), start=1):
            self.place(instance, attempt)
            await dispatcher.dispatch(self.fleet)
            self.assertEqual(await self.running(), [("j/0", instance)])

    async def test_a_new_planner_stops_tasks_that_the_former_one_left_running(self) -> None:
        """The former planner crashed between the commit of a move and the stop order."""
        self.place("a", 1)
        await OrderDispatcher(self.platform).dispatch(self.fleet)
        self.place("b", 2)
        await OrderDispatcher(self.platform).dispatch(self.fleet, await self.reported())
        self.assertEqual(await self.running(), [("j/0", "b")])

    async def test_a_task_of_a_removed_job_is_stopped(self) -> None:
        self.place("a", 1)
        await OrderDispatcher(self.platform).dispatch(self.fleet)
        self.fleet.placements.clear()
        self.fleet.jobs.clear()
        await OrderDispatcher(self.platform).dispatch(self.fleet, await self.reported())
        self.assertEqual(await self.running(), [])

    async def test_a_task_that_a_script_started_is_not_stopped(self) -> None:
        script = TaskRequest(instance="a", task="nightly/0", token="script")
        await self.platform.run_task(script)
        await OrderDispatcher(self.platform).dispatch(self.fleet, await self.reported())
        tasks = (await self.platform.list_usage()).ok.tasks
        self.assertEqual([usage.task for usage in tasks], ["nightly/0"])

    async def test_a_repeated_start_order_starts_the_task_once(self) -> None:
        self.place("a", 1)
        for _ in range(2):
            await OrderDispatcher(self.platform).dispatch(self.fleet)
        request = TaskRequest(instance="a", task="j/0", token="j/0/1/a/start")
        await self.platform.run_task(request)
        history = await self.orders.history()
        starts = [event for event in history.events if event.kind == "task-start"]
        self.assertEqual(len(starts), 1)

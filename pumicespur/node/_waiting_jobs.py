"""Counts the jobs that wait on a route, in whichever pools they are.

Only owners follow reports; other processes read those of the owners on request.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from expression import Result
from logbook import Logger

from pumicespur.maintenance import FLEET_ROLE
from pumicespur.model import ProcessId
from pumicespur.node._tables import REPORTS_TABLE, process_row_key
from pumicespur.schema.jobs_pb import DutyReport
from pumicespur.utils import monotonic
from pumicespur.view import newest_reports

if TYPE_CHECKING:
    from collections.abc import Iterable

    from pumicespur.model import Route
    from pumicespur.platform import PlatformTable
    from pumicespur.schema.jobs_pb import PoolReport
    from pumicespur.store import Row, StoreClock
    from pumicespur.view import FleetView

log = Logger(__name__)

MAX_REPORT_AGE_S = 6.0
"""Age up to which an owner's report is used."""


async def count_waiting_jobs(table: PlatformTable, view: FleetView, route: Route) -> int | None:
    """Return how many jobs wait on a route, or None if that of its pool's owner is not known.

    Jobs stay in the pool that the route had when they were submitted.
    """
    if route.pool not in view.owners:
        return None
    owners = {
        ProcessId(seen.record.process)
        for pool, seen in view.owners.items()
        if pool != FLEET_ROLE and seen.record.process
    }
    reports: list[PoolReport] = []

    async def read_reports(owner: ProcessId) -> None:
        found = await table.read(process_row_key(REPORTS_TABLE, owner))
        match found:
            case Result(tag="ok", ok=row):
                reports.extend(decode_reports(row, table.clock, MAX_REPORT_AGE_S))
            case Result(error=error):
                log.info("waiting jobs not read", route=route.name, reason=str(error))

    async with anyio.create_task_group() as readers:
        for owner in owners:
            readers.start_soon(read_reports, owner)
    return sum_waiting(reports, route)


def decode_reports(row: Row, clock: StoreClock, max_age_s: float) -> list[PoolReport]:
    """Return the reports on pools in an owner's row; none if it is missing or old."""
    if not row.version or not clock.known:
        return []
    report = DutyReport.from_binary(row.value)
    if clock.at_most_ms(monotonic()) - report.told_ms > max_age_s * 1000:
        return []
    return list(report.pools)


def sum_waiting(reports: Iterable[PoolReport], route: Route) -> int | None:
    """Sum up a route's waiting jobs over all pools; None without a report on the route's pool."""
    newest = newest_reports(reports)
    if route.pool not in newest:
        return None
    counts = (count for report in newest.values() for count in report.waiting)
    return sum(count.jobs for count in counts if count.route == route.name)

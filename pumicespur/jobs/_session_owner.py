"""What the dealings with one worker need of the pool's owner."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pumicespur.config import NodeSettings
    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._known_state import KnownState
    from pumicespur.jobs._pool import PoolState, RunKey
    from pumicespur.model import TaskEnd, WorkerId
    from pumicespur.platform import WorkerOrders


class SessionOwner(Protocol):
    """The owner of a pool, as its workers' tasks see it."""

    settings: NodeSettings
    pool: PoolState
    orders: WorkerOrders
    token: int

    def known_state(self) -> KnownState:
        """Return what is known at present of what orders rest on."""

    def may_renew_leases(self, now: float) -> bool:
        """Whether leases may still be extended."""

    def wake(self) -> None:
        """Ask for a round."""

    def spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Run something beside the rounds."""

    def note_end(self, worker: WorkerId, end: TaskEnd, now: float) -> None:
        """Take in the end of a run."""

    def stop_gang(self, group: StepGroup, run: int) -> None:
        """Stop the members of a gang, one of which did not start."""

    def note_restart(self, worker: WorkerId, *, leased: bool) -> None:
        """Note that a life is over although the store may still list it.

        `leased` tells that a deadline meant for it may have reached the next one.
        """

    def note_revoked(self, worker: WorkerId, run: RunKey) -> None:
        """Note that a worker was told to refuse a run whose start may still be done late."""

    def forget(self, worker: WorkerId) -> None:
        """Drop a worker whose life is over."""

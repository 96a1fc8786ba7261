"""What sessions use of their pool's owner, and starts of their session."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from pumicespur.config import NodeSettings
    from pumicespur.jobs._job import StepGroup
    from pumicespur.jobs._known_state import KnownState
    from pumicespur.jobs._pool import PoolState, RunKey
    from pumicespur.jobs._worker_load import WorkerLoad
    from pumicespur.jobs.sessions._lease import WorkerLease
    from pumicespur.model import EndedRun, Refused, WorkerId
    from pumicespur.platform import WorkerOrders
    from pumicespur.store import AnswerLost, Unavailable


class SessionOwner(Protocol):
    """The owner of a pool, as its worker sessions see it."""

    settings: NodeSettings
    pool: PoolState
    orders: WorkerOrders
    token: int

    def known_state(self) -> KnownState:
        """Return the current versions and ages of the tables that orders depend on."""

    def may_renew_leases(self, now: float) -> bool:
        """Whether leases may be renewed."""

    def wake(self) -> None:
        """Request a round."""

    def spawn(self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        """Run a coroutine concurrently with the rounds."""

    def note_end(self, worker: WorkerId, end: EndedRun, now: float) -> None:
        """Process the end of a run."""

    def stop_gang(self, group: StepGroup, run: int) -> None:
        """Stop the other members of a gang after one did not start."""

    def note_restart(self, worker: WorkerId, *, leased: bool) -> None:
        """Note that an incarnation has ended, even if the store still lists it.

        `leased` tells that a deadline meant for it may have reached the next incarnation.
        """

    def note_revoked(self, worker: WorkerId, run: RunKey) -> None:
        """Note that a run was revoked whose start order may still be executed late."""

    def drop_session(self, worker: WorkerId) -> None:
        """Drop the session of an ended incarnation."""


class Session(Protocol):
    """The session with one incarnation of a worker, as its starts see it."""

    owner: SessionOwner
    id: WorkerId
    load: WorkerLoad
    lease: WorkerLease
    gone: bool
    restarted: bool

    def end(self, reason: str) -> None:
        """Note that this incarnation of the worker has ended with all its runs."""

    def note_failure(self, error: Refused | Unavailable | AnswerLost) -> None:
        """Note a failed call."""

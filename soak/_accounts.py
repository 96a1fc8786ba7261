"""Client accounts of a run: which keys and limits were in force when, and what that promises."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._histories import is_at_work

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from soak._callers import Exchange, SentJob
    from standins.hosted import Run

KEYED_ROUTE = "keyed"
NAMES = ("first", "second")
USUAL_LIMIT = 3000
"""In thousandths of a core: six tasks."""

LOW_LIMIT = 1500
WEIGHT = 4.0


@dataclass
class KeyLife:
    """When a key was in force, in monotonic seconds."""

    account: str
    key: str
    began: float
    ended: float = float("inf")


@dataclass(frozen=True)
class KeyProbe:
    """A call with a key, made only to see what becomes of it."""

    key: str
    seen: Exchange


@dataclass
class AccountBook:
    """What the operators have declared of accounts, as time went on."""

    lives: list[KeyLife] = field(default_factory=list)
    limits: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    """By account: its limits and since when each was declared."""

    def __post_init__(self) -> None:
        """Begin with one key each."""
        for name in NAMES:
            self.add_key(name)
            self.set_limit(name, USUAL_LIMIT)

    def add_key(self, account: str) -> None:
        """Give an account one key more."""
        self.lives.append(KeyLife(account, f"key-{account}-{len(self.lives)}", monotonic()))

    def drop_oldest_key(self, account: str) -> None:
        """Take away the key that an account has had for longest."""
        self._in_force(account)[0].ended = monotonic()

    def set_limit(self, account: str, cpu: int) -> None:
        """Declare a limit."""
        self.limits.setdefault(account, []).append((monotonic(), cpu))

    def _in_force(self, account: str) -> list[KeyLife]:
        return [k for k in self.lives if k.account == account and k.ended == float("inf")]

    def current_key(self, account: str) -> str:
        """Return the key that an account's callers use."""
        return self._in_force(account)[0].key

    def declared(self) -> list[dict[str, object]]:
        """Write all accounts as operators do."""
        return [
            {
                "name": name,
                "apiKeys": [life.key for life in self._in_force(name)],
                "weight": WEIGHT,
                "upperLimit": {"cpu": self.limits[name][-1][1], "memMb": 0, "gpu": 0},
            }
            for name in NAMES
        ]

    def highest_limit(self, account: str, since: float, until: float) -> int:
        """Return the highest limit that was declared at some time of a span."""
        declared = self.limits[account]
        ends = [at for at, _ in declared[1:]] + [float("inf")]
        return max(
            cpu
            for (at, cpu), end in zip(declared, ends, strict=True)
            if at <= until and end > since
        )


def runs_over_limit(
    book: AccountBook,
    jobs: dict[str, SentJob],
    history: list[Run],
    known_since: Callable[[float], float],
    task_cpu: int,
) -> Iterator[str]:
    """Find starts that take an account over each limit that may have been in force.

    `known_since` tells for a time from when on configurations count: those before were surely
    replaced everywhere.
    """
    by_account: defaultdict[str, list[Run]] = defaultdict(list)
    for run in history:
        job = jobs.get(run.task.partition(".")[0])
        if job is not None and job.account:
            by_account[job.account].append(run)
    for account, runs in by_account.items():
        for run in runs:
            at = run.started_at
            running = sum(is_at_work(other, at) for other in runs) * task_cpu
            limit = book.highest_limit(account, known_since(at), at)
            if running > limit:
                yield f"{account}: {running} of {limit} with {run}"


def keys_misjudged(
    book: AccountBook, probes: list[KeyProbe], known_since: Callable[[float], float]
) -> Iterator[str]:
    """Find calls that were served with a key not in force, or refused with one that was."""
    for probe in probes:
        life = next((k for k in book.lives if k.key == probe.key), None)
        sent_at = probe.seen.sent_at
        served = probe.seen.status in (200, 410)
        if life is None:
            wrong = served
        elif served:
            wrong = life.ended < known_since(sent_at)
        else:
            known = life.began < known_since(sent_at) and life.ended > probe.seen.ended_at
            wrong = known and probe.seen.status == 401
        if wrong:
            yield f"{probe.key}: {probe.seen}"

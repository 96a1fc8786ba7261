"""Client accounts of a run: the keys and limits in force over time, and checks against them."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from pumicespur.utils import monotonic
from soak._run_history import is_running_at

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from soak._callers import Exchange, SentJob
    from standins.hosted import Run

KEYED_ROUTE = "keyed"
ACCOUNT_NAMES = ("first", "second")
NORMAL_LIMIT_CPU_MILLIS = 3000
"""Enough for six tasks."""

LOW_LIMIT_CPU_MILLIS = 1500
ACCOUNT_WEIGHT = 4.0


@dataclass
class KeyValidity:
    """The time in which an API key was declared, in monotonic seconds."""

    account: str
    key: str
    valid_from: float
    valid_until: float = float("inf")


@dataclass(frozen=True)
class KeyProbe:
    """A request made only to see whether its API key is accepted."""

    key: str
    exchange: Exchange


@dataclass
class AccountHistory:
    """API keys and limits that the operators have declared, with their times."""

    keys: list[KeyValidity] = field(default_factory=list)
    limits: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    """Limits by account, each with the monotonic time of its declaration, oldest first."""

    def __post_init__(self) -> None:
        """Declare one key and the normal limit for each account."""
        for name in ACCOUNT_NAMES:
            self.add_key(name)
            self.set_limit(name, NORMAL_LIMIT_CPU_MILLIS)

    def add_key(self, account: str) -> None:
        """Add a key to an account."""
        self.keys.append(KeyValidity(account, f"key-{account}-{len(self.keys)}", monotonic()))

    def revoke_oldest_key(self, account: str) -> None:
        """Revoke the oldest key of an account."""
        self._valid_keys(account)[0].valid_until = monotonic()

    def set_limit(self, account: str, cpu_millis: int) -> None:
        """Declare a new limit of an account, in thousandths of a core."""
        self.limits.setdefault(account, []).append((monotonic(), cpu_millis))

    def _valid_keys(self, account: str) -> list[KeyValidity]:
        return [k for k in self.keys if k.account == account and k.valid_until == float("inf")]

    def current_key(self, account: str) -> str:
        """Return the key that the account's callers use: the oldest valid one."""
        return self._valid_keys(account)[0].key

    def declarations(self) -> list[dict[str, object]]:
        """Return all accounts as they are written in the configuration."""
        return [
            {
                "name": name,
                "apiKeys": [validity.key for validity in self._valid_keys(name)],
                "weight": ACCOUNT_WEIGHT,
                "upperLimit": {"cpu": self.limits[name][-1][1], "memMb": 0, "gpu": 0},
            }
            for name in ACCOUNT_NAMES
        ]

    def highest_limit(self, account: str, since: float, until: float) -> int:
        """Return the highest limit declared at any time between `since` and `until`."""
        declarations = self.limits[account]
        ends = [at for at, _ in declarations[1:]] + [float("inf")]
        return max(
            cpu_millis
            for (at, cpu_millis), end in zip(declarations, ends, strict=True)
            if at <= until and end > since
        )


def find_runs_over_limit(
    account_history: AccountHistory,
    jobs: dict[str, SentJob],
    history: list[Run],
    in_force_since: Callable[[float], float],
    task_cpu_millis: int,
) -> Iterator[str]:
    """Find starts that take an account over every limit that may have been in force.

    `in_force_since(t)` returns the earliest time whose declarations may still be in force at time
    `t`: a declaration that was replaced before it is no longer in force on any node.
    """
    by_account: defaultdict[str, list[Run]] = defaultdict(list)
    for run in history:
        job = jobs.get(run.task.partition(".")[0])
        if job is not None and job.account:
            by_account[job.account].append(run)
    for account, runs in by_account.items():
        for run in runs:
            at = run.started_at
            running = sum(is_running_at(other, at) for other in runs) * task_cpu_millis
            limit = account_history.highest_limit(account, in_force_since(at), at)
            if running > limit:
                yield f"{account}: {running} of {limit} with {run}"


def find_key_violations(
    account_history: AccountHistory,
    probes: list[KeyProbe],
    in_force_since: Callable[[float], float],
) -> Iterator[str]:
    """Find requests that were served with an invalid key, or refused with a valid one."""
    for probe in probes:
        validity = next((k for k in account_history.keys if k.key == probe.key), None)
        sent_at = probe.exchange.sent_at
        is_served = probe.exchange.status in (200, 410)
        if validity is None:
            is_violation = is_served
        elif is_served:
            is_violation = validity.valid_until < in_force_since(sent_at)
        else:
            was_in_force = (
                validity.valid_from < in_force_since(sent_at)
                and validity.valid_until > probe.exchange.ended_at
            )
            is_violation = was_in_force and probe.exchange.status == 401
        if is_violation:
            yield f"{probe.key}: {probe.exchange}"

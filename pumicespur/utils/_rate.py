"""A token bucket."""

from __future__ import annotations

from dataclasses import dataclass, field

from pumicespur.utils._clock import monotonic


@dataclass
class TokenBucket:
    """Allow `rate` takes a second, and up to `burst` at once after a quiet time."""

    rate: float
    burst: float
    tokens: float = field(init=False)
    updated: float = field(default_factory=monotonic)

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def wait_s(self) -> float:
        """Return the seconds until a token is there; 0 when one is there now."""
        self._refill()
        return max(0.0, (1 - self.tokens) / self.rate)

    def try_take(self) -> bool:
        """Take a token if one is there."""
        self._refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self) -> None:
        now = monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.rate)
        self.updated = now

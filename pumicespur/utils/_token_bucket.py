"""Rate limit by a token bucket."""

from __future__ import annotations

from dataclasses import dataclass, field

from pumicespur.utils._clock import monotonic


@dataclass
class TokenBucket:
    """Token bucket that allows `rate` tokens per second, and `burst` at once after an idle time."""

    rate: float
    burst: float
    tokens: float = field(init=False)
    updated_at: float = field(default_factory=monotonic)

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def wait_s(self) -> float:
        """Return the seconds until a token is available; 0 if one is available now."""
        self._refill()
        return max(0.0, (1 - self.tokens) / self.rate)

    def try_take(self) -> bool:
        """Take a token if one is available; return whether it was."""
        self._refill()
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def _refill(self) -> None:
        now = monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now

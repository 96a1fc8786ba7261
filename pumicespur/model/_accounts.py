"""Client accounts: their ids, key digests, guaranteed rates and limits."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from pumicespur.model._workers import Capacity

AccountId = NewType("AccountId", str)

KeyDigest = NewType("KeyDigest", bytes)
"""Digest of an API key: enough to recognize the key, not enough to call with it."""

ANONYMOUS_ACCOUNT = AccountId("")
"""The account of callers of public routes, which need no key."""

DIGEST_BYTES = 16
"""Length of a key's digest; the chance that two of 100,000 keys have the same one is 2**-95."""

DIGEST_PREFIX_DIGITS = 8
"""Hexadecimal digits of a digest shown to operators, to distinguish a few keys."""


@dataclass(frozen=True)
class ClientAccount:
    """A client account as the operators declare it, without its keys."""

    id: AccountId
    weight: float
    """Rate in jobs per second. Jobs within it take precedence over jobs of other accounts that
    exceed theirs; 0 means that all jobs count as within it."""
    limit: Capacity
    """Max capacity that the account's tasks may use over all workers; 0 for no limit."""


def key_digest(key: str) -> KeyDigest:
    """Return the digest by which a key is recognized."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())


def digest_prefix(digest: KeyDigest) -> str:
    """Return the first hexadecimal digits of a digest, for logs and operators."""
    return digest.hex()[:DIGEST_PREFIX_DIGITS]

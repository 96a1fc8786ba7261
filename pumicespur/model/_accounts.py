"""Client accounts: who calls, by which keys, with which share and limit."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, NewType

if TYPE_CHECKING:
    from pumicespur.model._workers import Capacity

AccountId = NewType("AccountId", str)

KeyDigest = NewType("KeyDigest", bytes)
"""What is kept of a key: enough to recognise it, too little to call with it."""

ANYONE = AccountId("")
"""Who calls a public route; nobody needs a key there."""

DIGEST_BYTES = 16
"""Length of a key's digest; two of 100,000 keys have the same one with a chance of 2**-95."""

SIGNS_TOLD = 8
"""Hexadecimal digits of a digest that operators are told, to tell a few keys apart."""


@dataclass(frozen=True)
class ClientAccount:
    """What the operators say of an account, its keys apart."""

    id: AccountId
    weight: float
    """Jobs a second that are served before what other accounts send beyond theirs; 0 for any."""
    limit: Capacity
    """What the account may have running over all workers; 0 for no limit."""


def key_digest(key: str) -> KeyDigest:
    """Return what a key is recognised by."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())


def digest_signs(digest: KeyDigest) -> str:
    """Return the part of a digest that logs and operators may see."""
    return digest.hex()[:SIGNS_TOLD]

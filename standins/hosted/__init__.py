"""A stand-in for the users' platform that speaks its protocol: store, workers, instances."""

from __future__ import annotations

from standins.hosted._advice import TICKET_VALIDITY_MS
from standins.hosted._fleet import FleetOrder, HostedFleet
from standins.hosted._foreign import FOREIGN_ENTRIES, USUAL_ENTRY
from standins.hosted._halls import DEFAULT_HALL, HallEvacuations
from standins.hosted._links import Link, Passage
from standins.hosted._nodes import NODE_MODULE, SUSPENDABLE_MODULE, Node, Nodes
from standins.hosted._store import HostedStore, StoredRow
from standins.hosted._workers import (
    CRASHING_PAYLOAD,
    FAILS_TWICE_PAYLOAD,
    FILLING_PAYLOAD,
    WORKER_CPU,
    HostedWorker,
    Run,
)
from standins.hosted._world import HOST, MAX_ATTEMPTS, World

__all__ = [
    "CRASHING_PAYLOAD",
    "DEFAULT_HALL",
    "FAILS_TWICE_PAYLOAD",
    "FILLING_PAYLOAD",
    "FOREIGN_ENTRIES",
    "HOST",
    "MAX_ATTEMPTS",
    "NODE_MODULE",
    "SUSPENDABLE_MODULE",
    "TICKET_VALIDITY_MS",
    "USUAL_ENTRY",
    "WORKER_CPU",
    "FleetOrder",
    "HallEvacuations",
    "HostedFleet",
    "HostedStore",
    "HostedWorker",
    "Link",
    "Node",
    "Nodes",
    "Passage",
    "Run",
    "StoredRow",
    "World",
]

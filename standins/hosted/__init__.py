"""A stand-in for the users' platform, by its published protocol: store, workers, instances."""

from __future__ import annotations

from standins.hosted._fleet import HostedFleet
from standins.hosted._nodes import Nodes
from standins.hosted._store import HostedStore
from standins.hosted._workers import HostedWorker, Run
from standins.hosted._world import World

__all__ = ["HostedFleet", "HostedStore", "HostedWorker", "Nodes", "Run", "World"]

"""The request path, from callers to backend servers."""

from __future__ import annotations

from pumicespur.routing._backend import Backend
from pumicespur.routing._claims import ClaimWriter
from pumicespur.routing._dispatcher import Dispatcher
from pumicespur.routing._entry_app import EntryApp
from pumicespur.routing._picker import pick_least_loaded
from pumicespur.routing._queue import PoolQueue, Refusal
from pumicespur.routing._table import RoutingTable

__all__ = [
    "Backend",
    "ClaimWriter",
    "Dispatcher",
    "EntryApp",
    "PoolQueue",
    "Refusal",
    "RoutingTable",
    "pick_least_loaded",
]

"""The adapter to the users' platform.

Only this package knows the paths, headers, bodies and rows that the platform, its workers and its
callers use.
"""

from __future__ import annotations

from pumicespur.platform._callers import CallerServer
from pumicespur.platform._declarations import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATORS_TABLE,
    WAVE_PREFIX,
    WORKERS_TABLE,
    decode_configuration,
    decode_evacuation,
    decode_wave,
    decode_worker,
    encode_wave_state,
    wave_state_key,
)
from pumicespur.platform._fleet import ORDER_LIFETIME_S, FleetOrders
from pumicespur.platform._http import HttpClient
from pumicespur.platform._orders import WorkerOrders
from pumicespur.platform._store_probe import StoreProbe
from pumicespur.platform._table import PlatformTable

__all__ = [
    "CONFIGURATION_KEY",
    "EVACUATION_PREFIX",
    "OPERATORS_TABLE",
    "ORDER_LIFETIME_S",
    "WAVE_PREFIX",
    "WORKERS_TABLE",
    "CallerServer",
    "FleetOrders",
    "HttpClient",
    "PlatformTable",
    "StoreProbe",
    "WorkerOrders",
    "decode_configuration",
    "decode_evacuation",
    "decode_wave",
    "decode_worker",
    "encode_wave_state",
    "wave_state_key",
]

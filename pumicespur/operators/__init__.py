"""The service for operators and its client."""

from __future__ import annotations

from pumicespur.operators._client import ClientTls, OperatorClient
from pumicespur.operators._service import SCHEMA_VERSION, OperatorService, operators_app
from pumicespur.operators._status import measure_pools

__all__ = [
    "SCHEMA_VERSION",
    "ClientTls",
    "OperatorClient",
    "OperatorService",
    "measure_pools",
    "operators_app",
]

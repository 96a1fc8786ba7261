"""The fleet leader: maintenance waves and moves of instances between pools."""

from __future__ import annotations

from pumicespur.maintenance._fleet_leader import FleetLeader
from pumicespur.maintenance._intents import FLEET_ROLE, intent_validity_s

__all__ = ["FLEET_ROLE", "FleetLeader", "intent_validity_s"]

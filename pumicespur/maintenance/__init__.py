"""The fleet leader: maintenance waves and moves of instances between pools."""

from __future__ import annotations

from pumicespur.maintenance._fleet_leader import FleetHolder
from pumicespur.maintenance._intents import FLEET, intent_age_s

__all__ = ["FLEET", "FleetHolder", "intent_age_s"]

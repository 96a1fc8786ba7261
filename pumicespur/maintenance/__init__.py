"""Maintenance waves and the size of pools: which instance goes down or moves, and when."""

from __future__ import annotations

from pumicespur.maintenance._holder import FleetHolder
from pumicespur.maintenance._intents import FLEET, intent_age_s

__all__ = ["FLEET", "FleetHolder", "intent_age_s"]

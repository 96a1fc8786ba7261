"""Randomized fault-injection soak test of real processes against the system's promises."""

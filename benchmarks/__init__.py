"""Measure: `make bench`."""
